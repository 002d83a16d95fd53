/// The gatekeeper's start, reload, lists of workers and drain.
#include "gatekeeper/gatekeeper.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "gatekeeper/gatekeeper_limits.hpp"
#include "net/log.hpp"

namespace wingslip {
namespace {

using decision::Endpoint;
using decision::EndpointUpdate;
using decision::RequestId;
using decision::Time;
using decision::WorkerId;
using namespace std::chrono_literals;

// Drain, from SIGTERM on. Connections go on coming for up to 400 ms.
constexpr auto kAcceptAfterSigterm = 500ms;
// In an upgrade idle connections are closed then, and their clients go on to the new process.
constexpr auto kKeepIdleAfterSigterm = 1200ms;
// The platform may end the process 700 ms after the longest deadline, counted as kMaxDrainDeadlineMs at most:
// requests still in flight at that deadline and kFailRemainingAfterMs fail, and the process ends at
// kExitAfterMs.
constexpr Time kMaxDrainDeadlineMs = 3000;
constexpr Time kFailRemainingAfterMs = 400;
constexpr Time kExitAfterMs = 550;

constexpr auto kExclusionsTimeout = 20s;   // to read them at the start; the platform gives up after 30 s
constexpr auto kReadyPollInterval = 20ms;  // before connections are accepted
constexpr Time kMaxHandoverAgeMs = 30000;  // an older one: nobody has served since
constexpr std::size_t kMaxCountedClasses = 512;

invariant::WorkerRules workerRules(const decision::Settings& settings) {
  return {settings.drainGraceMs, settings.overloadMultiple, settings.slowStartShare,
          settings.overloadWindowMs, settings.slowStartMs};
}

std::chrono::steady_clock::time_point processFrom(const WorkerStart& start) {
  if (start.processStartedAt <= 0) return std::chrono::steady_clock::time_point::min();
  return DecisionClock::steady(start.processStartedAt);
}

}  // namespace

Gatekeeper::Gatekeeper(asio::io_context& io, const Config& config)
    : io_(io),
      config_(config),
      pressure_(io, memoryShares(config), pressureLimits(config)),
      pool_(io, poolLimits(config), config.settings.loadReportFields, pressure_,
            [this](AttemptEnd&& end) { onAttemptDone(std::move(end)); }),
      server_(io, config_, serverLimits(config), *this, pressure_),
      gateway_(config.settings, config.seed, clock_.now(), *this),
      monitor_([](const std::string& line) { processLog().error("event=invariant text=\"{}\"", line); },
               [this] { return gateway_.warmWorkerRate(clock_.now()); }),
      exclusions_(io, config.stateDir,
                  [this](const ExclusionChange& change) { onExclusionsChanged(change); }),
      fleet_(io, config_, pressure_, [this](const replication::Row& row) { onReplicatedRow(row); }),
      startTimer_(io),
      drainTimer_(io),
      acceptTimer_(io),
      reportTimer_(io, [this] { report(); }),
      handoverWriter_(io, config.stateDir) {
  pool_.setStreamHandlers(
      {[this](RequestId id, const std::string& type, std::optional<std::uint64_t> length) {
         onResponseStart(id, type, length);
       },
       [this](RequestId id, std::string&& piece) { forwardPiece(id, std::move(piece)); }});
  pressure_.start([this] { return std::max(server_.busyShare(), pool_.busyShare()); },
                  [this](double excess) { onOverload(excess); });
  if (config_.ops) ops_.emplace(io, OpsServer::Limits{}, static_cast<OperatorCalls&>(*this), pressure_);
  for (const std::string& name : config_.host.classes) metrics_.classes.try_emplace(name);
  monitor_.setRules(workerRules(config_.settings));
  exclusions_.applyAll();
  applyHandover();
  EndpointList known;
  if (!config_.known.empty()) {
    known = parseEndpointList(config_.known);
    onEndpointList(known, EndpointUpdate::cached);
  }
  discovery_ = std::make_unique<DiscoveryClient>(
      io, config_.discovery, std::move(known), watchLimits(config_), config_.seed,
      [this](const EndpointList& roster) {
        onEndpointList(roster, roster.isSnapshot ? EndpointUpdate::snapshot : EndpointUpdate::delta);
      },
      pressure_);
}

Gatekeeper::~Gatekeeper() = default;

void Gatekeeper::start() {
  if (ops_) ops_->start(*config_.ops);
  server_.start();
  discovery_->start();
  startTimer_.expires_after(toDuration(EndpointWatch::maxUpdateDelayMs(watchLimits(config_))));
  startTimer_.async_wait([this](const Error& error) {
    if (!error) onEndpointsKnown();
  });
  if (config_.acceptFd >= 0) {
    acceptOnceReady();
    handoverWriter_.start([this] { return currentHandover(); });
  }
  if (!config_.stateDir.empty()) exclusions_.follow([this] { startServing(); });
  fleet_.startCoordinator();
  fleet_.startReplica();
  reportTimer_.start();
}

// The platform holds the listening socket: the process before goes on accepting until this one is ready.
void Gatekeeper::acceptOnceReady() {
  if (draining_) return;
  if (readyToServe()) return server_.startAccepting();
  acceptTimer_.expires_after(kReadyPollInterval);
  acceptTimer_.async_wait([this](const Error& error) {
    if (!error) acceptOnceReady();
  });
}

// Without it a new process would have to learn the warm rate anew, while new workers get next to nothing.
void Gatekeeper::applyHandover() {
  if (config_.acceptFd < 0) return;
  const Time now = clock_.now();
  const auto handover = readHandover(config_.stateDir);
  if (!handover || std::abs(now - handover->at) >= kMaxHandoverAgeMs) return;
  if (handover->warmRate > 0) gateway_.seedWarmWorkerRate(now, handover->warmRate);
  starts_ = StartTimes(handover->clockOffset);
}

std::optional<Handover> Gatekeeper::currentHandover() const {
  if (draining_) return std::nullopt;
  const Time now = clock_.now();
  return Handover{now, gateway_.warmWorkerRate(now), starts_.clockOffsetMs()};
}

// What the agent knew when the process started is binding, and the configured list may be older: nothing is
// sent before the agent's first list. An agent that stays silent for longer than a working one can is down;
// then the configured list is used.
//
// Nor before it is known who is excluded by hand: a file that cannot be read is tried again
// (ExclusionControl::follow) for kExclusionsTimeout.
void Gatekeeper::onEndpointsKnown() {
  endpointsKnown_ = true;
  if (exclusions_.isLoaded()) return startServing();
  startTimer_.expires_at(startedAt_ + kExclusionsTimeout);
  startTimer_.async_wait([this](const Error& error) {
    if (error) return;
    processLog().error("event=exclusions text=\"serving without knowing who is excluded by hand\"");
    startServing();
  });
}

void Gatekeeper::startServing() {
  if (!endpointsKnown_ || std::exchange(serving_, true)) return;
  startTimer_.cancel();
  for (const decision::Request& request : std::exchange(earlyRequests_, {}))
    if (requests_.contains(request.id)) gateway_.onRequest(clock_.now(), request);
}

// --- Overload --------------------------------------------------------------------------------------------

// The decision module chooses which requests to shed; idle connections serve nobody.
void Gatekeeper::onOverload(double excess) {
  const OverloadState& now = pressure_.state();
  if (pressure_.areDescriptorsOverloaded()) server_.closeLongIdle();
  gateway_.onOverload(clock_.now(),
                      {now.level() != OverloadLevel::none, pressure_.isMemoryOverloaded(), now.rejectShare(),
                       excess, now.expectedDurationMs(OverloadManager::now())});
}

// --- Reload ----------------------------------------------------------------------------------------------

// The indexes of an early request are those of the settings then. False: its class or plan is no more; it is
// rejected at its deadline.
bool Gatekeeper::remap(decision::Request& request, const NameIndex& classes, const NameIndex& plans) const {
  const unsigned classIndex = classes.of(config_.host.classes[request.classIndex]);
  const unsigned planIndex = plans.of(config_.host.plans[request.planIndex]);
  if (classIndex == NameIndex::kNone || planIndex == NameIndex::kNone) return false;
  request.classIndex = classIndex;
  request.planIndex = planIndex;
  return true;
}

std::vector<decision::Request> Gatekeeper::remappedEarlyRequests(const settings::HostSettings& host) const {
  const NameIndex classes(host.classes);
  const NameIndex plans(host.plans);
  std::vector<decision::Request> out;
  for (decision::Request request : earlyRequests_)
    if (remap(request, classes, plans)) out.push_back(request);
  return out;
}

// New zones and machine types come behind the present ones, so that indexes that were given out stay valid.
settings::HostSettings Gatekeeper::mergedHostSettings(const Config& config) const {
  settings::HostSettings host = config.host;
  host.zones = joinedNames(config_.host.zones, host.zones);
  host.machineTypes = joinedNames(config_.host.machineTypes, host.machineTypes);
  return host;
}

void Gatekeeper::reload(const Config& config) {
  decision::Settings settings = config.settings;
  settings::HostSettings host = mergedHostSettings(config);
  if (settings.zone < config.host.zones.size())
    settings.zone = NameIndex(host.zones).of(config.host.zones[settings.zone]);
  std::vector<decision::Request> earlyRequests = remappedEarlyRequests(config.host);
  gateway_.onSettings(clock_.now(), settings);
  earlyRequests_ = std::move(earlyRequests);
  config_.settings = std::move(settings);
  monitor_.setRules(workerRules(config_.settings));
  config_.host = std::move(host);
  config_.keys = config.keys;
  config_.discovery = config.discovery;
  pool_.updateSettings(poolLimits(config_), config_.settings.loadReportFields);
  pressure_.setLimits(pressureLimits(config_));
  if (config.memoryMb != config_.memoryMb)
    processLog().warn("event=reload text=\"limits.memory_mb stays as at the start\" memory_mb={}",
                      config_.memoryMb);
  for (const std::string& name : config_.host.classes)
    if (metrics_.classes.size() < kMaxCountedClasses) metrics_.classes.try_emplace(name);
  reloadFleetServices(config);
  ++metrics_.reloadsOk;
  discovery_->setAgent(config.discovery, watchLimits(config_));
  processLog().info("event=reloaded");
}

// Not while draining: both services have been told that this process leaves, and the end of the drain waits
// for the coordinator that it had then.
void Gatekeeper::reloadFleetServices(const Config& config) {
  if (draining_) return;
  if (config.coordination != config_.coordination) {
    config_.coordination = config.coordination;
    fleet_.restartCoordinator();
  }
  if (config.replication != config_.replication) {
    config_.replication = config.replication;
    fleet_.restartReplica();
  }
}

// --- Drain -----------------------------------------------------------------------------------------------

// Where the platform holds the listening socket the next process accepts already. Connections that this one
// has are kept for a while, so that requests that clients are sending are still read.
void Gatekeeper::drain(std::function<void()> done) {
  draining_ = true;
  processLog().info("event=drain held={} client_connections={}", requests_.size(), server_.connections());
  fleet_.drain();
  done = [this, done = std::move(done)] { fleet_.leave(done); };
  server_.startDrain();
  const bool nextProcessAccepts = config_.acceptFd >= 0;
  if (nextProcessAccepts) server_.stopAccepting();
  Time longestDeadlineMs = 0;
  for (const auto& requestClass : config_.settings.classes)
    longestDeadlineMs = std::max(longestDeadlineMs, requestClass.deadlineMs);
  const Time waitMs = std::min(longestDeadlineMs, kMaxDrainDeadlineMs);
  const auto sigtermAt = std::chrono::steady_clock::now();
  const auto closeIdleAt = sigtermAt + (nextProcessAccepts ? kKeepIdleAfterSigterm : kAcceptAfterSigterm);
  drainStepAt(closeIdleAt, [this, sigtermAt, waitMs, nextProcessAccepts, done = std::move(done)] {
    if (!nextProcessAccepts) server_.stopAccepting();
    closeIdleClients(done);
    drainStepAt(sigtermAt + toDuration(waitMs + kFailRemainingAfterMs), [this, sigtermAt, waitMs, done] {
      failRemaining();
      drainStepAt(sigtermAt + toDuration(waitMs + kExitAfterMs), [this, done] { finishDrain(done); });
    });
  });
}

// Replaces the step before, which has been run.
void Gatekeeper::drainStepAt(SteadyTime at, std::function<void()> step) {
  drainTimer_.expires_at(at);
  drainTimer_.async_wait([step = std::move(step)](const Error& error) {
    if (!error) step();
  });
}

void Gatekeeper::closeIdleClients(const std::function<void()>& done) {
  server_.closeIdle();
  server_.whenEmpty([this, done] { finishDrain(done); });
}

// The process ends: requests still in flight were owed an answer.
void Gatekeeper::finishDrain(const std::function<void()>& done) {
  const Time now = clock_.now();
  processLog().info("event=drained held={} client_connections={} invariants_broken={}", requests_.size(),
                    server_.connections(), monitor_.total());
  for (auto& [id, request] : requests_)
    if (!request.responseStarted) monitor_.requestReleased(request.trace, now);
  if (server_.connections() == 0)
    monitor_.checkNothingHeld(requests_.size(),
                              std::to_string(requests_.size()) + " requests held without a connection", now);
  done();
}

// --- From discovery --------------------------------------------------------------------------------------

// A zone or machine type that the settings do not name is none of theirs, also after others were added.
Endpoint Gatekeeper::endpointOf(const EndpointEntry& instance, const WorkerStart& start,
                                const NameIndex& zones, const NameIndex& kinds) const {
  Endpoint out;
  out.worker = workerIdOf(instance.id);
  out.phase = instance.phase;
  out.zone = zones.of(instance.zone);
  out.machineType = kinds.of(instance.machineType);
  out.cell = instance.cell;
  out.startedAt = start.slowStartFrom;
  return out;
}

// The worker drains or is gone: no new attempt goes to it.
void Gatekeeper::onWorkerRetired(WorkerId worker, decision::WorkerPhase phase, Time now) {
  listed_.erase(worker);
  monitor_.workerRetired(worker, phase, now);
  pool_.retireWorker(worker);
}

void Gatekeeper::onEndpointList(const EndpointList& roster, EndpointUpdate kind) {
  const Time now = clock_.now();
  const bool live = endpointsKnown_ && kind != EndpointUpdate::cached;
  for (const EndpointEntry& instance : roster.entries) starts_.observe(instance.startedAtMs, now);
  std::vector<Endpoint> members;
  std::unordered_set<WorkerId> unnamed;
  if (kind != EndpointUpdate::delta) unnamed = listed_;
  const NameIndex zones(config_.host.zones), kinds(config_.host.machineTypes);
  for (const EndpointEntry& instance : roster.entries) {
    const WorkerId worker = workerIdOf(instance.id);
    const WorkerStart start = starts_.startOf(worker, instance.startedAtMs, now, live);
    members.push_back(endpointOf(instance, start, zones, kinds));
    exclusions_.addNamed(instance.id);
    unnamed.erase(worker);
    if (instance.phase == decision::WorkerPhase::ready) {
      listed_.insert(worker);
      monitor_.workerReady(worker, start.slowStartFrom);
      pool_.setWorkerAddress(worker, {instance.address, processFrom(start)});
    } else {
      onWorkerRetired(worker, instance.phase, now);
    }
  }
  for (const WorkerId worker : unnamed) onWorkerRetired(worker, decision::WorkerPhase::removed, now);
  starts_.forgetUnlisted([this](WorkerId worker) { return listed_.contains(worker); });
  gateway_.onEndpoints(now, kind, members);
  workersKnown_ = workersKnown_ || !listed_.empty();
  if (kind != EndpointUpdate::cached) onEndpointsKnown();
}

}  // namespace wingslip
