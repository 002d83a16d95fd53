/// Replicated state: convergence in virtual time under seeded faults, the algebra of merging, malformed
/// input, and the driver on loopback sockets.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>

#include "config_said.hpp"
#include "growth.hpp"
#include "replication/replica_node.hpp"
#include "replication/snapshot.hpp"
#include "replication_fleet.hpp"

namespace wingslip::replication {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr int kFleets[] = {5, 30};
constexpr std::uint64_t kSchedules = 15;  // each is some fifty times slower there
#else
constexpr int kFleets[] = {5, 30, 300};
constexpr std::uint64_t kSchedules = 300;
#endif

// Once faults end all copies are equal, and all members are known to be live, within eight periods of
// anti-entropy.
TEST(ReplicaSchedules, CopiesConvergeAfterFaultsEnd) {
  std::uint64_t rejectedStale = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    const int size = 3 + static_cast<int>(seed % 5);
    Fleet fleet(seed, size, seed % 3 == 0 ? 0.2 : 0.05, 20000);
    fleet.run(2000);
    for (int step = 0; step < 36; ++step) {
      fleet.run(2000 + 500 * step);
      fleet.write(fleet.randomMember());
      if (step % 9 == 4) fleet.restart(fleet.randomMember());
      if (step % 12 == 3) fleet.partition(1 + static_cast<int>(seed) % (size - 1));
      if (step % 12 == 9) fleet.partition(0);
      if (step % 12 == 6) fleet.stepClock(fleet.randomMember(), fleet.randomBetween(-3600e3, 3600e3));
    }
    fleet.run(20000 + 8 * 1500);
    ASSERT_TRUE(fleet.allEqual()) << "seed " << seed;
    ASSERT_TRUE(fleet.allCaughtUp()) << "seed " << seed;
    ASSERT_EQ(fleet.leastLiveCount(), static_cast<std::size_t>(size - 1)) << "seed " << seed;
    rejectedStale += fleet.rejectedStale();
  }
  EXPECT_GT(rejectedStale, kSchedules / 10) << "messages of earlier processes came late";
}

// A row written at one member is everywhere within a few rounds of gossip, and costs no more than its bound.
TEST(ReplicaLoad, MessagesAndTimeToConvergeGrowSlowlyWithTheFleet) {
  for (const int size : kFleets) {
    Fleet fleet(11, size, 0, 0);
    fleet.run(15000);
    ASSERT_TRUE(fleet.allEqual()) << size;
    const long before = fleet.messages;
    fleet.run(25000);
    const double idleMessagesPerS = static_cast<double>(fleet.messages - before) / 10 / size;
    EXPECT_LE(idleMessagesPerS, 1000.0 / 300 + 1000.0 / 1500 * 2.5 + 0.5) << size;  // a probe, a repair
    const long messagesAtWrite = fleet.messages;
    const std::size_t bytesAtWrite = fleet.bytes;
    fleet.write(0);
    Time at = fleet.now();
    const auto isEverywhere = [&] {
      for (int i = 1; i < size; ++i)
        if (fleet.replica(i).rows() != fleet.replica(0).rows()) return false;
      return true;
    };
    while (!isEverywhere() && at < 25000 + 5000) fleet.run(at += 20);
    ASSERT_TRUE(isEverywhere()) << size;
    EXPECT_LE(at - 25000, 100 * (std::log2(size) + 6)) << size;
    std::printf(
        "members %d: idle %.2f messages/s each; a row is everywhere after %.0f ms, %ld messages, %zu bytes "
        "(each to all: %d messages)\n",
        size, idleMessagesPerS, at - 25000, fleet.messages - messagesAtWrite, fleet.bytes - bytesAtWrite,
        size * (size - 1));
  }
}

struct RecordingEnvironment : Environment {
  void send(const OutgoingRequest& request) override { sent.push_back(request); }
  void onRowChanged(const Row&) override { ++changes; }
  void log(const std::string&) override {}
  std::int64_t unixMs() const override { return 1000000; }
  std::vector<OutgoingRequest> sent;
  int changes = 0;
};

Replica startedReplica(RecordingEnvironment& environment) {
  Replica out({}, "f", {"me", "a", 5, 0, MemberState::alive}, {}, 1, environment);
  out.start(0);
  return out;
}

