#include "node/gatekeeper.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>

#include "node/handover.hpp"
#include "node/log.hpp"

namespace burlwind {
namespace {

using irisring::ListKind;
using irisring::Member;
using irisring::Outcome;
using irisring::RequestId;
using irisring::Result;
using irisring::Time;
using irisring::WorkerId;
using namespace std::chrono_literals;

constexpr Time kWayBack =
    10;  // ms kept for the way back; measured within the program: 0.4 at the 99th percentile
constexpr unsigned kSparedSockets = 24;   // descriptors for the listener, discovery, timers, standard streams
constexpr unsigned kOpsSockets = 18;      // and for operators: their listener and callers
constexpr unsigned kStoreSockets = 8;     // and for the coordination store
constexpr unsigned kReplicaSockets = 50;  // and for the other gatekeepers
// Shares of all descriptors in either process of an upgrade: clients hold at most a third of them, and the
// two together stay under the limit.
constexpr double kClientShare = 0.27, kWorkerShare = 0.13;
constexpr double kIdleShare = 0.8;        // of the time that a worker keeps an idle connection
constexpr auto kAcceptAfterTerm = 500ms;  // connections go on coming for up to 400 ms after SIGTERM
constexpr auto kIdleAfterTerm = 1200ms;  // in an upgrade: idle connections are closed, their clients go on to
                                         // the new process
constexpr auto kReportEvery = 5s;        // between two lines on what was done
// The end may come at the longest deadline, counted as kDeadlineMost at most, and 700 ms after SIGTERM: what
// is held at that deadline and kAnswerSlack is failed, and at kEndSlack the program ends.
constexpr Time kDeadlineMost = 3000, kAnswerSlack = 400, kEndSlack = 550;
constexpr Time kMostUpload = 30 * 60 * 1000;  // past any time that the slowest client takes for a body
constexpr auto kFollowEvery = 250ms;  // between looks at what the other process of an upgrade has excluded
// For exclusions by hand that cannot be read at the start. Longer: the platform gives a start up after 30 s.
constexpr auto kExclusionsWithin = 20s;
constexpr auto kLeaveEvery = 1s;        // between two writings of what the next process inherits
constexpr Time kHandoverHolds = 30000;  // ms; older: nobody has served since
constexpr auto kLookEvery = 20ms;       // for the first list, before connections are accepted
constexpr Time kEarlyRetry = 250;  // ms advised to what came before the first list and could not wait for it
constexpr Time kRetireWithin = 1000;           // for what is given back to a store that is used no more
constexpr const char* kExcluded = "excluded";  // the replicated table of workers out by hand
// Bytes of an attempt beside its client's header and body: the request line, the fields that are set here, a
// chunk's frame; and of each field beside its name and value.
constexpr std::size_t kOwnFields = 160, kFieldFrame = 4;
constexpr std::size_t kMostNamed = 8192, kMostClasses = 512;

std::chrono::steady_clock::duration span(Time ms) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

std::size_t shareOfSockets(const Config& config, double inUpgrade) {
  if (config.acceptFd >= 0)
    return std::max<std::size_t>(8, static_cast<std::size_t>(config.sockets * inUpgrade));
  const unsigned spared = kSparedSockets + (config.ops ? kOpsSockets : 0) +
                          (config.coordination ? kStoreSockets : 0) +
                          (config.replication ? kReplicaSockets : 0);
  return std::max<std::size_t>(8, (config.sockets - std::min(config.sockets / 2, spared)) / 2);
}

WorkerPool::Limits poolLimits(const Config& config) {
  WorkerPool::Limits out;
  out.connectTimeout = std::chrono::milliseconds(std::lround(std::max(1.0, config.host.connectTimeout)));
  out.idleFor = std::chrono::milliseconds(std::lround(kIdleShare * config.host.idleTimeout));
  out.total = shareOfSockets(config, kWorkerShare);
  return out;
}

ClientServer::Limits serverLimits(const Config& config) {
  ClientServer::Limits out;
  out.connections = shareOfSockets(config, kClientShare);
  return out;
}

// Throws where the limit does not hold one process.
Ledger::Shares memoryOf(const Config& config) {
  Room room;
  room.limit = static_cast<std::size_t>(config.memoryMb * 1024 * 1024);
  room.twoProcesses = config.acceptFd >= 0;
  room.files = !config.stateDir.empty();
  const Ledger::Shares out = sharesOf(room);
  if (out.total > 0) return out;
  const std::size_t least = leastLimit(room.twoProcesses, room.files);
  throw std::runtime_error("configuration: limits.memory_mb is too small: it takes " +
                           std::to_string((least + 1024 * 1024 - 1) / (1024 * 1024)) + " at least here");
}

Pressure::Limits pressureLimits(const Config& config) {
  Time aim = 0;
  for (const auto& klass : config.settings.classes)
    if (klass.aim > 0) aim = aim > 0 ? std::min(aim, klass.aim) : klass.aim;
  return Pressure::limitsFor(aim);
}

Watch::Limits watchLimits(const Config& config) {
  return Watch::limitsFor(config.settings.drainGrace, config.settings.gateways);
}

// The same number at every gatekeeper, whatever the address: they all run this program.
WorkerId numberOf(const std::string& instanceId) { return std::hash<std::string>{}(instanceId); }

invariant::RequestState stateOf(http::status status) {
  if (status == http::status::ok) return invariant::RequestState::answered;
  const bool refused =
      status == http::status::too_many_requests || status == http::status::service_unavailable;
  return refused ? invariant::RequestState::refused : invariant::RequestState::failed;
}

invariant::WorkerRules workerRules(const irisring::Settings& settings) {
  return {settings.drainGrace, settings.fallMultiple, settings.coldFrom, settings.fallSpan, settings.warmUp};
}

std::chrono::steady_clock::time_point processFrom(const WorkerStart& start) {
  if (start.processFrom <= 0) return std::chrono::steady_clock::time_point::min();
  return ModuleClock::steady(start.processFrom);
}

}  // namespace

Gatekeeper::Gatekeeper(asio::io_context& io, const Config& config)
    : io_(io),
      config_(config),
      pressure_(io, memoryOf(config), pressureLimits(config)),
      pool_(io, poolLimits(config), config.settings.reportFields, pressure_,
            [this](AttemptEnd&& end) { ended(std::move(end)); }),
      server_(io, config_, serverLimits(config), *this, pressure_),
      gateway_(config.settings, config.seed, clock_.now(), *this),
      monitor_([](const std::string& line) { processLog().error("event=invariant text=\"{}\"", line); },
               [this] { return gateway_.warmRate(clock_.now()); }),
      exclusions_(config.stateDir),
      settle_(io),
      drain_(io),
      report_(io),
      follow_(io),
      accept_(io),
      leave_(io) {
  pool_.streamTo({[this](RequestId id, const std::string& type, std::optional<std::uint64_t> length) {
                    began(id, type, length);
                  },
                  [this](RequestId id, std::string&& piece) { passOn(id, std::move(piece)); }});
  pressure_.begin([this] { return std::max(server_.busyShare(), pool_.busyShare()); },
                  [this](double excess) { pressed(excess); });
  if (config_.ops) ops_.emplace(io, OpsServer::Limits{}, static_cast<Operated&>(*this), pressure_);
  for (const std::string& name : config_.host.classes) metrics_.classes.try_emplace(name);
  monitor_.rules(workerRules(config_.settings));
  applyExclusions({});
  takeHandover();
  Roster known;
  if (!config_.known.empty()) {
    known = parseRoster(config_.known);
    told(known, ListKind::cached);
  }
  discovery_ = std::make_unique<Discovery>(
      io, config_.discovery, std::move(known), watchLimits(config_), config_.seed,
      [this](const Roster& roster) { told(roster, roster.reset ? ListKind::full : ListKind::delta); },
      pressure_);
}

Gatekeeper::~Gatekeeper() = default;

void Gatekeeper::start() {
  if (ops_) ops_->start(*config_.ops);
  server_.start();
  discovery_->start();
  settle_.expires_after(span(Watch::hasWithin(watchLimits(config_))));
  settle_.async_wait([this](const Error& error) {
    if (!error) settle();
  });
  if (config_.acceptFd >= 0) {
    acceptOnceReady();
    handOverLater();
  }
  if (!config_.stateDir.empty()) followExclusions();
  coordinate();
  share();
  reportLater();
}

void Gatekeeper::share() {
  if (!config_.replication) return;
  replica_ = std::make_unique<replica::ReplicaNode>(io_, *config_.replication, config_.name, config_.stateDir,
                                                    config_.seed, pressure_,
                                                    [this](const replica::Row& row) { replicated(row); });
  replica_->start();
}

// What another gatekeeper, or this one before its restart, was told.
void Gatekeeper::replicated(const replica::Row& row) {
  if (row.table != kExcluded || row.key.empty()) return;
  const bool excluded = exclusions_.ids().contains(row.key);
  if (row.gone != excluded || !exclusions_.hasRoomFor(row.key)) return;
  const auto before = exclusions_.ids();
  exclusions_.note(row.key, !row.gone);  // many come together: written once for all of them
  applyExclusions(before);
}

void Gatekeeper::coordinate() {
  if (!config_.coordination) return;
  coordinator_ = std::make_unique<duty::Coordinator>(io_, *config_.coordination, config_.name,
                                                     config_.settings.gateways, config_.seed, pressure_);
  coordinator_->start();
}

// --- From the operators ----------------------------------------------------------------------------------

// The list is known, and no change of it is on its way; what was excluded was read before.
bool Gatekeeper::readyToServe() const { return ready() && !draining_; }

std::string Gatekeeper::telemetry() const {
  const irisring::Census census = gateway_.census(clock_.now());
  Metrics figures = metrics_;
  figures.attempts = pool_.attemptsWritten();
  figures.shortHere = pool_.shortHere();
  figures.refusals = gateway_.refusals();
  return telemetryText(figures, {held_.size(), census.listed, census.avoided},
                       monitor_.telemetry() + server_.closes().telemetry() + sendRefusals_.telemetry() +
                           pressure_.telemetry() + (coordinator_ ? coordinator_->telemetry() : "") +
                           (replica_ ? replica_->telemetry() : ""));
}

std::string Gatekeeper::sharers() const {
  return replica_ ? replica_->members() : "400 no replica is configured\n";
}

std::string Gatekeeper::replica() const {
  return replica_ ? replica_->state() : "400 no replica is configured\n";
}

std::string Gatekeeper::duties() const {
  return coordinator_ ? coordinator_->duties() : "400 no store is configured\n";
}

std::string Gatekeeper::roster() const {
  return coordinator_ ? coordinator_->roster() : "400 no store is configured\n";
}

ByHand Gatekeeper::exclude(const std::string& id) {
  const ByHand out = setByHand(id, true);
  const bool inForce = out.state == ByHand::State::done || out.state == ByHand::State::not_kept;
  if (replica_ && inForce) replica_->set(kExcluded, id, "1");
  return out;
}

ByHand Gatekeeper::include(const std::string& id) {
  const ByHand out = setByHand(id, false);
  const bool inForce = out.state == ByHand::State::done || out.state == ByHand::State::not_kept;
  if (replica_ && inForce) replica_->remove(kExcluded, id);
  return out;
}

ByHand Gatekeeper::setByHand(const std::string& id, bool excluded) {
  if (!named_.contains(id) && !exclusions_.ids().contains(id)) return {ByHand::State::unknown_worker};
  if (excluded && !exclusions_.hasRoomFor(id)) return {ByHand::State::too_many};
  const auto before = exclusions_.ids();
  const std::error_code error = exclusions_.set(id, excluded);
  applyExclusions(before);
  processLog().info("event={} worker={} kept={}", excluded ? "excluded" : "included", id, !error);
  if (!error) return {};
  return {ByHand::State::not_kept, error};
}

void Gatekeeper::applyExclusions(const std::set<std::string>& before) {
  const Time now = clock_.now();
  for (const std::string& id : exclusions_.ids()) {
    if (before.contains(id)) continue;
    const WorkerId worker = numberOf(id);
    gateway_.exclude(now, worker);
    pool_.quiet(worker);
    excluded_.insert(worker);
    monitor_.workerExcluded(worker, now);
  }
  for (const std::string& id : before) {
    if (exclusions_.ids().contains(id)) continue;
    const WorkerId worker = numberOf(id);
    excluded_.erase(worker);
    monitor_.workerIncluded(worker);
    gateway_.include(now, worker);
  }
}

// The other process of an upgrade may be the one that operators call; and what could not be kept is tried
// again.
void Gatekeeper::followExclusions() {
  follow_.expires_after(kFollowEvery);
  follow_.async_wait([this](const Error& error) {
    if (error) return;
    const auto before = exclusions_.ids();
    if (exclusions_.retry()) applyExclusions(before);
    if (exclusions_.known()) settleOnce();
    followExclusions();
  });
}

void Gatekeeper::noteNamed(const std::string& id) {
  if (named_.size() < kMostNamed || named_.contains(id)) named_.insert(id);
}

// What the next process would have to learn anew, while cold workers get next to nothing.
void Gatekeeper::handOverLater() {
  leave_.expires_after(kLeaveEvery);
  leave_.async_wait([this](const Error& error) {
    if (error || draining_) return;
    const Time now = clock_.now();
    burlwind::leave(config_.stateDir, {now, gateway_.warmRate(now), starts_.offset()});
    handOverLater();
  });
}

void Gatekeeper::takeHandover() {
  if (config_.acceptFd < 0) return;
  const Time now = clock_.now();
  const auto left = inherit(config_.stateDir);
  if (!left || std::abs(now - left->at) >= kHandoverHolds) return;
  if (left->warmRate > 0) gateway_.knowWarmRate(now, left->warmRate);
  starts_ = StartTimes(left->clockOffset);
}

void Gatekeeper::acceptOnceReady() {
  if (draining_) return;
  if (readyToServe()) return server_.beginAccepting();
  accept_.expires_after(kLookEvery);
  accept_.async_wait([this](const Error& error) {
    if (!error) acceptOnceReady();
  });
}

// One line every few seconds with what on-call needs to tell causes apart: final answers, how attempts ended,
// connections, and the largest buffers.
void Gatekeeper::reportLater() {
  report_.expires_after(kReportEvery);
  report_.async_wait([this](const Error& error) {
    if (error) return;
    report();
    reportLater();
  });
}

void Gatekeeper::report() {
  const WorkerPool::Stats pool = pool_.takeStats();
  const ClientServer::Stats server = server_.takeStats();
  const Discovery::Stats discovery = discovery_->takeStats();
  const auto ended = [&](Result result) { return pool.results[static_cast<std::size_t>(result)]; };
  processLog().info(
      "event=requests served={} refused={} failed={} rejected={} held={} client_connections={} "
      "most_buffered_client={} most_waited_ms={:.0f}",
      served_, refused_, failed_, server.rejected, held_.size(), server_.connections(), server.mostBuffered,
      server.mostWaited);
  processLog().info(
      "event=attempts ok={} error={} unreadable={} full={} timeout={} unconnected={} reset={} "
      "reset_reused={} reset_in_answer={} cancelled={} worker_connections={} most_buffered_worker={}",
      ended(Result::ok), ended(Result::error), pool.unreadable, ended(Result::full), ended(Result::timeout),
      ended(Result::connectFailed), ended(Result::reset), pool.resetReused, pool.resetInAnswer,
      ended(Result::cancelled), pool_.connections(), pool.mostBuffered);
  processLog().info("event=lists read={} longest_line={} lists={} calls={} invariants_broken={}",
                    discovery.read, discovery.longestLine, discovery.lists, discovery.calls,
                    monitor_.total());
  served_ = refused_ = failed_ = 0;
  pressure_.report();
}

// --- Back-pressure ---------------------------------------------------------------------------------------

// Which requests pay for it is the module's choice; idle connections serve nobody.
void Gatekeeper::pressed(double excess) {
  const Pressure& now = pressure_.pressure();
  if (pressure_.fewDescriptors()) server_.trimIdle();
  gateway_.pressure(clock_.now(), {now.stage() != Stage::none, pressure_.slow(), now.share(), excess,
                                   now.lasts(BackPressure::now())});
}

// What came before the first list is numbered as the settings were then. False: its class or plan is no more;
// it is refused when its time ends.
bool Gatekeeper::renumber(irisring::Request& request, const NameIndex& classes,
                          const NameIndex& plans) const {
  const unsigned klass = classes.of(config_.host.classes[request.klass]);
  const unsigned plan = plans.of(config_.host.plans[request.plan]);
  if (klass == NameIndex::kNone || plan == NameIndex::kNone) return false;
  request.klass = klass;
  request.plan = plan;
  return true;
}

// One that is out for a request that the module has given up on. The module learns its end from a handler of
// its own.
void Gatekeeper::dropAttempt(RequestId id) {
  auto end = pool_.giveUp(id, Result::cancelled);
  if (!end) return;
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_), outcome = std::move(end->outcome)]() mutable {
    if (alive.expired()) return;
    outcome.finished = true;
    gateway_.outcome(clock_.now(), outcome);
  });
}

