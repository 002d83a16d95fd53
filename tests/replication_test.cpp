/// Tests of the replicated state: convergence in virtual time under seeded faults, algebraic properties of
/// merging, rejection of malformed input, and the driver on loopback sockets.
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

#include "config_error.hpp"
#include "growth.hpp"
#include "replication/replica_node.hpp"
#include "replication/snapshot.hpp"
#include "replication_fleet.hpp"

namespace wingslip::replication {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr int kFleets[] = {5, 30};
constexpr std::uint64_t kSchedules = 15;  // each is about fifty times slower with AddressSanitizer
#else
constexpr int kFleets[] = {5, 30, 300};
constexpr std::uint64_t kSchedules = 300;
#endif

// Guards against copies that stay different after message loss, partitions, restarts and clock steps: within
// eight anti-entropy periods after the faults end, all copies must be equal and all members known to be live.
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
    ASSERT_TRUE(fleet.allCopiesEqual()) << "seed " << seed;
    ASSERT_TRUE(fleet.allCaughtUp()) << "seed " << seed;
    ASSERT_EQ(fleet.minLiveCount(), static_cast<std::size_t>(size - 1)) << "seed " << seed;
    rejectedStale += fleet.rejectedStale();
  }
  EXPECT_GT(rejectedStale, kSchedules / 10)
      << "too few late messages from superseded processes to test their rejection";
}

// Guards against traffic or convergence time that grows too fast with the fleet: the idle message rate per
// member has a constant bound, and a new row reaches all members within a number of gossip rounds logarithmic
// in the fleet size.
TEST(ReplicaLoad, IdleRateIsBoundedAndConvergenceTimeIsLogarithmicInFleetSize) {
  for (const int size : kFleets) {
    Fleet fleet(11, size, 0, 0);
    fleet.run(15000);
    ASSERT_TRUE(fleet.allCopiesEqual()) << size;
    const long before = fleet.messages;
    fleet.run(25000);
    const double idleMessagesPerS = static_cast<double>(fleet.messages - before) / 10 / size;
    EXPECT_LE(idleMessagesPerS, 1000.0 / 300 + 1000.0 / 1500 * 2.5 + 0.5) << size;  // probes and anti-entropy
    const long messagesAtWrite = fleet.messages;
    const std::size_t bytesAtWrite = fleet.bytes;
    fleet.write(0);
    Time at = fleet.now();
    const auto reachedAllMembers = [&] {
      for (int i = 1; i < size; ++i)
        if (fleet.replica(i).rows() != fleet.replica(0).rows()) return false;
      return true;
    };
    while (!reachedAllMembers() && at < 25000 + 5000) fleet.run(at += 20);
    ASSERT_TRUE(reachedAllMembers()) << size;
    EXPECT_LE(at - 25000, 100 * (std::log2(size) + 6)) << size;
    std::printf(
        "members %d: idle %.2f messages/s per member; a row reached all members after %.0f ms, %ld messages, "
        "%zu bytes (all-to-all exchange: %d messages)\n",
        size, idleMessagesPerS, at - 25000, fleet.messages - messagesAtWrite, fleet.bytes - bytesAtWrite,
        size * (size - 1));
  }
}

// Records requests and counts changed rows; its physical clock is constant.
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

