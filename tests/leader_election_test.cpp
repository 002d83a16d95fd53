// Leader election without processes: the state machine in virtual time under seeded fault schedules, the
// membership record, and invalid input from the store or the configuration.
#include <gtest/gtest.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <thread>

#include "config_error.hpp"
#include "growth.hpp"
#include "leader_election/base64.hpp"
#include "leader_election/membership_record.hpp"
#include "leader_election/registration.hpp"
#include "leader_election/store_client.hpp"
#include "leader_election/store_protocol.hpp"
#include "leader_election_simulation.hpp"

namespace wingslip::leader_election {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kSchedules = 100;  // a schedule takes about fifty times as long with AddressSanitizer
#else
constexpr std::uint64_t kSchedules = 1500;
#endif

// Guards against two leaders at the same simulation time while the timing assumptions hold, and against a
// fleet that stays without a leader: one must lead within six TTLs of the last fault.
TEST(LeaderElectionFaultSchedules, AtMostOneLeaderAndReelectionAfterFaults) {
  long recordsWritten = 0;
  std::uint64_t leasesExpired = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    Faults faults;
    faults.messageLossRate = seed % 3 == 0 ? 0.15 : 0.03;
    faults.pauses = seed % 2 == 0;
    ElectionSimulation simulation(seed, 3 + static_cast<int>(seed % 3), faults);
    simulation.run(40000 + 8000 + 6 * 2000);
    const ElectionSimulation::Observed& observed = simulation.observed();
    ASSERT_EQ(observed.simultaneousLeaders, 0) << "seed " << seed;
    ASSERT_EQ(observed.leadersWithoutLock, 0) << "seed " << seed;
    ASSERT_EQ(observed.tokenRegressions, 0) << "seed " << seed;
    ASSERT_EQ(observed.duplicateTokens, 0) << "seed " << seed;
    ASSERT_EQ(simulation.leaderCount(), 1) << "seed " << seed;
    recordsWritten += observed.recordsWritten;
    leasesExpired += simulation.leasesExpired();
  }
  EXPECT_GT(recordsWritten, 60 * static_cast<long>(kSchedules));
  EXPECT_GT(leasesExpired, kSchedules / 2) << "the schedules must make leases expire";
}

// Guards against stale writes if the timing assumptions are violated: calls take effect seconds after their
// timeout, or the store restarts empty or with an old state, so that two processes may believe that they
// lead. No write under a lower token takes effect, and no token has two leaders. A restored store cannot
// reject calls in flight that match its old state; in that case, readers reject the record.
TEST(LeaderElectionFaultSchedules, StaleWritesAreFencedWhenAssumptionsAreViolated) {
  long writesRejected = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    Faults faults;
    faults.withinAssumptions = false;
    faults.messageLossRate = 0.05;
    faults.pauses = true;
    faults.storeFails = seed % 2 == 0;
    ElectionSimulation simulation(seed, 4, faults);
    simulation.run(40000 + 8000 + 8 * 2000);
    const ElectionSimulation::Observed& observed = simulation.observed();
    ASSERT_EQ(observed.staleRecordsAccepted, 0) << "seed " << seed;
    ASSERT_TRUE(observed.tokenRegressions == 0 || faults.storeFails) << "seed " << seed;
    ASSERT_TRUE(observed.duplicateTokens == 0 || faults.storeFails) << "seed " << seed;
    ASSERT_EQ(simulation.leaderCount(), 1) << "seed " << seed;
    writesRejected += observed.writesRejected;
  }
  EXPECT_GT(writesRejected, static_cast<long>(kSchedules / 10));
}

// Guards against a leader that retains the lock although its writes do not take effect: it steps down and
// does not compete, and another process becomes the leader.
TEST(LeaderElectionFaultSchedules, LeaderStepsDownWhenItsWritesHaveNoEffect) {
  Faults noFaults;
  noFaults.activeUntil = 0;
  ElectionSimulation simulation(5, 4, noFaults);
  simulation.run(10000);
  const int firstLeader = simulation.dropWritesOfLeader();
  ASSERT_GE(firstLeader, 0);
  simulation.run(10000 + 2 * 2000 + 1000);
  EXPECT_EQ(simulation.leaderCount(), 1);
  EXPECT_NE(simulation.leaderIndex(), firstLeader);
  EXPECT_EQ(simulation.observed().tokenRegressions, 0);
}