void Gatekeeper::reload(const Config& config) {
  irisring::Settings settings = config.settings;
  irisring::HostSettings host = config.host;
  // Behind the names there were: whoever was told of a name by its number goes on to mean the same.
  host.zones = joinedNames(config_.host.zones, host.zones);
  host.kinds = joinedNames(config_.host.kinds, host.kinds);
  if (settings.zone < config.host.zones.size())
    settings.zone = NameIndex(host.zones).of(config.host.zones[settings.zone]);
  const NameIndex classes(config.host.classes), plans(config.host.plans);
  std::vector<irisring::Request> early;
  for (irisring::Request request : early_)
    if (renumber(request, classes, plans)) early.push_back(request);
  gateway_.settings(clock_.now(), settings);
  early_ = std::move(early);
  config_.settings = std::move(settings);
  monitor_.rules(workerRules(config_.settings));
  config_.host = std::move(host);
  config_.keys = config.keys;
  config_.discovery = config.discovery;
  pool_.retune(poolLimits(config_), config_.settings.reportFields);
  pressure_.retune(pressureLimits(config_));
  if (config.memoryMb != config_.memoryMb)
    processLog().warn("event=reload text=\"limits.memory_mb stays as at the start\" memory_mb={}",
                      config_.memoryMb);
  for (const std::string& name : config_.host.classes)
    if (metrics_.classes.size() < kMostClasses) metrics_.classes.try_emplace(name);
  // One that drains has told both that it goes, and its end waits for the coordinator that it has.
  if (!draining_ && config.coordination != config_.coordination) {
    config_.coordination = config.coordination;
    if (coordinator_) coordinator_->drain();
    retired_ = std::move(coordinator_);
    if (retired_) retired_->leave(kRetireWithin, [] {});
    coordinate();
  }
  if (!draining_ && config.replication != config_.replication) {
    config_.replication = config.replication;
    if (replica_) replica_->drain();
    retiredReplica_ = std::move(replica_);  // tells the others that it leaves
    share();
  }
  ++metrics_.reconfigOk;
  discovery_->moveTo(config.discovery, watchLimits(config_));
  processLog().info("event=reloaded");
}

