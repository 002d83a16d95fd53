// The gatekeeper's life: its parts, its start, changed settings, lists of workers, its end.
#include "gatekeeper/gatekeeper.hpp"

#include <algorithm>

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

constexpr auto kAcceptAfterTerm = 500ms;  // connections go on coming for up to 400 ms after SIGTERM
constexpr auto kIdleAfterTerm = 1200ms;  // in an upgrade: idle connections are closed, their clients go on to
                                         // the new process
// The end may come at the longest deadline, counted as kDeadlineMost at most, and 700 ms after SIGTERM: what
// is held at that deadline and kAnswerSlack is failed, and at kEndSlack the program ends.
constexpr Time kDeadlineMost = 3000, kAnswerSlack = 400, kEndSlack = 550;
// For exclusions by hand that cannot be read at the start. Longer: the platform gives a start up after 30 s.
constexpr auto kExclusionsWithin = 20s;
constexpr Time kRetireWithin = 1000;  // for what is given back to a store that is used no more
constexpr std::size_t kMostClasses = 512;

invariant::WorkerRules workerRules(const decision::Settings& settings) {
  return {settings.drainGraceMs, settings.overloadMultiple, settings.slowStartShare,
          settings.overloadWindowMs, settings.slowStartMs};
}

std::chrono::steady_clock::time_point processFrom(const WorkerStart& start) {
  if (start.processFrom <= 0) return std::chrono::steady_clock::time_point::min();
  return DecisionClock::steady(start.processFrom);
}

}  // namespace

