// Cost of accepting connections at the connection limit, where each accept evicts an idle connection: the
// number of system calls per accept, and whether the event loop serves other sockets in between. Counts
// system calls and accepts instead of measuring time.
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdarg>
#include <ctime>

#include "loopback.hpp"
#include "recording_handler.hpp"

namespace {

// Queries of the state of a socket by this process so far: each call of ioctl and getsockopt, and each
// descriptor passed to poll.
std::size_t socketQueries = 0;

}  // namespace

// These functions replace those of the C library in this program: they count the queries and make the system
// call.
extern "C" {
int ioctl(int descriptor, unsigned long request, ...) noexcept {
  va_list arguments;
  va_start(arguments, request);
  void* const argument = va_arg(arguments, void*);
  va_end(arguments);
  ++socketQueries;
  return static_cast<int>(syscall(SYS_ioctl, descriptor, request, argument));
}
int getsockopt(int descriptor, int level, int name, void* value, socklen_t* length) noexcept {
  ++socketQueries;
  return static_cast<int>(syscall(SYS_getsockopt, descriptor, level, name, value, length));
}
int poll(pollfd* descriptors, nfds_t count, int timeout) {
  socketQueries += count;
  // Not every architecture has a system call `poll`; all have `ppoll`.
  timespec wait{timeout / 1000, timeout % 1000 * 1000000L};
  return static_cast<int>(
      syscall(SYS_ppoll, descriptors, count, timeout < 0 ? nullptr : &wait, nullptr, std::size_t{0}));
}
}

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

constexpr std::size_t kMiB = std::size_t{1} << 20;