// Where the platform holds the listening socket the next process accepts already; connections that this one
// has are kept for a while, so that what their clients are sending is heard.
void Gatekeeper::drain(std::function<void()> done) {
  draining_ = true;
  processLog().info("event=drain held={} client_connections={}", held_.size(), server_.connections());
  if (replica_) replica_->drain();
  if (coordinator_) {
    coordinator_->drain();
    done = [this, done = std::move(done)] { coordinator_->leave(0, done); };
  }
  server_.beginDrain();
  const bool handedOn = config_.acceptFd >= 0;
  if (handedOn) server_.stopAccepting();
  Time longest = 0;
  for (const auto& klass : config_.settings.classes) longest = std::max(longest, klass.deadline);
  const auto term = std::chrono::steady_clock::now();
  const Time end = std::min(longest, kDeadlineMost);
  drain_.expires_at(term + (handedOn ? kIdleAfterTerm : kAcceptAfterTerm));
  drain_.async_wait([this, term, end, handedOn, done = std::move(done)](const Error& error) {
    if (error) return;
    if (!handedOn) server_.stopAccepting();
    server_.finishUp();
    server_.whenEmpty([this, done] { finishDrain(done); });
    drain_.expires_at(term + span(end + kAnswerSlack));
    drain_.async_wait([this, term, end, done](const Error& late) {
      if (late) return;
      giveUpAll();
      drain_.expires_at(term + span(end + kEndSlack));
      drain_.async_wait([this, done](const Error& stopped) {
        if (!stopped) finishDrain(done);
      });
    });
  });
}