Message from(const std::string& name, std::uint64_t generation) {
  Message message;
  message.fleet = "f", message.kind = MessageKind::gossip,
  message.sender = {name, "a", generation, 0, MemberState::alive};
  return message;
}

// Merges in any order, doubled and in any grouping, give the same copy: rows and members.
TEST(Replica, MergingIsCommutativeAssociativeAndIdempotent) {
  std::mt19937 random(3);
  std::vector<Message> all;
  for (int i = 0; i < 60; ++i) {
    Message message = from("g" + std::to_string(random() % 3), 1);
    // Stamps of the same time and count are part of it; each names one value.
    const Timestamp timestamp{std::int64_t(random() % 3), std::uint32_t(random() % 2),
                              "g" + std::to_string(random() % 3)};
    const std::string key = "k" + std::to_string(random() % 4);
    message.rows.push_back({"t", key, key + timestamp.origin + std::to_string(timestamp.physicalMs),
                            timestamp, timestamp.counter == 1});
    message.members.push_back({"x" + std::to_string(random() % 3), "a", random() % 3, random() % 3,
                               static_cast<MemberState>(random() % 4)});
    all.push_back(message);
  }
  RecordingEnvironment environment;
  Replica first = startedReplica(environment);
  for (const Message& message : all) first.onRequest(1, message);
  for (int round = 0; round < 50; ++round) {
    std::shuffle(all.begin(), all.end(), random);
    RecordingEnvironment other;
    Replica copy = startedReplica(other);
    for (const Message& message : all) {
      copy.onRequest(1, message);
      if (random() % 3 == 0) copy.onRequest(2, message);
    }
    ASSERT_EQ(copy.rows(), first.rows());
    for (const auto& [name, member] : first.members())
      ASSERT_EQ(copy.members().at(name).record, member.record) << name;
  }
}

TEST(Replica, RefutationRaisesIncarnationAndStaleProcessesAreRejected) {
  RecordingEnvironment environment;
  Replica copy = startedReplica(environment);
  Message message = from("g1", 7);
  message.members.push_back({"me", "a", 5, 3, MemberState::suspect});
  ASSERT_TRUE(copy.onRequest(1, message));
  EXPECT_EQ(copy.self().incarnation, 4u);
  message.members = {
      {"me", "a", 4, 9, MemberState::dead}};  // of an earlier process of this name: nothing to refute
  copy.onRequest(1, message);
  EXPECT_EQ(copy.self().incarnation, 4u);
  EXPECT_FALSE(copy.onRequest(1, from("g1", 6)));
  Message other = from("g2", 1);
  other.fleet = "another";
  EXPECT_FALSE(copy.onRequest(1, other));
  EXPECT_EQ(copy.counts().rejectedStale, 1u);
  EXPECT_EQ(copy.counts().rejectedForeign, 1u);
  Message far = from("g1", 7);
  far.rows.push_back({"t", "k", "v", {1000000 + ReplicatedTable::kMaxClockSkewMs + 1, 0, "g1"}, false});
  copy.onRequest(1, far);
  EXPECT_EQ(copy.rows().size(), 0u) << "a stamp from far ahead would win for ever";
  message.members = {{"me", "a", 9, 0, MemberState::alive}};
  copy.onRequest(1, message);
  EXPECT_TRUE(copy.isSuperseded());
}

TEST(Replica, FullTableKeepsNewestRowsInAnyMergeOrder) {
  RecordingEnvironment ascendingEnvironment;
  RecordingEnvironment descendingEnvironment;
  Replica ascending = startedReplica(ascendingEnvironment);
  Replica descending = startedReplica(descendingEnvironment);
  const auto row = [](std::size_t i) {
    return Row{"t", "k" + std::to_string(i), "", {std::int64_t(i), 0, "g"}, false};
  };
  const std::size_t n = ReplicatedTable::kMaxRows + 100;
  for (std::size_t i = 0; i < n; ++i) {
    Message next = from("g", 1);
    next.rows.push_back(row(i));
    ascending.onRequest(1, next);
    Message nextDown = from("g", 1);
    nextDown.rows.push_back(row(n - 1 - i));
    descending.onRequest(1, nextDown);
  }
  EXPECT_EQ(ascending.rows(), descending.rows());
  EXPECT_EQ(ascending.rows().size(), ReplicatedTable::kMaxRows);
}

