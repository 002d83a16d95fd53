// Shared state without processes: many copies in virtual time under seeded schedules of loss, delay, doubled
// and late messages, partitions and restarts; the order of merges; what may be said that is wrong.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>

#include "config_said.hpp"
#include "event_queue.hpp"
#include "growth.hpp"
#include "replication/replica_node.hpp"

namespace wingslip::replication {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr int kFleets[] = {5, 30};
constexpr std::uint64_t kSchedules = 15;  // each is some fifty times slower there
#else
constexpr int kFleets[] = {5, 30, 300};
constexpr std::uint64_t kSchedules = 300;
#endif

class Fleet {
 public:
  Fleet(std::uint64_t seed, int n, double loss, Time faultsUntil)
      : random_(seed), loss_(loss), until_(faultsUntil) {
    timing_.probeEvery = 300, timing_.gossipEvery = 100, timing_.repairEvery = 1500;
    for (int i = 0; i < n; ++i) {
      nodes_.push_back(std::make_unique<Node>(*this, i));
      at(between(0, 500), [this, i] { nodes_[i]->begin(); });
    }
  }

  void run(Time until) {
    while (const auto action = events_.next(until)) (*action)();
  }
  Time now() const { return events_.now(); }
  double between(double a, double b) { return std::uniform_real_distribution<double>(a, b)(random_); }
  int some() { return static_cast<int>(random_() % nodes_.size()); }
  void write(int i) {
    Node& node = *nodes_[i];
    const std::string key = "k" + std::to_string(random_() % 20);
    if (random_() % 4 == 0)
      node.core->remove(now(), "t", key);
    else
      node.core->set(now(), "t", key, "v" + std::to_string(++written_));
    node.arm();
  }
  void restart(int i) { nodes_[i]->begin(); }
  void cut(int below) { below_ = below; }
  void stepClock(int i, double ms) { nodes_[i]->wall += ms; }
  bool equal() const {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      return node->core->rows() == nodes_[0]->core->rows() &&
             node->core->digest() == nodes_[0]->core->digest();
    });
  }
  std::size_t leastAlive() const {
    std::size_t out = nodes_.size();
    for (const auto& node : nodes_) out = std::min(out, node->core->alive());
    return out;
  }
  bool allCaughtUp() const {
    return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& n) { return n->core->caughtUp(); });
  }
  const Replica& core(int i) const { return *nodes_[i]->core; }
  std::uint64_t refusedOld() const {
    std::uint64_t out = 0;
    for (const auto& node : nodes_) out += node->core->counts().refusedOld;
    return out;
  }

  long messages = 0;
  std::size_t bytes = 0;

 private:
  struct Node : Replica::Outside {
    Node(Fleet& f, int i) : fleet(f), index(i), wall(1e12 + f.between(-5000, 5000)) {}
    // A process of this name, with nothing but a higher generation.
    void begin() {
      ++life;
      std::map<std::string, std::string> peers;
      const int n = static_cast<int>(fleet.nodes_.size());
      for (int k = 1; k <= 2 && k < n; ++k) peers["g" + std::to_string((index + k) % n)] = "a";
      core = std::make_unique<Replica>(
          fleet.timing_, "f", MemberRow{"g" + std::to_string(index), "a", ++generation, 0, Health::alive},
          peers, fleet.random_(), *this);
      core->start(fleet.now());
      arm();
    }
    void arm() {
      const Time next = core->nextAt();
      if (!std::isfinite(next)) return;
      const std::uint64_t mine = ++armed;
      fleet.at(next, [this, mine] {
        if (mine != armed) return;
        core->tick(fleet.now());
        arm();
      });
    }
    void send(const Replica::Send& s) override { fleet.carry(*this, s); }
    void changed(const Row&) override {}
    void told(const std::string&) override {}
    std::int64_t unixMs() const override { return static_cast<std::int64_t>(wall + fleet.now()); }

    Fleet& fleet;
    int index;
    double wall;
    std::uint64_t generation = 0, armed = 0;
    int life = 0;
    std::unique_ptr<Replica> core;
  };

  void at(Time t, std::function<void()> what) { events_.at(t, std::move(what)); }
  bool lost(int from, int to) {
    if (now() >= until_) return false;
    return between(0, 1) < loss_ || (below_ > 0 && (from < below_) != (to < below_));
  }
  Time delay() { return now() >= until_ || between(0, 1) < 0.9 ? between(1, 20) : between(1, 3000); }

  void carry(Node& from, const Replica::Send& s) {
    ++messages;
    const std::vector<std::uint8_t> encoded = encode(s.message);
    bytes += encoded.size();
    const int to = std::stoi(s.name.substr(1));
    const int life = from.life;
    const std::uint64_t id = s.id;
    at(now() + s.within, [this, &from, id, life] { give(from, life, id, std::nullopt); });
    for (int copy = between(0, 1) < 0.05 ? 2 : 1; copy > 0; --copy) {  // some come twice
      if (lost(from.index, to)) continue;
      at(now() + delay(), [this, &from, to, id, life, encoded] {
        Node& node = *nodes_[to];
        if (!node.core) return;
        auto answer = node.core->received(now(), decode(encoded.data(), encoded.size()));
        node.arm();
        if (!answer || lost(to, from.index)) return;
        bytes += encode(*answer).size();
        at(now() + delay(), [this, &from, life, id, answer] { give(from, life, id, answer); });
      });
    }
  }
  void give(Node& node, int life, std::uint64_t id, const std::optional<Message>& answer) const {
    if (node.life != life) return;  // asked by a process that is gone
    node.core->answered(now(), id, answer);
    node.arm();
  }

  std::mt19937_64 random_;
  const double loss_;
  const Time until_;
  Timing timing_;
  int below_ = 0, written_ = 0;
  wingslip::lab::EventQueue events_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

