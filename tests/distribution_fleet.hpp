/// Control replicas and subscribers in virtual time under a seeded fault schedule: loss, delay, duplication,
/// reordering, corrupted bytes, partitions, restarts, and former writers that have not received the newer
/// term. Every message passes through the codec. Violated invariants are collected in `violations`.
#pragma once

#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "distribution/control_replica.hpp"
#include "distribution/placement.hpp"
#include "distribution/subscriber.hpp"

namespace wingslip::distribution {

// Size and faults of a schedule; times in milliseconds.
struct ScheduleOptions {
  std::uint64_t seed = 1;
  int replicas = 5;
  int subscribers = 8;
  double loss = 0.05;                 // fraction of messages lost until `faultsUntil`
  Milliseconds faultsUntil = 30'000;  // time at which all faults end
  Milliseconds settleTime = 40'000;   // after `faultsUntil`; at its end all copies must be equal
};

// Runs one schedule. The same options give the same run.
class ScheduledFleet {
 public:
  explicit ScheduledFleet(const ScheduleOptions& options) : options_(options), random_(options.seed) {
    for (int i = 0; i < options.replicas; ++i) replicas_.push_back(std::make_unique<ReplicaNode>(*this, i));
    for (int i = 0; i < options.subscribers; ++i)
      subscribers_.push_back(std::make_unique<SubscriberNode>(*this, i));
    for (auto& node : replicas_) node->start(Snapshot{});
    for (auto& node : subscribers_) node->start(Snapshot{});
    grantNewTerm();
    scheduleFaults();
    schedulePublishing();
  }

  void run() {
    const Milliseconds end = options_.faultsUntil + options_.settleTime;
    while (!events_.empty() && events_.top().at <= end && violations.size() < kMaxViolations) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    checkEnd();
  }

  std::vector<std::string> violations;
  std::uint64_t committed() const { return history_.empty() ? 0 : history_.rbegin()->first; }
  std::uint64_t repairs = 0, rejectedChanges = 0, conflicts = 0, restarts = 0, corruptedTables = 0;

 private:
  static constexpr std::size_t kMaxViolations = 5;  // a run ends early once it has as many
  static constexpr int kPairCount = 40;             // pairs of entries that one change writes together

  struct Event {
    Milliseconds at;
    std::uint64_t order;  // of insertion; breaks ties between equal times
    std::function<void()> action;
    // Inverted: std::priority_queue returns the greatest element, which must be the earliest event.
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  // Term and root hash of a version, as first observed at any replica or subscriber.
  struct CommittedVersion {
    Term term = 0;
    Hash rootHash = 0;
  };

  // A control replica, with the environment that transmits its messages.
  struct ReplicaNode : ControlReplica::Environment {
    ReplicaNode(ScheduledFleet& owner, int index) : fleet(owner), name("r" + std::to_string(index)) {}
    void start(const Snapshot& persisted) {
      std::vector<std::string> peers;
      for (int i = 0; i < fleet.options_.replicas; ++i)
        if ("r" + std::to_string(i) != name) peers.push_back("r" + std::to_string(i));
      ReplicaLimits limits;
      limits.maxUncommitted = 12;
      limits.maxRecords = fleet.options_.seed % 2 == 0 ? 60 : 25;
      core = std::make_unique<ControlReplica>(limits, name, peers, fleet.random_(), *this);
      core->restore(persisted);
      observed = core->state().committed();
      up = true;
      scheduleTick(++epoch);
    }
    void scheduleTick(int tickEpoch) {
      fleet.scheduleAfter(100, [this, tickEpoch] {
        if (tickEpoch != epoch || !up) return;
        core->tick(fleet.now_);
        recordCommitted();
        scheduleTick(tickEpoch);
      });
    }
    void recordCommitted() { observed = fleet.recordCommitted(core->state(), observed); }
    void send(const std::string& to, Message message) override { fleet.transmit(name, to, message); }
    void onChangeCommitted(const std::string& requestId, Version) override {
      fleet.confirmRequest(requestId);
    }
    void onChangeRejected(const std::string&, const RejectedChange&) override { ++fleet.rejectedChanges; }
    void log(const std::string&) override {}
    Milliseconds unixTime() override { return fleet.now_ + 1; }

    ScheduledFleet& fleet;
    const std::string name;
    std::unique_ptr<ControlReplica> core;
    Version observed = 0;  // last version added to the history of the fleet
    bool up = false;
    int epoch = 0;  // number of starts; ticks scheduled before the last start are ignored
  };