TEST(Replica, RestoringTooManyRowsIsNotQuadratic) {
  const double factor = growth::between(1000, [](std::size_t n) {
    std::vector<Row> rows;
    for (std::size_t i = 0; i < n; ++i)
      rows.push_back({"t", "k" + std::to_string(i), "", {std::int64_t(i), 0, "g"}, false});
    RecordingEnvironment environment;
    Replica copy = startedReplica(environment);
    const double before = growth::processorTime();
    copy.restore({}, rows);
    return growth::processorTime() - before;
  });
  EXPECT_LT(factor, growth::kMost);
}

// Half of a fleet that is partitioned off is suspected at once.
TEST(Replica, ExpiringSuspectsIsNotQuadratic) {
  const double factor = growth::between(63, [](std::size_t n) {
    std::vector<MemberRecord> suspects;
    for (std::size_t i = 0; i < n; ++i)
      suspects.push_back({"g" + std::to_string(i), "a", 1, 0, MemberState::suspect});
    RecordingEnvironment environment;
    Replica copy = startedReplica(environment);
    copy.restore(suspects, {});
    for (int i = 0; i < 10; ++i) copy.tick(1);
    const double before = growth::processorTime();
    for (int i = 0; i < 200; ++i) copy.tick(1);
    return growth::processorTime() - before;
  });
  EXPECT_LT(factor, growth::kMost);
}

TEST(ReplicaBadInput, MalformedMessageIsRejectedWhole) {
  Message message = from("g", 1);
  message.rows.push_back({"t", "k", std::string("\0\xff", 2), {1, 2, "o"}, true});
  const std::vector<std::uint8_t> good = encode(message);
  const Message again = decode(good.data(), good.size());
  EXPECT_EQ(again.rows, message.rows);
  EXPECT_EQ(again.sender, message.sender);
  for (std::size_t cut = 0; cut < good.size(); ++cut)
    EXPECT_THROW(decode(good.data(), cut), std::runtime_error) << cut;
  using nlohmann::json;
  const auto changed = [&](const char* pointer, const json& value) {
    json j = json::from_cbor(good);
    j[json::json_pointer(pointer)] = value;
    const auto bytes = json::to_cbor(j);
    EXPECT_THROW(decode(bytes.data(), bytes.size()), std::runtime_error) << pointer << " " << value;
  };
  changed("/v", 2);
  changed("/kind", 17);
  changed("/kind", "ping");
  changed("/self/0", "");
  changed("/self/0", std::string(200, 'x'));
  changed("/self/2", "new");
  changed("/self/4", 9);
  changed("/rows", 7);
  changed("/rows/0/2", "text");
  changed("/rows/0/3", -1);
  changed("/rows/0/2", json::binary(std::vector<std::uint8_t>(5000)));
  changed("/members", json::array({json::array({"g"})}));
  changed("/digest", json::array({"x"}));
}

// As long as a message may be: an array of one item in an array of one item, and so on.
TEST(ReplicaBadInput, MessageOfDeeplyNestedArraysIsRejected) {
  const std::vector<std::uint8_t> nested(Message::kMaxBytes, 0x81);
  EXPECT_THROW(decode(nested.data(), nested.size()), std::runtime_error);
}

TEST(ReplicaBadInput, TruncatedDamagedOrForeignSnapshotIsRejected) {
  Snapshot s{5, 7, {{"g", "a", 1, 2, MemberState::dead}}, {{"t", "k", "v", {1, 2, "o"}, false}}};
  const std::string good = encodeSnapshot(s);
  EXPECT_EQ(decodeSnapshot(good).rows, s.rows);
  EXPECT_EQ(decodeSnapshot(good).members, s.members);
  for (std::size_t cut = 0; cut < good.size(); ++cut)
    EXPECT_THROW(decodeSnapshot(good.substr(0, cut)), std::runtime_error) << cut;
  for (std::size_t i = 0; i < good.size(); ++i) {
    std::string bad = good;
    bad[i] = static_cast<char>(bad[i] ^ 0x20);
    if (i < good.find('\n') && std::isxdigit(static_cast<unsigned char>(good[i])))
      continue;  // the hash's case
    EXPECT_THROW(decodeSnapshot(bad), std::runtime_error) << i;
  }
  EXPECT_THROW(decodeSnapshot(good + "x"), std::runtime_error);
  std::string next = good;
  next.replace(next.find(" 1 "), 3, " 2 ");
  EXPECT_THROW(decodeSnapshot(next), std::runtime_error);
}

