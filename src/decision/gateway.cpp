// The decision module. Its interface (settings, events, actions) is include/wingslip/decision/gateway.hpp.
//
// Reading order: the tuned values; Core's events at the end of its class (request, outcome, members, timer);
// then the sections they call: 1 quota, 2 guards (ceiling, cold workers, drains), 3 server choice and
// health, 4 attempts and final answers. Why each departs from the source design: docs/design.md.
#include "wingslip/decision/gateway.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <string_view>
#include <tuple>
#include <unordered_map>

#include "decision/admission.hpp"
#include "decision/customer_quota.hpp"
#include "decision/customer_registry.hpp"
#include "decision/decay.hpp"
#include "decision/random.hpp"
#include "decision/request_class.hpp"
#include "decision/settings_check.hpp"
#include "decision/unknown_customers.hpp"

namespace wingslip::decision {
namespace {

// --- Tuned values --------------------------------------------------------------------------------------
// Guards.
constexpr double kColdMargin = 0.8;  // of a cold worker's told share; above 1 eats into the rule's multiple
constexpr Time kRateTau = 4000;  // ms, memory of the rate of good answers that cold workers are held against
constexpr Time kWarmSmooth = 2000;  // ms over which a warm worker's part of it is learned
constexpr Time kWarmTau =
    60000;  // ms, memory of that while none is warm; shorter: a release starves the rest
// Server choice and health.
constexpr Time kSlowTau = 30000;   // ms, memory of a worker's latency
constexpr double kSlowKeep = 0.8;  // and of its older answers; higher: late to see a slow machine
constexpr double kSlowDoubt = 1;   // answers that its kind's usual latency counts for; 0: one answer decides
constexpr double kSlowMost = 20;   // usual latencies that one answer counts for at most
constexpr double kKindNews =
    0.02;  // weight of an answer in its kind's latency; higher: the kind follows one worker
constexpr double kTie = 0.02;  // of a worker's cost, by chance; 0: gateways alike all take the first listed
constexpr double kShunned =
    10000;                         // cost factor of an ejected or silent worker: only where there is no other
constexpr unsigned kSharers = 20;  // gateways that use a worker as their own; fewer: uneven as their traffic
constexpr unsigned kLeastOwn = 8;  // workers that a gateway uses at least; fewer: one bad one is felt
// Workers that a gateway uses at most, where enough gateways are left to share each of them: its traffic does
// not grow with the list, and each worker used takes a connection. More: connections; fewer: uneven.
constexpr unsigned kMostOwn = 48;
constexpr unsigned kLeastSharers =
    4;                            // gateways left to each worker then; fewer: some worker is seen by none
constexpr double kOutside = 2.5;  // cost factor of one that is not its own
constexpr double kTried = 30;     // of one that has failed this request
constexpr Time kOthersKeep =
    2400;  // ms until a worker without reports counts as the average; longer: old news decides
constexpr Time kOthersSpan = 50;         // ms that a report stands for at least; 0: two at once count as one
constexpr std::size_t kOthersMean = 10;  // reports at least behind the fleet's mean
constexpr double kOthersTau = 600;       // ms, memory of load reports
constexpr double kSilent = 3;  // usual latencies without an answer, two or more out; lower: bad luck ejects
constexpr double kZoneWeight = 15;     // cost factor per unit of cross-zone price; higher: one zone fills up
constexpr unsigned kFailsToEject = 2;  // failures in a row; 1: a single lost packet empties the pool
constexpr Time kEjectFirst = 1000;     // ms of the first ejection; doubles up to kEjectMost
constexpr Time kEjectMost = 8000;
constexpr double kLimitFirst =
    12;  // in-flight a worker starts with, over all gateways; higher: a start overdrives
constexpr double kLimitMost = 200;
constexpr double kLimitLeast = 0.1;   // lower: workers that recover are found too late
constexpr double kLimitCut = 0.85;    // factor when an answer comes late; lower: half-empty workers
constexpr double kLimitUsed = 0.7;    // share of a limit that must be in use for it to grow
constexpr double kAlone = 2;          // times its kind's latency, from which a worker is slow by itself
constexpr Time kLimitHold = 200;      // ms between cuts; one crowd of late answers is one cut
constexpr double kPoolCut = 2;        // the gateway's limit: e-folds a second while answers are late
constexpr double kPoolSpare = 2;      // times the most lately out, the limit that a first late answer leaves
constexpr Time kPeakTau = 4000;       // ms, memory of the most lately out; shorter: one late answer closes
constexpr double kPoolRise = 0.6;     // and early; the two hold late answers near a quarter in overload
constexpr double kLimitLate = 0.5;    // of the aim: an answer this late cuts the limit
constexpr double kLimitEarly = 0.25;  // of the aim: an answer within this lets a used-up limit grow
constexpr Time kFullPause =
    150;  // ms without sends to a worker that answered "full"; doubles up to kFullMost
constexpr Time kFullMost = 2000;
// Attempts.
constexpr unsigned kMostAttempts = 4;  // more than this on one request only adds load
constexpr double kPatience = 5;        // usual latencies before an attempt that may be repeated is given up
constexpr double kPatienceOfAim = 1;   // and at least this share of the aim
constexpr double kBudgetMost = 5;      // early time-outs in a row
constexpr double kBudgetStep = 0.05;   // earned by each good answer; higher: time-outs feed an overload
// Under the host's pressure.
constexpr double kCutStep = 0.1;       // of the worth for what it holds that is let in; lower: follows late
constexpr double kLeastBytes = 16384;  // below it requests hold alike: descriptors and time count, not bytes
constexpr Time kHoldStep = 40;         // ms between looks for a worker for a request that must not be refused
constexpr Time kRetryAfter = 250;      // ms advised when no worker can take the request
constexpr Time kLogEvery = 2000;       // ms between log lines
constexpr Time kSummaryEvery = 5000;   // ms between lines on what was refused and why

struct Worker {
  Endpoint listed;
  unsigned inFlight = 0;
  double others = 0;  // estimate of what the other gateways have out here
  double limit = 1;   // own in-flight allowed
  Time limitAt = 0, fullFor = 0;
  double slowSum = 0, slowCount = 0;  // latencies over the class's usual, fading by answer and by time
  Time slowAt = 0, othersAt = 0, heardAt = 0;
  unsigned fails = 0;
  Time ejectedUntil = 0, ejectFor = 0, fullUntil = 0;
  double coldTokens = 0;
  Time coldAt = 0;
  bool own = true;  // one of those that this gateway uses as a rule
  Time backAt = 0;  // let in again by hand: cold from then on, whatever the list says of its start
};

struct Held {
  Request ask;
  RequestClassPtr klass;
  PlanSettings plan;  // as it was when the request came: changed settings may number plans anew
  unsigned most = 0;  // attempts that the settings grant
  Time arrived = 0;
  unsigned attempts = 0;
  bool out = false;         // an attempt is under way
  bool mayHaveRun = false;  // some attempt may have run
  WorkerId ranAt = 0;       // the first that may have; its group and window bind keyed repeats
  unsigned ranZone = 0, ranCell = 0;
  Time ranSince = 0, sentAt = 0;
  std::vector<WorkerId> tried;
  bool answering = false;  // its client has begun to get the answer
};

bool provesUnrun(AttemptResult result) {
  return result == AttemptResult::overloaded || result == AttemptResult::connectFailed ||
         result == AttemptResult::notSent;
}

// Whether the worker's process had a part in this end: a client that leaves says nothing of it.
bool fromWorker(AttemptResult result) {
  return result == AttemptResult::ok || result == AttemptResult::error ||
         result == AttemptResult::overloaded || result == AttemptResult::reset;
}

}  // namespace

class Gateway::Core {
 public:
  Core(const Settings& settings, std::uint64_t salt, Time now, Actions& actions)
      : set_(checked(settings)),
        classes_(set_.classes, now),
        actions_(actions),
        random_(salt),
        quota_(set_),
        customers_(set_, quota_, random_, now),
        unknownCustomers_(set_, customers_.usualRequestSize()),
        admission_(set_, quota_.fleet(), unknownCustomers_, random_),
        summaryAt_(now) {
    if (set_.pollsEndpoints) actions_.pollEndpoints();
  }