// The process ends: whatever is still held is owed.
void Gatekeeper::finishDrain(const std::function<void()>& done) {
  const Time now = clock_.now();
  processLog().info("event=drained held={} client_connections={} invariants_broken={}", held_.size(),
                    server_.connections(), monitor_.total());
  for (auto& [id, held] : held_)
    if (!held.answering) monitor_.forgotten(held.trace, now);
  if (server_.connections() == 0)
    monitor_.accounts(held_.size(), std::to_string(held_.size()) + " requests held without a connection",
                      now);
  done();
}

// --- From the clients ------------------------------------------------------------------------------------

void Gatekeeper::take(RequestId id, const Call& call, ClientMessage&& message,
                      const std::shared_ptr<Responder>& responder) {
  const Time now = clock_.now();
  Held& held = held_.try_emplace(id, io_).first->second;
  held.counts = &countsOf(call.klass);
  held.message = std::move(message);
  held.responder = responder;
  held.patience = std::max(0.0, call.patience - kWayBack);
  held.streamed = !call.whole;
  const irisring::ClassSettings& klass = config_.settings.classes[call.klass];
  held.trace.name = std::string(view(held.message["Req-Id"]));
  held.trace.repeat = klass.repeat;
  held.trace.window = klass.window;
  held.trace.cap = config_.settings.maxAttempts;
  held.trace.deadline = now + call.patience + (held.streamed ? kMostUpload : 0);
  monitor_.taken(held.trace, now);
  held.length = call.length;
  // The time of one whose last byte is still to come has not begun; the clients' side bounds the wait for it.
  held.expires = now + held.patience + (held.streamed ? kMostUpload : 0);
  if (!held.streamed) setDeadline(id, held);
  pressure_.activity();
  const irisring::Request request{id,           call.klass, call.plan,    call.customer,
                                  held.expires, call.units, call.setSize, static_cast<double>(call.holds)};
  if (settled_) return gateway_.request(now, request);
  early_.push_back(request);
}

