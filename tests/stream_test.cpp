// Streaming of request and response bodies that are too long to be buffered, and variants of HTTP framing.
#include "loopback.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;

class BodyStreaming : public Loopback {
 protected:
  void open() {
    gatekeeper.emplace(io,
                       parseConfig(configJson(discovery.addressText(),
                                              json::array({endpointEntryJson("s-1", worker.addressText())}))
                                       .dump()));
    gatekeeper->start();
  }
  PeerPtr sendRequest(const std::string& text) {
    const auto client = connectTo(gatekeeper->address());
    client->send(text);
    return client;
  }
  std::string requestHead(const std::string& requestClass, const std::string& framing) {
    TestRequest request;
    request.requestClass = requestClass;
    std::string text = request.text();
    if (const auto at = text.find("Content-Length: 0\r\n"); at != std::string::npos) text.erase(at, 19);
    return text.substr(0, text.size() - 2) + framing + "\r\n";
  }
  void waitForRequests(std::size_t n = 1) {
    waitUntil([&] { return worker.count("\r\n\r\n") >= n; }, "a request at the worker");
  }
  // Sends a body in pieces, each after the other end has received the ones before it.
  void sendInPieces(const PeerPtr& from, const std::function<PeerPtr()>& to, std::size_t total) {
    for (std::size_t sent = 0; sent < total; sent += kPiece) {
      from->send(std::string(kPiece, static_cast<char>('a' + sent / kPiece % 26)));
      const std::size_t sentBefore = sent;
      waitUntil([&] { return to() && to()->received.size() >= sentBefore; }, "the pieces sent so far");
    }
  }
  static constexpr std::size_t kPiece = 20000;

  Listener discovery{io}, worker{io};
  std::optional<Gatekeeper> gatekeeper;
};

std::string expectedBody(std::size_t total, std::size_t piece) {
  std::string out;
  for (std::size_t sent = 0; sent < total; sent += piece)
    out += std::string(piece, static_cast<char>('a' + sent / piece % 26));
  return out;
}

TEST_F(BodyStreaming, ALongResponseIsStreamedAndTheConnectionsAreReused) {
  open();
  const auto client = sendRequest(TestRequest().text());
  waitForRequests();
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\nContent-Type: a/b\r\n\r\n");
  sendInPieces(
      worker.peers[0], [&] { return client; }, 400000);
  waitUntil([&] { return client->has(expectedBody(400000, kPiece)); }, "the complete response");
  EXPECT_TRUE(client->has("Content-Length: 400000\r\n"));
  EXPECT_TRUE(client->has("Content-Type: a/b\r\n"));
  waitUntil([&] { return gatekeeper->requestsInFlight() == 0; }, "the end of the request");
  client->send(TestRequest().text());
  waitForRequests(2);
  EXPECT_EQ(worker.peers.size(), 1u);
  worker.peers[0]->send(httpResponse("200 OK", "next"));
  waitUntil([&] { return client->has("next"); }, "the next response");
}

TEST_F(BodyStreaming, ChunkExtensionsAndTrailersDoNotChangeTheBodyOfALongResponse) {
  open();
  const auto client = sendRequest(TestRequest().text());
  waitForRequests();
  worker.peers[0]->send(
      "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 5; ++i) worker.peers[0]->send("4e20;name=\"v\"\r\n" + std::string(20000, 'x') + "\r\n");
  waitUntil([&] { return client->received.size() > 70000; }, "the beginning of the response before its end");
  EXPECT_TRUE(client->has("Transfer-Encoding: chunked\r\n"));
  worker.peers[0]->send("0\r\nTail: z\r\n\r\n");
  waitUntil([&] { return client->has("\r\n0\r\n\r\n"); }, "the end of the response");
  EXPECT_EQ(static_cast<std::size_t>(std::count(client->received.begin(), client->received.end(), 'x')),
            100000u);
  EXPECT_FALSE(client->has("Tail"));
  EXPECT_FALSE(client->has("103"));
}

// A response that fails after its beginning has reached the client must not look complete, and is not
// retried.
TEST_F(BodyStreaming, TheClientDetectsTheTruncationOfALongResponse) {
  for (const char* framing : {"Content-Length: 400000\r\n", "Transfer-Encoding: chunked\r\n"}) {
    open();
    const auto client = sendRequest(TestRequest().text());
    waitUntil([&] { return !worker.peers.empty() && worker.peers.back()->has("\r\n\r\n"); }, "a request");
    const auto peer = worker.peers.back();
    peer->send(std::string("HTTP/1.1 200 OK\r\n") + framing + "\r\n" +
               (framing[0] == 'T' ? "fffff\r\n" : ""));
    for (int i = 0; i < 6; ++i) peer->send(std::string(kPiece, 'x'));
    waitUntil([&] { return client->received.size() > 100000; }, "the beginning of the response");
    peer->close();
    waitUntil([&] { return client->closedByPeer; }, "the close of the connection");
    EXPECT_FALSE(client->has("\r\n0\r\n\r\n"));
    EXPECT_EQ(gatekeeper->requestsInFlight(), 0u);
    EXPECT_EQ(worker.count("Req-Id"), 1u);
    gatekeeper.reset();
    worker.peers.clear();
  }
}

