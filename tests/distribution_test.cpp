// Distribution of configuration: its parts alone, bad input, and the core in virtual time under seeded
// schedules. DISTRIBUTION_SCHEDULES and DISTRIBUTION_FIRST_SEED choose how many of them and which.
#include <gtest/gtest.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "distribution_fleet.hpp"
#include "distribution_simulation.hpp"

namespace wingslip::distribution {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kSchedules = 12;  // each is many times slower there
#else
constexpr std::uint64_t kSchedules = 150;
#endif

std::uint64_t fromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : std::strtoull(value, nullptr, 10);
}

void runSchedules(double loss) {
  const std::uint64_t first = fromEnvironment("DISTRIBUTION_FIRST_SEED", 1);
  const std::uint64_t schedules = fromEnvironment("DISTRIBUTION_SCHEDULES", kSchedules);
  std::uint64_t versions = 0, repairs = 0, refusals = 0, restarts = 0, differing = 0, failed = 0;
  for (std::uint64_t seed = first; seed < first + schedules; ++seed) {
    ScheduleOptions options;
    options.seed = seed;
    options.loss = loss;
    ScheduledFleet fleet(options);
    fleet.run();
    for (const std::string& fault : fleet.faults) ADD_FAILURE() << fault;
    failed += fleet.faults.empty() ? 0 : 1;
    versions += fleet.committed();
    repairs += fleet.repairs;
    refusals += fleet.refusals;
    restarts += fleet.restarts;
    differing += fleet.differing;
    EXPECT_EQ(fleet.conflicts, 0u) << "seed " << seed;
  }
  std::cout << schedules << " schedules from seed " << first << ", loss " << loss << ": " << versions
            << " versions, " << repairs << " repairs, " << refusals << " refusals told, " << restarts
            << " restarts, " << differing << " differing copies, " << failed << " failed\n";
  // The schedules must reach what they are for.
  EXPECT_GT(versions, schedules * 10);
  EXPECT_GT(repairs, schedules);
  EXPECT_GT(refusals, schedules);
  EXPECT_GT(restarts, schedules);
}

using nlohmann::json;
using Bytes = std::vector<std::uint8_t>;

// A message with a right checksum around any body.
Bytes sealed(const json& body) {
  Bytes bytes = json::to_cbor(body);
  const std::uint64_t checksum = XXH64(bytes.data(), bytes.size(), 0);
  for (int i = 0; i < 8; ++i) bytes.push_back(static_cast<std::uint8_t>(checksum >> (8 * i)));
  return bytes;
}

std::string reasonOf(const Bytes& bytes) {
  try {
    decode(bytes.data(), bytes.size());
    return "";
  } catch (const CodecError& error) {
    return error.what();
  }
}

std::string snapshotReason(const std::string& bytes) {
  try {
    decodeSnapshot(bytes);
    return "";
  } catch (const CodecError& error) {
    return error.what();
  }
}

EntryKey route(const std::string& name) { return {EntryKind::route, name}; }

RecordPointer makeRecord(Version version, Term term, const EntryTable& table, const std::string& name,
                         const std::string& value) {
  auto record = std::make_shared<ChangeRecord>();
  record->version = version;
  record->term = term;
  record->requestId = "request" + std::to_string(version);
  record->edits.push_back({makeEntry(route(name), value, version, term), false});
  record->rootHash = table.rootHashAfter(record->edits);
  return record;
}

// What a core sent and said.
struct ReplicaRecorder : ControlReplica::Outside {
  void send(const std::string& to, Message message) override { sent.emplace_back(to, std::move(message)); }
  void published(const std::string& requestId, Version) override { committed.push_back(requestId); }
  void refused(const std::string& subscriber, const Refusal& refusal) override {
    refusals.emplace_back(subscriber, refusal);
  }
  void log(const std::string& line) override { lines.push_back(line); }
  Milliseconds unixTime() override { return 1'000'000; }

  std::vector<std::pair<std::string, Message>> sent;
  std::vector<std::string> committed, lines;
  std::vector<std::pair<std::string, Refusal>> refusals;
};

struct SubscriberRecorder : Subscriber::Outside {
  void send(const std::string& to, Message message) override { sent.emplace_back(to, std::move(message)); }
  void applied(Version version, const std::vector<InForceChange>& changes) override {
    versions.push_back(version);
    inForce.push_back(changes);
  }
  void log(const std::string& line) override { lines.push_back(line); }

  std::vector<std::pair<std::string, Message>> sent;
  std::vector<std::string> lines;
  std::vector<Version> versions;
  std::vector<std::vector<InForceChange>> inForce;
};

std::optional<std::string> acceptAll(const Entry&) { return std::nullopt; }
std::optional<std::string> refuseBad(const Entry& entry) {
  if (entry.value == "bad") return "a bad value";
  return std::nullopt;
}

template <class Type>
const Type* lastOf(const std::vector<std::pair<std::string, Message>>& sent) {
  for (auto place = sent.rbegin(); place != sent.rend(); ++place)
    if (const Type* typed = std::get_if<Type>(&place->second)) return typed;
  return nullptr;
}

