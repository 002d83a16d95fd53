// What is too long to be held whole: bodies and answers passed on as they come, and the forms of HTTP.
#include "loopback.hpp"

namespace wingslip::test {
namespace {

using namespace std::chrono_literals;

class Stream : public Loopback {
 protected:
  void open() {
    node.emplace(
        io, parseConfig(configJson(discovery.text(), json::array({entry("s-1", worker.text())})).dump()));
    node->start();
  }
  PeerPtr ask(const std::string& text) {
    const auto client = dial(node->address());
    client->send(text);
    return client;
  }
  std::string head(const std::string& klass, const std::string& framing) {
    Ask what;
    what.klass = klass;
    std::string text = what.text();
    if (const auto at = text.find("Content-Length: 0\r\n"); at != std::string::npos) text.erase(at, 19);
    return text.substr(0, text.size() - 2) + framing + "\r\n";
  }
  void untilSeen(std::size_t n = 1) {
    until([&] { return worker.count("\r\n\r\n") >= n; }, "a request at the worker");
  }
  // In pieces, each sent when the other end has all before it.
  void trickle(const PeerPtr& from, const std::function<PeerPtr()>& to, std::size_t total) {
    for (std::size_t sent = 0; sent < total; sent += kPiece) {
      from->send(std::string(kPiece, static_cast<char>('a' + sent / kPiece % 26)));
      const std::size_t had = sent;
      until([&] { return to() && to()->got.size() >= had; }, "what was sent before");
    }
  }
  static constexpr std::size_t kPiece = 20000;