  // --- Events -------------------------------------------------------------------------------------------

  void onRequest(Time now, const Request& ask) {
    if (held_.contains(ask.id)) return;
    if (ask.classIndex >= classes_.size() || ask.planIndex >= set_.plans.size() ||
        !std::isfinite(ask.units) || !std::isfinite(ask.expiresAt)) {
      actions_.reject(ask.id, kRetryAfter);
      return;
    }
    Customer& customer = customers_.obtain(now, ask);
    summarize(now);
    const Time usualLatencyMs = classes_[ask.classIndex]->usualLatencyMs();
    if (const auto rejection = admission_.check(customer, ask, usualLatencyMs, overload_.active)) {
      countRejection(rejections_, rejection->reason);
      return refuse(ask.id, rejection->retryAfterMs);
    }
    if ((overload_.memoryShort && ask.memoryBytes > kLeastBytes) ||
        (overload_.shedFraction > 0 && tooMany(ask))) {
      countRejection(rejections_, RejectionReason::overload);
      return refuse(ask.id, overload_.expectedMs);
    }
    Held held;
    held.ask = ask;
    held.klass = classes_[ask.classIndex];
    held.plan = set_.plans[ask.planIndex];
    held.most = set_.maxAttempts;
    held.arrived = now;
    Worker* worker = pick(now, held);
    admission_.noteWorkerChoice(now, worker != nullptr);
    if (!worker) {
      countRejection(rejections_, RejectionReason::noWorker);
      return refuse(ask.id, kRetryAfter);
    }
    CustomerQuota::debit(customer, ask.units);
    send(now, held_.emplace(ask.id, held).first->second, *worker);
  }

