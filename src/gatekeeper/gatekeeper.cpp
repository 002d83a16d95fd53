/// The gatekeeper's start, reload, drain and handling of endpoint lists.
#include "gatekeeper/gatekeeper.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "gatekeeper/drain_schedule.hpp"
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

// Limits the wait for the exclusions at the start: the platform kills a process that is not ready after 30 s.
constexpr auto kExclusionsTimeout = 20s;
constexpr auto kReadyPollInterval = 20ms;        // of the check whether this process is ready to serve
constexpr Time kMaxHandoverAgeMs = 30000;        // an older file is from a process that no longer serves
constexpr std::size_t kMaxCountedClasses = 512;  // classes that a reload adds beyond it get no own counts

invariant::WorkerRules workerRules(const decision::Settings& settings) {
  return {settings.drainGraceMs, settings.overloadMultiple, settings.slowStartInitialShare,
          settings.overloadWindowMs, settings.slowStartMs};
}

std::chrono::steady_clock::time_point processStartOf(const WorkerStart& start) {
  if (start.processStartedAt <= 0) return std::chrono::steady_clock::time_point::min();
  return DecisionClock::toSteady(start.processStartedAt);
}

}  // namespace

Gatekeeper::Gatekeeper(asio::io_context& io, const Config& config)
    : io_(io),
      config_(config),
      overloadManager_(io, memoryShares(config), overloadLimits(config)),
      pool_(io, poolLimits(config), config.settings.loadReportFields, overloadManager_,
            [this](AttemptEnd&& end) { onAttemptDone(std::move(end)); }),
      server_(io, config_, serverLimits(config), *this, overloadManager_),
      gateway_(config.settings, config.seed, clock_.now(), *this),
      monitor_([](const std::string& line) { processLog().error("event=invariant text=\"{}\"", line); },
               [this] { return gateway_.warmWorkerRate(clock_.now()); }),
      sentRequests_(config.inheritedListenFd >= 0 ? config.stateDir : std::string()),
      exclusions_(io, config.stateDir,
                  [this](const ExclusionChange& change) { onExclusionsChanged(change); }),
      fleet_(io, config_, overloadManager_, [this](const replication::Row& row) { onReplicatedRow(row); }),
      startTimer_(io),
      drainTimer_(io),
      acceptTimer_(io),
      reportTimer_(io, [this] { report(); }),
      handoverWriter_(io, config.stateDir) {
  pool_.setStreamHandlers({[this](RequestId id, const std::string& type,
                                  std::optional<std::uint64_t> length) { onResponseStart(id, type, length); },
                           [this](RequestId id, std::string&& piece) { forwardPiece(id, std::move(piece)); },
                           [this](RequestId id) { onResponseHeader(id); }});
  overloadManager_.start([this] { return std::max(server_.busyFraction(), pool_.busyFraction()); },
                         [this](double excess) { onOverload(excess); });
  if (config_.ops)
    ops_.emplace(io, OpsServer::Limits{}, static_cast<OperatorCalls&>(*this), overloadManager_);
  for (const std::string& name : config_.host.classes) metrics_.classes.try_emplace(name);
  monitor_.setRules(workerRules(config_.settings));
  exclusions_.reportAll();
  applyHandover();
  EndpointList configuredList;
  if (!config_.initialEndpointList.empty()) {
    configuredList = parseEndpointList(config_.initialEndpointList);
    onEndpointList(configuredList, EndpointUpdate::cached);
  }
  discovery_ = std::make_unique<DiscoveryClient>(
      io, config_.discovery, std::move(configuredList), watchLimits(config_), config_.seed,
      [this](const EndpointList& list) {
        onEndpointList(list, list.isSnapshot ? EndpointUpdate::snapshot : EndpointUpdate::delta);
      },
      overloadManager_);
}

Gatekeeper::~Gatekeeper() = default;