// Once faults end all copies are equal, and everybody is known to be there, within eight rounds of repair.
TEST(ReplicaSchedules, AllCopiesAreEqualSoonAfterTheFaults) {
  std::uint64_t refusedOld = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    const int n = 3 + static_cast<int>(seed % 5);
    Fleet f(seed, n, seed % 3 == 0 ? 0.2 : 0.05, 20000);
    f.run(2000);
    for (int step = 0; step < 36; ++step) {
      f.run(2000 + 500 * step);
      f.write(f.some());
      if (step % 9 == 4) f.restart(f.some());
      if (step % 12 == 3) f.cut(1 + static_cast<int>(seed) % (n - 1));
      if (step % 12 == 9) f.cut(0);
      if (step % 12 == 6) f.stepClock(f.some(), f.between(-3600e3, 3600e3));
    }
    f.run(20000 + 8 * 1500);
    ASSERT_TRUE(f.equal()) << "seed " << seed;
    ASSERT_TRUE(f.allCaughtUp()) << "seed " << seed;
    ASSERT_EQ(f.leastAlive(), static_cast<std::size_t>(n - 1)) << "seed " << seed;
    refusedOld += f.refusedOld();
  }
  EXPECT_GT(refusedOld, kSchedules / 10) << "messages of earlier lives came late";
}

// What is told to one is everywhere within a few rounds of gossip, and costs no more than its bound.
TEST(ReplicaLoad, MessagesAndTimeToConvergeGrowSlowlyWithTheFleet) {
  for (const int n : kFleets) {
    Fleet f(11, n, 0, 0);
    f.run(15000);
    ASSERT_TRUE(f.equal()) << n;
    const long before = f.messages;
    f.run(25000);
    const double idle = static_cast<double>(f.messages - before) / 10 / n;
    EXPECT_LE(idle, 1000.0 / 300 + 1000.0 / 1500 * 2.5 + 0.5) << n;  // a probe, a repair
    const long atWrite = f.messages;
    const std::size_t bytesAtWrite = f.bytes;
    f.write(0);
    Time at = f.now();
    const auto everywhere = [&] {
      for (int i = 1; i < n; ++i)
        if (f.core(i).rows() != f.core(0).rows()) return false;
      return true;
    };
    while (!everywhere() && at < 25000 + 5000) f.run(at += 20);
    ASSERT_TRUE(everywhere()) << n;
    EXPECT_LE(at - 25000, 100 * (std::log2(n) + 6)) << n;
    std::printf(
        "members %d: idle %.2f messages/s each; a row is everywhere after %.0f ms, %ld messages, %zu bytes "
        "(each to all: %d messages)\n",
        n, idle, at - 25000, f.messages - atWrite, f.bytes - bytesAtWrite, n * (n - 1));
  }
}

struct Quiet : Replica::Outside {
  void send(const Replica::Send& s) override { sent.push_back(s); }
  void changed(const Row&) override { ++changes; }
  void told(const std::string&) override {}
  std::int64_t unixMs() const override { return 1000000; }
  std::vector<Replica::Send> sent;
  int changes = 0;
};