// What the agent has counts as told from a process's first moment, and the list that the process was given
// may be older. So nothing is sent on before the agent's first list. An agent that says nothing for as long
// as one that is well may take is down and has nothing new: then the list as given has to do.
//
// Nor before it is known who is excluded by hand: a file that cannot be read is tried again
// (followExclusions) for kExclusionsWithin.
void Gatekeeper::settle() {
  listTold_ = true;
  if (exclusions_.known()) return settleOnce();
  settle_.expires_at(startedAt_ + kExclusionsWithin);
  settle_.async_wait([this](const Error& error) {
    if (error) return;
    processLog().error("event=exclusions text=\"serving without knowing who is excluded by hand\"");
    settleOnce();
  });
}

void Gatekeeper::settleOnce() {
  if (!listTold_ || std::exchange(settled_, true)) return;
  settle_.cancel();
  for (const irisring::Request& request : std::exchange(early_, {}))
    if (held_.contains(request.id)) gateway_.request(clock_.now(), request);
}

ClassCounts& Gatekeeper::countsOf(unsigned klass) {
  const auto found = metrics_.classes.find(config_.host.classes[klass]);
  return found == metrics_.classes.end() ? uncounted_ : found->second;
}

void Gatekeeper::turnedAway(unsigned klass) {
  ++refused_;
  ++countsOf(klass).busy;
}