void Gatekeeper::start() {
  if (ops_) ops_->start(*config_.ops);
  server_.start();
  discovery_->start();
  startTimer_.expires_after(toDuration(EndpointWatch::maxUpdateDelayMs(watchLimits(config_))));
  startTimer_.async_wait([this](const Error& error) {
    if (!error) onFirstListWaitOver();
  });
  if (config_.inheritedListenFd >= 0) {
    acceptOnceReady();
    handoverWriter_.start([this] { return currentHandover(); });
  }
  if (!config_.stateDir.empty()) exclusions_.startPeriodicSync([this] { startServing(); });
  fleet_.startCoordinator();
  fleet_.startReplica();
  reportTimer_.start();
}

// The platform owns the listening socket, so the previous process continues to accept until this one is
// ready.
void Gatekeeper::acceptOnceReady() {
  if (draining_) return;
  if (readyToServe()) return server_.startAccepting();
  acceptTimer_.expires_after(kReadyPollInterval);
  acceptTimer_.async_wait([this](const Error& error) {
    if (!error) acceptOnceReady();
  });
}

// Without the handover a new process would have to relearn the rate of warm workers, and workers in slow
// start would receive almost no requests until then.
void Gatekeeper::applyHandover() {
  if (config_.inheritedListenFd < 0) return;
  const Time now = clock_.now();
  const auto handover = readHandover(config_.stateDir);
  if (!handover || std::abs(now - handover->writtenAt) >= kMaxHandoverAgeMs) return;
  if (handover->warmWorkerRatePerMs > 0) gateway_.seedWarmWorkerRate(now, handover->warmWorkerRatePerMs);
  startTimes_ = StartTimes(handover->clockOffsetMs);
}

std::optional<Handover> Gatekeeper::currentHandover() const {
  if (draining_) return std::nullopt;
  const Time now = clock_.now();
  return Handover{now, gateway_.warmWorkerRate(now), startTimes_.clockOffsetMs()};
}

// Requests are sent to workers only after the agent's first list: the gatekeeper must use at least what the
// agent knew when the process started, and the configured list may be older. If the agent sends no list
// within `EndpointWatch::maxUpdateDelayMs`, longer than a working agent can be silent, it is assumed to be
// down and the configured list is used.
//
// Requests also wait until the operators' exclusions are loaded: an unreadable file is retried
// (ExclusionControl::startPeriodicSync) for kExclusionsTimeout.
void Gatekeeper::onFirstListWaitOver() {
  firstListWaitOver_ = true;
  if (exclusions_.isLoaded()) return startServing();
  startTimer_.expires_at(startedAt_ + kExclusionsTimeout);
  startTimer_.async_wait([this](const Error& error) {
    if (error) return;
    processLog().error(
        "event=exclusions text=\"exclusion file unreadable since the start; serving without it until it can "
        "be read\"");
    startServing();
  });
}

void Gatekeeper::startServing() {
  if (!firstListWaitOver_ || std::exchange(serving_, true)) return;
  startTimer_.cancel();
  for (const auto& [id, request] : std::exchange(earlyRequests_, {}))
    if (requests_.contains(id)) gateway_.onRequest(clock_.now(), request);
}

// --- Overload --------------------------------------------------------------------------------------------

// The decision module chooses which requests to shed. Connections that have long been idle are closed here,
// since they use descriptors without serving a request.
void Gatekeeper::onOverload(double excess) {
  const OverloadState& state = overloadManager_.state();
  if (overloadManager_.areDescriptorsOverloaded()) server_.closeLongIdleConnections();
  gateway_.onOverload(clock_.now(),
                      {state.level() != OverloadLevel::none, overloadManager_.isMemoryOverloaded(),
                       state.rejectShare(), excess, state.expectedDurationMs(OverloadManager::now())});
}

// --- Reload ----------------------------------------------------------------------------------------------

// Translates the class and plan indexes of an early request from the previous settings to the new ones.
// Returns false if the new settings lack its class or plan; the request then gets no attempt. At its
// deadline it is rejected, or failed if serving has started by then.
bool Gatekeeper::remap(decision::Request& request, const NameIndex& classes, const NameIndex& plans) const {
  const unsigned classIndex = classes.indexOf(config_.host.classes[request.classIndex]);
  const unsigned planIndex = plans.indexOf(config_.host.plans[request.planIndex]);
  if (classIndex == NameIndex::kNone || planIndex == NameIndex::kNone) return false;
  request.classIndex = classIndex;
  request.planIndex = planIndex;
  return true;
}