Replica quietCopy(Quiet& outside) {
  Replica out({}, "f", {"me", "a", 5, 0, Health::alive}, {}, 1, outside);
  out.start(0);
  return out;
}

Message from(const std::string& name, std::uint64_t generation) {
  Message m;
  m.fleet = "f", m.kind = Kind::gossip, m.self = {name, "a", generation, 0, Health::alive};
  return m;
}

// Merges in any order, doubled and in any grouping, give the same copy: rows and members.
TEST(Replica, MergingIsCommutativeAssociativeAndIdempotent) {
  std::mt19937 random(3);
  std::vector<Message> all;
  for (int i = 0; i < 60; ++i) {
    Message m = from("g" + std::to_string(random() % 3), 1);
    // Stamps of the same time and count are part of it; each names one value.
    const Stamp stamp{std::int64_t(random() % 3), std::uint32_t(random() % 2),
                      "g" + std::to_string(random() % 3)};
    const std::string key = "k" + std::to_string(random() % 4);
    m.rows.push_back({"t", key, key + stamp.origin + std::to_string(stamp.ms), stamp, stamp.count == 1});
    m.members.push_back({"x" + std::to_string(random() % 3), "a", random() % 3, random() % 3,
                         static_cast<Health>(random() % 4)});
    all.push_back(m);
  }
  Quiet outside;
  Replica first = quietCopy(outside);
  for (const Message& m : all) first.received(1, m);
  for (int round = 0; round < 50; ++round) {
    std::shuffle(all.begin(), all.end(), random);
    Quiet other;
    Replica copy = quietCopy(other);
    for (const Message& m : all) {
      copy.received(1, m);
      if (random() % 3 == 0) copy.received(2, m);
    }
    ASSERT_EQ(copy.rows(), first.rows());
    for (const auto& [name, m] : first.members()) ASSERT_EQ(copy.members().at(name).row, m.row) << name;
  }
}

TEST(Replica, AnsweringASuspicionTakesAHigherIncarnationAndOldLivesAreNotHeard) {
  Quiet outside;
  Replica copy = quietCopy(outside);
  Message m = from("g1", 7);
  m.members.push_back({"me", "a", 5, 3, Health::suspect});
  ASSERT_TRUE(copy.received(1, m));
  EXPECT_EQ(copy.self().incarnation, 4u);
  m.members = {{"me", "a", 4, 9, Health::dead}};  // of an earlier life of this process: nothing to answer
  copy.received(1, m);
  EXPECT_EQ(copy.self().incarnation, 4u);
  EXPECT_FALSE(copy.received(1, from("g1", 6)));
  Message other = from("g2", 1);
  other.fleet = "another";
  EXPECT_FALSE(copy.received(1, other));
  EXPECT_EQ(copy.counts().refusedOld, 1u);
  EXPECT_EQ(copy.counts().refusedOther, 1u);
  Message far = from("g1", 7);
  far.rows.push_back({"t", "k", "v", {1000000 + Replica::kMostAhead + 1, 0, "g1"}, false});
  copy.received(1, far);
  EXPECT_EQ(copy.rows().size(), 0u) << "a stamp from far ahead would win for ever";
  m.members = {{"me", "a", 9, 0, Health::alive}};
  copy.received(1, m);
  EXPECT_TRUE(copy.superseded());
}

TEST(Replica, AFullTableKeepsTheNewestRowsWhateverTheOrder) {
  Quiet a, b;
  Replica up = quietCopy(a), down = quietCopy(b);
  const auto row = [](std::size_t i) {
    return Row{"t", "k" + std::to_string(i), "", {std::int64_t(i), 0, "g"}, false};
  };
  const std::size_t n = Replica::kMostRows + 100;
  for (std::size_t i = 0; i < n; ++i) {
    Message first = from("g", 1), second = from("g", 1);
    first.rows.push_back(row(i)), second.rows.push_back(row(n - 1 - i));
    up.received(1, first), down.received(1, second);
  }
  EXPECT_EQ(up.rows(), down.rows());
  EXPECT_EQ(up.rows().size(), Replica::kMostRows);
}

TEST(Replica, ASnapshotOfTooManyRowsIsCutWithoutAWalkOfAllForEach) {
  const double factor = growth::between(1000, [](std::size_t n) {
    std::vector<Row> rows;
    for (std::size_t i = 0; i < n; ++i)
      rows.push_back({"t", "k" + std::to_string(i), "", {std::int64_t(i), 0, "g"}, false});
    Quiet outside;
    Replica copy = quietCopy(outside);
    const double before = growth::processorTime();
    copy.restore({}, rows);
    return growth::processorTime() - before;
  });
  EXPECT_LT(factor, growth::kMost);
}