  void onAttemptOutcome(Time now, const AttemptOutcome& end) {
    const auto found = held_.find(end.id);
    const auto worker = find(end.worker);
    const auto sent = out_.find(outKey(end.id, end.attempt));
    if (sent == out_.end()) return;  // repeated or unknown
    const Flight flight = std::move(sent->second);
    out_.erase(sent);
    Customer* customer = customers_.find(flight.customer);
    if (customer) quota_.noteAttemptEnded(*customer, now);
    if (worker) judge(*worker, now, flight, end);
    if (end.result == AttemptResult::ok) budget_ = std::min(kBudgetMost, budget_ + kBudgetStep);
    if (end.result == AttemptResult::timeout) budget_ = std::max(0.0, budget_ - 1);
    if (customer && end.quotaUsePercent >= 0) {
      if (found != held_.end() && unknownCustomers_.outrunsQuota(*customer))
        unknownCustomers_.noteReading(found->second.ask, found->second.plan,
                                      found->second.klass->settings.priorityWeight, end.quotaUsePercent);
      quota_.noteReading(*customer, now, end.quotaUsePercent);
    }
    if (found == held_.end()) return;
    Held& held = found->second;
    held.out = false;
    if (set_.correctsUnits && end.result == AttemptResult::ok && customer && end.actualUnits > 0)
      quota_.creditBack(*customer, now, held.ask.units - end.actualUnits);
    if (end.requestFinished || end.result == AttemptResult::ok) {
      held_.erase(found);
      return;
    }
    if (!provesUnrun(end.result) && !held.mayHaveRun) {
      held.mayHaveRun = true;
      held.ranAt = end.worker;
      held.ranSince = held.sentAt;
      if (worker) held.ranZone = worker->listed.zone, held.ranCell = worker->listed.cell;
    }
    if (end.result == AttemptResult::notSent || now >= held.ask.expiresAt) return giveUp(now, held);
    again(now, held);
  }

  void onRequestComplete(Time now, RequestId id, Time expires) {
    const auto found = held_.find(id);
    if (found == held_.end()) return;
    Held& held = found->second;
    held.ask.expiresAt = expires;
    held.arrived = held.sentAt = now;
    // Until now the worker had nothing to answer.
    if (Worker* worker = held.out ? find(held.tried.back()) : nullptr) worker->heardAt = now;
  }

  void onClientDisconnect(Time, RequestId id) { held_.erase(id); }

  void onResponseStarted(Time, RequestId id) {
    if (const auto found = held_.find(id); found != held_.end()) found->second.answering = true;
  }

  // What is held gives back what memory asks for: customers beyond their quota first, then the least worth
  // for what it holds; one whose answer has begun only where there is no other left.
  void onOverload(Time now, const OverloadSignal& pressure) {
    overload_ = pressure;
    if (!(overload_.excessBytes > 0)) return;
    std::vector<std::tuple<bool, bool, double, RequestId>> order;
    for (const auto& [id, held] : held_) {
      const Customer* customer = customers_.find(held.ask.customer);
      const bool beyond = customer && held.plan.rate > 0 && customer->fleetTokens < 0;
      order.emplace_back(held.answering, !beyond, worthFor(held.ask, held.klass->settings, held.plan), id);
    }
    std::sort(order.begin(), order.end());
    for (const auto& [answering, inside, worth, id] : order) {
      if (overload_.excessBytes <= 0) return;
      Held& held = held_.at(id);
      overload_.excessBytes -= held.ask.memoryBytes;
      held.mayHaveRun = held.mayHaveRun || held.out;
      ++rejections_.overload;
      if (!answering) {
        giveUp(now, held);
        continue;
      }
      held_.erase(id);
      actions_.fail(id);
    }
  }

  void onTimer(Time now, std::uint64_t tag) {
    if (tag == kAskTag) return actions_.pollEndpoints();
    const auto found = held_.find(static_cast<RequestId>(tag));
    if (found == held_.end() || found->second.out) return;
    again(now, found->second);
  }

  void onEndpoints(Time now, EndpointUpdate kind, const std::vector<Endpoint>& list) {
    if (kind == EndpointUpdate::failed) return actions_.setTimer(kRetryAfter, kAskTag);
    if (kind != EndpointUpdate::delta)
      for (Worker& worker : workers_) worker.listed.phase = WorkerPhase::removed;
    for (const Endpoint& entry : list) {
      Worker* worker = find(entry.worker);
      if (!worker) {
        placeOf_[entry.worker] = workers_.size();
        workers_.emplace_back();
        worker = &workers_.back();
        fresh(*worker, now);
      } else if (entry.startedAt != worker->listed.startedAt) {  // restarted: what was learned is void
        const unsigned inFlight = worker->inFlight;
        *worker = Worker{};
        worker->inFlight = inFlight;
        fresh(*worker, now);
      }
      worker->listed = entry;
    }
    if (limit_ <= 0) limit_ = kLimitFirst * static_cast<double>(workers_.size()) / set_.gatewayCount;
    const auto dropped = std::erase_if(
        workers_, [](const Worker& w) { return w.listed.phase == WorkerPhase::removed && w.inFlight == 0; });
    if (dropped > 0) renumberWorkers();
    assign();
  }

