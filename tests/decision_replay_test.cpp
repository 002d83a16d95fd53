// Replays seeded event sequences against the decision module and compares a digest of all actions with the
// recorded one, to detect refactorings that change a decision unintentionally.
//
// decision_replay_digests.txt has one line per sequence: seed, number of events, XXH3-64 digest. With
// WINGSLIP_REPLAY=record the digests are printed in the file's format instead of being compared.
#include <gtest/gtest.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision::test {
namespace {

constexpr std::uint64_t kSeeds = 40;
constexpr unsigned kShortEvents = 4000;
constexpr unsigned kLongEvents = 40000;

/// Generator of the event sequences: splitmix64, so that they are the same with every standard library.
class Generator {
 public:
  explicit Generator(std::uint64_t seed) : state_(seed * 0x9e3779b97f4a7c15ULL + 1) {}
  std::uint64_t bits() {
    std::uint64_t value = state_ += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
  }
  double uniform() { return static_cast<double>(bits() >> 11) * 0x1.0p-53; }
  double between(double low, double high) { return low + (high - low) * uniform(); }
  unsigned below(unsigned bound) { return static_cast<unsigned>(bits() % bound); }
  bool chance(double probability) { return uniform() < probability; }
  double exponential(double mean) { return -mean * std::log(1 - uniform()); }

 private:
  std::uint64_t state_;
};

/// Settings with rate quotas, quota readings in most sequences, and request classes of each idempotency and
/// deduplication scope.
Settings quotaSettings(Generator& random) {
  Settings out;
  out.gatewayCount = 1 + random.below(random.chance(0.5) ? 4 : 120);
  out.gatewayIndex = random.below(out.gatewayCount);
  out.zone = random.below(3);
  out.maxAttempts = 2 + random.below(4);
  out.maxRetryAfterMs = 2000;
  out.quotaReadingPeriodMs = random.chance(0.8) ? 1000 : 0;
  out.correctsUnits = random.chance(0.5);
  out.maxUnits = 8;
  out.drainGraceMs = 1000;
  out.slowStartInitialShare = random.between(0.05, 0.4);
  out.slowStartMs = random.chance(0.9) ? random.between(2000, 15000) : 0;
  out.overloadMultiple = 2;
  out.overloadWindowMs = 1000;
  out.crossZonePrice = random.between(0, 0.3);
  out.loadReportFields = {"inflight", "queue", "cpu"};
  const std::array<Idempotency, 3> idempotencies{Idempotency::idempotent, Idempotency::withKey,
                                                 Idempotency::notIdempotent};
  const std::array<DeduplicationScope, 3> scopes{DeduplicationScope::zone, DeduplicationScope::cell,
                                                 DeduplicationScope::all};
  for (unsigned i = 0; i < 4; ++i) {
    ClassSettings item;
    item.name = "class-" + std::to_string(i);
    item.latencyObjectiveMs = random.between(150, 900);
    item.deadlineMs = item.latencyObjectiveMs * random.between(1.5, 4);
    item.idempotency = idempotencies[i % idempotencies.size()];
    item.deduplicationScope = scopes[random.below(3)];
    item.idempotencyWindowMs = random.between(500, 3000);
    item.priorityWeight = random.between(0.5, 4);
    item.lateAnswerValue = random.chance(0.7) ? random.between(0, 0.6) : 0;
    out.classes.push_back(item);
  }
  for (unsigned i = 0; i < 4; ++i) {
    PlanSettings item;
    item.name = "plan-" + std::to_string(i);
    item.rate = random.between(2, 40);
    item.burst = item.rate * random.between(1, 6);
    item.price = random.between(0.5, 2);
    item.overQuotaValue = random.between(0, 0.4);
    item.overQuotaCost = random.between(0, 1.5);
    out.plans.push_back(item);
  }
  return out;
}

/// Settings with hard ceilings, concurrency caps and, in half of the sequences, a polled endpoint list.
Settings ceilingSettings(Generator& random) {
  Settings out = quotaSettings(random);
  out.pollsEndpoints = random.chance(0.5);
  out.pollTimeoutMs = 500;
  out.plans[0].ceilingRate = out.plans[0].rate * 2;
  out.plans[0].ceilingBurst = out.plans[0].burst * 2;
  out.plans[0].ceilingSlack = 0.1;
  out.plans[1].rate = 0;
  out.plans[1].maxConcurrent = 2 + random.below(12);
  out.plans[2].maxConcurrent = 4 + random.below(12);
  out.plans[3].ceilingRate = 5;
  out.plans[3].ceilingBurst = 20;
  return out;
}

/// Feeds random events to one gateway and hashes every action that it requests.
class Replay : private Actions {
 public:
  Replay(std::uint64_t seed, unsigned events)
      : random_(seed),
        settings_(seed % 2 == 0 ? quotaSettings(random_) : ceilingSettings(random_)),
        customerCount_(random_.chance(0.2) ? 20000 : 60),
        gateway_(settings_, seed, now_, *this) {
    XXH3_64bits_reset(&hash_);
    startWorkers();
    for (unsigned i = 0; i < events; ++i) step();
    hashFinalState();
  }

