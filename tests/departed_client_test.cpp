// Tests of the gatekeeper program with clients that leave: what they sent is not sent on afterwards, and an
// id that comes again is not run twice.
#include <map>

#include "program_under_faults.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

class DepartedClient : public GatekeeperUnderFaults {
 protected:
  json shortWindowConfig() {
    json configuration = config();
    configuration["settings"]["profiles"][1]["window"] = 400.0;
    return configuration;
  }

  void runFor(std::chrono::milliseconds span) {
    const auto until = Steady::now() + span;
    while (Steady::now() < until) {
      io.restart();
      io.run_for(5ms);
    }
  }

  static TestRequest requestOf(const std::string& requestClass, unsigned number) {
    TestRequest request;
    char id[17];
    std::snprintf(id, sizeof id, "%016x", number);
    request.requestClass = requestClass;
    request.id = id;
    request.deadline = "3000";
    return request;
  }

  /// The number of requests that have arrived at the worker.
  std::size_t attempts() const { return worker.count("Req-Id: "); }

  /// Sends a request, waits for it at the worker and disconnects the client.
  void sendAndLeave(const TestRequest& request) {
    const std::size_t before = worker.count(request.id);
    const auto client = sendRequest(request);
    waitUntil([&] { return worker.count(request.id) > before; }, "the request at the worker");
    client->close();
    runFor(100ms);
  }
};

// Guards against sending on what a client sent before it left, where so much of it is unread that the end of
// its connection is not seen.
TEST_F(DepartedClient, RequestsAreNotSentOnAfterItsCloseBehindUnreadBytes) {
  Listener otherWorker(io);
  json configuration = config();
  configuration["known"] =
      json::parse(endpointListJson(1, true,
                                   json::array({endpointEntryJson("s-1", worker.addressText()),
                                                endpointEntryJson("s-2", otherWorker.addressText())})));
  GatekeeperProcess program(folder, configuration, {});
  waitUntilReady();
  tcp::socket client(io);
  client.connect(clientsAddress);
  client.non_blocking(true);
  Error error;
  for (unsigned i = 0; i < 100000 && !error; ++i) {
    const std::string text = requestOf("look", 0x10000 + i).text();
    asio::write(client, asio::buffer(text), error);
  }
  ASSERT_EQ(error, asio::error::would_block) << "everything that was sent has been read";
  const auto arrived = [&] { return worker.count("Req-Id: ") + otherWorker.count("Req-Id: "); };
  waitUntil([&] { return arrived() == 1; }, "the first request at a worker");
  client.close();
  runFor(100ms);
  const std::size_t before = arrived();
  // The worker declines, so that the gatekeeper may send the request to the other worker.
  for (Listener* listener : {&worker, &otherWorker})
    for (const PeerPtr& peer : listener->peers)
      if (peer->has("Req-Id: "))
        peer->send(httpResponse("503 Service Unavailable", "", "Srv-Declined: 1\r\n"));
  runFor(500ms);
  EXPECT_EQ(arrived(), before) << "an attempt began more than 0.1 s after the client's close";
}

// A client that sends many requests at once and stays gets an answer to each of them.
TEST_F(DepartedClient, AClientThatSendsMuchAtOnceAndStaysIsAnswered) {
  GatekeeperProcess program(folder, config(), {});
  waitUntilReady();
  constexpr unsigned kRequests = 400;
  std::string text;
  for (unsigned i = 0; i < kRequests; ++i) text += requestOf("look", 0x20000 + i).text();
  const auto client = connectTo(clientsAddress);
  client->send(text);
  std::map<const Peer*, std::size_t> responses;  // sent on each connection to the worker
  const auto answered = [&] { return client->count("HTTP/1.1 200") + client->count("HTTP/1.1 429"); };
  waitUntil(
      [&] {
        for (const PeerPtr& peer : worker.peers)
          for (std::size_t& sent = responses[peer.get()]; sent < peer->count("Req-Id: "); ++sent)
            peer->send(httpResponse("200 OK", "ok"));
        return answered() == kRequests || client->closedByPeer;
      },
      "all answers");
  EXPECT_EQ(answered(), kRequests);
}

// Guards against running an unsafe request twice when its id comes again after its client has left.
TEST_F(DepartedClient, AnUnsafeIdThatComesAgainIsNotSentAgain) {
  GatekeeperProcess program(folder, config(), {});
  waitUntilReady();
  const TestRequest request = requestOf("order", 0x30001);
  sendAndLeave(request);
  const auto client = sendRequest(request);
  waitUntil([&] { return client->has("\r\n\r\n"); }, "an answer");
  EXPECT_EQ(worker.count(request.id), 1u);
  EXPECT_TRUE(client->has("HTTP/1.1 502")) << client->received;
}