// Guards against overload of the store: the calls without faults and after the leader's crash stay within the
// bounds in docs/design.md.
TEST(LeaderElectionLoad, StoreCallsAreBoundedWhenIdleAndAfterLeaderCrash) {
  for (const int candidates : {1, 30, 300}) {
    Faults noFaults;
    noFaults.activeUntil = 0;
    noFaults.writes = false;
    ElectionSimulation simulation(7, candidates, noFaults, 10000);
    const auto calls = [&] { return simulation.observed().calls; };
    simulation.run(60000);
    ASSERT_EQ(simulation.leaderCount(), 1);
    const long before = calls();
    simulation.run(120000);
    const long idle = calls() - before;
    // Per minute and candidate: 3 to 3.4 renewals per TTL of 10 s and a blocking read every 20 s. The leader
    // has a second blocking read.
    EXPECT_LE(idle, candidates * (3.4 * 6 + 3) + 4) << candidates;
    EXPECT_GE(idle, candidates * 18) << candidates;
    if (candidates == 1) continue;
    const long beforeCrash = calls();
    ASSERT_GE(simulation.crashLeader(), 0);
    const double boundMs = 2 * 10000 + 300 + 2 * 20.0 * candidates + 1000;
    simulation.run(120000 + boundMs);
    EXPECT_EQ(simulation.leaderCount(), 1) << candidates;
    const long failover = calls() - beforeCrash - idle * static_cast<long>(boundMs) / 60000;
    EXPECT_LE(failover, 5L * candidates) << candidates;
    std::printf("candidates %d: idle %.1f calls/s; a leader crash and the failover cost %ld more calls\n",
                candidates, static_cast<double>(idle) / 60, failover);
  }
}

// --- The membership record -------------------------------------------------------------------------------

bool neverInGracePeriod(const std::string&) { return false; }

TEST(MembershipRecord, DistinguishesDepartedFromMissingMembers) {
  MembershipRecord record;
  const Registration a{"a", "1", "b1", 10, false, {}};
  const Registration b{"b", "2", "b1", 10, false, {}};
  Registration newA{"a", "3", "b2", 20, false, {}};
  Registration oldA = a;
  EXPECT_TRUE(record.update({a, b}, neverInGracePeriod));
  EXPECT_FALSE(record.update({b, a}, neverInGracePeriod)) << "the order of the registrations must not matter";
  oldA.draining = true;
  // An upgrade: the newer of two processes determines the build, the one that is not draining the state.
  EXPECT_TRUE(record.update({oldA, newA, b}, neverInGracePeriod));
  EXPECT_EQ(record.members().at("a"), (Member{MemberState::present, 2, "b2", 20, 1}));
  newA.draining = true;
  EXPECT_TRUE(record.update({newA, b}, neverInGracePeriod));
  EXPECT_TRUE(record.update({}, [](const std::string& name) { return name == "b"; }));
  EXPECT_EQ(record.members().at("a").state, MemberState::departed);
  EXPECT_EQ(record.members().at("b").state, MemberState::present) << "in its grace period";
  EXPECT_TRUE(record.update({}, neverInGracePeriod));
  EXPECT_EQ(record.members().at("b").state, MemberState::missing);
  const MembershipRecord parsed = MembershipRecord::parse(record.text());
  EXPECT_EQ(parsed.members(), record.members());
  EXPECT_EQ(parsed.version(), record.version());
}

TEST(MembershipRecord, IsBoundedAndEvictsLongestUnregisteredMembers) {
  MembershipRecord record;
  std::vector<Registration> all;
  for (std::size_t i = 0; i < MembershipRecord::kMaxMembers; ++i)
    all.push_back({"n" + std::to_string(i), "i", std::string(100, 'b'), 1, false, {}});
  const Registration unregistered{"gone", "i", "b", 1, false, {}};
  record.update({unregistered}, neverInGracePeriod);
  record.update(all, neverInGracePeriod);
  EXPECT_FALSE(record.members().contains("gone"));
  EXPECT_LE(record.text().size(), MembershipRecord::kMaxBytes);
  EXPECT_GT(record.members().size(), 1900u);
}

// Guards against quadratic time: a pass over all members for each evicted member.
TEST(MembershipRecord, TrimmingTimeGrowsLinearly) {
  const double factor = growth::growthFactor(2000, [](std::size_t members) {
    std::vector<Registration> all;
    for (std::size_t i = 0; i < members; ++i)
      all.push_back({"n" + std::to_string(i), "i", "b", 1, false, {}});
    MembershipRecord record;
    const double before = growth::threadCpuTimeMs();
    record.update(all, neverInGracePeriod);
    return growth::threadCpuTimeMs() - before;
  });
  EXPECT_LT(factor, growth::kMaxFactor);
}

// --- Invalid input ---------------------------------------------------------------------------------------