// Guards against copies that depend on the order, duplication or grouping of merges, in rows or members.
TEST(Replica, MergingIsCommutativeAssociativeAndIdempotent) {
  std::mt19937 random(3);
  std::vector<Message> all;
  for (int i = 0; i < 60; ++i) {
    Message message = from("g" + std::to_string(random() % 3), 1);
    // Includes timestamps of equal time and counter from different origins. A timestamp determines the value.
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

// Guards against a live process being marked dead, and against merging messages from superseded processes or
// other fleets, or rows whose timestamp is too far ahead.
TEST(Replica, RefutationRaisesIncarnationAndStaleProcessesAreRejected) {
  RecordingEnvironment environment;
  Replica copy = startedReplica(environment);
  Message message = from("g1", 7);
  message.members.push_back({"me", "a", 5, 3, MemberState::suspect});
  ASSERT_TRUE(copy.onRequest(1, message));
  EXPECT_EQ(copy.self().incarnation, 4u);
  message.members = {
      {"me", "a", 4, 9, MemberState::dead}};  // an earlier process of this name: nothing to refute
  copy.onRequest(1, message);
  EXPECT_EQ(copy.self().incarnation, 4u);
  EXPECT_FALSE(copy.onRequest(1, from("g1", 6)));
  Message other = from("g2", 1);
  other.fleet = "another";
  EXPECT_FALSE(copy.onRequest(1, other));
  EXPECT_EQ(copy.counts().rejectedStale, 1u);
  EXPECT_EQ(copy.counts().rejectedForeign, 1u);
  Message farAhead = from("g1", 7);
  farAhead.rows.push_back({"t", "k", "v", {1000000 + ReplicatedTable::kMaxClockSkewMs + 1, 0, "g1"}, false});
  copy.onRequest(1, farAhead);
  EXPECT_EQ(copy.rows().size(), 0u) << "a timestamp too far ahead would win over all later writes";
  message.members = {{"me", "a", 9, 0, MemberState::alive}};
  copy.onRequest(1, message);
  EXPECT_TRUE(copy.isSuperseded());
}

// Guards against copies at the row limit that differ by the order in which rows were merged.
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

// Guards against work quadratic in the number of rows, as from one search of the table per evicted row.
TEST(Replica, RestoringRowsBeyondLimitIsNotQuadratic) {
  const double factor = growth::growthFactor(1000, [](std::size_t n) {
    std::vector<Row> rows;
    for (std::size_t i = 0; i < n; ++i)
      rows.push_back({"t", "k" + std::to_string(i), "", {std::int64_t(i), 0, "g"}, false});
    RecordingEnvironment environment;
    Replica copy = startedReplica(environment);
    const double before = growth::threadCpuTimeMs();
    copy.restore({}, rows);
    return growth::threadCpuTimeMs() - before;
  });
  EXPECT_LT(factor, growth::kMaxFactor);
}

// Guards against work quadratic in the number of suspects. When half of a fleet is partitioned off, all its
// members become suspect at the same time.
TEST(Replica, ExpiringSuspectsIsNotQuadratic) {
  const double factor = growth::growthFactor(63, [](std::size_t n) {
    std::vector<MemberRecord> suspects;
    for (std::size_t i = 0; i < n; ++i)
      suspects.push_back({"g" + std::to_string(i), "a", 1, 0, MemberState::suspect});
    RecordingEnvironment environment;
    Replica copy = startedReplica(environment);
    copy.restore(suspects, {});
    for (int i = 0; i < 10; ++i) copy.tick(1);
    const double before = growth::threadCpuTimeMs();
    for (int i = 0; i < 200; ++i) copy.tick(1);
    return growth::threadCpuTimeMs() - before;
  });
  EXPECT_LT(factor, growth::kMaxFactor);
}

// Guards against a truncated or invalid message being accepted in part.
TEST(ReplicaInputValidation, TruncatedOrMalformedMessageIsRejected) {
  Message message = from("g", 1);
  message.rows.push_back({"t", "k", std::string("\0\xff", 2), {1, 2, "o"}, true});
  const std::vector<std::uint8_t> valid = encode(message);
  const Message decoded = decode(valid.data(), valid.size());
  EXPECT_EQ(decoded.rows, message.rows);
  EXPECT_EQ(decoded.sender, message.sender);
  for (std::size_t cut = 0; cut < valid.size(); ++cut)
    EXPECT_THROW(decode(valid.data(), cut), std::runtime_error) << cut;
  using nlohmann::json;
  const auto expectRejectedWith = [&](const char* pointer, const json& value) {
    json j = json::from_cbor(valid);
    j[json::json_pointer(pointer)] = value;
    const auto bytes = json::to_cbor(j);
    EXPECT_THROW(decode(bytes.data(), bytes.size()), std::runtime_error) << pointer << " " << value;
  };
  expectRejectedWith("/v", 2);
  expectRejectedWith("/kind", 17);
  expectRejectedWith("/kind", "ping");
  expectRejectedWith("/self/0", "");
  expectRejectedWith("/self/0", std::string(200, 'x'));
  expectRejectedWith("/self/2", "new");
  expectRejectedWith("/self/4", 9);
  expectRejectedWith("/rows", 7);
  expectRejectedWith("/rows/0/2", "text");
  expectRejectedWith("/rows/0/3", -1);
  expectRejectedWith("/rows/0/2", json::binary(std::vector<std::uint8_t>(5000)));
  expectRejectedWith("/members", json::array({json::array({"g"})}));
  expectRejectedWith("/digest", json::array({"x"}));
}

// Guards against stack exhaustion in the parser. The message has the maximum size and consists of nested
// arrays of one item each.
TEST(ReplicaInputValidation, DeeplyNestedMessageIsRejected) {
  const std::vector<std::uint8_t> nested(Message::kMaxBytes, 0x81);
  EXPECT_THROW(decode(nested.data(), nested.size()), std::runtime_error);
}

// Guards against using a snapshot that is truncated, extended, corrupted or of another format version.
TEST(ReplicaInputValidation, TruncatedCorruptedOrUnsupportedSnapshotIsRejected) {
  Snapshot s{5, 7, {{"g", "a", 1, 2, MemberState::dead}}, {{"t", "k", "v", {1, 2, "o"}, false}}};
  const std::string valid = encodeSnapshot(s);
  EXPECT_EQ(decodeSnapshot(valid).rows, s.rows);
  EXPECT_EQ(decodeSnapshot(valid).members, s.members);
  for (std::size_t cut = 0; cut < valid.size(); ++cut)
    EXPECT_THROW(decodeSnapshot(valid.substr(0, cut)), std::runtime_error) << cut;
  for (std::size_t i = 0; i < valid.size(); ++i) {
    std::string corrupted = valid;
    corrupted[i] = static_cast<char>(corrupted[i] ^ 0x20);
    if (i < valid.find('\n') && std::isxdigit(static_cast<unsigned char>(valid[i])))
      continue;  // may change only the case of a hexadecimal digit of the hash
    EXPECT_THROW(decodeSnapshot(corrupted), std::runtime_error) << i;
  }
  EXPECT_THROW(decodeSnapshot(valid + "x"), std::runtime_error);
  std::string next = valid;
  next.replace(next.find(" 1 "), 3, " 2 ");
  EXPECT_THROW(decodeSnapshot(next), std::runtime_error);
}

// Guards against malformed, idle or oversized requests affecting more than their connection: a valid message
// is answered after them. Also guards against losing rows over a restart (the next process must restore them
// from the snapshot) and against a corrupted snapshot that prevents the start.
TEST(ReplicaNode, SurvivesMalformedRequestsAndWritesSnapshot) {
  boost::asio::io_context io;
  MemoryBudget::Shares shares;
  shares.total = 64 << 20;
  OverloadManager overload(io, shares, {});
  using boost::asio::ip::tcp;
  const std::string dir = ::testing::TempDir() + "replica_" + std::to_string(::getpid());
  std::filesystem::create_directories(dir);
  ReplicationConfig config;
  {
    tcp::acceptor portFinder(io, {boost::asio::ip::address_v4::loopback(), 0});
    config.listen = portFinder.local_endpoint();
  }
  config.advertise = "127.0.0.1:" + std::to_string(config.listen.port());
  config.fleet = "f";
  std::vector<Row> changedRows;
  const auto openNode = [&] {
    return std::make_unique<ReplicaNode>(io, config, "me", dir, 1, overload,
                                         [&](const Row& row) { changedRows.push_back(row); });
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
  EXPECT_EQ(statusLineFor(""), "") << "an idle connection is closed after its timeout";
  EXPECT_EQ(statusLineFor(post("{}", 2)), "HTTP/1.1 400 Bad Request");
  EXPECT_EQ(statusLineFor(post("", 10 << 20)), "HTTP/1.1 413 Payload Too Large");
  const auto bytes = encode(from("g1", 3));
  EXPECT_EQ(statusLineFor(post(std::string(bytes.begin(), bytes.end()), bytes.size())), "HTTP/1.1 200 OK");
  EXPECT_NE(node->telemetry().find("svc.replica.members_alive:1|g"), std::string::npos);
  EXPECT_NE(node->telemetry().find("svc.replica.malformed:3|c"), std::string::npos);
  node->drain();
  node.reset();
  EXPECT_TRUE(changedRows.empty()) << "the callback must not report rows written by this process";
  openNode();
  ASSERT_EQ(changedRows.size(), 1u);
  EXPECT_EQ(changedRows[0].key + changedRows[0].value, "kv");
  std::ofstream(dir + "/burlwind-replica.cbor", std::ios::app) << "more";
  openNode();
  EXPECT_EQ(changedRows.size(), 1u) << "a corrupted snapshot must be ignored";
  std::filesystem::remove_all(dir);
}

// Guards against accepting an invalid `replica` section: addresses, peers, limits, or unknown fields.
TEST(ReplicaInputValidation, InvalidConfigurationIsRejected) {
  const std::string validPrefix = R"({"listen": "127.0.0.1:7", "peers": {"h": "127.0.0.1:8"})";
  EXPECT_EQ(configErrorOf("replica", validPrefix + "}"), "");
  for (const std::string& invalidSection :
       {std::string("[]"), std::string("{}"), std::string(R"({"listen": "x", "peers": {}})"),
        std::string(R"({"listen": "127.0.0.1:7", "peers": {"g": "127.0.0.1:8"}})"),
        std::string(R"({"listen": "127.0.0.1:7", "peers": {"h": "nowhere"}})"),
        std::string(R"({"listen": "127.0.0.1:7", "peers": ["127.0.0.1:8"]})"),
        std::string(R"({"listen": "127.0.0.1:0", "peers": {}})"), validPrefix + R"(, "fanout": 0})",
        validPrefix + R"(, "probe_every_ms": 1})", validPrefix + R"(, "fleet": ""})",
        validPrefix + R"(, "probe": 5})"}) {
    EXPECT_NE(configErrorOf("replica", invalidSection), "") << invalidSection;
  }
}

}  // namespace
}  // namespace wingslip::replication