// Half of a fleet that is cut off is suspected at once.
TEST(Replica, SuspectsAreLookedThroughWithoutAWalkOfAllForEach) {
  const double factor = growth::between(63, [](std::size_t n) {
    std::vector<MemberRow> suspects;
    for (std::size_t i = 0; i < n; ++i)
      suspects.push_back({"g" + std::to_string(i), "a", 1, 0, Health::suspect});
    Quiet outside;
    Replica copy = quietCopy(outside);
    copy.restore(suspects, {});
    for (int i = 0; i < 10; ++i) copy.tick(1);
    const double before = growth::processorTime();
    for (int i = 0; i < 200; ++i) copy.tick(1);
    return growth::processorTime() - before;
  });
  EXPECT_LT(factor, growth::kMost);
}

TEST(ReplicaBadInput, AMessageThatIsNoneIsRefusedWhole) {
  Message m = from("g", 1);
  m.rows.push_back({"t", "k", std::string("\0\xff", 2), {1, 2, "o"}, true});
  const std::vector<std::uint8_t> good = encode(m);
  const Message again = decode(good.data(), good.size());
  EXPECT_EQ(again.rows, m.rows);
  EXPECT_EQ(again.self, m.self);
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
TEST(ReplicaBadInput, AMessageOfDeeplyNestedArraysIsRefused) {
  const std::vector<std::uint8_t> nested(Message::kMostBytes, 0x81);
  EXPECT_THROW(decode(nested.data(), nested.size()), std::runtime_error);
}

TEST(ReplicaBadInput, ASnapshotThatIsShortDamagedOrOfAnotherVersionIsNone) {
  Snapshot s{5, 7, {{"g", "a", 1, 2, Health::dead}}, {{"t", "k", "v", {1, 2, "o"}, false}}};
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
TEST(ReplicaNode, SurvivesBadPeersAndLeavesASnapshot) {
  boost::asio::io_context io;
  MemoryBudget::Shares shares;
  shares.total = 64 << 20;
  OverloadManager pressure(io, shares, {});
  using boost::asio::ip::tcp;
  const std::string dir = ::testing::TempDir() + "replica_" + std::to_string(::getpid());
  std::filesystem::create_directories(dir);
  Replication where;
  {
    tcp::acceptor free(io, {boost::asio::ip::address_v4::loopback(), 0});
    where.listen = free.local_endpoint();
  }
  where.advertise = "127.0.0.1:" + std::to_string(where.listen.port()), where.fleet = "f";
  std::vector<Row> seen;
  const auto open = [&] {
    return std::make_unique<ReplicaNode>(io, where, "me", dir, 1, pressure,
                                         [&](const Row& row) { seen.push_back(row); });
  };
  auto node = open();
  node->start();
  node->set("t", "k", "v");
  const auto said = [&](const std::string& bytes) {
    tcp::socket peer(io);
    peer.connect(where.listen);
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
  EXPECT_EQ(said("nonsense\r\n\r\n"), "");
  EXPECT_EQ(said(""), "") << "silence ends after its time";
  EXPECT_EQ(said(post("{}", 2)), "HTTP/1.1 400 Bad Request");
  EXPECT_EQ(said(post("", 10 << 20)), "HTTP/1.1 413 Payload Too Large");
  const auto bytes = encode(from("g1", 3));
  EXPECT_EQ(said(post(std::string(bytes.begin(), bytes.end()), bytes.size())), "HTTP/1.1 200 OK");
  EXPECT_NE(node->telemetry().find("svc.replica.members_alive:1|g"), std::string::npos);
  EXPECT_NE(node->telemetry().find("svc.replica.malformed:3|c"), std::string::npos);
  node->drain();
  node.reset();
  EXPECT_TRUE(seen.empty()) << "its own rows are no news";
  open();
  ASSERT_EQ(seen.size(), 1u);
  EXPECT_EQ(seen[0].key + seen[0].value, "kv");
  std::ofstream(dir + "/burlwind-replica.cbor", std::ios::app) << "more";
  open();
  EXPECT_EQ(seen.size(), 1u) << "a damaged one is as none";
  std::filesystem::remove_all(dir);
}

TEST(ReplicaBadInput, AFileThatNamesPeersWronglyIsTurnedDownWhole) {
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