// One replica, its own majority, as the writer of term 1.
struct LoneReplica {
  explicit LoneReplica(const ReplicaLimits& limits = {}) : core(limits, "r0", {}, 1, outside) {
    core.becomeWriter(0, 1);
  }
  void put(const std::string& name, const std::string& value) {
    const auto result = core.publish(now, "put" + std::to_string(++requests), {{route(name), value}});
    EXPECT_EQ(result.status, PublishStatus::committed) << result.reason;
  }
  // Ticks both until `until`, messages between them taking no time and passing the codec.
  void talk(Subscriber& subscriber, SubscriberRecorder& recorder, Milliseconds until,
            const std::string& name = "s0") {
    for (; now <= until; now += 50) {
      core.tick(now);
      subscriber.tick(now);
      while (!outside.sent.empty() || !recorder.sent.empty()) exchange(subscriber, recorder, name);
    }
  }
  void exchange(Subscriber& subscriber, SubscriberRecorder& recorder, const std::string& name) {
    for (const auto& [to, message] : std::exchange(outside.sent, {})) {
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

  ReplicaRecorder outside;
  ControlReplica core;
  Milliseconds now = 100;
  int requests = 0;
  std::size_t bytesToSubscriber = 0;
};

// A subscriber that is connected to "r0" and holds version 3 of term 2.
struct ConnectedSubscriber {
  explicit ConnectedSubscriber(Subscriber::Validator validator = acceptAll)
      : core({}, {"r0", "r1"}, "build", std::move(validator), 1, outside) {
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
    outside.sent.clear();
  }
  Changes following(const RecordPointer& record) const {
    return {3, 2, {record}, record->version, record->rootHash, 0};
  }
  void expectUnchanged() const {
    EXPECT_EQ(core.version(), 3u);
    EXPECT_EQ(core.table().rootHash(), table.rootHash());
    EXPECT_EQ(outside.versions.size(), 1u);
  }

  SubscriberRecorder outside;
  Subscriber core;
  EntryTable table;
};

TEST(DistributionCodec, EveryMessageSurvives) {
  EntryTable table;
  const auto record = makeRecord(7, 3, table, "name", "value");
  table.apply(*record);
  const std::size_t index = EntryTable::rangeOf(route("name"));
  const std::vector<Message> messages{
      Subscribe{7, 3, "build"},
      Acknowledge{7, 9, 2, {{5, "why"}}},
      Changes{6, 3, {record}, 7, 11, 12},
      RangeRequest{7, 3, 9, table.rangeHashes()},
      RangeContents{
          9, 1, true, 7, 3, 11, {{static_cast<std::uint32_t>(index), table.range(index)}, {3, nullptr}}},
      Refused{RefusalCode::busy, 500},
      Claim{3, 6},
      Promise{3, true, 7, 3, 6, {record}},
      Append{3, 6, 3, {record}, 6, 100, 101},
      Appended{3, true, 7, 101},
      Fetch{7, 3}};
  ASSERT_EQ(messages.size(), std::variant_size_v<Message>);
  for (std::size_t i = 0; i < messages.size(); ++i) {
    EXPECT_EQ(messages[i].index(), i);
    const Bytes bytes = encode(messages[i]);
    const Message back = decode(bytes.data(), bytes.size());
    EXPECT_EQ(back.index(), i);
    EXPECT_EQ(encode(back), bytes);
  }
}

TEST(DistributionCodec, CutOrChangedBytesAreRefused) {
  EntryTable table;
  const Bytes bytes = encode(Changes{0, 0, {makeRecord(1, 1, table, "name", "value")}, 1, 0, 0});
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_NE(reasonOf(Bytes(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size))), "");
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    Bytes changed = bytes;
    changed[i] ^= 0x20;
    EXPECT_EQ(reasonOf(changed), "the message is damaged");
  }
}