std::map<RequestId, decision::Request> Gatekeeper::remappedEarlyRequests(
    const settings::HostSettings& host) const {
  const NameIndex classes(host.classes);
  const NameIndex plans(host.plans);
  std::map<RequestId, decision::Request> remapped;
  for (auto [id, request] : earlyRequests_)
    if (remap(request, classes, plans)) remapped.emplace(id, request);
  return remapped;
}

// Appends new zones and machine types to the present ones, so that indexes already in use stay valid.
settings::HostSettings Gatekeeper::mergedHostSettings(const Config& config) const {
  settings::HostSettings host = config.host;
  host.zones = mergedNames(config_.host.zones, host.zones);
  host.machineTypes = mergedNames(config_.host.machineTypes, host.machineTypes);
  return host;
}

void Gatekeeper::reload(const Config& config) {
  decision::Settings settings = config.settings;
  settings::HostSettings host = mergedHostSettings(config);
  if (settings.zone < config.host.zones.size())
    settings.zone = NameIndex(host.zones).indexOf(config.host.zones[settings.zone]);
  std::map<RequestId, decision::Request> earlyRequests = remappedEarlyRequests(config.host);
  gateway_.onSettings(clock_.now(), settings);
  earlyRequests_ = std::move(earlyRequests);
  config_.settings = std::move(settings);
  monitor_.setRules(workerRules(config_.settings));
  config_.host = std::move(host);
  config_.keys = config.keys;
  config_.discovery = config.discovery;
  pool_.updateSettings(poolLimits(config_), config_.settings.loadReportFields);
  overloadManager_.setLimits(overloadLimits(config_));
  if (config.memoryLimitMib != config_.memoryLimitMib)
    processLog().warn(
        "event=reload text=\"limits.memory_mb cannot be changed by a reload; the value read at start-up "
        "stays in effect\" memory_mb={}",
        config_.memoryLimitMib);
  for (const std::string& name : config_.host.classes)
    if (metrics_.classes.size() < kMaxCountedClasses) metrics_.classes.try_emplace(name);
  reloadFleetServices(config);
  ++metrics_.reloadsOk;
  discovery_->setAgent(config.discovery, watchLimits(config_));
  processLog().info("event=reloaded");
}

// Does nothing while draining: both services have been notified that this process leaves, and the end of the
// drain waits for the coordinator that was in use at the drain's start.
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

// If the platform owns the listening socket, the next process already accepts. This process's connections
// stay open until `DrainSchedule::closeIdleMs`, so that requests that clients are sending are still read.
void Gatekeeper::drain(std::function<void()> done) {
  draining_ = true;
  processLog().info("event=drain held={} client_connections={}", requests_.size(), server_.connections());
  fleet_.drain();
  done = [this, done = std::move(done)] { fleet_.endStoreSession(done); };
  server_.startDrain();
  const bool nextProcessAccepts = config_.inheritedListenFd >= 0;
  if (nextProcessAccepts) server_.stopAccepting();
  Time longestDeadlineMs = 0;
  for (const auto& requestClass : config_.settings.classes)
    longestDeadlineMs = std::max(longestDeadlineMs, requestClass.deadlineMs);
  const DrainSchedule schedule = drainSchedule(longestDeadlineMs, nextProcessAccepts);
  const auto sigtermAt = std::chrono::steady_clock::now();
  drainStepAt(sigtermAt + toDuration(schedule.closeIdleMs),
              [this, sigtermAt, schedule, nextProcessAccepts, done = std::move(done)] {
                if (!nextProcessAccepts) server_.stopAccepting();
                closeIdleClients(done);
                drainStepAt(sigtermAt + toDuration(schedule.refuseMs), [this, sigtermAt, schedule, done] {
                  answerRemaining();
                  drainStepAt(sigtermAt + toDuration(schedule.exitMs), [this, done] { finishDrain(done); });
                });
              });
}