  void onSettings(Time now, const Settings& to) {
    checkSettings(to);
    classes_.replace(to.classes, now);
    for (auto& [id, held] : held_) held.most = std::min(held.most, to.maxAttempts);
    customers_.applySettings(now, to);
    set_ = to;
    assign();  // the number of gateways, or this one's, may be another
  }

  // Apart from the list and from health, so that no news of the worker ends it.
  void exclude(Time now, WorkerId id) { barred_.try_emplace(id, now); }

  // The worker may have been restarted in between, and the list may not have told yet.
  void include(Time now, WorkerId id) {
    const auto found = barred_.find(id);
    if (found == barred_.end()) return;
    const Time since = found->second;
    barred_.erase(found);
    Worker* worker = find(id);
    if (!worker) return;
    const Endpoint listed = worker->listed;
    const unsigned inFlight = worker->inFlight;
    *worker = Worker{};
    worker->listed = listed;
    worker->inFlight = inFlight;
    fresh(*worker, now);
    worker->heardAt = now;
    if (listed.startedAt < since) worker->backAt = now;
  }

  WorkerCounts workerCounts(Time now) const {
    WorkerCounts out;
    for (const Worker& w : workers_) {
      if (w.listed.phase == WorkerPhase::removed) continue;
      ++out.listed;
      out.avoided +=
          w.listed.phase != WorkerPhase::ready || barred_.contains(w.listed.worker) || w.ejectedUntil > now;
    }
    return out;
  }

  double warmWorkerRate(Time now) const { return approach(perWarm_, 0, now - warmAt_, kWarmTau); }

  void seedWarmWorkerRate(Time now, double rate) {
    if (!isFiniteNonNegative(rate)) return;
    perWarm_ = rate;
    warmAt_ = now;
  }

  const RejectionCounts& rejectionCounts() const { return rejections_; }
  std::size_t trackedCustomers() const { return customers_.size(); }
  std::size_t requestsInFlight() const { return held_.size(); }

 private:
  static constexpr std::uint64_t kAskTag = ~std::uint64_t{0};

  static const Settings& checked(const Settings& settings) {
    checkSettings(settings);
    return settings;
  }

  struct Flight {  // one attempt under way
    CustomerId customer = 0;
    RequestClassPtr klass;
  };

  static std::uint64_t outKey(RequestId id, unsigned attempt) {
    return std::uint64_t{id} << 16 | (attempt & 0xffff);
  }

  // The cold tokens start at chance, so that gateways alike do not all send at the same moment.
  void fresh(Worker& worker, Time now) {
    worker.slowAt = worker.othersAt = worker.coldAt = now;
    worker.coldTokens = random_.next();
    worker.limit = std::max(1.0, kLimitFirst / set_.gatewayCount);
  }

  // --- 2. Guards ----------------------------------------------------------------------------------------

  // 1 for a warm worker, else the told lower bound of what it can do.
  double warmth(const Worker& w, Time now) const {
    const Time started = std::max(w.listed.startedAt, w.backAt);
    if (started <= 0 || set_.slowStartMs <= 0) return 1;
    const double age = std::clamp((now - started) / set_.slowStartMs, 0.0, 1.0);
    return set_.slowStartShare + (1 - set_.slowStartShare) * age;
  }

  // Keeps this gateway's sends to a cold worker under its share of the good answers that it has of a warm
  // one. Every gateway does so, so all together stay under the cold worker's share of what a warm one can do,
  // also while retries are sent many times over. One that knows no such rate (all cold, just restarted) keeps
  // to its part of what even a worker of one request a span bears. What a warm worker has answered is
  // remembered while a release leaves none warm: it is what the cold ones come back to. Hurts where the told
  // lower bound is far under what the worker can do: it fills more slowly than it could.
  bool coldRoom(Worker& w, Time now) {
    const double warm = warmth(w, now);
    if (warm >= 1) return true;
    if (!w.own) return false;  // the budget is dealt out among those whose own it is
    const double sharers = std::max(1.0, static_cast<double>(set_.gatewayCount) / subsets_);
    const double least = set_.overloadMultiple / std::max(set_.overloadWindowMs, 1.0) / sharers;
    const double known = std::max(
        approach(warmRate_, 0, now - warmAt_, kRateTau) / std::max(1u, warmWorkers_), warmWorkerRate(now));
    w.coldTokens =
        std::min(1.0, w.coldTokens + kColdMargin * warm * std::max(known, least) * (now - w.coldAt));
    w.coldAt = now;
    return w.coldTokens >= 1;
  }

  void noteGood(const Worker& w, Time now) {
    if (warmth(w, now) < 1) return;
    const Time since = now - warmAt_;
    warmRate_ = approach(warmRate_, 0, since, kRateTau) + 1 / kRateTau;
    warmAt_ = now;
    warmWorkers_ = 0;
    for (const Worker& other : workers_)
      warmWorkers_ += other.own && other.listed.phase == WorkerPhase::ready && warmth(other, now) >= 1 &&
                      other.ejectedUntil <= now;
    perWarm_ = approach(perWarm_, warmRate_ / std::max(1u, warmWorkers_), since, kWarmSmooth);
  }