// Guards against malformed responses of the store being accepted as success.
TEST(LeaderElectionInvalidInput, MalformedStoreResponsesAreRejected) {
  const auto expectError = [](StoreOperation operation, unsigned status, const char* index,
                              const std::string& body) {
    EXPECT_THROW((void)parseReply(operation, status, index, body), std::runtime_error)
        << status << " " << body;
  };
  for (const char* body : {"", "{", "[1", "\"true\"", "1", "null", "{}", "[]", "tru"})
    for (const StoreOperation operation :
         {StoreOperation::acquire, StoreOperation::compareAndSet, StoreOperation::createSession})
      expectError(operation, 200, "5", body);
  expectError(StoreOperation::acquire, 500, "5", "true");
  expectError(StoreOperation::renewSession, 200, "", "{}");
  expectError(StoreOperation::createSession, 200, "", R"({"ID": 7})");
  expectError(StoreOperation::createSession, 200, "", R"({"ID": ""})");
  for (const char* index : {"", "0", "-1", "x", "5x", "99999999999999999999999"})
    expectError(StoreOperation::read, 200, index, "[]");
  for (const char* body : {"{}x", "[{}]", R"([{"Key": 1, "Value": null, "ModifyIndex": 1}])",
                           R"([{"Key": "k", "Value": "a", "ModifyIndex": 1}])",
                           R"([{"Key": "k", "Value": "????", "ModifyIndex": 1}])",
                           R"([{"Key": "k", "Value": "YQ==", "ModifyIndex": "1"}])"})
    expectError(StoreOperation::read, 200, "5", body);
  EXPECT_TRUE(parseReply(StoreOperation::read, 404, "5", "").entries.empty());
  EXPECT_FALSE(parseReply(StoreOperation::renewSession, 404, "", "gone").succeeded);
  const StoreReply read =
      parseReply(StoreOperation::read, 200, "5", R"([{"Key": "k", "Value": "AP8=", "ModifyIndex": 3}])");
  EXPECT_EQ(read.entries.at(0).value, std::string("\0\xff", 2));
  EXPECT_EQ(toBase64(read.entries.at(0).value), "AP8=");
  EXPECT_THROW((void)parseRegistration("{\"name\": \"\"}"), std::runtime_error);
  EXPECT_THROW((void)MembershipRecord::parse(R"({"version": 1, "rows": {"a": ["elsewhere", 1, "b", 1, 1]}})"),
               std::runtime_error);
}

// Guards against a misbehaving store affecting more than the current call. Covers, over a socket: no
// response, a connection closed within the response, an oversized header, a body above the limit and a
// malformed status line. Each call fails, the next valid response is accepted, and no memory remains charged.
TEST(LeaderElectionInvalidInput, MisbehavingStoreFailsOnlyTheCall) {
  boost::asio::io_context io;
  MemoryBudget::Shares shares;
  shares.total = 64 << 20;
  OverloadManager overloadManager(io, shares, {});
  using boost::asio::ip::tcp;
  tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  const std::string ok = "HTTP/1.1 200 OK\r\nX-Consul-Index: 5\r\n";
  const std::vector<std::string> responses{"",
                                           ok + "Content-Length: 10\r\n\r\n[",
                                           "HTTP/1.1 200 " + std::string(64 << 10, 'x'),
                                           ok + "Content-Length: 9000000\r\n\r\n" + std::string(1 << 20, ' '),
                                           "nonsense\r\n\r\n",
                                           ok + "Content-Length: 2\r\n\r\n[]"};
  std::vector<std::string> errors(16, "none");
  std::size_t replies = 0;
  StoreClient client(io, acceptor.local_endpoint(), overloadManager,
                     [&](std::uint64_t callId, const StoreReply& reply, const std::string& error) {
                       ++replies;
                       errors[callId] = reply.answered ? "ok" : error;
                     });
  for (std::size_t i = 0; i < responses.size(); ++i) {
    StoreCall call;
    call.id = i;
    call.key = "k";
    call.timeoutMs = 500;
    client.call(call);
    tcp::socket peer(io);
    acceptor.accept(peer);
    boost::system::error_code ignored;
    std::thread writer;
    if (!responses[i].empty()) {
      writer = std::thread([&] {
        boost::system::error_code writeError;
        boost::asio::write(peer, boost::asio::buffer(responses[i]), writeError);
      });
    }
    while (replies == i && io.run_one_for(std::chrono::seconds(5)) > 0) {
      if (i == 1) peer.shutdown(tcp::socket::shutdown_send, ignored);
    }
    if (writer.joinable()) writer.join();
    peer.close(ignored);
  }
  EXPECT_EQ(errors[0], "no answer in time");
  EXPECT_EQ(errors[1], "broken");
  EXPECT_EQ(errors[2], "broken");
  EXPECT_EQ(errors[3], "too long an answer");
  EXPECT_EQ(errors[4], "broken");
  EXPECT_EQ(errors[5], "ok");
  EXPECT_EQ(overloadManager.memory().used(Account::discovery), 0u);
}

TEST(LeaderElectionInvalidInput, InvalidCoordinationConfigurationIsRejected) {
  const std::string store = R"({"store": "127.0.0.1:8500")";
  for (const std::string& invalid :
       {std::string("7"), std::string("{}"), std::string(R"({"store": "nowhere"})"),
        std::string(R"({"store": "127.0.0.1:0"})"), store + R"(, "ttl_ms": 10})",
        store + R"(, "ttl_ms": "10s"})", store + R"(, "lock_delay_ms": -1})", store + R"(, "prefix": "/a"})",
        store + R"(, "prefix": "a b"})", store + R"(, "prefix": 5})", store + R"(, "prefix": ""})",
        store + R"(, "ttl": 5})"}) {
    EXPECT_NE(configErrorOf("coordination", invalid), "") << invalid;
  }
  for (const std::string& valid :
       {std::string("null"), store + "}", store + R"(, "prefix": "a/b-c_1.d", "ttl_ms": 1000})"}) {
    EXPECT_EQ(configErrorOf("coordination", valid), "") << valid;
  }
}

}  // namespace
}  // namespace wingslip::leader_election