// Reuses the timer of the previous step, which has run by then.
void Gatekeeper::drainStepAt(SteadyTime at, std::function<void()> step) {
  drainTimer_.expires_at(at);
  drainTimer_.async_wait([step = std::move(step)](const Error& error) {
    if (!error) step();
  });
}

// From now on until the exit everything that has been read gets its answer at once: there is no time left for
// a worker.
void Gatekeeper::answerRemaining() {
  server_.startRefusing();
  failRemaining();
  server_.refuseIncompleteRequests();
}

void Gatekeeper::closeIdleClients(const std::function<void()>& done) {
  server_.closeIdleConnections();
  server_.notifyWhenEmpty([this, done] { finishDrain(done); });
}

// Runs before the process exits, possibly twice. Requests in flight without a response are reported to the
// invariant monitor, since each should have had one.
void Gatekeeper::finishDrain(const std::function<void()>& done) {
  const Time now = clock_.now();
  processLog().info("event=drained held={} client_connections={} invariants_broken={}", requests_.size(),
                    server_.connections(), monitor_.total());
  for (auto& [id, request] : requests_)
    if (!request.responseStarted) monitor_.requestReleased(request.trace, now);
  if (server_.connections() == 0)
    monitor_.checkNoneRemaining(
        requests_.size(),
        std::to_string(requests_.size()) + " requests in flight without a client connection", now);
  done();
}

// --- Endpoint lists --------------------------------------------------------------------------------------

// A zone or machine type that the settings do not name gets NameIndex::kNone, which stays distinct from every
// index that a reload adds.
Endpoint Gatekeeper::endpointOf(const EndpointEntry& entry, const WorkerStart& start, const NameIndex& zones,
                                const NameIndex& machineTypes) const {
  Endpoint out;
  out.worker = workerIdOf(entry.id);
  out.phase = entry.phase;
  out.zone = zones.indexOf(entry.zone);
  out.machineType = machineTypes.indexOf(entry.machineType);
  out.cell = entry.cell;
  out.startedAt = start.slowStartFrom;
  return out;
}

// The worker is draining or was removed from the list: no new attempt is sent to it.
void Gatekeeper::onWorkerRetired(WorkerId worker, decision::WorkerPhase phase, Time now) {
  readyWorkers_.erase(worker);
  monitor_.workerRetired(worker, phase, now);
  pool_.retireWorker(worker);
}

void Gatekeeper::onEndpointList(const EndpointList& list, EndpointUpdate kind) {
  const Time now = clock_.now();
  const bool isUpdate = firstListWaitOver_ && kind != EndpointUpdate::cached;
  for (const EndpointEntry& entry : list.entries) startTimes_.correctClockOffset(entry.startedAtMs, now);
  std::vector<Endpoint> endpoints;
  std::unordered_set<WorkerId> unlisted;
  if (kind != EndpointUpdate::delta) unlisted = readyWorkers_;
  const NameIndex zones(config_.host.zones), machineTypes(config_.host.machineTypes);
  for (const EndpointEntry& entry : list.entries) {
    const WorkerId worker = workerIdOf(entry.id);
    const WorkerStart start = startTimes_.startOf(worker, entry.startedAtMs, now, isUpdate);
    endpoints.push_back(endpointOf(entry, start, zones, machineTypes));
    exclusions_.addListedWorker(entry.id);
    unlisted.erase(worker);
    if (entry.phase == decision::WorkerPhase::ready) {
      readyWorkers_.insert(worker);
      monitor_.workerReady(worker, start.slowStartFrom);
      pool_.setWorkerAddress(worker, {entry.address, processStartOf(start)});
    } else {
      onWorkerRetired(worker, entry.phase, now);
    }
  }
  for (const WorkerId worker : unlisted) onWorkerRetired(worker, decision::WorkerPhase::removed, now);
  startTimes_.removeUnlisted([this](WorkerId worker) { return readyWorkers_.contains(worker); });
  gateway_.onEndpoints(now, kind, endpoints);
  workersKnown_ = workersKnown_ || !readyWorkers_.empty();
  if (kind != EndpointUpdate::cached) onFirstListWaitOver();
}

}  // namespace wingslip