Gatekeeper::Gatekeeper(asio::io_context& io, const Config& config)
    : io_(io),
      config_(config),
      pressure_(io, memoryOf(config), pressureLimits(config)),
      pool_(io, poolLimits(config), config.settings.loadReportFields, pressure_,
            [this](AttemptEnd&& end) { ended(std::move(end)); }),
      server_(io, config_, serverLimits(config), *this, pressure_),
      gateway_(config.settings, config.seed, clock_.now(), *this),
      monitor_([](const std::string& line) { processLog().error("event=invariant text=\"{}\"", line); },
               [this] { return gateway_.warmWorkerRate(clock_.now()); }),
      exclusions_(config.stateDir),
      settle_(io),
      drain_(io),
      report_(io),
      follow_(io),
      accept_(io),
      leave_(io) {
  pool_.setStreamHandlers({[this](RequestId id, const std::string& type, std::optional<std::uint64_t> length) {
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
    told(known, EndpointUpdate::cached);
  }
  discovery_ = std::make_unique<Discovery>(
      io, config_.discovery, std::move(known), watchLimits(config_), config_.seed,
      [this](const Roster& roster) {
        told(roster, roster.reset ? EndpointUpdate::snapshot : EndpointUpdate::delta);
      },
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
  replica_ = std::make_unique<replication::ReplicaNode>(
      io_, *config_.replication, config_.name, config_.stateDir, config_.seed, pressure_,
      [this](const replication::Row& row) { replicated(row); });
  replica_->start();
}

void Gatekeeper::coordinate() {
  if (!config_.coordination) return;
  coordinator_ = std::make_unique<leader_election::Coordinator>(
      io_, *config_.coordination, config_.name, config_.settings.gatewayCount, config_.seed, pressure_);
  coordinator_->start();
}

// --- Back-pressure ---------------------------------------------------------------------------------------

// Which requests pay for it is the module's choice; idle connections serve nobody.
void Gatekeeper::pressed(double excess) {
  const Pressure& now = pressure_.pressure();
  if (pressure_.fewDescriptors()) server_.trimIdle();
  gateway_.onOverload(clock_.now(), {now.stage() != Stage::none, pressure_.slow(), now.share(), excess,
                                     now.lasts(OverloadManager::now())});
}

// What came before the first list is numbered as the settings were then. False: its class or plan is no more;
// it is refused when its time ends.
bool Gatekeeper::renumber(decision::Request& request, const NameIndex& classes,
                          const NameIndex& plans) const {
  const unsigned klass = classes.of(config_.host.classes[request.classIndex]);
  const unsigned plan = plans.of(config_.host.plans[request.planIndex]);
  if (klass == NameIndex::kNone || plan == NameIndex::kNone) return false;
  request.classIndex = klass;
  request.planIndex = plan;
  return true;
}

void Gatekeeper::reload(const Config& config) {
  decision::Settings settings = config.settings;
  settings::HostSettings host = config.host;
  // Behind the names there were: whoever was told of a name by its number goes on to mean the same.
  host.zones = joinedNames(config_.host.zones, host.zones);
  host.kinds = joinedNames(config_.host.kinds, host.kinds);
  if (settings.zone < config.host.zones.size())
    settings.zone = NameIndex(host.zones).of(config.host.zones[settings.zone]);
  const NameIndex classes(config.host.classes), plans(config.host.plans);
  std::vector<decision::Request> early;
  for (decision::Request request : early_)
    if (renumber(request, classes, plans)) early.push_back(request);
  gateway_.onSettings(clock_.now(), settings);
  early_ = std::move(early);
  config_.settings = std::move(settings);
  monitor_.rules(workerRules(config_.settings));
  config_.host = std::move(host);
  config_.keys = config.keys;
  config_.discovery = config.discovery;
  pool_.updateSettings(poolLimits(config_), config_.settings.loadReportFields);
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
  for (const auto& klass : config_.settings.classes) longest = std::max(longest, klass.deadlineMs);
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

// --- From discovery --------------------------------------------------------------------------------------

// One of a zone or kind that the settings do not name is of none of theirs, also after others have come in.
Endpoint Gatekeeper::memberOf(const Instance& instance, const WorkerStart& start, const NameIndex& zones,
                              const NameIndex& kinds) const {
  Endpoint out;
  out.worker = numberOf(instance.id);
  out.phase = instance.phase;
  out.zone = zones.of(instance.zone);
  out.machineType = kinds.of(instance.kind);
  out.cell = instance.cell;
  out.startedAt = start.warmFrom;
  return out;
}

// Told to drain, or gone: nothing new to it.
void Gatekeeper::leave(WorkerId worker, decision::WorkerPhase phase, Time now) {
  listed_.erase(worker);
  monitor_.workerLeaves(worker, phase, now);
  pool_.removeWorker(worker);
}

void Gatekeeper::told(const Roster& roster, EndpointUpdate kind) {
  const Time now = clock_.now();
  const bool live = listTold_ && kind != EndpointUpdate::cached;
  for (const Instance& instance : roster.instances) starts_.hear(instance.startedAtMs, now);
  std::vector<Endpoint> members;
  std::unordered_set<WorkerId> unnamed;
  if (kind != EndpointUpdate::delta) unnamed = listed_;
  const NameIndex zones(config_.host.zones), kinds(config_.host.kinds);
  for (const Instance& instance : roster.instances) {
    const WorkerId worker = numberOf(instance.id);
    const WorkerStart start = starts_.startOf(worker, instance.startedAtMs, now, live);
    members.push_back(memberOf(instance, start, zones, kinds));
    noteNamed(instance.id);
    unnamed.erase(worker);
    if (instance.phase == decision::WorkerPhase::ready) {
      listed_.insert(worker);
      monitor_.workerReady(worker, start.warmFrom);
      pool_.setWorkerAddress(worker, {instance.address, processFrom(start)});
    } else {
      leave(worker, instance.phase, now);
    }
  }
  for (const WorkerId worker : unnamed) leave(worker, decision::WorkerPhase::removed, now);
  starts_.trim([this](WorkerId worker) { return listed_.contains(worker); });
  gateway_.onEndpoints(now, kind, members);
  ready_ = ready_ || !listed_.empty();
  if (kind != EndpointUpdate::cached) settle();
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
  for (const decision::Request& request : std::exchange(early_, {}))
    if (held_.contains(request.id)) gateway_.onRequest(clock_.now(), request);
}

}  // namespace wingslip