  // --- 3. Server choice and health ----------------------------------------------------------------------

  // Which workers are this gateway's own: deterministic subsetting. Each round of as many gateways as there
  // are subsets deals out all workers once, in an order of its own by hash, so that every worker has as many
  // gateways as any other, and a change of the list moves few. With few requests a gateway then learns soon
  // of the workers that it uses, and opens few connections. Where gateways are few, all workers are its own.
  void assign() {
    std::vector<std::pair<std::uint64_t, Worker*>> order;
    for (Worker& w : workers_)
      if (w.listed.phase != WorkerPhase::removed)
        order.emplace_back(0, &w);  // one that drains keeps its place
    const std::size_t n = order.size();
    subsets_ = subsetsOf(static_cast<unsigned>(n));
    for (auto& [hash, w] : order) w->own = subsets_ == 1;
    if (subsets_ == 1) return;
    const std::uint64_t round = set_.gatewayIndex / subsets_;
    for (auto& [hash, w] : order) hash = mixBits(w->listed.worker ^ mixBits(round));
    const auto before = [](const auto& a, const auto& b) {
      return a.first != b.first ? a.first < b.first : a.second->listed.worker < b.second->listed.worker;
    };
    // Of the sorted order only which workers are in this gateway's part matters: selection, not a sort.
    const std::size_t part = set_.gatewayIndex % subsets_;
    const auto first = order.begin() + static_cast<std::ptrdiff_t>(partStart(part, n));
    const auto last = order.begin() + static_cast<std::ptrdiff_t>(partStart(part + 1, n));
    std::nth_element(order.begin(), first, order.end(), before);
    std::nth_element(first, last, order.end(), before);
    for (auto it = first; it != last; ++it) it->second->own = true;
  }

  // Into how many parts the workers are dealt out: as many as leave each worker its sharers and each gateway
  // its least; more than that where a part would be larger than a gateway's most.
  unsigned subsetsOf(unsigned count) const {
    const unsigned usual = std::min(set_.gatewayCount / kSharers, count / kLeastOwn);
    const unsigned needed = (count + kMostOwn - 1) / kMostOwn;
    return std::max({1u, usual, std::min(set_.gatewayCount / kLeastSharers, needed)});
  }

  // The lowest i with i * subsets_ / n == part.
  std::size_t partStart(std::size_t part, std::size_t n) const {
    return (part * n + subsets_ - 1) / subsets_;
  }

  Worker* find(WorkerId id) {
    const auto found = placeOf_.find(id);
    return found == placeOf_.end() ? nullptr : &workers_[found->second];
  }

  void renumberWorkers() {
    placeOf_.clear();
    for (std::size_t i = 0; i < workers_.size(); ++i) placeOf_[workers_[i].listed.worker] = i;
  }

  double load(const Worker& w, Time now) const {
    return w.inFlight + approach(w.others, meanOthers_, now - w.othersAt, kOthersKeep);
  }

  // Attempts out and no answer for several usual latencies: cut off, paused or dead, whatever the list says.
  // Seen long before the time-outs; may hurt where a single attempt is very long, so it takes two.
  bool silent(const Worker& w, Time now) {
    if (w.inFlight < 2) return false;
    return now - w.heardAt > kSilent * classes_.longestLatencyMs();
  }

  // Left alone as long as there is any other.
  bool shunned(const Worker& w, Time now) {
    return w.ejectedUntil > now || (w.ejectFor > 0 && w.inFlight > 0) || silent(w, now);
  }

  // One limit for all that this gateway has out; a fraction of one is kept by chance.
  bool room() { return inFlight_ + random_.next() < limit_; }

  // Slow beside its kind: its late answers tell of itself, not of what the workers bear together.
  bool slowAlone(const Worker& w) const {
    const auto kind = kinds_.find(w.listed.machineType);
    return kind != kinds_.end() && slow(w) > kAlone * kind->second;
  }

  // How slow a worker is, as far as its few answers tell against those of all workers of its kind.
  double slow(const Worker& w) const {
    const auto kind = kinds_.find(w.listed.machineType);
    const double usual = kind == kinds_.end() ? 1 : kind->second;
    return (kSlowDoubt * usual + w.slowSum) / (kSlowDoubt + w.slowCount);
  }

  void noteSlow(Worker& w, Time now, double ratio) {
    const double keep = kSlowKeep * std::exp(-(now - w.slowAt) / kSlowTau);
    w.slowSum = keep * w.slowSum + ratio;
    w.slowCount = keep * w.slowCount + 1;
    w.slowAt = now;
    double& kind = kinds_.try_emplace(w.listed.machineType, 1).first->second;
    kind += kKindNews * (ratio - kind);
  }

  bool inGroup(const Held& held, const Worker& w) const {
    const ClassSettings& klass = held.klass->settings;
    if (!held.mayHaveRun || klass.idempotency == Idempotency::idempotent ||
        klass.deduplicationScope == DeduplicationScope::all)
      return true;
    return klass.deduplicationScope == DeduplicationScope::zone ? w.listed.zone == held.ranZone
                                                                : w.listed.cell == held.ranCell;
  }

