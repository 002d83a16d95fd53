/// Tests of control replicas: sessions and rejections, repair, and replacement of the writer.
#include <gtest/gtest.h>

#include "distribution_fixtures.hpp"

namespace wingslip::distribution {
namespace {

TEST(DistributionReplica, SubscriberWithConflictingTermOrNewerVersionIsRejected) {
  SingleWriterReplica replica;
  replica.put("a", "1");
  const Version committed = replica.core.state().committed();
  const auto response = [&replica](const Subscribe& subscribe) {
    replica.environment.sent.clear();
    replica.core.receive(200, "s0", subscribe);
    const Rejection* rejection = lastOf<Rejection>(replica.environment.sent);
    return rejection == nullptr ? std::string("served") : nameOf(rejection->code);
  };
  EXPECT_EQ(response({committed + 10, 1, "build"}), "subscriber_ahead");
  EXPECT_EQ(response({committed, 7, "build"}), "different_history");
  EXPECT_EQ(response({committed, 1, "build"}), "served");
  EXPECT_EQ(replica.core.sessions().counts().rejectedSubscriberAhead, 1u);
  EXPECT_EQ(replica.core.sessions().counts().rejectedDifferentHistory, 1u);
}

TEST(DistributionReplica, ReplicaMessagesFromNonPeersAreIgnored) {
  SingleWriterReplica replica;
  const Term promised = replica.core.state().promisedTerm();
  replica.core.receive(200, "s0", Prepare{99, 0});
  replica.core.receive(200, "s0", Append{99, 0, 0, {}, 0, 0, 0});
  replica.core.receive(200, "s0", Promise{99, false, 0, 0, 0, {}});
  replica.core.receive(200, "s0", Changes{});
  EXPECT_EQ(replica.core.counts().unexpected, 4u);
  EXPECT_EQ(replica.core.state().promisedTerm(), promised);
  EXPECT_TRUE(replica.core.isWriter());
}

TEST(DistributionReplica, UnresponsiveSubscriberIsSentBoundedWindowAndExpires) {
  ReplicaLimits limits;
  SingleWriterReplica replica(limits);
  replica.core.receive(200, "s0", Subscribe{0, 0, "build"});
  for (int i = 0; i < 2000; ++i) {
    replica.now += 10;
    replica.put("n" + std::to_string(i), "v");
    replica.core.tick(replica.now);
  }
  std::size_t records = 0;
  for (const auto& [to, message] : replica.environment.sent)
    if (const auto* changes = std::get_if<Changes>(&message)) records += changes->records.size();
  // Without acknowledgements only one window of records is sent, and resent with a timeout that doubles.
  EXPECT_LE(records, 6 * limits.sessions.maxRecordsInFlight);
  EXPECT_EQ(replica.core.sessions().size(), 1u);
  replica.core.tick(replica.now + limits.sessions.sessionTimeout + 1);
  EXPECT_EQ(replica.core.sessions().size(), 0u);
}

TEST(DistributionReplica, SubscriberBehindHorizonIsRepairedByRanges) {
  ReplicaLimits limits;
  limits.maxRecords = 70;
  SingleWriterReplica replica(limits);
  for (int i = 0; i < 3000; ++i) replica.put("n" + std::to_string(i), "value");
  SubscriberRecorder recorder;
  Subscriber subscriber({}, {"r0"}, "build", acceptAll, 1, recorder);
  subscriber.start(0);
  replica.exchangeUntil(subscriber, recorder, 60'000);
  ASSERT_EQ(subscriber.table().rootHash(), replica.core.state().table().rootHash());
  const std::size_t coldStartBytes = replica.bytesToSubscriber;
  // While the subscriber is disconnected, more versions than the horizon are written to a few entries.
  for (int i = 0; i < 300; ++i) replica.put("n" + std::to_string(i % 10), "later" + std::to_string(i));
  SubscriberRecorder laterRecorder;
  Subscriber later({}, {"r0"}, "build", acceptAll, 2, laterRecorder);
  later.restore(subscriber.snapshot());
  later.start(replica.now);
  replica.bytesToSubscriber = 0;
  replica.exchangeUntil(later, laterRecorder, replica.now + 10'000);
  EXPECT_EQ(later.table().rootHash(), replica.core.state().table().rootHash());
  EXPECT_EQ(later.counts().repairsDone, 1u);
  EXPECT_LT(replica.bytesToSubscriber, coldStartBytes / 20);
  EXPECT_EQ(laterRecorder.versions.size(), 1u);  // applied as one change, not range by range
}

TEST(DistributionReplica, DifferingSubscriberTableIsDetectedAndOnlyItsRangeIsSent) {
  SingleWriterReplica replica;
  for (int i = 0; i < 3000; ++i) replica.put("n" + std::to_string(i), "value");
  SubscriberRecorder recorder;
  Subscriber subscriber({}, {"r0"}, "build", acceptAll, 1, recorder);
  Snapshot differing = replica.core.state().snapshot();
  differing.table.put(makeEntry(route("n7"), "differs", 1, 1));
  differing.records.clear();
  subscriber.restore(differing);
  subscriber.start(0);
  replica.exchangeUntil(subscriber, recorder, 5000);
  EXPECT_EQ(subscriber.counts().hashMismatches, 1u);
  EXPECT_EQ(subscriber.find(route("n7"))->value, "value");
  EXPECT_LT(replica.bytesToSubscriber, 2000u);
}

TEST(DistributionReplica, ConcurrentTransfersAreLimited) {
  ReplicaLimits limits;
  limits.sessions.maxTransfers = 3;
  SingleWriterReplica replica(limits);
  for (int i = 0; i < 5; ++i) {
    const RangeRequest request{0, 0, 77, std::vector<Hash>(EntryTable::kRanges, 0)};
    replica.core.receive(200, "s" + std::to_string(i), request);
    replica.core.receive(200, "s" + std::to_string(i), request);  // duplicate
  }
  EXPECT_EQ(replica.core.sessions().transfers(), 3u);
  EXPECT_GE(replica.core.sessions().counts().rejectedBusy, 2u);
  EXPECT_GT(lastOf<Rejection>(replica.environment.sent)->retryAfter, 0);
  // The transfer of a subscriber that sends nothing ends when its session expires.
  replica.core.tick(40'000);
  EXPECT_EQ(replica.core.sessions().transfers(), 0u);
}

TEST(DistributionReplica, ColdStartStaysWithinRateLimit) {
  SingleWriterReplica replica;
  for (int i = 0; i < 4000; ++i) replica.put("n" + std::to_string(i), std::string(100, 'v'));
  const Snapshot expected = replica.core.state().snapshot();
  ReplicaLimits limits;
  limits.maxRecords = 0;
  SubscriberRecorder recorder;
  Subscriber subscriber({}, {"r0"}, "build", acceptAll, 1, recorder);
  subscriber.start(replica.now);
  const Milliseconds startedAt = replica.now;
  subscriber.tick(startedAt);
  subscriber.receive(startedAt, "r0", Rejection{RejectionCode::behindHorizon, 0});
  while (subscriber.version() == 0 && replica.now < startedAt + 600'000)
    replica.exchangeUntil(subscriber, recorder, replica.now + 100);
  EXPECT_EQ(subscriber.table().rootHash(), expected.table.rootHash());
  const double seconds = static_cast<double>(replica.now - startedAt) / 1000;
  const double maxBytes =
      limits.sessions.bytesPerSecond * (seconds + 1) + limits.sessions.burstBytes + 32 * 1024;
  EXPECT_LE(static_cast<double>(replica.bytesToSubscriber), maxBytes);
  EXPECT_GT(seconds, 20);
}

TEST(DistributionReplica, ReplicaWithOlderLogRejectsSubscribersAheadAndCatchesUp) {
  ThreeReplicas fleet;
  ASSERT_TRUE(fleet.nodes[0].core->becomeWriter(fleet.now, 1));
  fleet.run(1000);
  fleet.publishValue(0, "a");
  fleet.run(2000);
  const Snapshot older = fleet.nodes[2].core->state().snapshot();
  fleet.publishValue(0, "b");
  fleet.publishValue(0, "c");
  fleet.run(4000);
  const Version newest = fleet.nodes[0].core->state().committed();
  fleet.restart(2, older);
  fleet.nodes[2].core->receive(fleet.now, "s0", Subscribe{newest, 1, "build"});
  ASSERT_NE(lastOf<Rejection>(fleet.nodes[2].sent), nullptr);
  EXPECT_EQ(lastOf<Rejection>(fleet.nodes[2].sent)->code, RejectionCode::subscriberAhead);
  fleet.run(6000);
  EXPECT_EQ(fleet.nodes[2].core->state().committed(), newest);
  EXPECT_EQ(fleet.nodes[2].core->state().table().rootHash(), fleet.nodes[0].core->state().table().rootHash());
}

TEST(DistributionReplica, ReplicaBehindHorizonIsRepairedByPeer) {
  ReplicaLimits limits;
  limits.maxUncommitted = 8;
  limits.maxRecords = 10;
  ThreeReplicas fleet(limits);
  ASSERT_TRUE(fleet.nodes[0].core->becomeWriter(fleet.now, 1));
  fleet.run(1000);
  fleet.cutLinks = {{0, 2}, {1, 2}};
  for (int i = 0; i < 40; ++i) {
    EXPECT_NE(fleet.publishValue(0, "q" + std::to_string(i)).status, PublishStatus::busy);
    fleet.run(fleet.now + 100);
  }
  fleet.cutLinks.clear();
  fleet.run(fleet.now + 10'000);
  EXPECT_EQ(fleet.nodes[2].core->counts().repairsDone, 1u);
  EXPECT_EQ(fleet.nodes[2].core->state().committed(), fleet.nodes[0].core->state().committed());
  EXPECT_EQ(fleet.nodes[2].core->state().table().rootHash(), fleet.nodes[0].core->state().table().rootHash());
}

TEST(DistributionReplica, ReplicaCutOffFromWriterFetchesFromPeerOrReportsStaleness) {
  ThreeReplicas fleet;
  ASSERT_TRUE(fleet.nodes[0].core->becomeWriter(fleet.now, 1));
  fleet.run(5000);
  const ReplicaState& state = fleet.nodes[2].core->state();
  fleet.cutLinks = {{0, 2}};
  fleet.publishValue(0, "a");
  fleet.run(15'000);
  EXPECT_EQ(state.committed(), fleet.nodes[0].core->state().committed());
  EXPECT_GT(state.writerTime(), 1'000'000 + 10'000);
  fleet.cutLinks = {{0, 2}, {1, 2}};
  const Milliseconds newestWriterTime = state.writerTime();
  fleet.publishValue(0, "b");
  fleet.run(60'000);
  EXPECT_EQ(state.writerTime(), newestWriterTime);
  EXPECT_LT(state.committed(), fleet.nodes[0].core->state().committed());
  // It still serves subscribers and reports the writer time, from which they know its staleness.
  fleet.nodes[2].sent.clear();
  fleet.nodes[2].core->receive(fleet.now, "s0", Subscribe{state.committed(), state.committedTerm(), "build"});
  ASSERT_NE(lastOf<Changes>(fleet.nodes[2].sent), nullptr);
  EXPECT_EQ(lastOf<Changes>(fleet.nodes[2].sent)->writerTime, newestWriterTime);
}

TEST(DistributionReplica, WriterWithoutQuorumRejectsChangesAndWriterTimeStops) {
  ThreeReplicas fleet;
  ASSERT_TRUE(fleet.nodes[0].core->becomeWriter(fleet.now, 1));
  fleet.run(5000);
  fleet.cutLinks = {{0, 1}, {0, 2}};
  const Milliseconds newestWriterTime = fleet.nodes[0].core->state().writerTime();
  EXPECT_EQ(fleet.publishValue(0, "a").status, PublishStatus::pending);
  fleet.run(20'000);
  EXPECT_EQ(fleet.publishValue(0, "b").status, PublishStatus::busy);
  EXPECT_EQ(fleet.nodes[0].core->state().writerTime(), newestWriterTime);
  EXPECT_TRUE(fleet.nodes[0].committed.empty());
  // Another replica becomes the writer. Once the partition heals, the old writer follows it, and its
  // uncommitted change is discarded.
  ASSERT_TRUE(fleet.nodes[1].core->becomeWriter(fleet.now, 2));
  fleet.run(22'000);
  fleet.publishValue(1, "c");
  fleet.run(24'000);
  fleet.cutLinks.clear();
  fleet.run(30'000);
  EXPECT_FALSE(fleet.nodes[0].core->isWriter());
  EXPECT_EQ(fleet.nodes[0].core->state().table().find(route("name-a")), nullptr);
  EXPECT_NE(fleet.nodes[0].core->state().table().find(route("name-c")), nullptr);
  EXPECT_EQ(fleet.nodes[0].core->counts().conflictingHistories, 0u);
}

TEST(DistributionReplica, RestoredTableThatDiffersFromLogIsRepairedBeforeServing) {
  ThreeReplicas fleet;
  ASSERT_TRUE(fleet.nodes[0].core->becomeWriter(fleet.now, 1));
  fleet.run(1000);
  fleet.publishValue(0, "a");
  fleet.run(2000);
  Snapshot differing = fleet.nodes[2].core->state().snapshot();
  differing.table.put(makeEntry(route("name-a"), "differs", 2, 1));
  fleet.restart(2, differing);
  fleet.nodes[2].core->receive(fleet.now, "s0", Subscribe{0, 0, "build"});
  ASSERT_NE(lastOf<Rejection>(fleet.nodes[2].sent), nullptr);
  EXPECT_EQ(lastOf<Rejection>(fleet.nodes[2].sent)->code, RejectionCode::notServing);
  fleet.publishValue(0, "b");
  fleet.run(8000);
  EXPECT_EQ(fleet.nodes[2].core->counts().tableMismatches, 1u);
  EXPECT_EQ(fleet.nodes[2].core->counts().repairsDone, 1u);
  EXPECT_EQ(fleet.nodes[2].core->state().table().rootHash(), fleet.nodes[0].core->state().table().rootHash());
  fleet.nodes[2].core->receive(fleet.now, "s0", Subscribe{0, 0, "build"});
  EXPECT_EQ(lastOf<Rejection>(fleet.nodes[2].sent), nullptr);
}

TEST(DistributionReplica, RestoredTableThatDiffersWithoutLogIsDetectedAtNextChange) {
  ThreeReplicas fleet;
  ASSERT_TRUE(fleet.nodes[0].core->becomeWriter(fleet.now, 1));
  fleet.run(1000);
  fleet.publishValue(0, "a");
  fleet.run(2000);
  Snapshot differing = fleet.nodes[2].core->state().snapshot();
  differing.table.put(makeEntry(route("name-a"), "differs", 2, 1));
  differing.logBase = differing.version;
  differing.logBaseTerm = differing.term;
  differing.records.clear();
  fleet.restart(2, differing);
  fleet.run(3000);
  EXPECT_EQ(fleet.nodes[2].core->counts().tableMismatches, 0u);
  fleet.publishValue(0, "b");
  fleet.run(8000);
  EXPECT_GE(fleet.nodes[2].core->counts().tableMismatches, 1u);
  EXPECT_EQ(fleet.nodes[2].core->counts().repairsDone, 1u);
  EXPECT_EQ(fleet.nodes[2].core->state().table().rootHash(), fleet.nodes[0].core->state().table().rootHash());
}

}  // namespace
}  // namespace wingslip::distribution