  // A subscriber, with the environment that transmits its messages.
  struct SubscriberNode : Subscriber::Environment {
    SubscriberNode(ScheduledFleet& owner, int index)
        : fleet(owner), name("s" + std::to_string(index)), build(index % 2 == 0 ? "even" : "odd") {}
    void start(const Snapshot& from) {
      std::vector<ReplicaAddress> addresses;
      addresses.reserve(static_cast<std::size_t>(fleet.options_.replicas));
      for (int i = 0; i < fleet.options_.replicas; ++i)
        addresses.push_back({"r" + std::to_string(i), {"region", "zone" + std::to_string(i)}});
      // A build rejects values of limits that contain its name and an exclamation mark.
      const std::string rejectedText = build + "!";
      core = std::make_unique<Subscriber>(
          SubscriberLimits{}, orderReplicas(name, {"region", ""}, addresses), build,
          [rejectedText](const Entry& entry) -> std::optional<std::string> {
            if (entry.key.name.starts_with("b") && entry.value.find(rejectedText) != std::string::npos)
              return "value not supported by this build";
            return std::nullopt;
          },
          fleet.random_(), *this);
      core->restore(from);
      lastAppliedVersion = core->version();
      checkPairs();
      core->start(fleet.now_);
      up = true;
      ++epoch;
      scheduleNextTick();
    }
    // Schedules the next tick, unless one is already due at that time or earlier.
    void scheduleNextTick() {
      const Milliseconds at = std::max(core->nextTickAt(), fleet.now_ + 1);
      if (nextTickEpoch == epoch && nextTickAt > fleet.now_ && nextTickAt <= at) return;
      nextTickAt = at;
      nextTickEpoch = epoch;
      fleet.scheduleAt(at, [this, tickEpoch = epoch, at] {
        if (tickEpoch != epoch || !up || nextTickAt != at) return;
        nextTickAt = 0;
        core->tick(fleet.now_);
        scheduleNextTick();
      });
    }
    void send(const std::string& to, Message message) override { fleet.transmit(name, to, message); }
    void onChangesApplied(Version version, const std::vector<EffectiveChange>&) override {
      if (version < lastAppliedVersion)
        fleet.addViolation(name + " returned to the older version " + std::to_string(version));
      lastAppliedVersion = version;
      fleet.addToHistory(name, version, core->term(), core->table().rootHash());
      checkPairs();
    }
    void log(const std::string&) override {}
    // A change writes both entries of a pair: both or neither must be in effect.
    void checkPairs() {
      for (int i = 0; i < kPairCount; ++i) {
        const EntryPointer a = core->find({EntryKind::route, "a" + std::to_string(i)});
        const EntryPointer b = core->find({EntryKind::limit, "b" + std::to_string(i)});
        if ((a == nullptr) == (b == nullptr) && (!a || a->value == b->value)) continue;
        fleet.addViolation(name + " applied a change of pair " + std::to_string(i) + " partially");
      }
    }

    ScheduledFleet& fleet;
    const std::string name, build;
    std::unique_ptr<Subscriber> core;
    Snapshot persisted;
    Version lastAppliedVersion = 0;
    bool up = false;
    int epoch = 0, nextTickEpoch = 0;  // epoch: number of starts; ticks of earlier ones are ignored
    Milliseconds nextTickAt = 0;
  };

  void scheduleAt(Milliseconds when, std::function<void()> action) {
    events_.push({when, ++order_, std::move(action)});
  }
  void scheduleAfter(Milliseconds delay, std::function<void()> action) {
    scheduleAt(now_ + delay, std::move(action));
  }
  Milliseconds randomBetween(Milliseconds a, Milliseconds b) {
    return std::uniform_int_distribution<Milliseconds>(a, b)(random_);
  }
  bool randomBool(double probability) { return std::bernoulli_distribution(probability)(random_); }
  bool injectingFaults() const { return now_ < options_.faultsUntil; }
  void addViolation(const std::string& text) {
    violations.push_back("seed " + std::to_string(options_.seed) + " at " + std::to_string(now_) +
                         " ms: " + text);
  }