  // The least loaded ready worker, weighted by how slow it has been. Ejected
  // ones serve where no other is.
  Worker* pick(Time now, const Held& held) {
    if (!held.mayHaveRun && !room()) {
      ++rejections_.concurrencyLimit;
      return nullptr;
    }
    Worker* best = nullptr;
    double least = 0;
    for (Worker& w : workers_) {
      if (w.listed.phase != WorkerPhase::ready || barred_.contains(w.listed.worker)) continue;
      if (!inGroup(held, w) || !coldRoom(w, now)) continue;
      if (w.fullUntil > now || (!held.mayHaveRun && w.inFlight + 1 > w.limit)) continue;
      double cost = slow(w) * (load(w, now) + 1) * warmth(w, now);
      if (w.listed.zone != set_.zone) cost *= 1 + kZoneWeight * set_.crossZonePrice;
      if (!w.own) cost *= kOutside;
      cost *= 1 + kTie * random_.next();
      if (shunned(w, now)) cost *= kShunned;
      if (std::find(held.tried.begin(), held.tried.end(), w.listed.worker) != held.tried.end())
        cost *= kTried;
      if (!best || cost < least) best = &w, least = cost;
    }
    return best;
  }

  void judge(Worker& w, Time now, const Flight& flight, const AttemptOutcome& end) {
    if (w.inFlight > 0) --w.inFlight;
    if (inFlight_ > 0) --inFlight_;
    if (fromWorker(end.result)) w.heardAt = now;
    if (!end.loadReport.empty()) noteReport(w, now, end.loadReport);
    const AttemptResult result = end.result;
    RequestClass& klass = *flight.klass;
    steerLimits(w, now, klass.settings.latencyObjectiveMs, end);
    if (result == AttemptResult::overloaded) {
      w.fullFor = std::clamp(2 * w.fullFor, kFullPause, kFullMost);
      w.fullUntil = now + w.fullFor;
      return;
    }
    if (result == AttemptResult::cancelled || result == AttemptResult::notSent) return;
    if (result == AttemptResult::ok || result == AttemptResult::error || result == AttemptResult::timeout) {
      if (result == AttemptResult::ok) {
        classes_.noteLatency(klass, now, end.latencyMs);
      }
      const double ratio = std::min(kSlowMost, end.latencyMs / klass.usualLatencyMs());
      if (result != AttemptResult::error && (result == AttemptResult::ok || ratio > slow(w)))
        noteSlow(w, now, ratio);
    }
    if (result == AttemptResult::ok) {
      noteGood(w, now);
      w.fails = 0;
      w.fullFor = 0;
      w.ejectFor = 0;
      w.ejectedUntil = 0;
    } else if (++w.fails >= kFailsToEject) {
      w.ejectFor = std::clamp(2 * w.ejectFor, kEjectFirst, kEjectMost);
      w.ejectedUntil = now + w.ejectFor;
      log(now, "worker ejected: attempts in a row failed");
    }
  }

  // Two in-flight limits, raised and cut by how an answer's time stands to the class's aim; they keep the
  // queues at the workers short enough that what is sent is still worth answering, whatever made them long.
  // The worker's own holds where a gateway has several attempts at a worker; that of the whole gateway goes
  // as far below one for each worker as it must where gateways outnumber what the workers hold. It moves by
  // time, not by answer, so that many answers a second say no more than a few. Late answers of a worker that
  // is slow by itself or still cold tell of that worker: they leave it as it is.
  void steerLimits(Worker& w, Time now, Time aim, const AttemptOutcome& end) {
    const bool late = end.result == AttemptResult::overloaded || end.latencyMs > kLimitLate * aim;
    const bool early = end.result == AttemptResult::ok && end.latencyMs < kLimitEarly * aim;
    if (late && now - w.limitAt >= kLimitHold) {
      w.limit = std::max(1.0, kLimitCut * std::min(w.limit, w.inFlight + 1.0));
      w.limitAt = now;
    } else if (early && w.inFlight + 1 >= kLimitUsed * w.limit) {
      w.limit = std::min(kLimitMost, w.limit + 1 / w.limit);
    }
    const double span = std::min(now - limitAt_, kLimitHold) / 1000;
    limitAt_ = now;
    notePeak(now);
    if (late && (slowAlone(w) || warmth(w, now) < 1)) return;
    if (late)
      limit_ = std::max(kLimitLeast, std::min(limit_, kPoolSpare * (peak_ + 1)) * std::exp(-kPoolCut * span));
    else if (early && inFlight_ + 1 >= kLimitUsed * limit_)
      limit_ *= std::exp(kPoolRise * span);
  }

  // The most attempts lately out: what was out at one moment says little where a request takes less time than
  // lies between two, and a limit drawn from it would refuse the next burst to idle workers.
  void notePeak(Time now) {
    peak_ = std::max<double>(inFlight_, approach(peak_, 0, now - peakAt_, kPeakTau));
    peakAt_ = now;
  }