// The same while the first client is still connected and waits.
TEST_F(DepartedClient, AnIdWhoseAttemptIsOutIsNotSentASecondTime) {
  GatekeeperProcess program(folder, config(), {});
  waitUntilReady();
  for (const char* requestClass : {"order", "edit"}) {
    const TestRequest request = requestOf(requestClass, 0x40000 + attempts());
    const auto first = sendRequest(request);
    waitUntil([&] { return worker.count(request.id) == 1; }, "the request at the worker");
    const auto second = sendRequest(request);
    waitUntil([&] { return second->has("\r\n\r\n"); }, "an answer");
    EXPECT_EQ(worker.count(request.id), 1u) << requestClass;
    for (const PeerPtr& peer : worker.peers)
      if (peer->has(request.id)) peer->send(httpResponse("200 OK", "made once"));
    waitUntil([&] { return first->has("made once"); }, "the answer to the first client");
  }
}

// A keyed request that comes again is sent within its window only.
TEST_F(DepartedClient, AKeyedIdThatComesAgainIsSentWithinItsWindowOnly) {
  GatekeeperProcess program(folder, shortWindowConfig(), {});
  waitUntilReady();
  const TestRequest request = requestOf("edit", 0x50001);
  sendAndLeave(request);
  sendAndLeave(request);
  EXPECT_EQ(worker.count(request.id), 2u);
  runFor(400ms);
  const auto client = sendRequest(request);
  waitUntil([&] { return client->has("\r\n\r\n"); }, "an answer");
  EXPECT_EQ(worker.count(request.id), 2u) << "sent again after the window of the first attempt";
}

// A request that no worker can have run may come again under its id, in any class.
TEST_F(DepartedClient, AnIdThatNeverRanIsSentWhenItComesAgain) {
  GatekeeperProcess program(folder, config(), {});
  waitUntilReady();
  const TestRequest request = requestOf("order", 0x60001);
  const auto first = sendRequest(request);
  waitUntil([&] { return worker.count(request.id) == 1; }, "the request at the worker");
  for (int declined = 1; declined <= 4 && !first->has("\r\n\r\n"); ++declined) {
    for (const PeerPtr& peer : worker.peers)
      if (peer->has(request.id))
        peer->send(httpResponse("503 Service Unavailable", "", "Srv-Declined: 1\r\n"));
    runFor(100ms);
  }
  waitUntil([&] { return first->has("HTTP/1.1 429"); }, "the refusal");
  runFor(1500ms);  // a worker that has declined gets no requests for a while
  const std::size_t before = worker.count(request.id);
  const auto second = sendRequest(request);
  waitUntil([&] { return worker.count(request.id) > before || second->has("\r\n\r\n"); },
            "the request again");
  EXPECT_EQ(worker.count(request.id), before + 1) << second->received;
}

// Guards against running an unsafe request twice when its id comes again at the other process of an upgrade.
TEST_F(DepartedClient, AnUnsafeIdIsNotSentAgainByTheOtherProcessOfAnUpgrade) {
  tcp::acceptor listener(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const tcp::endpoint address = listener.local_endpoint();
  const GatekeeperProcess::Upgrade shared{listener.native_handle(), folder + "/shared"};
  json configuration = config();
  configuration["listen"] = "127.0.0.1:" + std::to_string(address.port());
  GatekeeperProcess oldProcess(folder + "/old", configuration, {}, shared);
  waitUntilReady();
  const TestRequest request = requestOf("order", 0x70001);
  const auto first = connectTo(address);
  first->send(request.text());
  waitUntil([&] { return worker.count(request.id) == 1; }, "the request at the worker");
  first->close();
  runFor(100ms);
  const ReservedPort nextOperatorsPort(io);
  configuration["ops"] = nextOperatorsPort.addressText();
  GatekeeperProcess nextProcess(folder + "/next", configuration, {}, shared);
  const auto nextIsReady = [&] {
    tcp::socket socket(io);
    Error error;
    socket.connect(nextOperatorsPort.address(), error);
    if (error) return false;
    const auto caller = std::make_shared<Peer>(std::move(socket));
    caller->read();
    caller->send("readyz\n");
    waitUntil([&] { return caller->closedByPeer; }, "the end of the operators' answer");
    return caller->has("200");
  };
  waitUntil([&] { return runFor(20ms), nextIsReady(); }, "the next process");
  oldProcess.sendSignal(SIGTERM);
  runFor(200ms);
  const auto second = connectTo(address);
  second->send(request.text());
  waitUntil([&] { return second->has("\r\n\r\n") || worker.count(request.id) > 1; }, "an answer");
  EXPECT_EQ(worker.count(request.id), 1u);
  EXPECT_TRUE(second->has("HTTP/1.1 502")) << second->received;
}

}  // namespace
}  // namespace wingslip::test
