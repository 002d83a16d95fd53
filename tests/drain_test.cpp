// A drain answers everything that was read, at each of its points: slow uploads, slow headers and requests
// sent at once, whatever the longest deadline.
#include <unistd.h>

#include <map>
#include <string>
#include <vector>

#include "gatekeeper/drain_schedule.hpp"
#include "overload_fixture.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kPieceBytes = 7000;
constexpr auto kPieceInterval = 150ms;
constexpr std::size_t kFirstHeadBytes = 40;

/// A client that sends one request slowly on a connection that it has used before.
struct SlowClient {
  PeerPtr peer;
  std::string id;
  std::vector<std::pair<std::chrono::milliseconds, std::string>> pieces;  ///< by time after the drain's start
  std::size_t sent = 0;
  std::size_t answersBefore = 0;

  bool hasBegun() const { return sent > 0; }
  bool isAnswered() const { return peer->count("HTTP/1.1 ") > answersBefore; }
};

class DrainTest : public OverloadFixture {
 protected:
  json configurationWithDeadline(std::chrono::milliseconds longestDeadline) {
    json config = configuration();
    config["limits"]["memory_mb"] = 64;
    for (json& requestClass : config["settings"]["profiles"]) {
      requestClass["aim"] = static_cast<double>(longestDeadline.count()) / 2;
      requestClass["deadline"] = static_cast<double>(longestDeadline.count());
    }
    return config;
  }
  void start(const json& config) {
    startGatekeeper(config);
    waitUntilServing();
  }
  std::string nextId() {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", nextId_++);
    return id;
  }
  static TestRequest order(const std::string& id, std::chrono::milliseconds deadline) {
    TestRequest request;
    request.requestClass = "order";
    request.id = id;
    request.deadline = std::to_string(deadline.count());
    return request;
  }

  // Answers each request that has come whole to the worker, if the worker answers at all.
  void answerAtWorker() {
    if (workerHangs) return;
    for (const PeerPtr& peer : worker.peers) {
      std::size_t& at = answeredUpTo_[peer.get()];
      const auto headEnd = peer->received.find("\r\n\r\n", at);
      if (headEnd == std::string::npos) continue;
      const std::string head = peer->received.substr(at, headEnd + 4 - at);
      const auto length = head.find("Content-Length: ");
      const std::size_t bodyBytes = length == std::string::npos ? 0 : std::stoul(head.substr(length + 16));
      if (peer->received.size() < headEnd + 4 + bodyBytes) continue;
      at = headEnd + 4 + bodyBytes;
      peer->send(httpResponse("200 OK", "served"));
    }
  }
  void turn() {
    runFor(2ms);
    answerAtWorker();
  }
  void turnUntil(const Condition& condition) {
    const auto limit = Clock::now() + 30s;
    while (!condition() && Clock::now() < limit) turn();
    ASSERT_TRUE(condition());
  }

  // A connection that has carried a request.
  PeerPtr usedConnection() {
    const auto peer = sendRequest(order(nextId(), 60s).text());
    turnUntil([&] { return peer->has("served"); });
    return peer;
  }
  // The header begins 400 ms after SIGTERM and is complete 200 ms later; the last byte comes at `endsAt`.
  SlowClient slowUpload(std::chrono::milliseconds endsAt) {
    SlowClient out{usedConnection(), nextId(), {}};
    out.answersBefore = 1;
    std::vector<std::chrono::milliseconds> times;
    for (auto at = endsAt; at >= 600ms; at -= kPieceInterval) times.insert(times.begin(), at);
    TestRequest request = order(out.id, 60s);
    request.body.assign(kPieceBytes * times.size(), 'b');
    const std::string text = request.text();
    const std::size_t headBytes = text.size() - request.body.size();
    out.pieces.emplace_back(400ms, text.substr(0, kFirstHeadBytes));
    out.pieces.emplace_back(600ms, text.substr(kFirstHeadBytes, headBytes - kFirstHeadBytes));
    for (std::size_t i = 0; i < times.size(); ++i)
      out.pieces.emplace_back(times[i], text.substr(headBytes + i * kPieceBytes, kPieceBytes));
    return out;
  }
  SlowClient slowHeader(std::chrono::milliseconds startsAt) {
    SlowClient out{usedConnection(), nextId(), {}};
    out.answersBefore = 1;
    const std::string text = order(out.id, 60s).text();
    for (std::size_t i = 0; i + 1 < text.size(); i += 4)
      out.pieces.emplace_back(startsAt + std::chrono::milliseconds(i * 20), text.substr(i, 4));
    return out;
  }