// Raises the soft limit on open descriptors to `needed`; fails the test if the hard limit is lower.
void raiseDescriptorLimit(rlim_t needed) {
  rlimit limit{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
  if (limit.rlim_cur >= needed) return;
  ASSERT_TRUE(limit.rlim_max == RLIM_INFINITY || limit.rlim_max >= needed)
      << "the hard limit of RLIMIT_NOFILE is below the number of descriptors that the test needs";
  limit.rlim_cur = needed;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
}

class AcceptCost : public Loopback {
 protected:
  // Starts a server with `connections` regular connections, all in use by idle clients.
  void open(std::size_t connections) {
    raiseDescriptorLimit(2 * connections + 256);
    ClientServer::Limits limits;
    limits.maxConnections = connections + std::min<std::size_t>(8, (connections + 8) / 16);
    limits.firstRequestTimeout = limits.idleTimeout = 10min;
    ASSERT_EQ(limits.maxConnections - limits.overflowSlots(), connections);
    config = parseConfig(configJson("127.0.0.1:1").dump());
    server.emplace(io, config, limits, handler, overloadManager);
    server->start();
    while (clients.size() < connections) {
      clients.push_back(connect());
      waitUntil([&] { return server->connections() == clients.size(); }, "a connection");
    }
  }
  // A client that never sends anything.
  tcp::socket connect() {
    tcp::socket socket(io);
    socket.connect(server->address());
    return socket;
  }
  std::size_t accepted() { return totalAccepted += server->takeStats().accepted; }

  OverloadManager overloadManager{io, budgetSharesFor({512 * kMiB}), OverloadState::Limits{}};
  Config config;
  RecordingHandler handler;
  std::optional<ClientServer> server;
  std::vector<tcp::socket> clients;
  std::size_t totalAccepted = 0;
};

class AcceptCostByConnectionCount : public AcceptCost, public ::testing::WithParamInterface<std::size_t> {};

// An accept takes two queries: the TCP state of the new connection, and whether the one to be evicted has
// unread data. A third is allowed for a second candidate for eviction.
TEST_P(AcceptCostByConnectionCount, SystemCallsPerAcceptDoNotGrowWithTheNumberOfConnections) {
  constexpr std::size_t kAccepts = 32;
  constexpr std::size_t kMaxQueries = 3;
  open(GetParam());
  const std::size_t before = accepted();
  const std::size_t queriesBefore = socketQueries;
  for (std::size_t i = 1; i <= kAccepts; ++i) {
    clients.push_back(connect());
    waitUntil([&] { return accepted() == before + i; }, "an accept");
  }
  EXPECT_EQ(server->connections(), GetParam());
  EXPECT_LE(socketQueries - queriesBefore, kAccepts * kMaxQueries);
}

INSTANTIATE_TEST_SUITE_P(Sizes, AcceptCostByConnectionCount, ::testing::Values(64, 512, 4096));

TEST_F(AcceptCost, TheLongestIdleConnectionIsEvictedFirst) {
  open(4);
  const auto first = std::make_shared<Peer>(std::move(clients[0]));
  const auto second = std::make_shared<Peer>(std::move(clients[1]));
  first->read();
  second->read();
  first->send("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  waitUntil([&] { return first->has("HTTP/1.1 200"); }, "a response");
  clients.push_back(connect());
  waitUntil([&] { return second->closedByPeer; }, "the eviction");
  EXPECT_FALSE(first->closedByPeer);
  EXPECT_EQ(server->connections(), 4u);
}

// A connection selected for eviction may have received a request that is not read yet: the request is served,
// and another connection is evicted.
TEST_F(AcceptCost, AConnectionWithUnreadDataIsNotEvicted) {
  open(2);
  const auto requesting = std::make_shared<Peer>(std::move(clients[0]));
  const auto idle = std::make_shared<Peer>(std::move(clients[1]));
  requesting->send(TestRequest().text());
  clients.push_back(connect());
  requesting->read();
  idle->read();
  waitUntil([&] { return idle->closedByPeer; }, "the eviction of the idle connection");
  waitUntil([&] { return handler.responders.size() == 1; }, "the request");
  handler.responders[0]->respond({});
  waitUntil([&] { return requesting->has("HTTP/1.1 200"); }, "its response");
  EXPECT_FALSE(requesting->closedByPeer);
}

// An empty line is not a request: a client that sends only empty lines may be evicted like any idle client.
TEST_F(AcceptCost, BlankLinesDoNotPreventEviction) {
  open(2);
  const auto first = std::make_shared<Peer>(std::move(clients[0]));
  const auto second = std::make_shared<Peer>(std::move(clients[1]));
  for (const auto& peer : {first, second}) {
    peer->read();
    peer->send("\r\n\r\n");
  }
  clients.push_back(connect());
  clients.push_back(connect());
  waitUntil([&] { return first->closedByPeer && second->closedByPeer; }, "room");
  EXPECT_EQ(server->connections(), 2u);
}

// The endpoint list must be received while many clients are in the accept queue.
TEST_F(AcceptCost, OtherSocketsAreReadWithinAFewAccepts) {
  constexpr std::size_t kWaiting = 300;
  constexpr std::size_t kMaxAccepts = 4;
  open(32);
  Listener agent(io);
  tcp::socket watch(io);
  watch.connect(agent.address());
  waitUntil([&] { return agent.peers.size() == 1; }, "the watch");
  std::array<char, 64> line{};
  std::optional<std::size_t> acceptsWhenRead;
  watch.async_read_some(asio::buffer(line), [&](const Error& error, std::size_t) {
    if (!error) acceptsWhenRead = accepted();
  });
  for (std::size_t i = 0; i < kWaiting; ++i) clients.push_back(connect());
  const std::size_t before = accepted();
  agent.peers[0]->send("{}\n");
  waitUntil([&] { return acceptsWhenRead.has_value(); }, "the line");
  EXPECT_LE(*acceptsWhenRead - before, kMaxAccepts);
  waitUntil([&] { return accepted() == before + kWaiting; }, "the accept of all waiting connections");
}

// The event loop's lag must be measured when connections arrive, even if no request does.
TEST_F(AcceptCost, EventLoopLagIsDetectedWhenOnlyConnectionsArrive) {
  open(4);
  bool overloaded = false;
  std::function<void()> keepLoopBusy = [&] {
    for (const auto end = Steady::now() + 40ms; Steady::now() < end;) {
    }
    overloaded = overloadManager.state().level(OverloadSource::eventLoop) != OverloadLevel::none;
    if (!overloaded) asio::post(io, keepLoopBusy);
  };
  asio::post(io, keepLoopBusy);
  waitUntil(
      [&] {
        if (!overloaded) clients.push_back(connect());
        return overloaded;
      },
      "event loop overload");
}

// `onActivity` is called by the first handler of the loop iteration, so the duration of the handlers after it
// is measured only by a timer.
TEST_F(AcceptCost, EventLoopLagIncludesAllHandlersOfAnIteration) {
  bool ran = false;
  asio::post(io, [&] {
    overloadManager.onActivity();
    ran = true;
  });
  asio::post(io, [] {
    for (const auto until = Steady::now() + 300ms; Steady::now() < until;) {
    }
  });
  waitUntil(
      [&] { return ran && overloadManager.waitQueues().statistics(WaitQueue::eventLoop, 0).peak >= 250; },
      "the lag");
  EXPECT_EQ(overloadManager.state().level(OverloadSource::eventLoop), OverloadLevel::shedding);
}

}  // namespace
}  // namespace wingslip::test