void Gatekeeper::closedUnanswered(CloseReason reason) {
  monitor_.closedUnanswered(std::string(kCloseReasonNames[static_cast<std::size_t>(reason)]), clock_.now());
}

void Gatekeeper::setDeadline(RequestId id, Held& held) {
  held.deadline.expires_after(span(held.expires - clock_.now()));
  held.deadline.async_wait([this, id](const Error& error) {
    if (!error) expire(id);
  });
}

void Gatekeeper::pull(RequestId id, AttemptRequest::Take take) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  found->second.pulled = true;
  std::string().swap(found->second.message.body());
  found->second.responder->pull([this, id, take = std::move(take)](std::string&& piece, bool last) {
    const auto held = held_.find(id);
    if (held == held_.end()) return;
    if (last) becameWhole(id, held->second);
    take(std::move(piece), last);
  });
}

void Gatekeeper::becameWhole(RequestId id, Held& held) {
  const Time now = clock_.now();
  held.expires = now + held.patience;
  held.trace.deadline = held.expires + kWayBack;
  setDeadline(id, held);
  gateway_.whole(now, id, held.expires);
}

void Gatekeeper::left(RequestId id) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  ++found->second.counts->failure;
  monitor_.clientLeft(found->second.trace, clock_.now());
  held_.erase(found);
  gateway_.clientLeft(clock_.now(), id);
  if (auto end = pool_.giveUp(id, Result::cancelled)) ended(std::move(*end));
}

// The deadline: an attempt that is out has timed out. The answer goes out now, whatever the module says.
void Gatekeeper::expire(RequestId id) {
  const auto found = held_.find(id);
  if (found == held_.end() || found->second.answering) return;
  if (!settled_) return refuse(id, kEarlyRetry);
  if (auto end = pool_.giveUp(id, Result::timeout)) {
    end->outcome.finished = false;
    noteEnd(end->outcome);
    gateway_.outcome(std::max(clock_.now(), found->second.expires), end->outcome);
  }
  if (!held_.contains(id)) return;
  fail(id);
  gateway_.clientLeft(clock_.now(), id);
}

void Gatekeeper::giveUpAll() {
  std::vector<RequestId> ids;
  for (const auto& [id, held] : held_)
    if (!held.answering) ids.push_back(id);  // what has begun goes on to the end
  for (const RequestId id : ids) {
    if (!settled_) {
      refuse(id, kEarlyRetry);
      continue;
    }
    fail(id);
    gateway_.clientLeft(clock_.now(), id);
    if (auto end = pool_.giveUp(id, Result::cancelled)) ended(std::move(*end));
  }
}

// --- From the workers ------------------------------------------------------------------------------------

void Gatekeeper::noteEnd(const Outcome& outcome) {
  const auto found = held_.find(outcome.id);
  if (found == held_.end()) return;
  found->second.lastResult = outcome.result;
  monitor_.ended(found->second.trace, outcome.worker, outcome.result, clock_.now());
}

void Gatekeeper::ended(AttemptEnd&& end) {
  Outcome& outcome = end.outcome;
  noteEnd(outcome);
  const bool mine = held_.contains(outcome.id);
  outcome.finished = !mine || outcome.result == Result::ok;
  pressure_.activity();
  if (mine && held_.at(outcome.id).answering) {
    finishStream(end);
  } else if (mine && outcome.result == Result::ok) {
    Answer served;
    served.body = std::move(end.body);
    served.contentType = std::move(end.contentType);
    served.room = std::move(end.room);
    ++served_;
    ++held_.at(outcome.id).counts->success;
    answer(outcome.id, std::move(served));
  }
  gateway_.outcome(clock_.now(), outcome);
}

void Gatekeeper::began(RequestId id, const std::string& contentType, std::optional<std::uint64_t> length) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  found->second.answering = true;
  found->second.deadline.cancel();
  monitor_.streaming(found->second.trace, clock_.now());
  gateway_.answering(clock_.now(), id);
  found->second.responder->begin({contentType, length});
}