  std::uint64_t digest() const { return XXH3_64bits_digest(&hash_); }

 private:
  struct Attempt {
    RequestId request = 0;
    unsigned number = 0;
    WorkerId worker = 0;
    Time startedAt = 0;
    Time timeout = 0;
  };

  template <class Value>
  void hash(const Value& value) {
    XXH3_64bits_update(&hash_, &value, sizeof value);
  }

  void startAttempt(RequestId id, WorkerId worker, Time timeout) override {
    hash('s'), hash(id), hash(worker), hash(timeout);
    attemptsInFlight_.push_back({id, attemptCounts_[id]++, worker, now_, timeout});
  }
  void reject(RequestId id, Time retryAfter) override { hash('r'), hash(id), hash(retryAfter); }
  void fail(RequestId id) override { hash('f'), hash(id); }
  void setTimer(Time wait, std::uint64_t tag) override {
    hash('t'), hash(wait), hash(tag);
    timers_.emplace(now_ + wait, tag);
  }
  void pollEndpoints() override { hash('w'); }
  void log(const std::string&) override { hash('l'); }

  void startWorkers() {
    const unsigned count = 1 + random_.below(random_.chance(0.3) ? 4 : 60);
    for (unsigned i = 0; i < count; ++i) addWorker(random_.chance(0.2) ? now_ : 0);
    gateway_.onEndpoints(now_, EndpointUpdate::snapshot, workers_);
  }

  void addWorker(Time started) {
    Endpoint item;
    item.worker = ++lastWorker_ * 0x9e3779b97f4a7c15ULL;
    item.zone = random_.below(3);
    item.machineType = random_.below(3);
    item.cell = random_.below(6);
    item.startedAt = started;
    workers_.push_back(item);
  }

  void step() {
    // Idle periods between bursts, so that the sequences cover the decay of all averages over time.
    now_ += random_.exponential(random_.chance(0.001) ? 20000 : 3);
    while (!timers_.empty() && timers_.begin()->first <= now_) {
      const std::uint64_t tag = timers_.begin()->second;
      timers_.erase(timers_.begin());
      gateway_.onTimer(now_, tag);
    }
    const double kind = random_.uniform();
    if (kind < 0.45)
      sendRequest();
    else if (kind < 0.93)
      endAttempt();
    else if (kind < 0.95)
      reportRequestEvent();
    else if (kind < 0.985)
      changeWorkers();
    else if (kind < 0.99)
      changeExclusions();
    else if (kind < 0.997)
      changeOverload();
    else if (kind < 0.998)
      changeSettings();
    else
      hashState();
  }

  void sendRequest() {
    Request request;
    request.id = ++lastRequest_;
    request.classIndex = random_.below(static_cast<unsigned>(settings_.classes.size()));
    request.customer = 1 + random_.below(random_.chance(0.5) ? 5 : customerCount_);
    request.planIndex = static_cast<unsigned>(request.customer % settings_.plans.size());
    if (random_.chance(0.002))
      request.planIndex = random_.below(static_cast<unsigned>(settings_.plans.size() + 1));
    request.expiresAt = now_ + settings_.classes[request.classIndex].deadlineMs * random_.between(0.3, 1.1);
    request.units = random_.chance(0.6) ? 1 : random_.between(0, settings_.maxUnits);
    request.customerGatewayCount = 1 + random_.below(settings_.gatewayCount);
    request.memoryBytes = random_.chance(0.9) ? 2000 : random_.between(0, 4e6);
    gateway_.onRequest(now_, request);
  }