  void noteReport(Worker& w, Time now, const std::vector<double>& report) {
    const std::size_t n = std::min(report.size(), set_.loadReportFields.size());
    for (std::size_t i = 0; i < n; ++i) {
      double sample = -1;
      if (set_.loadReportFields[i] == "inflight") sample = report[i] - w.inFlight - 1;
      if (set_.loadReportFields[i] == "queue")
        sample = report[i] * (set_.gatewayCount - 1) / set_.gatewayCount;
      if (sample < 0 && set_.loadReportFields[i] != "inflight") continue;
      sample = std::max(0.0, sample);
      w.others = approach(w.others, sample, now - w.othersAt + kOthersSpan, kOthersTau);
      w.othersAt = now;
      meanOthers_ = approach(meanOthers_, sample, 1,
                             static_cast<double>(std::max<std::size_t>(kOthersMean, workers_.size())));
    }
  }

  // --- 4. Attempts and final answers --------------------------------------------------------------------

  void send(Time now, Held& held, Worker& worker) {
    const ClassSettings& klass = held.klass->settings;
    const Time left = held.ask.expiresAt - now;
    Time timeout = 0;
    const bool last = held.attempts + 1 >= std::min(held.most, kMostAttempts);
    if (klass.idempotency != Idempotency::notIdempotent && !last && budget_ >= 1) {
      timeout = std::max(kPatience * held.klass->usualLatencyMs(), kPatienceOfAim * klass.latencyObjectiveMs);
      if (timeout >= left) timeout = 0;
    }
    held.sentAt = now;
    held.out = true;
    held.tried.push_back(worker.listed.worker);
    out_[outKey(held.ask.id, held.attempts)] = Flight{held.ask.customer, held.klass};
    ++held.attempts;
    ++inFlight_;
    notePeak(now);
    if (++worker.inFlight == 1) worker.heardAt = now;
    worker.coldTokens -= 1;
    if (Customer* customer = customers_.find(held.ask.customer)) quota_.noteAttemptStarted(*customer, now);
    actions_.startAttempt(held.ask.id, worker.listed.worker, timeout);
  }

  // Another attempt where the class and the time allow one, else the final answer.
  void again(Time now, Held& held) {
    const ClassSettings& klass = held.klass->settings;
    const bool bound = held.mayHaveRun && klass.idempotency != Idempotency::idempotent;
    if (held.attempts >= std::min(held.most, kMostAttempts) || now >= held.ask.expiresAt ||
        (bound && klass.idempotency == Idempotency::notIdempotent) ||
        (bound && now > held.ranSince + klass.idempotencyWindowMs) || (held.mayHaveRun && budget_ < 1) ||
        (klass.lateAnswerValue <= 0 && now > held.arrived + klass.latencyObjectiveMs))
      return giveUp(now, held);
    Worker* worker = pick(now, held);
    if (worker) return send(now, held, *worker);
    if (!held.mayHaveRun || now + kHoldStep >= held.ask.expiresAt) return giveUp(now, held);
    actions_.setTimer(kHoldStep, held.ask.id);
  }

  // A refusal says that trying again is harmless; where that is not known the answer is a failure.
  void giveUp(Time, Held& held) {
    const ClassSettings& klass = held.klass->settings;
    const RequestId id = held.ask.id;
    const bool harmless =
        !held.mayHaveRun || klass.idempotency == Idempotency::idempotent ||
        (klass.idempotency == Idempotency::withKey && klass.deduplicationScope == DeduplicationScope::all);
    held_.erase(id);
    if (harmless)
      refuse(id, kRetryAfter);
    else
      actions_.fail(id);
  }

  // Under pressure nobody is asked back before it is likely to be over, and nobody at the same moment.
  void refuse(RequestId id, Time wait) {
    if (overload_.active) wait = std::max(wait, overload_.expectedMs);
    const Time most = set_.maxRetryAfterMs > 0 ? set_.maxRetryAfterMs : wait;
    wait = std::clamp(wait, 1.0, std::max(1.0, most));
    actions_.reject(id, overload_.active ? wait * (1 - random_.next() / 2) : wait);
  }

  static double worthFor(const Request& ask, const ClassSettings& klass, const PlanSettings& plan) {
    return klass.priorityWeight * plan.price * ask.units / std::max(ask.memoryBytes, kLeastBytes);
  }

  // Whether a new request is among the share that has to go: the mark moves until that share is under it.
  bool tooMany(const Request& ask) {
    const double worth = worthFor(ask, classes_[ask.classIndex]->settings, set_.plans[ask.planIndex]) *
                         (1 + kTie * random_.next());
    if (cut_ <= 0) cut_ = worth;
    const bool under = worth < cut_;
    cut_ *= std::exp(kCutStep * (overload_.shedFraction - under));
    return under;
  }

  void log(Time now, const char* line) {
    if (now - loggedAt_ < kLogEvery) return;
    loggedAt_ = now;
    actions_.log(line);
  }

