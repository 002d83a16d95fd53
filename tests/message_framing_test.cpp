// The framing of requests and responses: a message whose header does not state in one way where its body ends
// is turned down, and no byte of it is taken for another message.
#include <string>
#include <vector>

#include "gatekeeper/upstream_response.hpp"
#include "overload_fixture.hpp"

namespace wingslip::test {
namespace {

constexpr const char* kOuterId = "00000000000000c1";
constexpr const char* kInnerId = "00000000000000c2";

/// Header lines that frame a body, and the HTTP version of the message that has them.
struct Framing {
  const char* name;
  const char* lines;  ///< `LENGTH` stands for the length of the body
  const char* version = "1.1";
};

std::ostream& operator<<(std::ostream& out, const Framing& framing) { return out << framing.name; }

std::string withLength(std::string lines, std::size_t length) {
  for (auto at = lines.find("LENGTH"); at != std::string::npos; at = lines.find("LENGTH"))
    lines.replace(at, 6, std::to_string(length));
  return lines;
}

std::string testName(const ::testing::TestParamInfo<Framing>& tested) { return tested.param.name; }

const std::vector<Framing> kUnclearFramings{
    {"UnknownCoding", "Transfer-Encoding: gzip\r\n"},
    {"Identity", "Transfer-Encoding: identity\r\n"},
    {"ChunkedNotLast", "Transfer-Encoding: chunked, gzip\r\n"},
    {"ChunkedBehindUnknown", "Transfer-Encoding: gzip, chunked\r\n"},
    {"ChunkedTwiceInAList", "Transfer-Encoding: chunked, chunked\r\n"},
    {"ChunkedTwice", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"},
    {"ChunkedAndIdentity", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"},
    {"IdentityAndChunked", "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n"},
    {"ChunkedWithParameter", "Transfer-Encoding: chunked;level=1\r\n"},
    {"EmptyCoding", "Transfer-Encoding:\r\n"},
    {"EmptyElementFirst", "Transfer-Encoding: ,chunked\r\n"},
    {"EmptyElementLast", "Transfer-Encoding: chunked,\r\n"},
    {"Quoted", "Transfer-Encoding: \"chunked\"\r\n"},
    {"TwoWords", "Transfer-Encoding: x chunked\r\n"},
    {"ControlByte",
     "Transfer-Encoding: \x0b"
     "chunked\r\n"},
    {"SpaceBeforeColon", "Transfer-Encoding : chunked\r\n"},
    {"FoldedList", "Transfer-Encoding: chunked\r\n , gzip\r\n"},
    {"UnknownCodingAndLength", "Transfer-Encoding: gzip\r\nContent-Length: LENGTH\r\n"},
    {"LengthAndIdentity", "Content-Length: LENGTH\r\nTransfer-Encoding: identity\r\n"},
    {"EmptyCodingAndLength", "Transfer-Encoding:\r\nContent-Length: LENGTH\r\n"},
    {"ChunkedAndLength", "Transfer-Encoding: chunked\r\nContent-Length: LENGTH\r\n"},
    {"LengthAndChunked", "Content-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n"},
    {"TwoLengths", "Content-Length: LENGTH\r\nContent-Length: 3\r\n"},
    {"LengthList", "Content-Length: LENGTH, 3\r\n"},
    {"SignedLength", "Content-Length: +LENGTH\r\n"},
    {"NegativeLength", "Content-Length: -1\r\n"},
    {"HexadecimalLength", "Content-Length: 0x10\r\n"},
    {"LengthOfTwoWords", "Content-Length: 1 0\r\n"},
    {"EmptyLength", "Content-Length:\r\n"},
    {"LengthBeyond64Bits", "Content-Length: 99999999999999999999\r\n"},
    {"SpaceBeforeColonOfLength", "Content-Length : LENGTH\r\n"},
    {"ChunkedInHttp10", "Transfer-Encoding: chunked\r\n", "1.0"},
    {"UnknownCodingInHttp10", "Transfer-Encoding: gzip\r\n", "1.0"},
    {"UnknownCodingAndLengthInHttp10", "Transfer-Encoding: gzip\r\nContent-Length: LENGTH\r\n", "1.0"},
};

class UnclearRequestFraming : public OverloadFixture, public ::testing::WithParamInterface<Framing> {
 protected:
  void SetUp() override {
    json config = configuration();
    config["limits"]["memory_mb"] = 64;
    startGatekeeper(config);
  }
  /// A request with the framing of the parameter.
  static std::string headOf(std::size_t bodyBytes) {
    TestRequest request;
    request.requestClass = "order";
    request.id = kOuterId;
    request.extra = withLength(GetParam().lines, bodyBytes);
    std::string text = request.text();
    text.erase(text.find("Content-Length: 0\r\n", text.size() - 23), 19);
    text.replace(text.find("HTTP/1.1"), 8, std::string("HTTP/") + GetParam().version);
    return text;
  }
  /// The text of a whole request, in a chunk where the framing names `chunked` at all.
  static std::string bodyOf() {
    TestRequest inner;
    inner.requestClass = "order";
    inner.id = kInnerId;
    if (std::string(GetParam().lines).find("hunked") == std::string::npos) return inner.text();
    std::string chunk;
    appendChunk(chunk, inner.text(), true);
    return chunk;
  }
  void expectRejection(const PeerPtr& peer) {
    waitUntil([&] { return peer->closedByPeer; }, "the end of the connection");
    EXPECT_EQ(peer->received.rfind("HTTP/1.1 400", 0), 0u) << peer->received;
    EXPECT_EQ(peer->count("HTTP/1.1 "), 1u) << peer->received;
    EXPECT_EQ(worker.count("Req-Id: "), 0u) << "a worker got a request";
  }
};

// Guards against the text of a body that reaches a worker as a request that nobody sent, because the header
// leaves open where the body ends.
TEST_P(UnclearRequestFraming, IsRejectedAndItsBodyIsNoRequest) {
  expectRejection(sendRequest(headOf(bodyOf().size()) + bodyOf()));
}

// Guards against the same where the body arrives after the header has been read.
TEST_P(UnclearRequestFraming, IsRejectedAtItsHeader) {
  const auto peer = sendRequest(headOf(bodyOf().size()));
  waitUntil([&] { return peer->has("\r\n\r\n"); }, "the rejection");
  peer->send(bodyOf());
  expectRejection(peer);
}

// Guards against the same on the readiness path, which is answered without a look at the other header fields.
TEST_P(UnclearRequestFraming, IsRejectedOnTheReadinessPath) {
  std::string head = headOf(bodyOf().size());
  head.replace(0, head.find(" HTTP/"), "GET /health/ready");
  expectRejection(sendRequest(head + bodyOf()));
}

INSTANTIATE_TEST_SUITE_P(Forms, UnclearRequestFraming, ::testing::ValuesIn(kUnclearFramings), testName);

class UnclearResponseFraming : public ::testing::TestWithParam<Framing> {};

UpstreamResponse::State parseAll(const std::string& text) {
  UpstreamResponse response;
  response.reset();
  const auto buffer = response.prepare(text.size());
  asio::buffer_copy(buffer, asio::buffer(text));
  response.commit(text.size());
  const auto state = response.parse({true, false});
  if (state != UpstreamResponse::State::incomplete) return state;
  return response.finishAtClose() ? UpstreamResponse::State::complete : state;
}

// Guards against a response whose header leaves open where its body ends, or how it is coded, and that is
// passed on as the worker's answer.
TEST_P(UnclearResponseFraming, IsMalformed) {
  const std::string body =
      std::string(GetParam().lines).find("hunked") == std::string::npos ? "hello" : "5\r\nhello\r\n0\r\n\r\n";
  EXPECT_EQ(parseAll(std::string("HTTP/") + GetParam().version + " 200 OK\r\n" +
                     withLength(GetParam().lines, body.size()) + "\r\n" + body),
            UpstreamResponse::State::malformed);
}

INSTANTIATE_TEST_SUITE_P(Forms, UnclearResponseFraming, ::testing::ValuesIn(kUnclearFramings), testName);

const std::vector<Framing> kClearFramings{
    {"Chunked", "Transfer-Encoding: chunked\r\n"},
    {"ChunkedInOtherCase", "transfer-encoding: CHUNKED\r\n"},
    {"ChunkedWithSpaces", "Transfer-Encoding: \t chunked \t \r\n"},
    {"Length", "Content-Length: 5\r\n"},
    {"LengthWithZeros", "Content-Length: 0005\r\n"},
    {"LengthInHttp10", "Content-Length: 5\r\n", "1.0"},
};

class ClearFraming : public OverloadFixture, public ::testing::WithParamInterface<Framing> {
 protected:
  static std::string bodyOf() {
    const bool isChunked = std::string(GetParam().lines).find("ength") == std::string::npos;
    return isChunked ? "5\r\nhello\r\n0\r\n\r\n" : "hello";
  }
};

// Guards against a check of the framing that turns down what HTTP defines.
TEST_P(ClearFraming, IsServed) {
  startGatekeeper();
  TestRequest request;
  request.requestClass = "order";
  request.id = kOuterId;
  request.extra = GetParam().lines;
  std::string text = request.text();
  text.erase(text.find("Content-Length: 0\r\n", text.size() - 23), 19);
  text.replace(text.find("HTTP/1.1"), 8, std::string("HTTP/") + GetParam().version);
  const auto client = sendRequest(text + bodyOf());
  const auto workerPeer = workerConnection(kOuterId);
  waitUntil([&] { return workerPeer->has("hello"); }, "the body at the worker");
  EXPECT_TRUE(workerPeer->has("Content-Length: 5\r\n")) << workerPeer->received;
  EXPECT_FALSE(workerPeer->has("Transfer-Encoding")) << workerPeer->received;
  workerPeer->send(std::string("HTTP/") + GetParam().version + " 200 OK\r\n" + GetParam().lines + "\r\n" +
                   bodyOf());
  waitUntil([&] { return client->has("hello"); }, "the response");
  EXPECT_EQ(client->received.rfind("HTTP/1.1 200", 0), 0u) << client->received;
}

INSTANTIATE_TEST_SUITE_P(Forms, ClearFraming, ::testing::ValuesIn(kClearFramings), testName);

}  // namespace
}  // namespace wingslip::test