  Listener discovery{io}, worker{io};
  std::optional<Gatekeeper> node;
};

std::string letters(std::size_t total, std::size_t piece) {
  std::string out;
  for (std::size_t sent = 0; sent < total; sent += piece)
    out += std::string(piece, static_cast<char>('a' + sent / piece % 26));
  return out;
}

TEST_F(Stream, ALongResponseIsStreamedAndTheConnectionsAreReused) {
  open();
  const auto client = ask(Ask().text());
  untilSeen();
  worker.peers[0]->send("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\nContent-Type: a/b\r\n\r\n");
  trickle(
      worker.peers[0], [&] { return client; }, 400000);
  until([&] { return client->has(letters(400000, kPiece)); }, "the whole answer");
  EXPECT_TRUE(client->has("Content-Length: 400000\r\n"));
  EXPECT_TRUE(client->has("Content-Type: a/b\r\n"));
  until([&] { return node->requestsInFlight() == 0; }, "its end");
  client->send(Ask().text());
  untilSeen(2);
  EXPECT_EQ(worker.peers.size(), 1u);
  worker.peers[0]->send(reply("200 OK", "next"));
  until([&] { return client->has("next"); }, "the next answer");
}

TEST_F(Stream, ALongChunkedResponseWithExtensionsAndATrailerKeepsItsBody) {
  open();
  const auto client = ask(Ask().text());
  untilSeen();
  worker.peers[0]->send(
      "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 5; ++i) worker.peers[0]->send("4e20;name=\"v\"\r\n" + std::string(20000, 'x') + "\r\n");
  until([&] { return client->got.size() > 70000; }, "the beginning before the end");
  EXPECT_TRUE(client->has("Transfer-Encoding: chunked\r\n"));
  worker.peers[0]->send("0\r\nTail: z\r\n\r\n");
  until([&] { return client->has("\r\n0\r\n\r\n"); }, "the end");
  EXPECT_EQ(static_cast<std::size_t>(std::count(client->got.begin(), client->got.end(), 'x')), 100000u);
  EXPECT_FALSE(client->has("Tail"));
  EXPECT_FALSE(client->has("103"));
}

// The client can tell, and nothing is tried again: it has seen the beginning.
TEST_F(Stream, ALongResponseThatIsCutLooksCutToTheClient) {
  for (const char* framing : {"Content-Length: 400000\r\n", "Transfer-Encoding: chunked\r\n"}) {
    open();
    const auto client = ask(Ask().text());
    until([&] { return !worker.peers.empty() && worker.peers.back()->has("\r\n\r\n"); }, "a request");
    const auto peer = worker.peers.back();
    peer->send(std::string("HTTP/1.1 200 OK\r\n") + framing + "\r\n" +
               (framing[0] == 'T' ? "fffff\r\n" : ""));
    for (int i = 0; i < 6; ++i) peer->send(std::string(kPiece, 'x'));
    until([&] { return client->got.size() > 100000; }, "the beginning");
    peer->end();
    until([&] { return client->ended; }, "the cut");
    EXPECT_FALSE(client->has("\r\n0\r\n\r\n"));
    EXPECT_EQ(node->requestsInFlight(), 0u);
    EXPECT_EQ(worker.count("Req-Id"), 1u);
    node.reset();
    worker.peers.clear();
  }
}

TEST_F(Stream, ALongBodyIsStreamedInEitherFraming) {
  open();
  for (const bool chunked : {false, true}) {
    const auto client =
        ask(head("edit", chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: 200000\r\n"));
    for (int i = 0; i < 10; ++i) {
      client->send(chunked ? "4e20;a=b\r\n" + std::string(20000, 'x') + "\r\n" : std::string(20000, 'x'));
      if (i == 6) until([&] { return worker.count("Req-Id") > 0; }, "the attempt before the body's end");
    }
    if (chunked) client->send("0\r\nTail: z\r\n\r\n");
    const auto came = [&] {
      const std::string& got = worker.peers.back()->got;
      return static_cast<std::size_t>(std::count(got.begin(), got.end(), 'x'));
    };
    until([&] { return came() == 200000; }, "the whole body");
    if (chunked) until([&] { return worker.peers.back()->has("\r\n0\r\n\r\n"); }, "its end");
    worker.peers.back()->send(reply("200 OK", "taken"));
    until([&] { return client->has("taken"); }, "the answer");
    worker.peers.back()->end();
    until([&] { return client->has("taken"); }, "the answer");
    worker.peers.back()->got.clear();
  }
}

// Its beginning is gone, so no second worker can have it. It has never run: trying again is harmless.
TEST_F(Stream, ALongBodyIsNotRetriedAfterAReset) {
  open();
  const auto client = ask(head("edit", "Content-Length: 200000\r\n"));
  for (int i = 0; i < 5; ++i) client->send(std::string(20000, 'x'));
  until([&] { return !worker.peers.empty() && worker.peers[0]->got.size() > 90000; }, "most of it");
  worker.peers[0]->end();
  until([&] { return client->has("\r\n\r\n"); }, "an answer");
  EXPECT_TRUE(client->has("HTTP/1.1 429")) << client->got;
  EXPECT_EQ(worker.count("Req-Id"), 1u);
  for (int i = 0; i < 5; ++i) client->send(std::string(20000, 'x'));  // the rest is thrown away
  client->send(Ask().text());
  until([&] { return worker.count("GET /look") == 1; }, "the next request on the connection");
}

TEST_F(Stream, ABodyHasTimeAsLongAsItKeepsComing) {
  ClientServer::Limits limits;
  EXPECT_LT(limits.bodyGrace + 500ms, 3s);
  EXPECT_GT(64 / limits.minBodyBytesPerMs, 1.5);
  open();
  const auto stalled = ask(head("edit", "Content-Length: 200000\r\n") + std::string(20000, 'x'));
  until([&] { return stalled->has("HTTP/1.1 408") && stalled->ended; }, "its end");
  EXPECT_EQ(node->requestsInFlight(), 0u);
  until([&] { return !worker.peers.empty() && worker.peers[0]->ended; }, "its attempt's end");
}

TEST_F(Stream, AClientThatExpectsContinueGetsIt) {
  open();
  for (const char* size : {"3", "100000"}) {
    const auto client =
        ask(head("edit", std::string("Expect: 100-continue\r\nContent-Length: ") + size + "\r\n"));
    until([&] { return client->has("HTTP/1.1 100"); }, "100 Continue");
    client->end();
    until([&] { return node->requestsInFlight() == 0; }, "its end");
  }
  const auto refused =
      ask("POST /nowhere HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 100000\r\n\r\n");
  until([&] { return refused->has("HTTP/1.1 404") && refused->ended; }, "a refusal instead");
  EXPECT_FALSE(refused->has("HTTP/1.1 100"));
}

TEST_F(Stream, TakesATargetInAbsoluteFormAndBlankLinesBetweenRequests) {
  open();
  std::string text = Ask().text();
  text.insert(4, "http://backend.local");
  const auto client = ask("\r\n" + text);
  untilSeen();
  EXPECT_TRUE(worker.peers[0]->has("GET /look?client=")) << worker.peers[0]->got;
}

// What is stated is not what is there: a length alone allocates nothing, and past the limit it is an error.
TEST_F(Stream, AStatedLengthAllocatesNothing) {
  std::string body;
  http::request_parser<WindowBody> parser;
  parser.body_limit(kMaxBodyBytes);
  beast::flat_buffer in;
  const std::string text =
      "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kMaxBodyBytes) + "\r\n\r\nx";
  asio::buffer_copy(in.prepare(text.size()), asio::buffer(text));
  in.commit(text.size());
  Error error;
  EXPECT_FALSE(feed(parser, in, error));
  EXPECT_FALSE(error);
  EXPECT_LT(parser.get().body().capacity(), 1000u);
  open();
  const auto client = ask(head("edit", "Content-Length: 3000000000\r\n"));
  until([&] { return client->has("HTTP/1.1 413"); }, "an error");
}

}  // namespace
}  // namespace wingslip::test