  /// Nearly all attempts at some workers fail, so that values that grow with consecutive failures reach their
  /// limits.
  static bool isFaulty(WorkerId worker) { return worker % 11 == 0; }

  void endAttempt() {
    // In the first 4 s of every 30 s half of the outcomes are delayed, so that many attempts are in flight.
    if (attemptsInFlight_.empty() || (random_.chance(0.5) && std::fmod(now_, 30000) < 4000)) return;
    const std::size_t index =
        random_.chance(0.7) ? 0 : random_.below(static_cast<unsigned>(attemptsInFlight_.size()));
    const Attempt attempt = attemptsInFlight_[index];
    attemptsInFlight_.erase(attemptsInFlight_.begin() + static_cast<std::ptrdiff_t>(index));
    constexpr std::array<AttemptResult, 7> failures{
        AttemptResult::error, AttemptResult::overloaded, AttemptResult::timeout, AttemptResult::connectFailed,
        AttemptResult::reset, AttemptResult::cancelled,  AttemptResult::notSent};
    AttemptOutcome outcome;
    outcome.id = attempt.request;
    outcome.attempt = attempt.number;
    outcome.worker = attempt.worker;
    outcome.result = random_.chance(isFaulty(attempt.worker) ? 0.05 : 0.9)
                         ? AttemptResult::ok
                         : failures[random_.below(failures.size())];
    outcome.latencyMs = random_.chance(0.1) ? now_ - attempt.startedAt : random_.exponential(120);
    if (outcome.result == AttemptResult::ok)
      outcome.actualUnits = random_.chance(0.5) ? random_.between(0, 6) : 0;
    if (random_.chance(0.6)) outcome.quotaUsePercent = static_cast<int>(random_.below(220));
    outcome.requestFinished = random_.chance(0.02);
    if (random_.chance(0.5))
      outcome.loadReport = {random_.between(0, 20), random_.between(0, 20), random_.uniform()};
    gateway_.onAttemptOutcome(now_, outcome);
    if (random_.chance(0.01)) gateway_.onAttemptOutcome(now_, outcome);
  }

  void reportRequestEvent() {
    const RequestId id = lastRequest_ > 30 ? lastRequest_ - random_.below(30) : lastRequest_;
    const unsigned kind = random_.below(3);
    if (kind == 0) gateway_.onClientDisconnect(now_, id);
    if (kind == 1) gateway_.onResponseStarted(now_, id);
    if (kind == 2) gateway_.onRequestComplete(now_, id, now_ + random_.between(50, 2000));
  }

  void changeWorkers() {
    const unsigned kind = random_.below(8);
    if (kind == 0) return gateway_.onEndpoints(now_, EndpointUpdate::failed, {});
    if (kind == 1) return gateway_.onEndpoints(now_, EndpointUpdate::snapshot, workers_);
    if (kind == 2) return gateway_.onEndpoints(now_, EndpointUpdate::cached, workers_);
    if (workers_.empty() || (kind == 3 && workers_.size() < 80)) {
      addWorker(now_);
      return gateway_.onEndpoints(now_, EndpointUpdate::delta, {workers_.back()});
    }
    const unsigned index = random_.below(static_cast<unsigned>(workers_.size()));
    Endpoint& worker = workers_[index];
    if (kind == 4) worker.startedAt = now_;
    if (kind >= 5) worker.phase = random_.chance(0.3) ? WorkerPhase::draining : WorkerPhase::ready;
    if (kind == 7 && workers_.size() > 3 && random_.chance(0.4)) worker.phase = WorkerPhase::removed;
    gateway_.onEndpoints(now_, EndpointUpdate::delta, {worker});
    if (worker.phase == WorkerPhase::removed) workers_.erase(workers_.begin() + index);
  }

  void changeExclusions() {
    if (workers_.empty()) return;
    const WorkerId worker = workers_[random_.below(static_cast<unsigned>(workers_.size()))].worker;
    if (random_.chance(0.4))
      gateway_.exclude(now_, worker);
    else
      gateway_.include(now_, worker);
  }

