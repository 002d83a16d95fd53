/// Unit tests of configuration distribution: table, token bucket, placement, writer, subscriber.
#include <gtest/gtest.h>

#include <random>

#include "distribution/placement.hpp"
#include "distribution_fixtures.hpp"

namespace wingslip::distribution {
namespace {

TEST(DistributionTable, IncrementalHashesMatchRebuildAndOnlyChangedRangeIsReplaced) {
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

TEST(DistributionTokenBucket, LimitsMeanRateAndBurst) {
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

TEST(DistributionPlacement, PrefersZoneThenRegionAndSpreadsSubscribersOfFailedReplica) {
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

TEST(DistributionWriter, RepeatedRequestIdIsWrittenOnce) {
  SingleWriterReplica replica;
  const std::vector<Edit> edits{{route("a"), "1"}};
  const PublishResult first = replica.core.publish(0, "id", edits);
  const PublishResult second = replica.core.publish(0, "id", edits);
  EXPECT_EQ(first.status, PublishStatus::committed);
  EXPECT_EQ(second.status, PublishStatus::committed);
  EXPECT_EQ(first.version, second.version);
  EXPECT_EQ(replica.core.state().committed(), first.version);
}

TEST(DistributionWriter, UncommittedChangeOfFailedWriterIsAdoptedByNextWriter) {
  ReplicaRecorder environment0, environment1, environment2;
  ControlReplica r0({}, "r0", {"r1", "r2"}, 1, environment0), r1({}, "r1", {"r0", "r2"}, 1, environment1),
      r2({}, "r2", {"r0", "r1"}, 1, environment2);
  const std::map<std::string, std::pair<ControlReplica*, ReplicaRecorder*>> replicas{
      {"r0", {&r0, &environment0}}, {"r1", {&r1, &environment1}}, {"r2", {&r2, &environment2}}};
  std::set<std::string> failed;
  const auto deliverAll = [&] {
    for (int round = 0; round < 20; ++round)
      for (const auto& [name, node] : replicas)
        for (const auto& [to, message] : std::exchange(node.second->sent, {}))
          if (!failed.contains(name) && !failed.contains(to))
            replicas.at(to).first->receive(1, name, message);
  };
  ASSERT_TRUE(r0.becomeWriter(1, 1));
  deliverAll();
  ASSERT_TRUE(r0.isWriter());
  EXPECT_EQ(r0.publish(1, "id", {{route("a"), "1"}}).status, PublishStatus::pending);
  // The records reach one other replica; the writer fails before any response.
  for (const auto& [to, message] : std::exchange(environment0.sent, {}))
    if (to == "r1") r1.receive(1, "r0", message);
  failed.insert("r0");
  environment1.sent.clear();
  ASSERT_TRUE(r2.becomeWriter(1, 2));
  deliverAll();
  ASSERT_TRUE(r2.isWriter());
  const PublishResult retried = r2.publish(1, "id", {{route("a"), "1"}});
  EXPECT_EQ(retried.status, PublishStatus::committed);
  EXPECT_EQ(retried.version, 2u);  // after the barrier of term 1
  // The old writer recovers, still with term 1: its messages are rejected, and it follows the new writer.
  failed.clear();
  EXPECT_EQ(r0.publish(2, "late", {{route("a"), "2"}}).status, PublishStatus::pending);
  deliverAll();
  EXPECT_FALSE(r0.isWriter());
  EXPECT_GT(r1.counts().oldTerms + r2.counts().oldTerms, 0u);
  EXPECT_FALSE(r0.becomeWriter(2, 2));
  EXPECT_EQ(r1.state().table().rootHash(), r2.state().table().rootHash());
  EXPECT_TRUE(environment0.committed.empty());
}

TEST(DistributionWriter, InvalidChangeIsRejectedWithReason) {
  SingleWriterReplica replica;
  const Version before = replica.core.state().committed();
  const auto reason = [&replica](const std::string& id, const std::vector<Edit>& edits) {
    const PublishResult result = replica.core.publish(0, id, edits);
    EXPECT_EQ(result.status, PublishStatus::invalid);
    return result.reason;
  };
  EXPECT_EQ(reason("1", {}), "change has no edits");
  EXPECT_EQ(reason("1", {{route(std::string(10'240, 'n')), "v"}}), "entry name is too long");
  EXPECT_EQ(reason("1", {{route(""), "v"}}), "entry name is empty");
  EXPECT_EQ(reason("1", {{route("a"), std::string(kMaxValueBytes + 1, 'v')}}), "entry value is too long");
  EXPECT_EQ(reason("1", {{route("a"), "v"}, {route("a"), "w"}}), "duplicate entry key in a change");
  EXPECT_EQ(reason("1", {{{static_cast<EntryKind>(9), "a"}, "v"}}), "unknown entry kind");
  EXPECT_EQ(reason("1", std::vector<Edit>(kMaxEditsPerChange + 1, Edit{route("a"), "v"})),
            "change has too many edits");
  EXPECT_EQ(reason("", {{route("a"), "v"}}), "request id is empty or too long");
  EXPECT_EQ(reason(std::string(65, 'i'), {{route("a"), "v"}}), "request id is empty or too long");
  EXPECT_EQ(replica.core.state().committed(), before);
  ReplicaRecorder environment;
  ControlReplica follower({}, "r1", {"r0"}, 1, environment);
  EXPECT_EQ(follower.publish(0, "1", {{route("a"), "v"}}).status, PublishStatus::notWriter);
}

TEST(DistributionSubscriber, AppliesNextRecordAndAcknowledges) {
  ConnectedSubscriber subscriber;
  const auto record = makeRecord(4, 2, subscriber.table, "n4", "v");
  subscriber.core.receive(2, "r0", subscriber.changesWith(record));
  EXPECT_EQ(subscriber.core.version(), 4u);
  EXPECT_EQ(subscriber.core.find(route("n4"))->value, "v");
  ASSERT_NE(lastOf<Acknowledge>(subscriber.environment.sent), nullptr);
  EXPECT_EQ(lastOf<Acknowledge>(subscriber.environment.sent)->version, 4u);
}

TEST(DistributionSubscriber, DuplicateAndOutOfOrderRecordsAreNotApplied) {
  ConnectedSubscriber subscriber;
  EntryTable empty;
  const auto old = makeRecord(2, 2, empty, "other", "v");
  subscriber.core.receive(2, "r0", Changes{1, 1, {old}, 3, subscriber.table.rootHash(), 0});
  subscriber.expectUnchanged();
  EXPECT_EQ(subscriber.core.counts().duplicates, 1u);
  const auto later = makeRecord(6, 2, subscriber.table, "n6", "v");
  subscriber.core.receive(2000, "r0", Changes{5, 2, {later}, 6, 0, 0});
  subscriber.expectUnchanged();
  EXPECT_EQ(subscriber.core.counts().gaps, 1u);
  ASSERT_NE(lastOf<Subscribe>(subscriber.environment.sent), nullptr);
  EXPECT_EQ(lastOf<Subscribe>(subscriber.environment.sent)->version, 3u);
}

TEST(DistributionSubscriber, RecordsOfOlderTermOrConflictingHistoryAreNotApplied) {
  {
    ConnectedSubscriber subscriber;
    subscriber.core.receive(2, "r0", subscriber.changesWith(makeRecord(4, 1, subscriber.table, "n4", "v")));
    subscriber.expectUnchanged();
    EXPECT_EQ(subscriber.core.counts().oldTerms, 1u);
    EXPECT_EQ(subscriber.core.replica(), "r1");
  }
  {
    ConnectedSubscriber subscriber;
    Changes changes = subscriber.changesWith(makeRecord(4, 3, subscriber.table, "n4", "v"));
    changes.previousTerm = 1;
    subscriber.core.receive(2, "r0", changes);
    subscriber.expectUnchanged();
    EXPECT_EQ(subscriber.core.counts().conflictingHistories, 1u);
  }
}

TEST(DistributionSubscriber, RecordWithWrongHashIsNotAppliedAndRepairIsRequested) {
  ConnectedSubscriber subscriber;
  auto record = std::make_shared<ChangeRecord>(*makeRecord(4, 2, subscriber.table, "n4", "v"));
  record->rootHash += 1;
  subscriber.core.receive(2, "r0", subscriber.changesWith(record));
  subscriber.expectUnchanged();
  EXPECT_EQ(subscriber.core.counts().hashMismatches, 1u);
  ASSERT_NE(lastOf<RangeRequest>(subscriber.environment.sent), nullptr);
  EXPECT_EQ(lastOf<RangeRequest>(subscriber.environment.sent)->hashes, subscriber.table.rangeHashes());
}

TEST(DistributionSubscriber, MalformedAndUnexpectedMessagesAreCountedAndLoggedAtBoundedRate) {
  ConnectedSubscriber subscriber;
  const Bytes garbage(100, 0xff);
  for (int i = 0; i < 1000; ++i) subscriber.core.receiveBytes(5, "r0", garbage.data(), garbage.size());
  EXPECT_EQ(subscriber.core.counts().malformed, 1000u);
  EXPECT_LE(subscriber.environment.lines.size(), 11u);
  const auto record = makeRecord(4, 2, subscriber.table, "n4", "v");
  subscriber.core.receive(6, "r1", subscriber.changesWith(record));
  subscriber.core.receive(6, "r0", Append{});
  subscriber.core.receive(6, "r0", RangeContents{});
  EXPECT_EQ(subscriber.core.counts().unexpected, 3u);
  subscriber.expectUnchanged();
}

TEST(DistributionSubscriber, TransferWithWrongRootHashIsNotApplied) {
  ConnectedSubscriber subscriber;
  subscriber.core.receive(2, "r0", Rejection{RejectionCode::behindHorizon, 0});
  const RangeRequest* request = lastOf<RangeRequest>(subscriber.environment.sent);
  ASSERT_NE(request, nullptr);
  const auto entry = makeEntry(route("n9"), "v", 9, 2);
  const auto index = static_cast<std::uint32_t>(EntryTable::rangeOf(entry->key));
  subscriber.core.receive(
      3, "r0", RangeContents{request->transfer, 0, true, 9, 2, 12345, {{index, makeRange({entry})}}});
  subscriber.expectUnchanged();
  EXPECT_EQ(subscriber.core.counts().repairsDamaged, 1u);
}

TEST(DistributionSubscriber, ChangeWithInvalidEntryIsRejectedAtomicallyAndReported) {
  SingleWriterReplica replica;
  SubscriberRecorder recorder;
  Subscriber subscriber({}, {"r0"}, "build", rejectBad, 1, recorder);
  replica.core.publish(0, "one", {{route("a"), "1"}, {route("b"), "1"}, {route("c"), "1"}});
  subscriber.start(0);
  replica.exchangeUntil(subscriber, recorder, 1000);
  replica.core.publish(1000, "two", {{route("a"), "2"}, {route("b"), "bad"}, {route("c"), std::nullopt}});
  replica.exchangeUntil(subscriber, recorder, 2000);
  EXPECT_EQ(subscriber.version(), replica.core.state().committed());
  for (const char* name : {"a", "b", "c"}) EXPECT_EQ(subscriber.find(route(name))->value, "1");
  ASSERT_EQ(replica.environment.rejectedChanges.size(), 1u);
  EXPECT_EQ(replica.environment.rejectedChanges[0].second, (RejectedChange{3, "a bad value"}));
  // The rejection survives a restart and ends once each entry has an accepted change.
  Subscriber restarted({}, {"r0"}, "build", rejectBad, 2, recorder);
  restarted.restore(decodeSnapshot(encodeSnapshot(subscriber.snapshot())));
  for (const char* name : {"a", "b", "c"}) EXPECT_EQ(restarted.find(route(name))->value, "1");
  EXPECT_EQ(restarted.rejectedChanges().size(), 1u);
  restarted.start(2000);
  for (const char* name : {"a", "b", "c"}) replica.put(name, "3");
  replica.exchangeUntil(restarted, recorder, 4000);
  for (const char* name : {"a", "b", "c"}) EXPECT_EQ(restarted.find(route(name))->value, "3");
  EXPECT_TRUE(restarted.rejectedChanges().empty());
}

TEST(DistributionSubscriber, NewerBuildAppliesPreviouslyRejectedChangeOnRestore) {
  SingleWriterReplica replica;
  SubscriberRecorder recorder;
  Subscriber older({}, {"r0"}, "older", rejectBad, 1, recorder);
  replica.put("a", "1");
  older.start(0);
  replica.exchangeUntil(older, recorder, 1000);
  replica.put("a", "bad");
  replica.exchangeUntil(older, recorder, 2000);
  EXPECT_EQ(older.find(route("a"))->value, "1");
  Subscriber newer({}, {"r0"}, "newer", acceptAll, 1, recorder);
  newer.restore(older.snapshot());
  EXPECT_EQ(newer.find(route("a"))->value, "bad");
}

TEST(DistributionSubscriber, FailsOverAfterConnectTimeoutWithJitter) {
  std::set<Milliseconds> waits;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SubscriberRecorder environment;
    Subscriber core({}, {"r0", "r1"}, "build", acceptAll, seed, environment);
    core.start(0);
    core.tick(0);
    core.tick(2000);
    EXPECT_EQ(core.replica(), "r1");
    EXPECT_LE(core.nextTickAt(), 2500);
    waits.insert(core.nextTickAt());
  }
  EXPECT_GT(waits.size(), 20u);
}

}  // namespace
}  // namespace wingslip::distribution