  // What was refused since the last line and on which belief, so that a log tells the causes apart.
  void summarize(Time now) {
    if (now - summaryAt_ < kSummaryEvery) return;
    summaryAt_ = now;
    unsigned ready = 0, ejected = 0, cold = 0, full = 0;
    for (const Worker& w : workers_) {
      if (w.listed.phase != WorkerPhase::ready) continue;
      ++ready, ejected += w.ejectedUntil > now, cold += warmth(w, now)<1, full += w.fullUntil> now;
    }
    const auto since = [](std::uint64_t count, std::uint64_t before) {
      return static_cast<unsigned>(count - before);
    };
    const RejectionCounts& then = summarized_;
    char line[280];
    std::snprintf(line, sizeof line,
                  "refused: bucket %u store %u unknown %u (reach %.2f) worker %u (gateway's limit %u) "
                  "pressed %u; limit %.1f out %u "
                  "pressed %.2f; "
                  "workers ready %u ejected %u cold %u full %u",
                  since(rejections_.localQuota, then.localQuota),
                  since(rejections_.fleetQuota, then.fleetQuota),
                  since(rejections_.unknownCustomer, then.unknownCustomer), unknownCustomers_.reach(),
                  since(rejections_.noWorker, then.noWorker),
                  since(rejections_.concurrencyLimit, then.concurrencyLimit),
                  since(rejections_.overload, then.overload), limit_, inFlight_, admission_.workerShortage(),
                  ready, ejected, cold, full);
    summarized_ = rejections_;
    actions_.log(line);
  }

  Settings set_;
  RequestClasses classes_;
  Actions& actions_;
  Random random_;
  CustomerQuota quota_;
  CustomerRegistry customers_;
  UnknownCustomers unknownCustomers_;
  Admission admission_;
  std::map<unsigned, double> kinds_;  // latency over the class's usual of each kind of worker
  double meanOthers_ = 0;             // of load reports: what the others have out at a worker
  std::vector<Worker> workers_;       // in the order of their listing
  std::unordered_map<WorkerId, std::size_t> placeOf_;  // of each in workers_
  std::unordered_map<WorkerId, Time> barred_;          // put out by hand, and since when
  std::unordered_map<RequestId, Held> held_;
  std::unordered_map<std::uint64_t, Flight> out_;
  unsigned inFlight_ = 0;  // attempts out, at all workers
  double limit_ = 0;       // and how many may be
  Time limitAt_ = 0;
  double peak_ = 0;  // the most lately out
  Time peakAt_ = 0;
  unsigned subsets_ = 1;         // into which all workers are dealt out
  double budget_ = kBudgetMost;  // early time-outs and repeats after them that are left
  double warmRate_ = 0;          // good answers of warm workers a ms
  Time warmAt_ = 0;
  unsigned warmWorkers_ = 0;
  double perWarm_ = 0;  // a warm worker's part of that rate
  OverloadSignal overload_;
  double cut_ = 0;  // worth for what it holds under which a new request is too many
  Time loggedAt_ = -kLogEvery;
  RejectionCounts rejections_, summarized_;  // since the start; and as they were at the last line
  Time summaryAt_ = 0;
};

Gateway::Gateway(const Settings& settings, std::uint64_t salt, Time now, Actions& actions)
    : core_(std::make_unique<Core>(settings, salt, now, actions)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;
void Gateway::onEndpoints(Time now, EndpointUpdate kind, const std::vector<Endpoint>& list) {
  core_->onEndpoints(now, kind, list);
}
void Gateway::onRequest(Time now, const Request& request) { core_->onRequest(now, request); }
void Gateway::onAttemptOutcome(Time now, const AttemptOutcome& outcome) {
  core_->onAttemptOutcome(now, outcome);
}
void Gateway::onRequestComplete(Time now, RequestId id, Time expires) {
  core_->onRequestComplete(now, id, expires);
}
void Gateway::onClientDisconnect(Time now, RequestId id) { core_->onClientDisconnect(now, id); }
void Gateway::onResponseStarted(Time now, RequestId id) { core_->onResponseStarted(now, id); }
void Gateway::onOverload(Time now, const OverloadSignal& pressure) { core_->onOverload(now, pressure); }
void Gateway::onTimer(Time now, std::uint64_t tag) { core_->onTimer(now, tag); }
void Gateway::exclude(Time now, WorkerId worker) { core_->exclude(now, worker); }
void Gateway::include(Time now, WorkerId worker) { core_->include(now, worker); }
void Gateway::onSettings(Time now, const Settings& settings) { core_->onSettings(now, settings); }
double Gateway::warmWorkerRate(Time now) const { return core_->warmWorkerRate(now); }
void Gateway::seedWarmWorkerRate(Time now, double rate) { core_->seedWarmWorkerRate(now, rate); }
WorkerCounts Gateway::workerCounts(Time now) const { return core_->workerCounts(now); }
RejectionCounts Gateway::rejectionCounts() const { return core_->rejectionCounts(); }
std::size_t Gateway::trackedCustomers() const { return core_->trackedCustomers(); }
std::size_t Gateway::requestsInFlight() const { return core_->requestsInFlight(); }

}  // namespace wingslip::decision