  void transmit(const std::string& from, const std::string& to, const Message& message) {
    if (injectingFaults() && (randomBool(options_.loss) || partitioned(from, to))) return;
    auto bytes = std::make_shared<std::vector<std::uint8_t>>(encode(message));
    const int copies = injectingFaults() && randomBool(0.05) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      auto delivered = bytes;
      if (injectingFaults() && randomBool(0.005)) delivered = corrupted(*bytes);
      const Milliseconds delay =
          injectingFaults() && randomBool(0.02) ? randomBetween(100, 3000) : randomBetween(1, 40);
      scheduleAfter(delay, [this, from, to, delivered] { deliver(from, to, *delivered); });
    }
  }
  std::shared_ptr<std::vector<std::uint8_t>> corrupted(std::vector<std::uint8_t> bytes) {
    bytes[random_() % bytes.size()] ^= static_cast<std::uint8_t>(1 + random_() % 255);
    if (randomBool(0.3)) bytes.resize(random_() % bytes.size());
    return std::make_shared<std::vector<std::uint8_t>>(std::move(bytes));
  }
  void deliver(const std::string& from, const std::string& to, const std::vector<std::uint8_t>& bytes) {
    if (injectingFaults() && partitioned(from, to)) return;
    const std::size_t index = std::stoul(to.substr(1));
    if (to[0] == 'r') {
      ReplicaNode& node = *replicas_[index];
      if (!node.up) return;
      node.core->receiveBytes(now_, from, bytes.data(), bytes.size());
      node.recordCommitted();
    } else {
      SubscriberNode& node = *subscribers_[index];
      if (!node.up) return;
      node.core->receiveBytes(now_, from, bytes.data(), bytes.size());
      node.scheduleNextTick();
    }
  }
  // Whether a partition currently separates the two nodes.
  bool partitioned(const std::string& from, const std::string& to) const {
    return now_ < partitionUntil_ && partitionSide_.contains(from) != partitionSide_.contains(to);
  }

  // Adds the versions that the replica has committed since `observed` to the common history. Returns its
  // committed version.
  Version recordCommitted(const ReplicaState& state, Version observed) {
    const ChangeLog& log = state.log();
    if (state.committed() < observed) addViolation("committed version of a replica decreased");
    for (Version v = std::max(observed, log.base()) + 1; v <= state.committed(); ++v) {
      const ChangeRecord& record = *log.at(v);
      addToHistory("a replica", v, record.term, record.rootHash);
      if (record.requestId.empty()) continue;
      const auto [position, inserted] = requests_.emplace(record.requestId, v);
      if (!inserted && position->second != v)
        addViolation("request " + record.requestId + " was written twice");
    }
    if (state.committed() > observed)
      addToHistory("a replica", state.committed(), state.committedTerm(), state.table().rootHash());
    return state.committed();
  }
  void addToHistory(const std::string& observer, Version version, Term term, Hash rootHash) {
    if (version == 0) return;
    const auto [position, inserted] = history_.emplace(version, CommittedVersion{term, rootHash});
    if (inserted || (position->second.term == term && position->second.rootHash == rootHash)) return;
    addViolation(observer + " has a different term or root hash at version " + std::to_string(version));
  }

  void grantNewTerm() {
    ReplicaNode& node = *replicas_[random_() % replicas_.size()];
    ++term_;
    if (node.up) node.core->becomeWriter(now_, term_);
  }
  void schedulePublishing() {
    const Milliseconds interval = options_.seed % 2 == 0 ? 400 : 900;
    for (Milliseconds when = 1000; when < options_.faultsUntil; when += interval)
      scheduleAt(when, [this] { publishNewRequest(); });
    for (Milliseconds when = 1500; when < options_.faultsUntil + options_.settleTime / 2; when += 1500)
      scheduleAt(when, [this] { retryUncommitted(); });
  }
  void publishNewRequest() {
    const std::string id = "q" + std::to_string(++lastRequestNumber_);
    const std::string pair = std::to_string(random_() % kPairCount);
    const unsigned kind = random_() % 8;
    std::optional<std::string> value = "v" + id;
    if (kind == 0) value.reset();
    if (kind == 1) *value += " odd!";
    if (kind == 2) *value += " even!";
    uncommitted_[id] = {{{EntryKind::route, "a" + pair}, value}, {{EntryKind::limit, "b" + pair}, value}};
    publish(id);
  }
  void retryUncommitted() {
    const auto ids = uncommitted_;
    for (const auto& [id, edits] : ids) publish(id);
  }
  // Publishes to a random replica that considers itself the writer.
  void publish(const std::string& id) {
    std::vector<ReplicaNode*> writers;
    for (auto& node : replicas_)
      if (node->up && node->core->isWriter()) writers.push_back(node.get());
    if (writers.empty()) return;
    ReplicaNode& node = *writers[random_() % writers.size()];
    const PublishResult result = node.core->publish(now_, id, uncommitted_.at(id));
    node.recordCommitted();
    if (result.status == PublishStatus::committed) confirmRequest(id);
  }
  void confirmRequest(const std::string& id) {
    uncommitted_.erase(id);
    confirmed_.insert(id);
  }

