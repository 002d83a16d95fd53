#include "distribution_simulation.hpp"

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <set>

#include "distribution/placement.hpp"

namespace wingslip::lab {
namespace {

using namespace wingslip::distribution;

constexpr Milliseconds kWarmUpTime = 30'000;  // time for subscribers to connect; not measured
constexpr Milliseconds kDrainTime = 30'000;   // time after the last change until the end of the run
constexpr Milliseconds kReplicaTick = 100;
constexpr Milliseconds kRetryInterval = 1'000;  // between retries of unconfirmed requests
constexpr Milliseconds kFaultAt = kWarmUpTime + 60'000;
constexpr Milliseconds kReplicaDownTime = 120'000;
constexpr Milliseconds kLeaseTime = 15'000;  // from the writer's failure until another replica gets a term
constexpr Milliseconds kZoneDownTime = 60'000;
constexpr Milliseconds kPartitionTime = 300'000;
constexpr Milliseconds kTrafficWindow = 10'000;
constexpr int kFailedReplica = 1;
constexpr int kRestartedZone = 1;
constexpr std::size_t kValueBytes = 112;

std::string randomValue(std::mt19937_64& random) {
  std::string value(kValueBytes, ' ');
  for (char& c : value) c = static_cast<char>('a' + random() % 26);
  return value;
}

EntryKey keyOf(int index) {
  const auto kind = static_cast<EntryKind>(index % static_cast<int>(kEntryKinds));
  return {kind, "entry-of-tenant-" + std::to_string(100'000 + index)};
}

Quantiles quantilesOf(std::vector<double>& samples) {
  if (samples.empty()) return {};
  std::sort(samples.begin(), samples.end());
  const auto at = [&samples](double q) {
    return samples[static_cast<std::size_t>(q * static_cast<double>(samples.size() - 1))];
  };
  return {at(0.5), at(0.99), samples.back()};
}

// Histogram of times in ms; the last bucket counts all longer times.
class Histogram {
 public:
  void add(Milliseconds value) {
    const auto bucket = std::min<std::size_t>(static_cast<std::size_t>(value), kSize - 1);
    ++counts_[bucket];
    ++total_;
    worst_ = std::max(worst_, value);
  }
  std::uint64_t total() const { return total_; }
  Quantiles quantiles() const { return {quantile(0.5), quantile(0.99), static_cast<double>(worst_)}; }

 private:
  static constexpr std::size_t kSize = 400'000;
  double quantile(double q) const {
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < kSize; ++i) {
      seen += counts_[i];
      if (static_cast<double>(seen) >= q * static_cast<double>(total_) && seen > 0)
        return static_cast<double>(i);
    }
    return 0;
  }
  std::vector<std::uint64_t> counts_ = std::vector<std::uint64_t>(kSize);
  std::uint64_t total_ = 0;
  Milliseconds worst_ = 0;
};

// Traffic of one node: totals of the current phase, and the worst window of `kTrafficWindow` (ten seconds).
struct Traffic {
  std::uint64_t bytesIn = 0, bytesOut = 0, messagesIn = 0, messagesOut = 0;
  std::uint64_t windowBytes = 0, worstWindowBytes = 0;
  Milliseconds window = 0;

  void count(Milliseconds now, std::uint64_t bytes, bool in) {
    (in ? bytesIn : bytesOut) += bytes;
    ++(in ? messagesIn : messagesOut);
    if (now / kTrafficWindow != window) {
      window = now / kTrafficWindow;
      windowBytes = 0;
    }
    windowBytes += bytes;
    worstWindowBytes = std::max(worstWindowBytes, windowBytes);
  }
};

TrafficRates ratesOf(const std::vector<const Traffic*>& nodes, double seconds) {
  TrafficRates rates;
  if (nodes.empty() || seconds <= 0) return rates;
  const double divisor = static_cast<double>(nodes.size()) * seconds;
  for (const Traffic* node : nodes) {
    rates.meanBytesIn += static_cast<double>(node->bytesIn) / divisor;
    rates.meanBytesOut += static_cast<double>(node->bytesOut) / divisor;
    rates.meanMessagesIn += static_cast<double>(node->messagesIn) / divisor;
    rates.meanMessagesOut += static_cast<double>(node->messagesOut) / divisor;
    const double bytes = static_cast<double>(node->bytesIn + node->bytesOut) / seconds;
    rates.worstBytes = std::max(rates.worstBytes, bytes);
    const double window = 1000.0 * static_cast<double>(node->worstWindowBytes) / kTrafficWindow;
    rates.worstTenSecondBytes = std::max(rates.worstTenSecondBytes, window);
  }
  return rates;
}

// Sizes of encoded messages. Messages with the same first and last record or range are encoded once and their
// size is cached. All RangeRequests are counted with the size of the first one.
class MessageSizes {
 public:
  std::size_t of(const Message& message) {
    if (const auto* changes = std::get_if<Changes>(&message)) {
      if (!changes->records.empty())
        return cachedSize({changes->records.front().get(), changes->records.back().get()}, message);
    }
    if (const auto* contents = std::get_if<RangeContents>(&message)) {
      if (!contents->ranges.empty())
        return cachedSize({contents->ranges.front().range.get(), contents->ranges.back().range.get()},
                          message);
    }
    if (std::holds_alternative<RangeRequest>(message)) return cachedSize({this, this}, message);
    return encode(message).size();
  }

 private:
  using FirstAndLast = std::pair<const void*, const void*>;
  std::size_t cachedSize(const FirstAndLast& firstAndLast, const Message& message) {
    const auto found = sizes_.find(firstAndLast);
    if (found != sizes_.end()) return found->second;
    const std::size_t size = encode(message).size();
    // A freed record's address may be reused by another record, which then gets a wrong size. Clearing the
    // cache regularly limits such hits, and the sizes differ little.
    if (sizes_.size() > 4096) sizes_.clear();
    sizes_[firstAndLast] = size;
    return size;
  }
  std::map<FirstAndLast, std::size_t> sizes_;
};

class Simulation {
 public:
  explicit Simulation(const DistributionOptions& options)
      : options_(options),
        random_(options.seed),
        configuration_(makeConfiguration(options.entries, options.seed)) {
    result_.fullConfigurationBytes = static_cast<double>(encodeSnapshot(configuration_).size());
    for (int i = 0; i < options.zones; ++i) replicas_.push_back(std::make_unique<ReplicaNode>(*this, i));
    for (int i = 0; i < options.subscribers; ++i)
      subscribers_.push_back(std::make_unique<SubscriberNode>(*this, i));
    for (auto& node : replicas_) node->startProcess(configuration_);
    for (auto& node : subscribers_)
      scheduleAt(randomBetween(0, 1'000), {EventKind::subscriber_start, node->index});
    replicas_[0]->core->becomeWriter(0, 2);
    scheduleRun();
  }

  DistributionResult run() {
    while (!events_.empty() && events_.top().at <= endAt_) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      handle(event);
    }
    finish();
    return result_;
  }

 private:
  enum class EventKind {
    replica_tick,
    subscriber_tick,
    subscriber_start,
    message,
    publish,
    retry,
    phase,
    fault,
    heal,
  };
  struct Delivery {
    bool fromReplica = false, toReplica = false;
    int from = 0;
    std::shared_ptr<const Message> message;
    std::uint32_t bytes = 0;
  };
  struct Event {
    EventKind kind = EventKind::message;
    int index = 0;
    Delivery delivery = {};
    Milliseconds at = 0;
    std::uint64_t order = 0;  // of insertion; breaks ties between equal times
    // Inverted: std::priority_queue returns the greatest element, which must be the earliest event.
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct PublishedRequest {
    Milliseconds at = 0;
    std::size_t phase = 0;
    std::vector<Edit> edits;
  };
  // A committed version. The barrier that starts a term has no request. `maxLatency` is the longest time from
  // publication until a gatekeeper applied the change.
  struct CommittedChange {
    const PublishedRequest* request = nullptr;
    Milliseconds maxLatency = 0;
  };
  struct PhasePlan {
    std::string name;
    Milliseconds from = 0, until = 0;
    double changesPerSecond = 0;
  };

  struct ReplicaNode : ControlReplica::Environment {
    ReplicaNode(Simulation& owner, int number)
        : simulation(owner), index(number), name(std::string("r").append(std::to_string(number))) {}
    void startProcess(const Snapshot& disk) {
      std::vector<std::string> peers;
      for (int i = 0; i < simulation.options_.zones; ++i)
        if (i != index) peers.push_back(std::string("r").append(std::to_string(i)));
      core = std::make_unique<ControlReplica>(ReplicaLimits{}, name, peers, simulation.random_(), *this);
      core->restore(disk);
      up = true;
      simulation.scheduleAt(simulation.now_ + simulation.randomBetween(1, kReplicaTick),
                            {EventKind::replica_tick, index});
    }
    void send(const std::string& to, Message message) override {
      simulation.transmit(true, index, to, std::move(message));
    }
    void onChangeCommitted(const std::string& requestId, Version) override { simulation.confirm(requestId); }
    void onChangeRejected(const std::string&, const RejectedChange&) override {}
    void log(const std::string&) override {}
    Milliseconds unixTime() override { return simulation.now_ + 1; }

    Simulation& simulation;
    const int index;
    const std::string name;
    std::unique_ptr<ControlReplica> core;
    Traffic traffic;
    bool up = false;
  };

  struct SubscriberNode : Subscriber::Environment {
    SubscriberNode(Simulation& owner, int number)
        : simulation(owner),
          index(number),
          name(std::string("s").append(std::to_string(number))),
          zone(number % owner.options_.zones) {}
    void startProcess(const Snapshot& from) {
      core = std::make_unique<Subscriber>(
          SubscriberLimits{}, orderReplicas(name, simulation.locationOf(zone), simulation.addresses()),
          "build", [](const Entry&) -> std::optional<std::string> { return std::nullopt; },
          simulation.random_(), *this);
      core->restore(from);
      version = core->version();
      core->start(simulation.now_);
      up = true;
      timerAt = 0;
      armTimer();
    }
    void armTimer() {
      const Milliseconds when = std::max(core->nextTickAt(), simulation.now_ + 1);
      if (timerAt > simulation.now_ && timerAt <= when) return;
      timerAt = when;
      simulation.scheduleAt(when, {EventKind::subscriber_tick, index});
    }
    void send(const std::string& to, Message message) override {
      simulation.transmit(false, index, to, std::move(message));
    }
    void onChangesApplied(Version to, const std::vector<EffectiveChange>&) override {
      simulation.onDelivered(*this, to);
      version = to;
    }
    void log(const std::string&) override {}

    Simulation& simulation;
    const int index;
    const std::string name;
    const int zone;
    std::unique_ptr<Subscriber> core;
    Snapshot disk;
    Traffic traffic;
    Version version = 0;
    Milliseconds timerAt = 0;
    Milliseconds restartedAt = -1;  // time of the last restart; -1 once the copy is up to date
    std::uint64_t bytesAtRestart = 0;
    bool up = false;
  };

  void scheduleAt(Milliseconds when, Event event) {
    event.at = when;
    event.order = ++insertedCount_;
    events_.push(std::move(event));
  }
  Milliseconds randomBetween(Milliseconds a, Milliseconds b) {
    return std::uniform_int_distribution<Milliseconds>(a, b)(random_);
  }

  int regionOf(int zone) const { return zone * options_.regions / options_.zones; }
  Location locationOf(int zone) const {
    return {"region" + std::to_string(regionOf(zone)), "zone" + std::to_string(zone)};
  }
  const std::vector<ReplicaAddress>& addresses() {
    if (addresses_.empty())
      for (int i = 0; i < options_.zones; ++i)
        addresses_.push_back({std::string("r").append(std::to_string(i)), locationOf(i)});
    return addresses_;
  }
  Milliseconds delayBetween(int zone, int otherZone) {
    if (zone == otherZone) return options_.zoneDelay;
    const bool sameRegion = regionOf(zone) == regionOf(otherZone);
    const Milliseconds delay = sameRegion ? options_.regionDelay : options_.farDelay;
    return delay + randomBetween(0, delay / 5);
  }
  bool arePartitioned(int zone, int otherZone) const {
    if (!partitioned_) return false;
    const int a = regionOf(zone), b = regionOf(otherZone);
    return std::min(a, b) == 0 && std::max(a, b) == 1;
  }

  void scheduleRun() {
    Milliseconds from = kWarmUpTime;
    const auto phase = [&](const std::string& name, Milliseconds length, double rate) {
      phases_.push_back({name, from, from + length, rate});
      from += length;
    };
    const Milliseconds mean = options_.meanSeconds * Milliseconds{1000};
    switch (options_.scenario) {
      case DistributionScenario::steady:
        phase("mean", mean, options_.changesPerSecond);
        phase("storm", options_.stormSeconds * Milliseconds{1000},
              options_.changesPerSecond * options_.stormFactor);
        break;
      case DistributionScenario::regions_part:
        phase("before", kFaultAt - kWarmUpTime, options_.changesPerSecond);
        phase("parted", kPartitionTime, options_.changesPerSecond);
        phase("after", std::max<Milliseconds>(mean - kPartitionTime, 60'000), options_.changesPerSecond);
        break;
      default:
        phase("before", kFaultAt - kWarmUpTime, options_.changesPerSecond);
        phase("fault", mean, options_.changesPerSecond);
    }
    endAt_ = from + kDrainTime;
    for (const PhasePlan& plan : phases_) {
      scheduleAt(plan.from, {EventKind::phase, 0});
      DistributionPhase measured;
      measured.name = plan.name;
      measured.seconds = static_cast<double>(plan.until - plan.from) / 1000;
      result_.phases.push_back(measured);
      std::exponential_distribution<double> gap(plan.changesPerSecond / 1000);
      for (double when = static_cast<double>(plan.from) + gap(random_);
           when < static_cast<double>(plan.until); when += gap(random_))
        scheduleAt(static_cast<Milliseconds>(when), {EventKind::publish, 0});
    }
    scheduleAt(from, {EventKind::phase, 0});
    for (Milliseconds when = kWarmUpTime; when < endAt_; when += kRetryInterval)
      scheduleAt(when, {EventKind::retry, 0});
    if (options_.scenario != DistributionScenario::steady) scheduleAt(kFaultAt, {EventKind::fault, 0});
    deliveries_.resize(phases_.size());
    deliveryToAll_.resize(phases_.size());
  }

  void handle(const Event& event) {
    switch (event.kind) {
      case EventKind::replica_tick:
        return tickReplica(*replicas_[static_cast<std::size_t>(event.index)]);
      case EventKind::subscriber_tick:
        return tickSubscriber(*subscribers_[static_cast<std::size_t>(event.index)]);
      case EventKind::subscriber_start:
        return startSubscriber(*subscribers_[static_cast<std::size_t>(event.index)]);
      case EventKind::message:
        return deliver(event);
      case EventKind::publish:
        return publishNew();
      case EventKind::retry:
        return retryUnconfirmed();
      case EventKind::phase:
        return startNextPhase();
      case EventKind::fault:
        return startFault();
      case EventKind::heal:
        return endFault();
    }
  }

  void tickReplica(ReplicaNode& node) {
    if (!node.up) return;
    node.core->tick(now_);
    const SubscriberSessions& sessions = node.core->sessions();
    result_.maxSubscribersAtAReplica =
        std::max<std::uint64_t>(result_.maxSubscribersAtAReplica, sessions.size());
    result_.maxTransfersAtAReplica =
        std::max<std::uint64_t>(result_.maxTransfersAtAReplica, sessions.transfers());
    scheduleAt(now_ + kReplicaTick, {EventKind::replica_tick, node.index});
  }
  void tickSubscriber(SubscriberNode& node) const {
    if (!node.up || node.timerAt != now_) return;
    node.timerAt = 0;
    node.core->tick(now_);
    node.armTimer();
  }
  void startSubscriber(SubscriberNode& node) {
    if (node.up) return;
    const bool restarted = node.core != nullptr;
    if (restarted) {
      node.restartedAt = now_;
      node.bytesAtRestart = node.traffic.bytesIn;
      ++result_.restarted;
    }
    node.startProcess(restarted ? node.disk : configuration_);
    node.disk = Snapshot{};
  }

  void transmit(bool fromReplica, int from, const std::string& to, Message message) {
    const auto bytes = static_cast<std::uint32_t>(sizes_.of(message));
    Traffic& traffic = fromReplica ? replicas_[static_cast<std::size_t>(from)]->traffic
                                   : subscribers_[static_cast<std::size_t>(from)]->traffic;
    traffic.count(now_, bytes, false);
    const bool toReplica = to[0] == 'r';
    const int index = std::stoi(to.substr(1));
    const int fromZone = fromReplica ? from : subscribers_[static_cast<std::size_t>(from)]->zone;
    const int toZone = toReplica ? index : subscribers_[static_cast<std::size_t>(index)]->zone;
    if (arePartitioned(fromZone, toZone)) return;
    if (std::bernoulli_distribution(options_.loss)(random_)) return;
    const bool aboutChange =
        std::holds_alternative<Acknowledge>(message) ||
        (std::holds_alternative<Changes>(message) && !std::get<Changes>(message).records.empty());
    if (fromReplica != toReplica && aboutChange && phase_ > 0 && phase_ <= phases_.size()) {
      result_.phases[phase_ - 1].bytesPerChangeAndSubscriber += bytes;
      result_.phases[phase_ - 1].messagesPerChangeAndSubscriber += 1;
    }
    Event event{EventKind::message, index};
    event.delivery = {fromReplica, toReplica, from, std::make_shared<const Message>(std::move(message)),
                      bytes};
    scheduleAt(now_ + delayBetween(fromZone, toZone), std::move(event));
  }
  void deliver(const Event& event) {
    const Delivery& delivery = event.delivery;
    if (delivery.toReplica) {
      ReplicaNode& node = *replicas_[static_cast<std::size_t>(event.index)];
      if (!node.up) return;
      node.traffic.count(now_, delivery.bytes, true);
      const std::string from = (delivery.fromReplica ? "r" : "s") + std::to_string(delivery.from);
      node.core->receive(now_, from, *delivery.message);
      return;
    }
    SubscriberNode& node = *subscribers_[static_cast<std::size_t>(event.index)];
    if (!node.up) return;
    node.traffic.count(now_, delivery.bytes, true);
    node.core->receive(now_, replicas_[static_cast<std::size_t>(delivery.from)]->name, *delivery.message);
    node.armTimer();
  }

  void publishNew() {
    const std::string id = "q" + std::to_string(++requests_);
    const int index = static_cast<int>(random_() % static_cast<std::uint64_t>(options_.entries));
    published_[id] = {now_, phase_ - 1, {{keyOf(index), randomValue(random_)}}};
    unconfirmed_.insert(id);
    publish(id);
  }
  void retryUnconfirmed() {
    const std::set<std::string> ids = unconfirmed_;
    for (const std::string& id : ids) publish(id);
  }
  void publish(const std::string& id) {
    for (auto& node : replicas_) {
      if (!node->up || !node->core->isWriter()) continue;
      const PublishResult result = node->core->publish(now_, id, published_.at(id).edits);
      if (result.status == PublishStatus::committed) confirm(id);
      return;
    }
  }
  void confirm(const std::string& id) { unconfirmed_.erase(id); }

  void onDelivered(SubscriberNode& node, Version version) {
    if (node.restartedAt >= 0) return recordRecovery(node, version);
    for (Version v = node.version + 1; v <= version; ++v) {
      CommittedChange& change = changeAt(v);
      if (change.request == nullptr) continue;
      const Milliseconds latency = now_ - change.request->at;
      change.maxLatency = std::max(change.maxLatency, latency);
      deliveries_[change.request->phase].add(latency);
    }
  }
  CommittedChange& changeAt(Version version) {
    const auto [found, inserted] = committed_.emplace(version, CommittedChange{});
    if (!inserted) return found->second;
    for (const auto& node : replicas_) {
      const ReplicaState& state = node->core->state();
      if (state.log().base() >= version || state.committed() < version) continue;
      const auto request = published_.find(state.log().at(version)->requestId);
      if (request != published_.end()) found->second.request = &request->second;
      break;
    }
    return found->second;
  }
  // Records a recovery once a restarted subscriber has reached the newest version committed by any replica.
  void recordRecovery(SubscriberNode& node, Version version) {
    Version newest = 0;
    for (auto& replica : replicas_)
      if (replica->up) newest = std::max(newest, replica->core->state().committed());
    if (version < newest) return;
    recoveries_.push_back(static_cast<double>(now_ - node.restartedAt));
    result_.restartedMeanBytes += static_cast<double>(node.traffic.bytesIn - node.bytesAtRestart);
    ++result_.recovered;
    node.restartedAt = -1;
  }

  void startNextPhase() {
    if (phase_ > 0) endPhase(result_.phases[phase_ - 1]);
    ++phase_;
    for (auto& node : replicas_) node->traffic = Traffic{};
    for (auto& node : subscribers_) {
      // Bytes received since a restart are counted across phases.
      node->bytesAtRestart -= node->traffic.bytesIn;
      node->traffic = Traffic{};
    }
  }
  void endPhase(DistributionPhase& phase) {
    std::vector<const Traffic*> subscribers, replicas, writers;
    for (const auto& node : subscribers_) subscribers.push_back(&node->traffic);
    for (const auto& node : replicas_)
      (node->up && node->core->isWriter() ? writers : replicas).push_back(&node->traffic);
    phase.subscriber = ratesOf(subscribers, phase.seconds);
    phase.replica = ratesOf(replicas, phase.seconds);
    phase.writer = ratesOf(writers, phase.seconds);
  }

  void startFault() {
    switch (options_.scenario) {
      case DistributionScenario::steady:
        return;
      case DistributionScenario::replica_dies:
        replicas_[kFailedReplica]->up = false;
        return scheduleAt(now_ + kReplicaDownTime, {EventKind::heal, 0});
      case DistributionScenario::writer_dies:
        replicas_[0]->up = false;
        return scheduleAt(now_ + kLeaseTime, {EventKind::heal, 0});
      case DistributionScenario::regions_part:
        partitioned_ = true;
        return scheduleAt(now_ + kPartitionTime, {EventKind::heal, 0});
      case DistributionScenario::zone_restart:
      case DistributionScenario::zone_cold:
        for (auto& node : subscribers_) stopIfInRestartedZone(*node);
    }
  }
  void stopIfInRestartedZone(SubscriberNode& node) {
    if (node.zone != kRestartedZone) return;
    node.up = false;
    if (options_.scenario == DistributionScenario::zone_restart) node.disk = node.core->snapshot();
    scheduleAt(now_ + kZoneDownTime + randomBetween(0, 1000), {EventKind::subscriber_start, node.index});
  }
  void endFault() {
    partitioned_ = false;
    if (options_.scenario == DistributionScenario::replica_dies)
      replicas_[kFailedReplica]->startProcess(replicas_[kFailedReplica]->core->state().snapshot());
    // The last replica is in another region than the failed writer, so its log lags by the delay between
    // regions.
    if (options_.scenario == DistributionScenario::writer_dies) replicas_.back()->core->becomeWriter(now_, 3);
  }

  void finish() {
    Version last = 0;
    for (auto& node : replicas_)
      if (node->up) last = std::max(last, node->core->state().committed());
    const EntryTable& table = newestTable(last);
    for (auto& node : replicas_) {
      if (!node->up) continue;
      result_.conflicts += node->core->counts().conflictingHistories;
      if (node->core->state().table().rootHash() != table.rootHash()) ++result_.differingCopies;
    }
    for (auto& node : subscribers_) {
      result_.failovers += node->core->counts().failovers;
      result_.repairs += node->core->counts().repairsDone;
      result_.conflicts += node->core->counts().conflictingHistories;
      result_.meanStalenessMs += static_cast<double>(now_ - node->core->writerTime()) / options_.subscribers;
      if (!node->up || node->core->version() != last || node->core->table().rootHash() != table.rootHash())
        ++result_.differingCopies;
    }
    for (const auto& [version, change] : committed_) {
      if (change.request == nullptr) continue;
      ++result_.phases[change.request->phase].changes;
      deliveryToAll_[change.request->phase].push_back(static_cast<double>(change.maxLatency));
    }
    for (const std::string& id : unconfirmed_) ++result_.phases[published_.at(id).phase].uncommitted;
    for (std::size_t i = 0; i < result_.phases.size(); ++i) {
      DistributionPhase& phase = result_.phases[i];
      phase.deliveries = deliveries_[i].total();
      phase.delivery = deliveries_[i].quantiles();
      phase.deliveryToAll = quantilesOf(deliveryToAll_[i]);
      const double divisor = std::max(1.0, static_cast<double>(phase.changes) * options_.subscribers);
      phase.bytesPerChangeAndSubscriber /= divisor;
      phase.messagesPerChangeAndSubscriber /= divisor;
    }
    if (result_.recovered > 0) result_.restartedMeanBytes /= static_cast<double>(result_.recovered);
    result_.recovery = quantilesOf(recoveries_);
  }
  const EntryTable& newestTable(Version last) const {
    for (const auto& node : replicas_)
      if (node->up && node->core->state().committed() == last) return node->core->state().table();
    return configuration_.table;
  }

  const DistributionOptions options_;
  std::mt19937_64 random_;
  const Snapshot configuration_;
  DistributionResult result_;
  MessageSizes sizes_;
  Milliseconds now_ = 0, endAt_ = 0;
  std::uint64_t insertedCount_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<ReplicaNode>> replicas_;
  std::vector<std::unique_ptr<SubscriberNode>> subscribers_;
  std::vector<ReplicaAddress> addresses_;
  std::vector<PhasePlan> phases_;
  // 0: warm-up; 1 to the number of phases: that phase; above: the time after the last change.
  std::size_t phase_ = 0;
  std::map<std::string, PublishedRequest> published_;
  std::set<std::string> unconfirmed_;  // ids of published requests not yet reported as committed
  std::map<Version, CommittedChange> committed_;
  std::vector<Histogram> deliveries_;
  std::vector<std::vector<double>> deliveryToAll_;
  std::vector<double> recoveries_;
  std::uint64_t requests_ = 0;
  bool partitioned_ = false;
};

}  // namespace

wingslip::distribution::Snapshot makeConfiguration(int entries, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  Snapshot snapshot;
  std::vector<std::vector<EntryPointer>> ranges(EntryTable::kRanges);
  for (int i = 0; i < entries; ++i) {
    EntryPointer entry = makeEntry(keyOf(i), randomValue(random), static_cast<Version>(i) + 1, 1);
    ranges[EntryTable::rangeOf(entry->key)].push_back(std::move(entry));
  }
  for (std::size_t i = 0; i < ranges.size(); ++i)
    snapshot.table.replaceRange(i, makeRange(std::move(ranges[i])));
  snapshot.version = static_cast<Version>(entries);
  snapshot.term = 1;
  snapshot.promisedTerm = 1;
  snapshot.logBase = snapshot.version;
  snapshot.logBaseTerm = 1;
  return snapshot;
}

DistributionResult simulateDistribution(const DistributionOptions& options) {
  return Simulation(options).run();
}

}  // namespace wingslip::lab