// On sockets: garbage, silence and a body past the cap cost their connection; a message is answered after
// them. Then the snapshot: a row written here is there for the next process, a damaged file is as none.
TEST(ReplicaNode, SurvivesMalformedRequestsAndWritesSnapshot) {
  boost::asio::io_context io;
  MemoryBudget::Shares shares;
  shares.total = 64 << 20;
  OverloadManager overload(io, shares, {});
  using boost::asio::ip::tcp;
  const std::string dir = ::testing::TempDir() + "replica_" + std::to_string(::getpid());
  std::filesystem::create_directories(dir);
  Replication config;
  {
    tcp::acceptor free(io, {boost::asio::ip::address_v4::loopback(), 0});
    config.listen = free.local_endpoint();
  }
  config.advertise = "127.0.0.1:" + std::to_string(config.listen.port());
  config.fleet = "f";
  std::vector<Row> seen;
  const auto openNode = [&] {
    return std::make_unique<ReplicaNode>(io, config, "me", dir, 1, overload,
                                         [&](const Row& row) { seen.push_back(row); });
  };
  auto node = openNode();
  node->start();
  node->set("t", "k", "v");
  const auto statusLineFor = [&](const std::string& bytes) {
    tcp::socket peer(io);
    peer.connect(config.listen);
    boost::asio::async_write(peer, boost::asio::buffer(bytes),
                             [](const boost::system::error_code&, std::size_t) {});
    std::string answer;
    bool ended = false;
    boost::asio::async_read(peer, boost::asio::dynamic_buffer(answer),
                            [&](const boost::system::error_code&, std::size_t) { ended = true; });
    while (!ended && io.run_one_for(std::chrono::seconds(5)) > 0) {
    }
    return answer.substr(0, answer.find('\r'));
  };
  const auto post = [](const std::string& body, std::size_t length) {
    return "POST /replica HTTP/1.1\r\nHost: me\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
           body;
  };
  EXPECT_EQ(statusLineFor("nonsense\r\n\r\n"), "");
  EXPECT_EQ(statusLineFor(""), "") << "silence ends after its time";
  EXPECT_EQ(statusLineFor(post("{}", 2)), "HTTP/1.1 400 Bad Request");
  EXPECT_EQ(statusLineFor(post("", 10 << 20)), "HTTP/1.1 413 Payload Too Large");
  const auto bytes = encode(from("g1", 3));
  EXPECT_EQ(statusLineFor(post(std::string(bytes.begin(), bytes.end()), bytes.size())), "HTTP/1.1 200 OK");
  EXPECT_NE(node->telemetry().find("svc.replica.members_alive:1|g"), std::string::npos);
  EXPECT_NE(node->telemetry().find("svc.replica.malformed:3|c"), std::string::npos);
  node->drain();
  node.reset();
  EXPECT_TRUE(seen.empty()) << "the callback is not for own rows";
  openNode();
  ASSERT_EQ(seen.size(), 1u);
  EXPECT_EQ(seen[0].key + seen[0].value, "kv");
  std::ofstream(dir + "/burlwind-replica.cbor", std::ios::app) << "more";
  openNode();
  EXPECT_EQ(seen.size(), 1u) << "a damaged snapshot is ignored";
  std::filesystem::remove_all(dir);
}

TEST(ReplicaBadInput, ConfigurationWithInvalidPeersIsRejected) {
  const std::string start = R"({"listen": "127.0.0.1:7", "peers": {"h": "127.0.0.1:8"})";
  EXPECT_EQ(saidOf("replica", start + "}"), "");
  for (const std::string& wrong :
       {std::string("[]"), std::string("{}"), std::string(R"({"listen": "x", "peers": {}})"),
        std::string(R"({"listen": "127.0.0.1:7", "peers": {"g": "127.0.0.1:8"}})"),
        std::string(R"({"listen": "127.0.0.1:7", "peers": {"h": "nowhere"}})"),
        std::string(R"({"listen": "127.0.0.1:7", "peers": ["127.0.0.1:8"]})"),
        std::string(R"({"listen": "127.0.0.1:0", "peers": {}})"), start + R"(, "fanout": 0})",
        start + R"(, "probe_every_ms": 1})", start + R"(, "fleet": ""})", start + R"(, "probe": 5})"}) {
    EXPECT_NE(saidOf("replica", wrong), "") << wrong;
  }
}

}  // namespace
}  // namespace wingslip::replication