  // A client that has been told of the close of its connection sends nothing on it. Without the poll a
  // request could begin after the close, which crosses it and is not read.
  void sendDue(SlowClient& client) {
    if (!client.hasBegun() && Clock::now() >= drainStartedAt + client.pieces[0].first) io.poll();
    while (client.sent < client.pieces.size() && !client.peer->closedByPeer &&
           !(client.hasBegun() && client.isAnswered()) &&
           Clock::now() >= drainStartedAt + client.pieces[client.sent].first)
      client.peer->send(client.pieces[client.sent++].second);
  }
  // Drains, and ends the gatekeeper as its process would end.
  void drainWith(std::vector<SlowClient>& clients) {
    bool done = false;
    drainStartedAt = Clock::now();
    gatekeeper->drain([&] { done = true; });
    while (!done && Clock::now() < drainStartedAt + 10s) {
      turn();
      for (SlowClient& client : clients) sendDue(client);
    }
    drainTook = Clock::now() - drainStartedAt;
    ASSERT_TRUE(done);
    gatekeeper.reset();
    runFor(50ms);
  }
  static void expectAnswers(const std::vector<SlowClient>& clients) {
    for (const SlowClient& client : clients)
      if (client.hasBegun()) {
        EXPECT_TRUE(client.isAnswered())
            << client.id << " has no answer; sent " << client.sent << " of " << client.pieces.size();
      }
  }

  bool workerHangs = false;
  Clock::time_point drainStartedAt;
  Clock::duration drainTook{};

 private:
  unsigned nextId_ = 0xd100;
  std::map<const Peer*, std::size_t> answeredUpTo_;
};

// Guards against a step of the drain that comes after the earliest time at which the platform kills the
// process.
TEST(DrainSchedule, ItsStepsAreInOrderAndBeforeTheKill) {
  constexpr decision::Time kLastNewConnectionMs = 400;
  for (const decision::Time deadlineMs : {50.0, 100.0, 400.0, 1200.0, 3000.0, 6000.0})
    for (const bool nextProcessAccepts : {false, true}) {
      const DrainSchedule schedule = drainSchedule(deadlineMs, nextProcessAccepts);
      if (!nextProcessAccepts) {
        EXPECT_GT(schedule.closeIdleMs, kLastNewConnectionMs);
      }
      EXPECT_GE(schedule.closeIdleMs, 0);
      EXPECT_LE(schedule.closeIdleMs, schedule.refuseMs);
      EXPECT_LT(schedule.refuseMs, schedule.exitMs);
      EXPECT_LT(schedule.exitMs, std::min(deadlineMs, 3000.0) + 700);
    }
}

class DrainWithDeadline : public DrainTest,
                          public ::testing::WithParamInterface<std::chrono::milliseconds> {};

std::string deadlineName(const ::testing::TestParamInfo<std::chrono::milliseconds>& tested) {
  return "LongestDeadline" + std::to_string(tested.param.count()) + "Ms";
}

// Guards against uploads that end late in a drain, are read and sent to a worker, and get no answer because
// the process ends.
TEST_P(DrainWithDeadline, SlowUploadsAreAnsweredWheneverTheyEnd) {
  start(configurationWithDeadline(GetParam()));
  std::vector<SlowClient> clients;
  for (auto endsAt = GetParam() + 300ms; endsAt <= GetParam() + 700ms; endsAt += 15ms)
    clients.push_back(slowUpload(endsAt));
  drainWith(clients);
  expectAnswers(clients);
  EXPECT_LT(drainTook, GetParam() + 700ms);
}