TEST(DistributionCodec, BadBodiesAreRefusedWithAPlainReason) {
  const json name10k = std::string(10'240, 'n');
  const auto changes = [](const json& records) {
    return json::array({1, 2, json::array({0, 0, records, 1, 0, 0})});
  };
  const auto edit = [](const json& kind, const json& name, const json& value) {
    return json::array({kind, name, value});
  };
  const auto record = [](std::uint64_t version, std::uint64_t term, const json& edits) {
    return json::array({version, term, "id", 0, edits});
  };
  const json value = json::binary({1, 2, 3});
  const json good = json::array({edit(0, "name", value)});
  const std::vector<std::pair<json, std::string>> cases{
      {changes(json::array({record(1, 1, json::array({edit(0, name10k, value)}))})), "a name is too long"},
      {changes(json::array({record(1, 1, json::array({edit(0, "", value)}))})), "an entry without a name"},
      {changes(json::array({record(1, 1, json::array({edit(9, "n", value)}))})), "an unknown kind of entry"},
      {changes(json::array({record(1, 1, json::array({edit(0, "n", "text")}))})),
       "a value is no byte string"},
      {changes(json::array({record(1, 1, json::array({edit(0, 5, value)}))})), "a name is no text"},
      {changes(json::array({record(1, 1, json::array({edit(0, "n", value), edit(0, "n", value)}))})),
       "two edits of one entry"},
      {changes(
           json::array({record(1, 1, json::array({edit(0, "n", json::binary(Bytes(kMaxValueBytes + 1)))}))})),
       "a value is too long"},
      {changes(json::array({record(0, 1, good)})), "a record without version or term"},
      {changes(json::array({record(2, 1, good), record(1, 1, good)})), "records out of order"},
      {changes(json::array({record(1, 1, good), record(1, 1, good)})), "records out of order"},
      {changes(json::array({record(1, 2, good), record(2, 1, good)})),
       "a record of an older term than the one before"},
      {changes("none"), "a list of records is no array"},
      {json::array({1, 2, json::array({-1, 0, json::array(), 1, 0, 0})}), "a field is no unsigned number"},
      {json::array({1, 2, json::array({0, 0})}), "Changes has a wrong shape"},
      {json::array({2, 2, json::array()}), "a message of another format"},
      {json::array({1, 99, json::array()}), "an unknown type of message"},
      {json::array({1, 3, json::array({0, 0, 1, json::binary({1, 2})})}), "a wrong number of hashes"},
      {json::array(
           {1, 4, json::array({1, 0, true, 1, 1, 0, json::array({json::array({5000, json::array()})})})}),
       "no such range"},
      {json{{"a", 1}}, "the message has a wrong shape"},
      {json("text"), "the message has a wrong shape"}};
  for (const auto& [body, reason] : cases) EXPECT_EQ(reasonOf(sealed(body)), reason);
  EXPECT_EQ(reasonOf(Bytes(kMaxMessageBytes + 1)), "the message is too large");
}

TEST(DistributionCodec, DeepNestingIsRefusedBeforeItIsParsed) {
  Bytes bytes(kMaxMessageBytes - 8, 0x81);
  const std::uint64_t checksum = XXH64(bytes.data(), bytes.size(), 0);
  for (int i = 0; i < 8; ++i) bytes.push_back(static_cast<std::uint8_t>(checksum >> (8 * i)));
  EXPECT_EQ(reasonOf(bytes), "not CBOR, or nested too deep");
}

TEST(DistributionCodec, AnEntryOfAnotherRangeIsRefused) {
  const std::size_t other = (EntryTable::rangeOf(route("name")) + 1) % EntryTable::kRanges;
  const RangePointer range = makeRange({makeEntry(route("name"), "v", 1, 1)});
  EXPECT_EQ(
      reasonOf(encode(RangeContents{1, 0, true, 1, 1, 0, {{static_cast<std::uint32_t>(other), range}}})),
      "an entry of another range");
}

TEST(DistributionSnapshot, SurvivesAndIsRefusedWhenCutChangedOrOfAnotherTable) {
  Snapshot snapshot;
  for (Version version = 1; version <= 5; ++version) {
    const auto record = makeRecord(version, 1, snapshot.table, "n" + std::to_string(version), "v");
    snapshot.table.apply(*record);
    snapshot.records.push_back(record);
  }
  snapshot.version = 5;
  snapshot.term = 1;
  snapshot.promisedTerm = 4;
  snapshot.heldBack.push_back({route("n5"), makeEntry(route("n5"), "old", 2, 1), 5});
  snapshot.heldBack.push_back({route("n4"), nullptr, 4});
  snapshot.refusals.push_back({5, "why"});
  snapshot.build = "build";
  const std::string bytes = encodeSnapshot(snapshot);
  const Snapshot back = decodeSnapshot(bytes);
  EXPECT_EQ(back.table.rootHash(), snapshot.table.rootHash());
  EXPECT_EQ(encodeSnapshot(back), bytes);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_NE(snapshotReason(bytes.substr(0, size)), "");
  EXPECT_EQ(snapshotReason(bytes + "x"), "the snapshot is cut short or too long");
  for (std::size_t i = bytes.find('\n') + 1; i < bytes.size(); ++i) {
    std::string changed = bytes;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    EXPECT_EQ(snapshotReason(changed), "the snapshot is damaged");
  }
  EXPECT_EQ(snapshotReason("burlwind-distribution 2" + bytes.substr(23)), "no snapshot of this format");
  // The same file with another value and a right checksum: the table's own hash tells.
  const std::size_t head = bytes.find('\n') + 1;
  json body = json::from_cbor(bytes.substr(head));
  body[3][0][2] = json::binary({'w'});
  const Bytes changed = json::to_cbor(body);
  char line[80];
  std::snprintf(line, sizeof line, "burlwind-distribution 1 %016llx %zu\n",
                static_cast<unsigned long long>(XXH64(changed.data(), changed.size(), 0)), changed.size());
  EXPECT_EQ(snapshotReason(line + std::string(changed.begin(), changed.end())),
            "the snapshot's table has another hash");
}

TEST(DistributionTable, HashesFollowEachChangeAndOnlyItsRangeIsReplaced) {
  EntryTable table;
  std::mt19937_64 random(1);
  for (int step = 0; step < 5000; ++step) {
    const EntryKey key = route("n" + std::to_string(random() % 700));
    const EntryTable before = table;
    if (random() % 3 == 0)
      table.erase(key);
    else
      table.put(makeEntry(key, "v" + std::to_string(step), static_cast<Version>(step), 1));
    for (std::size_t i = 0; i < EntryTable::kRanges; ++i) {
      if (i != EntryTable::rangeOf(key)) {
        ASSERT_EQ(before.range(i), table.range(i));
      }
    }
  }
  EntryTable rebuilt;
  table.forEach([&rebuilt](const EntryPointer& entry) { rebuilt.put(entry); });
  EXPECT_EQ(rebuilt.rootHash(), table.rootHash());
  EXPECT_EQ(rebuilt.rangeHashes(), table.rangeHashes());
  EXPECT_EQ(rebuilt.size(), table.size());
  std::vector<EntryKey> keys;
  table.forEach([&keys](const EntryPointer& entry) { keys.push_back(entry->key); });
  for (const EntryKey& key : keys) table.erase(key);
  EXPECT_EQ(table.rootHash(), 0u);
  EXPECT_EQ(table.size(), 0u);
}

TEST(DistributionTokenBucket, HoldsTheMeanAndTheBurst) {
  TokenBucket bucket(1000, 500);
  double taken = 0;
  for (Milliseconds now = 0; now <= 10'000; now += 10) {
    while (bucket.available(now)) {
      bucket.take(now, 100);
      taken += 100;
    }
  }
  EXPECT_GE(taken, 10'000);
  EXPECT_LE(taken, 10'000 + 500 + 100);
}

TEST(DistributionPlacement, OwnZoneThenRegionThenAnyAndALostReplicaSpreadsEvenly) {
  std::vector<ReplicaAddress> replicas;
  replicas.reserve(18);
  for (int zone = 0; zone < 18; ++zone)
    replicas.push_back(
        {"r" + std::to_string(zone), {"region" + std::to_string(zone / 3), "z" + std::to_string(zone)}});
  std::map<std::string, int> second, third, fourth;
  for (int i = 0; i < 467; ++i) {
    const auto order = orderReplicas("s" + std::to_string(i), {"region2", "z7"}, replicas);
    ASSERT_EQ(order.size(), 18u);
    EXPECT_EQ(order[0], "r7");
    EXPECT_TRUE(order[1] == "r6" || order[1] == "r8");
    ++second[order[1]];
    ++fourth[order[3]];
  }
  for (const auto& [name, subscribers] : second) EXPECT_NEAR(subscribers, 467 / 2.0, 50) << name;
  EXPECT_EQ(fourth.size(), 15u);
  for (const auto& [name, subscribers] : fourth) EXPECT_LT(subscribers, 60) << name;
}

TEST(DistributionWriter, TheSameRequestIsWrittenOnce) {
  LoneReplica replica;
  const std::vector<Edit> edits{{route("a"), "1"}};
  const PublishResult first = replica.core.publish(0, "id", edits);
  const PublishResult second = replica.core.publish(0, "id", edits);
  EXPECT_EQ(first.status, PublishStatus::committed);
  EXPECT_EQ(second.status, PublishStatus::committed);
  EXPECT_EQ(first.version, second.version);
  EXPECT_EQ(replica.core.state().committed(), first.version);
}

TEST(DistributionWriter, AChangeOfAWriterThatDiedIsFoundByTheNextOne) {
  ReplicaRecorder outside0, outside1, outside2;
  ControlReplica r0({}, "r0", {"r1", "r2"}, 1, outside0), r1({}, "r1", {"r0", "r2"}, 1, outside1),
      r2({}, "r2", {"r0", "r1"}, 1, outside2);
  const std::map<std::string, std::pair<ControlReplica*, ReplicaRecorder*>> all{
      {"r0", {&r0, &outside0}}, {"r1", {&r1, &outside1}}, {"r2", {&r2, &outside2}}};
  std::set<std::string> down;
  const auto settle = [&] {
    for (int round = 0; round < 20; ++round)
      for (const auto& [name, node] : all)
        for (const auto& [to, message] : std::exchange(node.second->sent, {}))
          if (!down.contains(name) && !down.contains(to)) all.at(to).first->receive(1, name, message);
  };
  ASSERT_TRUE(r0.becomeWriter(1, 1));
  settle();
  ASSERT_TRUE(r0.isWriter());
  EXPECT_EQ(r0.publish(1, "id", {{route("a"), "1"}}).status, PublishStatus::pending);
  // Its records reach one other replica; it dies before any answer.
  for (const auto& [to, message] : std::exchange(outside0.sent, {}))
    if (to == "r1") r1.receive(1, "r0", message);
  down.insert("r0");
  outside1.sent.clear();
  ASSERT_TRUE(r2.becomeWriter(1, 2));
  settle();
  ASSERT_TRUE(r2.isWriter());
  const PublishResult again = r2.publish(1, "id", {{route("a"), "1"}});
  EXPECT_EQ(again.status, PublishStatus::committed);
  EXPECT_EQ(again.version, 2u);  // after the barrier of term 1
  // The dead one comes back, still the writer of term 1: refused, and it follows.
  down.clear();
  EXPECT_EQ(r0.publish(2, "late", {{route("a"), "2"}}).status, PublishStatus::pending);
  settle();
  EXPECT_FALSE(r0.isWriter());
  EXPECT_GT(r1.counts().oldTerms + r2.counts().oldTerms, 0u);
  EXPECT_FALSE(r0.becomeWriter(2, 2));
  EXPECT_EQ(r1.state().table().rootHash(), r2.state().table().rootHash());
  EXPECT_TRUE(outside0.committed.empty());
}

TEST(DistributionWriter, WhatIsNoChangeIsRefusedWithAReason) {
  LoneReplica replica;
  const Version before = replica.core.state().committed();
  const auto reason = [&replica](const std::string& id, const std::vector<Edit>& edits) {
    const PublishResult result = replica.core.publish(0, id, edits);
    EXPECT_EQ(result.status, PublishStatus::invalid);
    return result.reason;
  };
  EXPECT_EQ(reason("1", {}), "a change without edits");
  EXPECT_EQ(reason("1", {{route(std::string(10'240, 'n')), "v"}}), "a name is too long");
  EXPECT_EQ(reason("1", {{route(""), "v"}}), "an entry without a name");
  EXPECT_EQ(reason("1", {{route("a"), std::string(kMaxValueBytes + 1, 'v')}}), "a value is too long");
  EXPECT_EQ(reason("1", {{route("a"), "v"}, {route("a"), "w"}}), "two edits of one entry");
  EXPECT_EQ(reason("1", {{{static_cast<EntryKind>(9), "a"}, "v"}}), "an unknown kind of entry");
  EXPECT_EQ(reason("1", std::vector<Edit>(kMaxEditsPerChange + 1, Edit{route("a"), "v"})),
            "too many edits in a change");
  EXPECT_EQ(reason("", {{route("a"), "v"}}), "a request id of a wrong length");
  EXPECT_EQ(reason(std::string(65, 'i'), {{route("a"), "v"}}), "a request id of a wrong length");
  EXPECT_EQ(replica.core.state().committed(), before);
  ReplicaRecorder outside;
  ControlReplica follower({}, "r1", {"r0"}, 1, outside);
  EXPECT_EQ(follower.publish(0, "1", {{route("a"), "v"}}).status, PublishStatus::not_writer);
}

TEST(DistributionSubscriber, TakesWhatFollowsAndAcknowledges) {
  ConnectedSubscriber subscriber;
  const auto record = makeRecord(4, 2, subscriber.table, "n4", "v");
  subscriber.core.receive(2, "r0", subscriber.following(record));
  EXPECT_EQ(subscriber.core.version(), 4u);
  EXPECT_EQ(subscriber.core.find(route("n4"))->value, "v");
  ASSERT_NE(lastOf<Acknowledge>(subscriber.outside.sent), nullptr);
  EXPECT_EQ(lastOf<Acknowledge>(subscriber.outside.sent)->version, 4u);
}

TEST(DistributionSubscriber, DoubledOldAndOutOfOrderRecordsChangeNothing) {
  ConnectedSubscriber subscriber;
  EntryTable empty;
  const auto old = makeRecord(2, 2, empty, "other", "v");
  subscriber.core.receive(2, "r0", Changes{1, 1, {old}, 3, subscriber.table.rootHash(), 0});
  subscriber.expectUnchanged();
  EXPECT_EQ(subscriber.core.counts().doubled, 1u);
  const auto later = makeRecord(6, 2, subscriber.table, "n6", "v");
  subscriber.core.receive(2000, "r0", Changes{5, 2, {later}, 6, 0, 0});
  subscriber.expectUnchanged();
  EXPECT_EQ(subscriber.core.counts().gaps, 1u);
  ASSERT_NE(lastOf<Subscribe>(subscriber.outside.sent), nullptr);
  EXPECT_EQ(lastOf<Subscribe>(subscriber.outside.sent)->version, 3u);
}

TEST(DistributionSubscriber, AnOlderTermAndAnotherHistoryAreRefused) {
  {
    ConnectedSubscriber subscriber;
    subscriber.core.receive(2, "r0", subscriber.following(makeRecord(4, 1, subscriber.table, "n4", "v")));
    subscriber.expectUnchanged();
    EXPECT_EQ(subscriber.core.counts().oldTerms, 1u);
    EXPECT_EQ(subscriber.core.replica(), "r1");
  }
  {
    ConnectedSubscriber subscriber;
    Changes changes = subscriber.following(makeRecord(4, 3, subscriber.table, "n4", "v"));
    changes.previousTerm = 1;
    subscriber.core.receive(2, "r0", changes);
    subscriber.expectUnchanged();
    EXPECT_EQ(subscriber.core.counts().conflictingHistories, 1u);
  }
}

TEST(DistributionSubscriber, ARecordWhoseHashDoesNotFitIsNotAppliedAndRepairIsAsked) {
  ConnectedSubscriber subscriber;
  auto record = std::make_shared<ChangeRecord>(*makeRecord(4, 2, subscriber.table, "n4", "v"));
  record->rootHash += 1;
  subscriber.core.receive(2, "r0", subscriber.following(record));
  subscriber.expectUnchanged();
  EXPECT_EQ(subscriber.core.counts().hashDiffers, 1u);
  ASSERT_NE(lastOf<RangeRequest>(subscriber.outside.sent), nullptr);
  EXPECT_EQ(lastOf<RangeRequest>(subscriber.outside.sent)->hashes, subscriber.table.rangeHashes());
}

TEST(DistributionSubscriber, BadBytesAndStrayMessagesAreCountedAndLoggedAtABoundedRate) {
  ConnectedSubscriber subscriber;
  const Bytes garbage(100, 0xff);
  for (int i = 0; i < 1000; ++i) subscriber.core.receiveBytes(5, "r0", garbage.data(), garbage.size());
  EXPECT_EQ(subscriber.core.counts().malformed, 1000u);
  EXPECT_LE(subscriber.outside.lines.size(), 11u);
  const auto record = makeRecord(4, 2, subscriber.table, "n4", "v");
  subscriber.core.receive(6, "r1", subscriber.following(record));
  subscriber.core.receive(6, "r0", Append{});
  subscriber.core.receive(6, "r0", RangeContents{});
  EXPECT_EQ(subscriber.core.counts().unexpected, 3u);
  subscriber.expectUnchanged();
}

TEST(DistributionSubscriber, ADamagedTransferChangesNothing) {
  ConnectedSubscriber subscriber;
  subscriber.core.receive(2, "r0", Refused{RefusalCode::behind_horizon, 0});
  const RangeRequest* request = lastOf<RangeRequest>(subscriber.outside.sent);
  ASSERT_NE(request, nullptr);
  const auto entry = makeEntry(route("n9"), "v", 9, 2);
  const auto index = static_cast<std::uint32_t>(EntryTable::rangeOf(entry->key));
  subscriber.core.receive(
      3, "r0", RangeContents{request->transfer, 0, true, 9, 2, 12345, {{index, makeRange({entry})}}});
  subscriber.expectUnchanged();
  EXPECT_EQ(subscriber.core.counts().repairsDamaged, 1u);
}

TEST(DistributionSubscriber, ABadChangeIsRefusedWholeAndToldAndTheOldEntriesStay) {
  LoneReplica replica;
  SubscriberRecorder recorder;
  Subscriber subscriber({}, {"r0"}, "build", refuseBad, 1, recorder);
  replica.core.publish(0, "one", {{route("a"), "1"}, {route("b"), "1"}, {route("c"), "1"}});
  subscriber.start(0);
  replica.talk(subscriber, recorder, 1000);
  replica.core.publish(1000, "two", {{route("a"), "2"}, {route("b"), "bad"}, {route("c"), std::nullopt}});
  replica.talk(subscriber, recorder, 2000);
  EXPECT_EQ(subscriber.version(), replica.core.state().committed());
  for (const char* name : {"a", "b", "c"}) EXPECT_EQ(subscriber.find(route(name))->value, "1");
  ASSERT_EQ(replica.outside.refusals.size(), 1u);
  EXPECT_EQ(replica.outside.refusals[0].second, (Refusal{3, "a bad value"}));
  // It stays so over a restart, and goes when each entry has a good change.
  Subscriber restarted({}, {"r0"}, "build", refuseBad, 2, recorder);
  restarted.restore(decodeSnapshot(encodeSnapshot(subscriber.snapshot())));
  for (const char* name : {"a", "b", "c"}) EXPECT_EQ(restarted.find(route(name))->value, "1");
  EXPECT_EQ(restarted.refusals().size(), 1u);
  restarted.start(2000);
  for (const char* name : {"a", "b", "c"}) replica.put(name, "3");
  replica.talk(restarted, recorder, 4000);
  for (const char* name : {"a", "b", "c"}) EXPECT_EQ(restarted.find(route(name))->value, "3");
  EXPECT_TRUE(restarted.refusals().empty());
}

TEST(DistributionSubscriber, ABuildThatKnowsTheChangeTakesItAtItsStart) {
  LoneReplica replica;
  SubscriberRecorder recorder;
  Subscriber older({}, {"r0"}, "older", refuseBad, 1, recorder);
  replica.put("a", "1");
  older.start(0);
  replica.talk(older, recorder, 1000);
  replica.put("a", "bad");
  replica.talk(older, recorder, 2000);
  EXPECT_EQ(older.find(route("a"))->value, "1");
  Subscriber newer({}, {"r0"}, "newer", acceptAll, 1, recorder);
  newer.restore(older.snapshot());
  EXPECT_EQ(newer.find(route("a"))->value, "bad");
}

TEST(DistributionSubscriber, GoesOnAfterSilenceWithAWaitByChance) {
  std::set<Milliseconds> waits;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SubscriberRecorder outside;
    Subscriber core({}, {"r0", "r1"}, "build", acceptAll, seed, outside);
    core.start(0);
    core.tick(0);
    core.tick(2000);
    EXPECT_EQ(core.replica(), "r1");
    EXPECT_LE(core.nextAt(), 2500);
    waits.insert(core.nextAt());
  }
  EXPECT_GT(waits.size(), 20u);
}

TEST(DistributionReplica, ASubscriberOfAnotherOrLaterHistoryIsRefused) {
  LoneReplica replica;
  replica.put("a", "1");
  const Version committed = replica.core.state().committed();
  const auto answer = [&replica](const Subscribe& subscribe) {
    replica.outside.sent.clear();
    replica.core.receive(200, "s0", subscribe);
    const Refused* refused = lastOf<Refused>(replica.outside.sent);
    return refused == nullptr ? std::string("served") : nameOf(refused->code);
  };
  EXPECT_EQ(answer({committed + 10, 1, "build"}), "subscriber_ahead");
  EXPECT_EQ(answer({committed, 7, "build"}), "different_history");
  EXPECT_EQ(answer({committed, 1, "build"}), "served");
  EXPECT_EQ(replica.core.sessions().counts().refusedAhead, 1u);
  EXPECT_EQ(replica.core.sessions().counts().refusedHistory, 1u);
}

TEST(DistributionReplica, OnlyPeersAreHeardAsReplicas) {
  LoneReplica replica;
  const Term promised = replica.core.state().promisedTerm();
  replica.core.receive(200, "s0", Claim{99, 0});
  replica.core.receive(200, "s0", Append{99, 0, 0, {}, 0, 0, 0});
  replica.core.receive(200, "s0", Promise{99, false, 0, 0, 0, {}});
  replica.core.receive(200, "s0", Changes{});
  EXPECT_EQ(replica.core.counts().unexpected, 4u);
  EXPECT_EQ(replica.core.state().promisedTerm(), promised);
  EXPECT_TRUE(replica.core.isWriter());
}

TEST(DistributionReplica, ASubscriberThatNeverReadsCostsABoundedWindowThenNothing) {
  ReplicaLimits limits;
  LoneReplica replica(limits);
  replica.core.receive(200, "s0", Subscribe{0, 0, "build"});
  for (int i = 0; i < 2000; ++i) {
    replica.now += 10;
    replica.put("n" + std::to_string(i), "v");
    replica.core.tick(replica.now);
  }
  std::size_t records = 0;
  for (const auto& [to, message] : replica.outside.sent)
    if (const auto* changes = std::get_if<Changes>(&message)) records += changes->records.size();
  // The window, sent again at times that double.
  EXPECT_LE(records, 6 * limits.sessions.maxRecordsInFlight);
  EXPECT_EQ(replica.core.sessions().size(), 1u);
  replica.core.tick(replica.now + limits.sessions.sessionTimeout + 1);
  EXPECT_EQ(replica.core.sessions().size(), 0u);
}

TEST(DistributionReplica, ACopyBehindTheHorizonIsRepairedByRanges) {
  ReplicaLimits limits;
  limits.maxRecords = 70;
  LoneReplica replica(limits);
  for (int i = 0; i < 3000; ++i) replica.put("n" + std::to_string(i), "value");
  SubscriberRecorder recorder;
  Subscriber subscriber({}, {"r0"}, "build", acceptAll, 1, recorder);
  subscriber.start(0);
  replica.talk(subscriber, recorder, 60'000);
  ASSERT_EQ(subscriber.table().rootHash(), replica.core.state().table().rootHash());
  const std::size_t whole = replica.bytesToSubscriber;
  // A day passes for it: few entries change, more versions than the horizon keeps.
  for (int i = 0; i < 300; ++i) replica.put("n" + std::to_string(i % 10), "later" + std::to_string(i));
  SubscriberRecorder laterRecorder;
  Subscriber later({}, {"r0"}, "build", acceptAll, 2, laterRecorder);
  later.restore(subscriber.snapshot());
  later.start(replica.now);
  replica.bytesToSubscriber = 0;
  replica.talk(later, laterRecorder, replica.now + 10'000);
  EXPECT_EQ(later.table().rootHash(), replica.core.state().table().rootHash());
  EXPECT_EQ(later.counts().repairsDone, 1u);
  EXPECT_LT(replica.bytesToSubscriber, whole / 20);
  EXPECT_EQ(laterRecorder.versions.size(), 1u);  // in force at once, not range by range
}

TEST(DistributionReplica, ADifferingCopyIsFoundByItsHashAndOnlyTheDifferingRangeIsSent) {
  LoneReplica replica;
  for (int i = 0; i < 3000; ++i) replica.put("n" + std::to_string(i), "value");
  SubscriberRecorder recorder;
  Subscriber subscriber({}, {"r0"}, "build", acceptAll, 1, recorder);
  Snapshot differing = replica.core.state().snapshot();
  differing.table.put(makeEntry(route("n7"), "differs", 1, 1));
  differing.records.clear();
  subscriber.restore(differing);
  subscriber.start(0);
  replica.talk(subscriber, recorder, 5000);
  EXPECT_EQ(subscriber.counts().hashDiffers, 1u);
  EXPECT_EQ(subscriber.find(route("n7"))->value, "value");
  EXPECT_LT(replica.bytesToSubscriber, 2000u);
}

TEST(DistributionReplica, TransfersUnderWayAreCapped) {
  ReplicaLimits limits;
  limits.sessions.maxTransfers = 3;
  LoneReplica replica(limits);
  for (int i = 0; i < 5; ++i) {
    const RangeRequest request{0, 0, 77, std::vector<Hash>(EntryTable::kRanges, 0)};
    replica.core.receive(200, "s" + std::to_string(i), request);
    replica.core.receive(200, "s" + std::to_string(i), request);  // doubled
  }
  EXPECT_EQ(replica.core.sessions().transfers(), 3u);
  EXPECT_GE(replica.core.sessions().counts().refusedBusy, 2u);
  EXPECT_GT(lastOf<Refused>(replica.outside.sent)->retryAfter, 0);
  // A transfer whose subscriber is silent gives its place back.
  replica.core.tick(40'000);
  EXPECT_EQ(replica.core.sessions().transfers(), 0u);
}

TEST(DistributionReplica, AColdStartStaysWithinTheTokenBucket) {
  LoneReplica replica;
  for (int i = 0; i < 4000; ++i) replica.put("n" + std::to_string(i), std::string(100, 'v'));
  const Snapshot disk = replica.core.state().snapshot();
  ReplicaLimits limits;
  limits.maxRecords = 0;
  SubscriberRecorder recorder;
  Subscriber subscriber({}, {"r0"}, "build", acceptAll, 1, recorder);
  subscriber.start(replica.now);
  const Milliseconds begin = replica.now;
  subscriber.tick(begin);
  subscriber.receive(begin, "r0", Refused{RefusalCode::behind_horizon, 0});
  while (subscriber.version() == 0 && replica.now < begin + 600'000)
    replica.talk(subscriber, recorder, replica.now + 100);
  EXPECT_EQ(subscriber.table().rootHash(), disk.table.rootHash());
  const double seconds = static_cast<double>(replica.now - begin) / 1000;
  const double mostBytes =
      limits.sessions.bytesPerSecond * (seconds + 1) + limits.sessions.burstBytes + 32 * 1024;
  EXPECT_LE(static_cast<double>(replica.bytesToSubscriber), mostBytes);
  EXPECT_GT(seconds, 20);
}

TEST(DistributionSchedules, LossOfFivePercent) { runSchedules(0.05); }
TEST(DistributionSchedules, LossOfTwentyPercent) { runSchedules(0.20); }

// Three replicas whose messages take no time; `cut` holds pairs that do not reach each other.
struct ThreeReplicas {
  struct Node : ReplicaRecorder {
    Milliseconds unixTime() override { return 1'000'000 + *now; }
    const Milliseconds* now = nullptr;
    std::unique_ptr<ControlReplica> core;
  };
  explicit ThreeReplicas(const ReplicaLimits& replicaLimits = {}) : limits(replicaLimits) {
    for (int i = 0; i < 3; ++i) begin(i, Snapshot{});
  }
  void begin(int i, const Snapshot& disk) {
    std::vector<std::string> peers;
    for (int j = 0; j < 3; ++j)
      if (j != i) peers.push_back("r" + std::to_string(j));
    nodes[i].now = &now;
    nodes[i].core = std::make_unique<ControlReplica>(limits, "r" + std::to_string(i), peers, i + 1, nodes[i]);
    nodes[i].core->restore(disk);
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
      if (to[0] != 'r' || cut.contains({std::min(i, j), std::max(i, j)})) continue;
      nodes[j].core->receive(now, "r" + std::to_string(i), message);
    }
  }
  PublishResult put(int i, const std::string& id) {
    return nodes[i].core->publish(now, id, {{route("name-" + id), "value"}});
  }

  ReplicaLimits limits;
  Milliseconds now = 100;
  std::array<Node, 3> nodes;
  std::set<std::pair<int, int>> cut;
};

TEST(DistributionReplica, OneThatWentBackToAnOlderLogRefusesWhoIsAheadAndCatchesUp) {
  ThreeReplicas fleet;
  ASSERT_TRUE(fleet.nodes[0].core->becomeWriter(fleet.now, 1));
  fleet.run(1000);
  fleet.put(0, "a");
  fleet.run(2000);
  const Snapshot older = fleet.nodes[2].core->state().snapshot();
  fleet.put(0, "b");
  fleet.put(0, "c");
  fleet.run(4000);
  const Version newest = fleet.nodes[0].core->state().committed();
  fleet.begin(2, older);
  fleet.nodes[2].core->receive(fleet.now, "s0", Subscribe{newest, 1, "build"});
  ASSERT_NE(lastOf<Refused>(fleet.nodes[2].sent), nullptr);
  EXPECT_EQ(lastOf<Refused>(fleet.nodes[2].sent)->code, RefusalCode::subscriber_ahead);
  fleet.run(6000);
  EXPECT_EQ(fleet.nodes[2].core->state().committed(), newest);
  EXPECT_EQ(fleet.nodes[2].core->state().table().rootHash(), fleet.nodes[0].core->state().table().rootHash());
}

TEST(DistributionReplica, OneBehindTheHorizonIsRepairedByAPeer) {
  ReplicaLimits limits;
  limits.maxUncommitted = 8;
  limits.maxRecords = 10;
  ThreeReplicas fleet(limits);
  ASSERT_TRUE(fleet.nodes[0].core->becomeWriter(fleet.now, 1));
  fleet.run(1000);
  fleet.cut = {{0, 2}, {1, 2}};
  for (int i = 0; i < 40; ++i) {
    EXPECT_NE(fleet.put(0, "q" + std::to_string(i)).status, PublishStatus::busy);
    fleet.run(fleet.now + 100);
  }
  fleet.cut.clear();
  fleet.run(fleet.now + 10'000);
  EXPECT_EQ(fleet.nodes[2].core->counts().repairsDone, 1u);
  EXPECT_EQ(fleet.nodes[2].core->state().committed(), fleet.nodes[0].core->state().committed());
  EXPECT_EQ(fleet.nodes[2].core->state().table().rootHash(), fleet.nodes[0].core->state().table().rootHash());
}

TEST(DistributionReplica, CutOffFromTheWriterItCopiesFromAPeerOrSaysHowStaleItIs) {
  ThreeReplicas fleet;
  ASSERT_TRUE(fleet.nodes[0].core->becomeWriter(fleet.now, 1));
  fleet.run(5000);
  const ReplicaState& state = fleet.nodes[2].core->state();
  fleet.cut = {{0, 2}};
  fleet.put(0, "a");
  fleet.run(15'000);
  EXPECT_EQ(state.committed(), fleet.nodes[0].core->state().committed());
  EXPECT_GT(state.writerTime(), 1'000'000 + 10'000);
  fleet.cut = {{0, 2}, {1, 2}};
  const Milliseconds newestWord = state.writerTime();
  fleet.put(0, "b");
  fleet.run(60'000);
  EXPECT_EQ(state.writerTime(), newestWord);
  EXPECT_LT(state.committed(), fleet.nodes[0].core->state().committed());
  // It serves on, and its subscribers hear the age.
  fleet.nodes[2].sent.clear();
  fleet.nodes[2].core->receive(fleet.now, "s0", Subscribe{state.committed(), state.committedTerm(), "build"});
  ASSERT_NE(lastOf<Changes>(fleet.nodes[2].sent), nullptr);
  EXPECT_EQ(lastOf<Changes>(fleet.nodes[2].sent)->writerTime, newestWord);
}

TEST(DistributionReplica, AWriterWithoutAMajorityStopsTakingChangesAndItsWordAges) {
  ThreeReplicas fleet;
  ASSERT_TRUE(fleet.nodes[0].core->becomeWriter(fleet.now, 1));
  fleet.run(5000);
  fleet.cut = {{0, 1}, {0, 2}};
  const Milliseconds newestWord = fleet.nodes[0].core->state().writerTime();
  EXPECT_EQ(fleet.put(0, "a").status, PublishStatus::pending);
  fleet.run(20'000);
  EXPECT_EQ(fleet.put(0, "b").status, PublishStatus::busy);
  EXPECT_EQ(fleet.nodes[0].core->state().writerTime(), newestWord);
  EXPECT_TRUE(fleet.nodes[0].committed.empty());
  // The others go on; the old one follows once it reaches them, and its change was never made.
  ASSERT_TRUE(fleet.nodes[1].core->becomeWriter(fleet.now, 2));
  fleet.run(22'000);
  fleet.put(1, "c");
  fleet.run(24'000);
  fleet.cut.clear();
  fleet.run(30'000);
  EXPECT_FALSE(fleet.nodes[0].core->isWriter());
  EXPECT_EQ(fleet.nodes[0].core->state().table().find(route("name-a")), nullptr);
  EXPECT_NE(fleet.nodes[0].core->state().table().find(route("name-c")), nullptr);
  EXPECT_EQ(fleet.nodes[0].core->counts().conflictingHistories, 0u);
}

TEST(DistributionReplica, ACopyThatDoesNotFitItsLogIsRepairedBeforeItServes) {
  ThreeReplicas fleet;
  ASSERT_TRUE(fleet.nodes[0].core->becomeWriter(fleet.now, 1));
  fleet.run(1000);
  fleet.put(0, "a");
  fleet.run(2000);
  Snapshot differing = fleet.nodes[2].core->state().snapshot();
  differing.table.put(makeEntry(route("name-a"), "differs", 2, 1));
  fleet.begin(2, differing);
  fleet.nodes[2].core->receive(fleet.now, "s0", Subscribe{0, 0, "build"});
  ASSERT_NE(lastOf<Refused>(fleet.nodes[2].sent), nullptr);
  EXPECT_EQ(lastOf<Refused>(fleet.nodes[2].sent)->code, RefusalCode::not_serving);
  fleet.put(0, "b");
  fleet.run(8000);
  EXPECT_EQ(fleet.nodes[2].core->counts().tableDiffers, 1u);
  EXPECT_EQ(fleet.nodes[2].core->counts().repairsDone, 1u);
  EXPECT_EQ(fleet.nodes[2].core->state().table().rootHash(), fleet.nodes[0].core->state().table().rootHash());
  fleet.nodes[2].core->receive(fleet.now, "s0", Subscribe{0, 0, "build"});
  EXPECT_EQ(lastOf<Refused>(fleet.nodes[2].sent), nullptr);
}

TEST(DistributionReplica, ACopyThatDiffersWithoutItsLogIsFoundAtTheNextChange) {
  ThreeReplicas fleet;
  ASSERT_TRUE(fleet.nodes[0].core->becomeWriter(fleet.now, 1));
  fleet.run(1000);
  fleet.put(0, "a");
  fleet.run(2000);
  Snapshot differing = fleet.nodes[2].core->state().snapshot();
  differing.table.put(makeEntry(route("name-a"), "differs", 2, 1));
  differing.logBase = differing.version;
  differing.logBaseTerm = differing.term;
  differing.records.clear();
  fleet.begin(2, differing);
  fleet.run(3000);
  EXPECT_EQ(fleet.nodes[2].core->counts().tableDiffers, 0u);
  fleet.put(0, "b");
  fleet.run(8000);
  EXPECT_GE(fleet.nodes[2].core->counts().tableDiffers, 1u);
  EXPECT_EQ(fleet.nodes[2].core->counts().repairsDone, 1u);
  EXPECT_EQ(fleet.nodes[2].core->state().table().rootHash(), fleet.nodes[0].core->state().table().rootHash());
}

// The small form of the simulation: counts and shape, no wall time.
wingslip::lab::DistributionOptions smallFleet(wingslip::lab::DistributionScenario scenario) {
  wingslip::lab::DistributionOptions options;
  options.scenario = scenario;
  options.regions = 3;
  options.zones = 6;
  options.subscribers = 200;
  options.entries = 2'000;
  options.meanSeconds = 120;
  options.stormSeconds = 30;
  return options;
}

constexpr double kMaxEverywhereMs = 18'000;
constexpr double kMaxBytesPerSecond = 17'000;

void expectKept(const wingslip::lab::DistributionResult& result) {
  EXPECT_EQ(result.differingCopies, 0u);
  EXPECT_EQ(result.conflicts, 0u);
  EXPECT_EQ(result.recovered, result.restarted);
  for (const auto& phase : result.phases) {
    EXPECT_GT(phase.changes, 0u) << phase.name;
    EXPECT_EQ(phase.uncommitted, 0u) << phase.name;
    EXPECT_LE(phase.everywhere.worst, kMaxEverywhereMs) << phase.name;
    EXPECT_LE(phase.subscriber.worstTenSecondBytes, kMaxBytesPerSecond) << phase.name;
  }
}

TEST(DistributionSimulation, EveryChangeReachesEveryGatekeeperOnce) {
  const auto result = simulateDistribution(smallFleet(wingslip::lab::DistributionScenario::steady));
  expectKept(result);
  for (const auto& phase : result.phases) {
    EXPECT_EQ(phase.deliveries, phase.changes * 200) << phase.name;
    EXPECT_LE(phase.messagesPerChangeAndSubscriber, 2.3) << phase.name;
    EXPECT_LE(phase.bytesPerChangeAndSubscriber, 350) << phase.name;
  }
  // A storm is taken in batches: fewer messages a change.
  EXPECT_LT(result.phases[1].messagesPerChangeAndSubscriber, result.phases[0].messagesPerChangeAndSubscriber);
}

TEST(DistributionSimulation, WhatAChangeCostsDoesNotGrowWithEntriesOrSubscribers) {
  const auto options = smallFleet(wingslip::lab::DistributionScenario::steady);
  auto moreEntries = options, moreSubscribers = options;
  moreEntries.entries = 16'000;
  moreSubscribers.subscribers = 800;
  const auto base = simulateDistribution(options).phases[0];
  for (const auto& other :
       {simulateDistribution(moreEntries).phases[0], simulateDistribution(moreSubscribers).phases[0]}) {
    EXPECT_NEAR(other.bytesPerChangeAndSubscriber, base.bytesPerChangeAndSubscriber,
                0.1 * base.bytesPerChangeAndSubscriber);
    EXPECT_NEAR(other.messagesPerChangeAndSubscriber, base.messagesPerChangeAndSubscriber, 0.2);
    const double baseBytes = base.subscriber.meanBytesIn + base.subscriber.meanBytesOut;
    EXPECT_NEAR(other.subscriber.meanBytesIn + other.subscriber.meanBytesOut, baseBytes, 0.25 * baseBytes);
  }
}

TEST(DistributionSimulation, ALostReplicaOrWriterDelaysWithinTheBound) {
  using wingslip::lab::DistributionScenario;
  for (const auto scenario : {DistributionScenario::replica_dies, DistributionScenario::writer_dies}) {
    auto options = smallFleet(scenario);
    options.meanSeconds = 180;
    const auto result = simulateDistribution(options);
    expectKept(result);
    EXPECT_GE(result.failovers, 33u);  // a zone's subscribers
    EXPECT_EQ(result.repairs, 0u);
  }
}

TEST(DistributionSimulation, AZoneThatStartsAtOnceComesUpToDate) {
  using wingslip::lab::DistributionScenario;
  const auto warm = simulateDistribution(smallFleet(DistributionScenario::zone_restart));
  expectKept(warm);
  EXPECT_GE(warm.restarted, 33u);
  EXPECT_EQ(warm.repairs, 0u);
  const auto cold = simulateDistribution(smallFleet(DistributionScenario::zone_cold));
  expectKept(cold);
  EXPECT_GE(cold.repairs, 33u);
  EXPECT_LT(50 * warm.restartedMeanBytes, cold.restartedMeanBytes);
  EXPECT_LT(cold.restartedMeanBytes, 1.3 * cold.wholeFileBytes);
}

TEST(DistributionSimulation, PartedRegionsHearThroughAThird) {
  auto options = smallFleet(wingslip::lab::DistributionScenario::regions_part);
  options.meanSeconds = 400;
  expectKept(simulateDistribution(options));
}

TEST(DistributionSimulation, TheSameSeedGivesTheSameRun) {
  const auto options = smallFleet(wingslip::lab::DistributionScenario::steady);
  const auto first = simulateDistribution(options), second = simulateDistribution(options);
  EXPECT_EQ(first.phases[1].subscriber.meanBytesIn, second.phases[1].subscriber.meanBytesIn);
  EXPECT_EQ(first.phases[1].everywhere.worst, second.phases[1].everywhere.worst);
}

}  // namespace
}  // namespace wingslip::distribution
