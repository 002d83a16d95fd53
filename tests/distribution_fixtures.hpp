/// Fixtures for the tests of configuration distribution: recording environments, and replicas and subscribers
/// in known states.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "distribution/control_replica.hpp"
#include "distribution/subscriber.hpp"

namespace wingslip::distribution {

using Bytes = std::vector<std::uint8_t>;

inline EntryKey route(const std::string& name) { return {EntryKind::route, name}; }

inline RecordPointer makeRecord(Version version, Term term, const EntryTable& table, const std::string& name,
                                const std::string& value) {
  auto record = std::make_shared<ChangeRecord>();
  record->version = version;
  record->term = term;
  record->requestId = "request" + std::to_string(version);
  record->edits.push_back({makeEntry(route(name), value, version, term), false});
  record->rootHash = table.rootHashAfter(record->edits);
  return record;
}

// Records the messages, notifications and log lines of a replica.
struct ReplicaRecorder : ControlReplica::Environment {
  void send(const std::string& to, Message message) override { sent.emplace_back(to, std::move(message)); }
  void onChangeCommitted(const std::string& requestId, Version) override { committed.push_back(requestId); }
  void onChangeRejected(const std::string& subscriber, const RejectedChange& rejection) override {
    rejectedChanges.emplace_back(subscriber, rejection);
  }
  void log(const std::string& line) override { lines.push_back(line); }
  Milliseconds unixTime() override { return 1'000'000; }

  std::vector<std::pair<std::string, Message>> sent;
  std::vector<std::string> committed, lines;
  std::vector<std::pair<std::string, RejectedChange>> rejectedChanges;
};

// Records the messages, applied changes and log lines of a subscriber.
struct SubscriberRecorder : Subscriber::Environment {
  void send(const std::string& to, Message message) override { sent.emplace_back(to, std::move(message)); }
  void onChangesApplied(Version version, const std::vector<EffectiveChange>& changes) override {
    versions.push_back(version);
    appliedChanges.push_back(changes);
  }
  void log(const std::string& line) override { lines.push_back(line); }

  std::vector<std::pair<std::string, Message>> sent;
  std::vector<std::string> lines;
  std::vector<Version> versions;
  std::vector<std::vector<EffectiveChange>> appliedChanges;
};

inline std::optional<std::string> acceptAll(const Entry&) { return std::nullopt; }
inline std::optional<std::string> rejectBad(const Entry& entry) {
  if (entry.value == "bad") return "a bad value";
  return std::nullopt;
}

// Last message of this type; null if none was sent.
template <class Type>
const Type* lastOf(const std::vector<std::pair<std::string, Message>>& sent) {
  for (auto position = sent.rbegin(); position != sent.rend(); ++position)
    if (const Type* typed = std::get_if<Type>(&position->second)) return typed;
  return nullptr;
}

// A single replica, which is its own majority, as the writer of term 1.
struct SingleWriterReplica {
  explicit SingleWriterReplica(const ReplicaLimits& limits = {}) : core(limits, "r0", {}, 1, environment) {
    core.becomeWriter(0, 1);
  }
  void put(const std::string& name, const std::string& value) {
    const auto result = core.publish(now, "put" + std::to_string(++requests), {{route(name), value}});
    EXPECT_EQ(result.status, PublishStatus::committed) << result.reason;
  }
  // Ticks the replica and the subscriber every 50 ms until `until`. Messages between them pass through the
  // codec and are delivered immediately.
  void exchangeUntil(Subscriber& subscriber, SubscriberRecorder& recorder, Milliseconds until,
                     const std::string& name = "s0") {
    for (; now <= until; now += 50) {
      core.tick(now);
      subscriber.tick(now);
      while (!environment.sent.empty() || !recorder.sent.empty()) deliverSent(subscriber, recorder, name);
    }
  }
  void deliverSent(Subscriber& subscriber, SubscriberRecorder& recorder, const std::string& name) {
    for (const auto& [to, message] : std::exchange(environment.sent, {})) {
      if (to != name) continue;
      const Bytes bytes = encode(message);
      bytesToSubscriber += bytes.size();
      subscriber.receiveBytes(now, "r0", bytes.data(), bytes.size());
    }
    for (const auto& [to, message] : std::exchange(recorder.sent, {})) {
      const Bytes bytes = encode(message);
      core.receiveBytes(now, name, bytes.data(), bytes.size());
    }
  }

  ReplicaRecorder environment;
  ControlReplica core;
  Milliseconds now = 100;
  int requests = 0;
  std::size_t bytesToSubscriber = 0;
};

// A subscriber that is connected to "r0" and has version 3 of term 2.
struct ConnectedSubscriber {
  explicit ConnectedSubscriber(Subscriber::Validator validator = acceptAll)
      : core({}, {"r0", "r1"}, "build", std::move(validator), 1, environment) {
    core.start(0);
    core.tick(0);
    Changes first;
    for (Version version = 1; version <= 3; ++version) {
      const auto record =
          makeRecord(version, version == 1 ? 1 : 2, table, "n" + std::to_string(version), "v");
      table.apply(*record);
      first.records.push_back(record);
    }
    first.committed = 3;
    first.rootHash = table.rootHash();
    core.receive(1, "r0", first);
    environment.sent.clear();
  }
  Changes changesWith(const RecordPointer& record) const {
    return {3, 2, {record}, record->version, record->rootHash, 0};
  }
  void expectUnchanged() const {
    EXPECT_EQ(core.version(), 3u);
    EXPECT_EQ(core.table().rootHash(), table.rootHash());
    EXPECT_EQ(environment.versions.size(), 1u);
  }

  SubscriberRecorder environment;
  Subscriber core;
  EntryTable table;
};

// Three replicas whose messages are delivered immediately, except between the pairs of indices in `cutLinks`
// (smaller index first).
struct ThreeReplicas {
  struct Node : ReplicaRecorder {
    Milliseconds unixTime() override { return 1'000'000 + *now; }
    const Milliseconds* now = nullptr;
    std::unique_ptr<ControlReplica> core;
  };
  explicit ThreeReplicas(const ReplicaLimits& replicaLimits = {}) : limits(replicaLimits) {
    for (int i = 0; i < 3; ++i) restart(i, Snapshot{});
  }
  void restart(int i, const Snapshot& persisted) {
    std::vector<std::string> peers;
    for (int j = 0; j < 3; ++j)
      if (j != i) peers.push_back("r" + std::to_string(j));
    nodes[i].now = &now;
    nodes[i].core = std::make_unique<ControlReplica>(limits, "r" + std::to_string(i), peers, i + 1, nodes[i]);
    nodes[i].core->restore(persisted);
  }
  void run(Milliseconds until) {
    for (; now <= until; now += 100) {
      for (Node& node : nodes) node.core->tick(now);
      for (int round = 0; round < 10; ++round)
        for (int i = 0; i < 3; ++i) deliverFrom(i);
    }
  }
  void deliverFrom(int i) {
    for (const auto& [to, message] : std::exchange(nodes[i].sent, {})) {
      const int j = to[1] - '0';
      if (to[0] != 'r' || cutLinks.contains({std::min(i, j), std::max(i, j)})) continue;
      nodes[j].core->receive(now, "r" + std::to_string(i), message);
    }
  }
  PublishResult publishValue(int i, const std::string& id) {
    return nodes[i].core->publish(now, id, {{route("name-" + id), "value"}});
  }

  ReplicaLimits limits;
  Milliseconds now = 100;
  std::array<Node, 3> nodes;
  std::set<std::pair<int, int>> cutLinks;
};

}  // namespace wingslip::distribution