TEST_F(BodyStreaming, ALongBodyIsStreamedInEitherFraming) {
  open();
  for (const bool chunked : {false, true}) {
    const auto client = sendRequest(
        requestHead("edit", chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: 200000\r\n"));
    for (int i = 0; i < 10; ++i) {
      client->send(chunked ? "4e20;a=b\r\n" + std::string(20000, 'x') + "\r\n" : std::string(20000, 'x'));
      if (i == 6)
        waitUntil([&] { return worker.count("Req-Id") > 0; }, "the attempt before the end of the body");
    }
    if (chunked) client->send("0\r\nTail: z\r\n\r\n");
    const auto receivedBytes = [&] {
      const std::string& received = worker.peers.back()->received;
      return static_cast<std::size_t>(std::count(received.begin(), received.end(), 'x'));
    };
    waitUntil([&] { return receivedBytes() == 200000; }, "the complete body");
    if (chunked) waitUntil([&] { return worker.peers.back()->has("\r\n0\r\n\r\n"); }, "the end of the body");
    worker.peers.back()->send(httpResponse("200 OK", "taken"));
    waitUntil([&] { return client->has("taken"); }, "the response");
    worker.peers.back()->close();
    waitUntil([&] { return client->has("taken"); }, "the response");
    worker.peers.back()->received.clear();
  }
}

// The beginning of a streamed body is not retained, so it cannot be sent to a second worker. The request has
// not been executed, so the client may retry it.
TEST_F(BodyStreaming, AStreamedBodyIsNotRetriedAfterAReset) {
  open();
  const auto client = sendRequest(requestHead("edit", "Content-Length: 200000\r\n"));
  for (int i = 0; i < 5; ++i) client->send(std::string(20000, 'x'));
  waitUntil([&] { return !worker.peers.empty() && worker.peers[0]->received.size() > 90000; },
            "most of the body");
  worker.peers[0]->close();
  waitUntil([&] { return client->has("\r\n\r\n"); }, "a response");
  EXPECT_TRUE(client->has("HTTP/1.1 429")) << client->received;
  EXPECT_EQ(worker.count("Req-Id"), 1u);
  for (int i = 0; i < 5; ++i) client->send(std::string(20000, 'x'));  // the remaining body is discarded
  client->send(TestRequest().text());
  waitUntil([&] { return worker.count("GET /look") == 1; }, "the next request on the connection");
}

// The default limits end a stalled body within 3 s and allow a slow client, which sends 64 bytes/ms.
// Guards against a GET with a body that is run by a worker because the body, longer than what is buffered,
// had not begun to arrive when its header was checked.
TEST_F(BodyStreaming, AGetThatStatesALongBodyIsRejected) {
  open();
  TestRequest request;
  std::string text = request.text();
  text.insert(text.size() - 2, "Content-Length: 100000\r\n");
  const auto client = connectTo(gatekeeper->address());
  client->send(text);
  waitUntil([&] { return client->has("\r\n\r\n"); }, "a response");
  EXPECT_EQ(client->received.rfind("HTTP/1.1 400", 0), 0u) << client->received;
  EXPECT_EQ(worker.count("Req-Id: "), 0u);
}

TEST_F(BodyStreaming, AStalledBodyIsTimedOut) {
  ClientServer::Limits limits;
  EXPECT_LT(limits.bodyRateGracePeriod + 500ms, 3s);
  EXPECT_GT(64 / limits.minBodyBytesPerMs, 1.5);
  open();
  const auto stalled =
      sendRequest(requestHead("edit", "Content-Length: 200000\r\n") + std::string(20000, 'x'));
  waitUntil([&] { return stalled->has("HTTP/1.1 408") && stalled->closedByPeer; },
            "a timeout response and the close");
  EXPECT_EQ(gatekeeper->requestsInFlight(), 0u);
  waitUntil([&] { return !worker.peers.empty() && worker.peers[0]->closedByPeer; }, "the end of the attempt");
}

TEST_F(BodyStreaming, AClientThatExpectsContinueReceivesIt) {
  open();
  for (const char* size : {"3", "100000"}) {
    const auto client = sendRequest(
        requestHead("edit", std::string("Expect: 100-continue\r\nContent-Length: ") + size + "\r\n"));
    waitUntil([&] { return client->has("HTTP/1.1 100"); }, "100 Continue");
    client->close();
    waitUntil([&] { return gatekeeper->requestsInFlight() == 0; }, "the end of the request");
  }
  const auto rejected =
      sendRequest("POST /nowhere HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 100000\r\n\r\n");
  waitUntil([&] { return rejected->has("HTTP/1.1 404") && rejected->closedByPeer; },
            "a rejection without 100 Continue");
  EXPECT_FALSE(rejected->has("HTTP/1.1 100"));
}

TEST_F(BodyStreaming, AcceptsATargetInAbsoluteFormAndBlankLinesBeforeARequest) {
  open();
  std::string text = TestRequest().text();
  text.insert(4, "http://backend.local");
  const auto client = sendRequest("\r\n" + text);
  waitForRequests();
  EXPECT_TRUE(worker.peers[0]->has("GET /look?client=")) << worker.peers[0]->received;
}

// A Content-Length must not allocate memory for a body that has not arrived; above the limit it is rejected.
TEST_F(BodyStreaming, AContentLengthAllocatesNothing) {
  std::string body;
  http::request_parser<WindowBody> parser;
  parser.body_limit(kMaxBodyBytes);
  beast::flat_buffer in;
  const std::string text =
      "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kMaxBodyBytes) + "\r\n\r\nx";
  asio::buffer_copy(in.prepare(text.size()), asio::buffer(text));
  in.commit(text.size());
  Error error;
  EXPECT_FALSE(parseBuffered(parser, in, error));
  EXPECT_FALSE(error);
  EXPECT_LT(parser.get().body().capacity(), 1000u);
  open();
  const auto client = sendRequest(requestHead("edit", "Content-Length: 3000000000\r\n"));
  waitUntil([&] { return client->has("HTTP/1.1 413"); }, "a rejection");
}

}  // namespace
}  // namespace wingslip::test