void Gatekeeper::passOn(RequestId id, std::string&& piece) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  const auto responder = found->second.responder;
  responder->pass(std::move(piece), false, [this, id] { pool_.resume(id); });
}

// The end of an answer that was passed on as it came, or what could be had of it.
void Gatekeeper::finishStream(AttemptEnd& end) {
  end.outcome.finished = true;
  const auto found = held_.find(end.outcome.id);
  const bool whole = end.outcome.result == Result::ok;
  ++(whole ? served_ : failed_);
  ++(whole ? found->second.counts->success : found->second.counts->failure);
  const auto responder =
      conclude(end.outcome.id, whole ? invariant::RequestState::answered : invariant::RequestState::cut);
  if (whole) {
    responder->keep(std::move(end.room));
    responder->pass(std::move(end.body), true, nullptr);
  } else {
    responder->cut();
  }
}

// --- From discovery --------------------------------------------------------------------------------------

// One of a zone or kind that the settings do not name is of none of theirs, also after others have come in.
Member Gatekeeper::memberOf(const Instance& instance, const WorkerStart& start, const NameIndex& zones,
                            const NameIndex& kinds) const {
  Member out;
  out.worker = numberOf(instance.id);
  out.phase = instance.phase;
  out.zone = zones.of(instance.zone);
  out.kind = kinds.of(instance.kind);
  out.cell = instance.cell;
  out.started = start.warmFrom;
  return out;
}

// Told to drain, or gone: nothing new to it.
void Gatekeeper::leave(WorkerId worker, irisring::Phase phase, Time now) {
  listed_.erase(worker);
  monitor_.workerLeaves(worker, phase, now);
  pool_.retire(worker);
}

void Gatekeeper::told(const Roster& roster, ListKind kind) {
  const Time now = clock_.now();
  const bool live = listTold_ && kind != ListKind::cached;
  for (const Instance& instance : roster.instances) starts_.hear(instance.startedAtMs, now);
  std::vector<Member> members;
  std::unordered_set<WorkerId> unnamed;
  if (kind != ListKind::delta) unnamed = listed_;
  const NameIndex zones(config_.host.zones), kinds(config_.host.kinds);
  for (const Instance& instance : roster.instances) {
    const WorkerId worker = numberOf(instance.id);
    const WorkerStart start = starts_.startOf(worker, instance.startedAtMs, now, live);
    members.push_back(memberOf(instance, start, zones, kinds));
    noteNamed(instance.id);
    unnamed.erase(worker);
    if (instance.phase == irisring::Phase::ready) {
      listed_.insert(worker);
      monitor_.workerReady(worker, start.warmFrom);
      pool_.place(worker, {instance.address, processFrom(start)});
    } else {
      leave(worker, instance.phase, now);
    }
  }
  for (const WorkerId worker : unnamed) leave(worker, irisring::Phase::gone, now);
  starts_.trim([this](WorkerId worker) { return listed_.contains(worker); });
  gateway_.members(now, kind, members);
  ready_ = ready_ || !listed_.empty();
  if (kind != ListKind::cached) settle();
}

// --- What the module asks for ----------------------------------------------------------------------------
// These are called from within an event, so none of them feeds the module another.

void Gatekeeper::send(RequestId id, WorkerId worker, Time timeout) {
  const auto found = held_.find(id);
  if (found == held_.end()) return;
  Held& held = found->second;
  const Time now = clock_.now();
  const Time left = held.expires - now;
  // A read may not have told yet, or wait for room. Its connection is ended from a handler of its own.
  const bool gone = held.responder->gone();
  if (gone) asio::post(io_, [responder = held.responder] { responder->leave(); });
  if (gone || left <= 0 || held.pulled) return reportMoot(id, held.attempts++, worker);
  const bool early = timeout > 0 && timeout < left;
  if (held.attempts > 0) metrics_.retries.add(held.lastResult);
  held.attemptUntil = early ? now + timeout : held.expires;
  monitor_.connecting(held.trace, worker, now);
  pool_.start(id, held.attempts++, worker, attemptRequest(id, held, worker),
              early ? std::optional(span(timeout)) : std::nullopt);
}

// Between the module's choice and the first byte a connection may have had to come up.
SendRefusal Gatekeeper::refusalOf(RequestId id, WorkerId worker, Time now) const {
  const auto found = held_.find(id);
  if (found == held_.end()) return SendRefusal::request_over;
  if (found->second.responder->gone()) return SendRefusal::client_gone;
  if (found->second.expires <= now) return SendRefusal::time_over;
  if (!listed_.contains(worker)) return SendRefusal::worker_left;
  if (excluded_.contains(worker)) return SendRefusal::worker_excluded;
  return SendRefusal::none;
}