  void changeOverload() {
    OverloadSignal signal;
    signal.active = random_.chance(0.3);
    if (signal.active) {
      signal.isMemoryOverloaded = random_.chance(0.5);
      signal.shedFraction = random_.chance(0.5) ? random_.uniform() : 0;
      signal.excessBytes = random_.chance(0.3) ? random_.between(0, 1e6) : 0;
      signal.expectedDurationMs = random_.between(0, 3000);
    }
    gateway_.onOverload(now_, signal);
  }

  void changeSettings() {
    Settings next = settings_;
    next.maxAttempts = 1 + random_.below(5);
    for (ClassSettings& item : next.classes) item.latencyObjectiveMs *= random_.between(0.9, 1.1);
    for (PlanSettings& item : next.plans) item.rate *= random_.between(0.8, 1.2);
    if (random_.chance(0.3)) std::swap(next.plans.front(), next.plans.back());
    if (random_.chance(0.3)) std::swap(next.classes.front(), next.classes.back());
    if (random_.chance(0.2)) next.plans.back().name += "'";
    if (random_.chance(0.2)) next.gatewayCount = next.gatewayIndex + 1 + random_.below(120);
    if (random_.chance(0.1)) next.quotaReadingPeriodMs = next.quotaReadingPeriodMs > 0 ? 0 : 1000;
    settings_ = next;
    gateway_.onSettings(now_, next);
  }

  void hashState() {
    const WorkerCounts counts = gateway_.workerCounts(now_);
    hash(static_cast<std::uint64_t>(counts.listed)), hash(static_cast<std::uint64_t>(counts.unavailable));
    hash(gateway_.warmWorkerRate(now_));
    if (random_.chance(0.1)) gateway_.seedWarmWorkerRate(now_, random_.between(0, 0.2));
  }

  void hashFinalState() {
    hashState();
    const RejectionCounts counts = gateway_.rejectionCounts();
    hash(counts.localQuota), hash(counts.fleetQuota), hash(counts.unknownCustomer);
    hash(counts.noWorker), hash(counts.concurrencyLimit), hash(counts.overload);
    hash(static_cast<std::uint64_t>(gateway_.trackedCustomers()));
    hash(static_cast<std::uint64_t>(gateway_.requestsInFlight()));
  }

  Generator random_;
  Time now_ = 0;
  Settings settings_;
  unsigned customerCount_;
  XXH3_state_t hash_{};
  std::vector<Endpoint> workers_;
  std::vector<Attempt> attemptsInFlight_;
  std::map<RequestId, unsigned> attemptCounts_;
  std::multimap<Time, std::uint64_t> timers_;
  RequestId lastRequest_ = 0;
  WorkerId lastWorker_ = 0;
  Gateway gateway_;
};

bool isRecording() {
  const char* mode = std::getenv("WINGSLIP_REPLAY");
  return mode && std::strcmp(mode, "record") == 0;
}

/// The recorded digest of each sequence, by seed and number of events.
std::map<std::pair<std::uint64_t, unsigned>, std::uint64_t> recordedDigests() {
  std::map<std::pair<std::uint64_t, unsigned>, std::uint64_t> out;
  std::ifstream file(DECISION_REPLAY_DIGESTS);
  std::uint64_t seed = 0, digest = 0;
  unsigned events = 0;
  while (file >> std::dec >> seed >> events >> std::hex >> digest) out[{seed, events}] = digest;
  return out;
}

void replayAll(unsigned events) {
  const auto recorded = recordedDigests();
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::uint64_t digest = Replay(seed, events).digest();
    if (isRecording()) {
      std::printf("%llu %u %016llx\n", static_cast<unsigned long long>(seed), events,
                  static_cast<unsigned long long>(digest));
      continue;
    }
    ASSERT_TRUE(recorded.contains({seed, events})) << "no recorded digest for seed " << seed;
    EXPECT_EQ(digest, recorded.at({seed, events})) << "seed " << seed << ", " << events << " events";
  }
}

TEST(DecisionReplay, ShortSequencesMatchTheRecordedDigests) { replayAll(kShortEvents); }

TEST(DecisionReplay, LongSequencesMatchTheRecordedDigests) { replayAll(kLongEvents); }

}  // namespace
}  // namespace wingslip::decision::test