  void scheduleFaults() {
    for (Milliseconds when = randomBetween(1000, 4000); when < options_.faultsUntil;
         when += randomBetween(500, 4000))
      scheduleAt(when, [this] { injectRandomFault(); });
    scheduleAt(options_.faultsUntil, [this] { endFaults(); });
  }
  void injectRandomFault() {
    switch (random_() % 8) {
      case 0:
      case 1:
        return grantNewTerm();
      case 2:
        return partition();
      case 3:
        return restartReplica();
      case 4:
      case 5:
        return restartSubscriber();
      case 6:
        return corruptTable(*subscribers_[random_() % subscribers_.size()]);
      default:
        return saveSnapshot(*subscribers_[random_() % subscribers_.size()]);
    }
  }
  void partition() {
    partitionSide_.clear();
    for (auto& node : replicas_)
      if (randomBool(0.5)) partitionSide_.insert(node->name);
    for (auto& node : subscribers_)
      if (randomBool(0.5)) partitionSide_.insert(node->name);
    partitionUntil_ = now_ + randomBetween(1000, 15'000);
  }
  void restartReplica() {
    ReplicaNode& node = *replicas_[random_() % replicas_.size()];
    if (!node.up) return;
    node.up = false;
    ++restarts;
    scheduleAfter(randomBetween(100, 8000), [this, &node] {
      if (!node.up) node.start(decodeSnapshot(encodeSnapshot(node.core->state().snapshot())));
    });
  }
  void saveSnapshot(SubscriberNode& node) {
    if (node.up) node.persisted = decodeSnapshot(encodeSnapshot(node.core->snapshot()));
  }
  void restartSubscriber() {
    SubscriberNode& node = *subscribers_[random_() % subscribers_.size()];
    if (!node.up) return;
    node.up = false;
    ++restarts;
    if (randomBool(0.3)) node.persisted = Snapshot{};
    scheduleAfter(randomBetween(100, 8000), [this, &node] {
      if (!node.up) node.start(node.persisted);
    });
  }
  // Restarts the subscriber from a valid snapshot of the same version whose table has another value in one
  // pair.
  void corruptTable(SubscriberNode& node) {
    if (!node.up || node.core->version() == 0) return;
    Snapshot snapshot = node.core->snapshot();
    const std::string pair = std::to_string(random_() % kPairCount);
    for (const EntryKey& key :
         {EntryKey{EntryKind::route, "a" + pair}, EntryKey{EntryKind::limit, "b" + pair}}) {
      snapshot.table.put(makeEntry(key, "differs", 1, 1));
      std::erase_if(snapshot.rejectedEntries,
                    [&key](const RejectedEntry& rejected) { return rejected.key == key; });
    }
    ++corruptedTables;
    node.up = false;
    node.start(snapshot);
  }
  void endFaults() {
    partitionUntil_ = 0;
    for (auto& node : replicas_)
      if (!node->up) node->start(node->core->state().snapshot());
    for (auto& node : subscribers_)
      if (!node->up) node->start(node->persisted);
    grantNewTerm();
  }

  void checkEnd() {
    if (!violations.empty()) return;
    if (!uncommitted_.empty())
      addViolation(std::to_string(uncommitted_.size()) +
                   " requests were not reported as committed by the end");
    const ReplicaState& first = replicas_[0]->core->state();
    for (auto& node : replicas_) {
      conflicts += node->core->counts().conflictingHistories;
      if (node->core->state().committed() != first.committed()) addViolation(node->name + " lags at the end");
      if (node->core->state().table().rootHash() != first.table().rootHash())
        addViolation(node->name + " has a different table at the end");
    }
    for (auto& node : subscribers_) {
      repairs += node->core->counts().repairsDone;
      conflicts += node->core->counts().conflictingHistories;
      if (node->core->version() != first.committed()) addViolation(node->name + " lags at the end");
      if (node->core->table().rootHash() != first.table().rootHash())
        addViolation(node->name + " has a different table at the end");
      node->checkPairs();
    }
    for (const std::string& id : confirmed_)
      if (!requests_.contains(id))
        addViolation("request " + id + " was reported as committed but was never observed in a log");
  }

  const ScheduleOptions options_;
  std::mt19937_64 random_;
  Milliseconds now_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<ReplicaNode>> replicas_;
  std::vector<std::unique_ptr<SubscriberNode>> subscribers_;
  std::map<Version, CommittedVersion> history_;
  std::map<std::string, Version> requests_;
  std::map<std::string, std::vector<Edit>> uncommitted_;
  std::set<std::string> confirmed_;
  std::set<std::string> partitionSide_;
  Milliseconds partitionUntil_ = 0;
  Term term_ = 0;
  std::uint64_t lastRequestNumber_ = 0;
};

}  // namespace wingslip::distribution