// The one place from which a request goes to a worker, in the moment in which its first byte may be written.
std::optional<std::string> Gatekeeper::compose(RequestId id, WorkerId worker) {
  const Time now = clock_.now();
  const SendRefusal refusal = refusalOf(id, worker, now);
  sendRefusals_.add(refusal);
  if (refusal != SendRefusal::none) return std::nullopt;
  Held& held = held_.at(id);
  const Time left = held.streamed ? held.patience : std::min(held.attemptUntil, held.expires) - now;
  const Time passedOn = std::max(1.0, std::floor(left));
  monitor_.sending(held.trace, worker, now, passedOn);
  return attemptBytes(held, passedOn);
}

// No time is left for the attempt, or its body is gone: nothing is sent, and the module learns so from a
// handler of its own.
void Gatekeeper::reportMoot(RequestId id, unsigned attempt, WorkerId worker) {
  AttemptEnd end;
  end.outcome.id = id;
  end.outcome.attempt = attempt;
  end.outcome.worker = worker;
  end.outcome.result = Result::moot;
  asio::post(io_, [this, end = std::move(end)]() mutable { ended(std::move(end)); });
}

void Gatekeeper::refuse(RequestId id, Time retryAfter) {
  Answer refusal;
  refusal.status = http::status::too_many_requests;
  refusal.body = "refused: try again later\n";
  refusal.retryAfter = retryAfter;
  ++refused_;
  if (const auto found = held_.find(id); found != held_.end()) ++found->second.counts->busy;
  dropAttempt(id);
  answer(id, std::move(refusal));
}

void Gatekeeper::fail(RequestId id) {
  Answer failure;
  failure.status = http::status::bad_gateway;
  failure.body = "failed\n";
  ++failed_;
  dropAttempt(id);
  if (const auto found = held_.find(id); found != held_.end()) {
    ++found->second.counts->failure;
    // Its client has the beginning.
    if (found->second.answering) return conclude(id, invariant::RequestState::cut)->cut();
  }
  answer(id, std::move(failure));
}

void Gatekeeper::setTimer(Time wait, std::uint64_t tag) {
  auto timer = std::make_unique<asio::steady_timer>(io_, span(wait));
  auto& pending = *timer;
  pending.async_wait([this, timer = std::move(timer), tag](const Error& error) {
    if (!error) gateway_.timer(clock_.now(), tag);
  });
}

void Gatekeeper::log(const std::string& line) { processLog().info("event=decisions text=\"{}\"", line); }

// The final answer, whole or cut. What comes later for this request finds nothing.
std::shared_ptr<Responder> Gatekeeper::conclude(RequestId id, invariant::RequestState how) {
  const auto found = held_.find(id);
  if (found == held_.end()) return nullptr;
  monitor_.answered(found->second.trace, how, clock_.now());
  auto responder = std::move(found->second.responder);
  held_.erase(found);
  return responder;
}

void Gatekeeper::answer(RequestId id, Answer&& answer) {
  const auto responder = conclude(id, stateOf(answer.status));
  if (responder) responder->answer(std::move(answer));
}

// The client's request with the time that is left; what concerns only the client's connection stays behind.
std::string Gatekeeper::attemptBytes(const Held& held, Time passedOn) {
  http::request<http::empty_body> head(held.message.base());
  for (const auto field : {http::field::connection, http::field::keep_alive, http::field::te,
                           http::field::trailer, http::field::transfer_encoding, http::field::upgrade,
                           http::field::expect, http::field::proxy_connection, http::field::content_length})
    head.erase(field);
  head.version(11);
  const std::string_view target = view(held.message.target());
  if (const auto origin = originForm(target); origin.size() != target.size())
    head.target(std::string(origin));
  head.set("Req-Deadline-Ms", std::to_string(std::lround(passedOn)));
  const std::string& body = held.message.body();
  std::string out;
  if (!held.streamed) {
    if (!body.empty() || head.method() != http::verb::get) head.content_length(body.size());
    appendHead(out, head);
    return out += body;
  }
  if (held.length)
    head.content_length(*held.length);
  else
    head.chunked(true);
  appendHead(out, head);
  if (held.length)
    out += body;
  else
    appendChunk(out, body, false);
  return out;
}

// The bytes are made when they can be written (`compose`).
AttemptRequest Gatekeeper::attemptRequest(RequestId id, const Held& held, WorkerId worker) {
  AttemptRequest out;
  out.compose = [this, id, worker] { return compose(id, worker); };
  out.size = kOwnFields + view(held.message.target()).size() + held.message.body().size();
  for (const auto& field : held.message.base())
    out.size += view(field.name_string()).size() + view(field.value()).size() + kFieldFrame;
  if (!held.streamed) return out;
  out.chunked = !held.length;
  out.pull = [this, id](AttemptRequest::Take take) { pull(id, std::move(take)); };
  return out;
}

}  // namespace burlwind