// Guards against the same at workers that hang, where no request ends by itself.
TEST_P(DrainWithDeadline, SlowUploadsToHangingWorkersAreAnsweredWheneverTheyEnd) {
  start(configurationWithDeadline(GetParam()));
  std::vector<SlowClient> clients;
  for (auto endsAt = GetParam() + 300ms; endsAt <= GetParam() + 700ms; endsAt += 15ms)
    clients.push_back(slowUpload(endsAt));
  workerHangs = true;
  drainWith(clients);
  expectAnswers(clients);
  EXPECT_LT(drainTook, GetParam() + 700ms);
}

// Guards against a header that is incomplete when the process ends and is never answered.
TEST_P(DrainWithDeadline, SlowHeadersAreAnsweredWheneverTheyBegin) {
  start(configurationWithDeadline(GetParam()));
  std::vector<SlowClient> clients;
  for (auto startsAt = 0ms; startsAt < GetParam() + 600ms; startsAt += 50ms)
    clients.push_back(slowHeader(startsAt));
  drainWith(clients);
  expectAnswers(clients);
}

// Guards against requests that were sent at once and read together, of which only the first is answered
// because its answer closes the connection.
TEST_P(DrainWithDeadline, RequestsSentAtOnceAreAllAnswered) {
  start(configurationWithDeadline(GetParam()));
  constexpr std::size_t kAtOnce = 4;
  std::string text;
  for (std::size_t i = 0; i < kAtOnce; ++i) text += order(nextId(), GetParam()).text();
  workerHangs = true;
  const auto client = sendRequest(text);
  turnUntil([&] { return gatekeeper->requestsInFlight() == 1; });
  bool done = false;
  gatekeeper->drain([&] { done = true; });
  runFor(50ms);
  workerHangs = false;
  turnUntil([&] { return done || client->closedByPeer; });
  EXPECT_EQ(client->count("HTTP/1.1 200"), kAtOnce) << client->received;
  EXPECT_EQ(client->count("Connection: close"), 1u) << client->received;
}

// Guards against the same at workers that hang: the drain's end comes before the last of them has had its
// turn.
TEST_P(DrainWithDeadline, RequestsSentAtOnceToHangingWorkersAreAllAnswered) {
  start(configurationWithDeadline(GetParam()));
  constexpr std::size_t kAtOnce = 60;  // more than one read takes
  std::string text;
  for (std::size_t i = 0; i < kAtOnce; ++i) text += order(nextId(), GetParam()).text();
  workerHangs = true;
  const auto client = sendRequest(text);
  turnUntil([&] { return gatekeeper->requestsInFlight() == 1; });
  std::vector<SlowClient> none;
  drainWith(none);
  EXPECT_EQ(client->count("HTTP/1.1 "), kAtOnce);
}

INSTANTIATE_TEST_SUITE_P(Deadlines, DrainWithDeadline, ::testing::Values(400ms, 1200ms, 3000ms),
                         deadlineName);

class DrainInAnUpgrade : public DrainWithDeadline {
 protected:
  // The platform owns the listening socket, and another process accepts from the drain's start on.
  void startWithInheritedSocket() {
    Config config = parseConfig(configurationWithDeadline(GetParam()).dump());
    config.inheritedListenFd = ::dup(listener_.native_handle());
    gatekeeper.emplace(io, config);
    gatekeeper->start();
    waitUntilServing();
  }

 private:
  tcp::acceptor listener_{io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
};

// Guards against a process that is killed with requests unanswered, because the steps of its drain come later
// than the platform may kill it.
TEST_P(DrainInAnUpgrade, EndsInTimeWithEverythingAnswered) {
  startWithInheritedSocket();
  std::vector<SlowClient> clients;
  for (auto endsAt = GetParam() + 300ms; endsAt <= GetParam() + 700ms; endsAt += 50ms)
    clients.push_back(slowUpload(endsAt));
  for (auto startsAt = 0ms; startsAt < GetParam() + 600ms; startsAt += 50ms)
    clients.push_back(slowHeader(startsAt));
  workerHangs = true;
  drainWith(clients);
  expectAnswers(clients);
  EXPECT_LT(drainTook, GetParam() + 700ms);
}

INSTANTIATE_TEST_SUITE_P(Deadlines, DrainInAnUpgrade, ::testing::Values(400ms, 1200ms, 3000ms), deadlineName);

}  // namespace
}  // namespace wingslip::test
