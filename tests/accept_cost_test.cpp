// More idle clients than connections: what an accept costs, and whether the loop's other work is done
// meanwhile. Counts system calls and accepts, never time.
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdarg>

#include "loopback.hpp"

namespace {

// Calls by which the program asks the kernel about one connection, made by this process so far.
std::size_t socketQueries = 0;

}  // namespace

// These take the place of the C library's in this program and pass on to the kernel.
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
  return static_cast<int>(syscall(SYS_poll, descriptors, count, timeout));
}
}

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

constexpr std::size_t kMebibyte = std::size_t{1} << 20;

struct SilentHandler : RequestHandler {
  bool ready() const override { return true; }
  decision::RequestId nextRequestId() override { return ++last; }
  void onRequest(decision::RequestId, const ParsedRequest&, ClientMessage&&,
                 const std::shared_ptr<Responder>& responder) override {
    responders.push_back(responder);
  }
  void onClientDisconnect(decision::RequestId) override {}
  void onRequestRejected(unsigned) override {}
  void onClosedUnanswered(CloseReason reason) override {
    ADD_FAILURE() << "closed over a request: " << static_cast<int>(reason);
  }
  decision::RequestId last = 0;
  std::vector<std::shared_ptr<Responder>> responders;
};

void allowDescriptors(rlim_t needed) {
  rlimit limit{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
  if (limit.rlim_cur >= needed) return;
  ASSERT_TRUE(limit.rlim_max == RLIM_INFINITY || limit.rlim_max >= needed) << "too few descriptors allowed";
  limit.rlim_cur = needed;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
}

class AcceptCost : public Loopback {
 protected:
  // A server with room for `connections` connections, of which idle clients hold all.
  void open(std::size_t connections) {
    allowDescriptors(2 * connections + 256);
    ClientServer::Limits limits;
    limits.maxConnections = connections + std::min<std::size_t>(8, (connections + 8) / 16);
    limits.firstRequestTimeout = limits.idleTimeout = 10min;
    ASSERT_EQ(limits.maxConnections - limits.overflowSlots(), connections);
    config = parseConfig(configJson("127.0.0.1:1").dump());
    server.emplace(io, config, limits, handler, pressure);
    server->start();
    while (clients.size() < connections) {
      clients.push_back(connect());
      until([&] { return server->connections() == clients.size(); }, "a connection");
    }
  }
  // A client that never sends anything.
  tcp::socket connect() {
    tcp::socket socket(io);
    socket.connect(server->address());
    return socket;
  }
  std::size_t accepted() { return total += server->takeStats().accepted; }

  OverloadManager pressure{io, sharesOf({512 * kMebibyte}), OverloadState::Limits{}};
  Config config;
  SilentHandler handler;
  std::optional<ClientServer> server;
  std::vector<tcp::socket> clients;
  std::size_t total = 0;
};

class AcceptCostOf : public AcceptCost, public ::testing::WithParamInterface<std::size_t> {};

// Three: the state of TCP as the new connection starts, and whether bytes wait on the one to be closed; one
// is left for a retry.
TEST_P(AcceptCostOf, SystemCallsOfAnAcceptDoNotGrowWithTheConnections) {
  constexpr std::size_t kAccepts = 32;
  constexpr std::size_t kMostQueries = 3;
  open(GetParam());
  const std::size_t before = accepted();
  const std::size_t queriesBefore = socketQueries;
  for (std::size_t i = 1; i <= kAccepts; ++i) {
    clients.push_back(connect());
    until([&] { return accepted() == before + i; }, "an accept");
  }
  EXPECT_EQ(server->connections(), GetParam());
  EXPECT_LE(socketQueries - queriesBefore, kAccepts * kMostQueries);
}

INSTANTIATE_TEST_SUITE_P(Sizes, AcceptCostOf, ::testing::Values(64, 512, 4096));

TEST_F(AcceptCost, TheConnectionIdleLongestIsClosedFirst) {
  open(4);
  const auto first = std::make_shared<Peer>(std::move(clients[0]));
  const auto second = std::make_shared<Peer>(std::move(clients[1]));
  first->read();
  second->read();
  first->send("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  until([&] { return first->has("HTTP/1.1 200"); }, "an answer");
  clients.push_back(connect());
  until([&] { return second->ended; }, "an end");
  EXPECT_FALSE(first->ended);
  EXPECT_EQ(server->connections(), 4u);
}

// It is found when room is needed, with its bytes unread; after that its request is heard and answered.
TEST_F(AcceptCost, AConnectionWithUnreadBytesIsNotClosedForAnother) {
  open(2);
  const auto asking = std::make_shared<Peer>(std::move(clients[0]));
  const auto idle = std::make_shared<Peer>(std::move(clients[1]));
  asking->send(Ask().text());
  clients.push_back(connect());
  asking->read();
  idle->read();
  until([&] { return idle->ended; }, "the idle one is closed");
  until([&] { return handler.responders.size() == 1; }, "the request");
  handler.responders[0]->respond({});
  until([&] { return asking->has("HTTP/1.1 200"); }, "its answer");
  EXPECT_FALSE(asking->ended);
}

// An empty line is no request: whoever sends only these may be closed like any idle client.
TEST_F(AcceptCost, BlankLinesDoNotKeepAConnection) {
  open(2);
  const auto first = std::make_shared<Peer>(std::move(clients[0]));
  const auto second = std::make_shared<Peer>(std::move(clients[1]));
  for (const auto& peer : {first, second}) {
    peer->read();
    peer->send("\r\n\r\n");
  }
  clients.push_back(connect());
  clients.push_back(connect());
  until([&] { return first->ended && second->ended; }, "room");
  EXPECT_EQ(server->connections(), 2u);
}

// The list of workers comes while many clients wait to be accepted.
TEST_F(AcceptCost, AnotherSocketIsReadWithinAFewAccepts) {
  constexpr std::size_t kWaiting = 300;
  constexpr std::size_t kMostAccepts = 4;
  open(32);
  Listener agent(io);
  tcp::socket watch(io);
  watch.connect(agent.address());
  until([&] { return agent.peers.size() == 1; }, "the watch");
  std::array<char, 64> line{};
  std::optional<std::size_t> acceptsWhenRead;
  watch.async_read_some(asio::buffer(line), [&](const Error& error, std::size_t) {
    if (!error) acceptsWhenRead = accepted();
  });
  for (std::size_t i = 0; i < kWaiting; ++i) clients.push_back(connect());
  const std::size_t before = accepted();
  agent.peers[0]->send("{}\n");
  until([&] { return acceptsWhenRead.has_value(); }, "the line");
  EXPECT_LE(*acceptsWhenRead - before, kMostAccepts);
  until([&] { return accepted() == before + kWaiting; }, "all accepted");
}

// No request comes: connections alone have to show how late the loop is.
TEST_F(AcceptCost, ALateLoopIsNoticedWhileOnlyConnectionsArrive) {
  open(4);
  bool overloaded = false;
  std::function<void()> keepLoopBusy = [&] {
    for (const auto end = Steady::now() + 40ms; Steady::now() < end;) {
    }
    overloaded = pressure.state().level(OverloadSource::eventLoop) != OverloadLevel::none;
    if (!overloaded) asio::post(io, keepLoopBusy);
  };
  asio::post(io, keepLoopBusy);
  until(
      [&] {
        if (!overloaded) clients.push_back(connect());
        return overloaded;
      },
      "a stage of pressure");
}

// Its handler would be the first of the turn, so that only a timer tells what the turn takes.
TEST_F(AcceptCost, TheLoopLagCoversAWholeTurn) {
  bool ran = false;
  asio::post(io, [&] {
    pressure.noteActivity();
    ran = true;
  });
  asio::post(io, [] {
    for (const auto until = Steady::now() + 300ms; Steady::now() < until;) {
    }
  });
  until([&] { return ran && pressure.waitQueues().figures(WaitQueue::eventLoop, 0).peak >= 250; }, "the lag");
  EXPECT_EQ(pressure.state().level(OverloadSource::eventLoop), OverloadLevel::shedding);
}

}  // namespace
}  // namespace wingslip::test
