/// Case 1: peers stop in the middle of a request and stay.
#include <cstdio>
#include <cstdlib>

#include "platform.hpp"

namespace {

using namespace review;

constexpr int kSockets = 256;  // settings: limits.sockets, the least that the terms name
constexpr int kPeers = 160;
// The part of a chunk's line that a peer sends before it stops. The line has no end.
constexpr std::size_t kUnfinishedLineBytes = 18000;
constexpr double kPeerSpacingMs = 10;
constexpr double kPeerAnswerMs =
    3000;                     // "You owe each of them an error or a close within 3 s of connecting."
constexpr int kClients = 10;  // at each of the times at which clients come
constexpr int kDeadlineMs = 3000;
constexpr double kGraceMs = 500;  // "Up to half a second after its time it only earns nothing"
constexpr double kSlackMs = 50;   // "Each time limit is 50 ms longer."
constexpr double kSecondRoundAfterMs = 15000;
constexpr unsigned kFirstPeerNumber = 10000;

struct Counts {
  std::atomic<int> answered{0};
  std::atomic<int> closed{0};
  std::atomic<int> lost{0};
};

/// A peer's connection, on which it has sent a part of a request.
Socket connectPeer(std::uint16_t port, unsigned number) {
  Socket connection = connectToLoopback(port);
  ClientRequest request;
  request.requestClass = "purchase";
  request.id = requestId(kFirstPeerNumber + number);
  request.key = request.id + request.id;
  request.customer = customerId(kFirstPeerNumber + number);
  request.deadlineMs = kDeadlineMs;
  request.framing = "Transfer-Encoding: chunked";
  request.body = "3;note=" + std::string(kUnfinishedLineBytes, 'x');
  if (connection.isOpen()) sendAll(connection, request.text());
  return connection;
}

/// A client's request on a new connection. It is lost if it gets neither an answer nor a close; one whose
/// connection is closed unanswered has failed and is sent again by a sound client, which is left out here.
void sendRequest(std::uint16_t port, unsigned number, Record& record, Counts& counts) {
  const Socket connection = connectToLoopback(port);
  ClientRequest request;
  request.id = requestId(number);
  request.customer = customerId(number);
  request.deadlineMs = kDeadlineMs;
  const double startedMs = nowMs();
  const bool written = connection.isOpen() && sendAll(connection, request.text());
  HttpReader reader(connection);
  const auto answer = reader.read(nowMs() + kDeadlineMs + kGraceMs + kSlackMs);
  char after[64];
  std::snprintf(after, sizeof after, " %.0f ms after it was sent", nowMs() - startedMs);
  std::string result = "no answer and no close: LOST";
  if (answer) {
    ++counts.answered;
    result = "answer " + std::to_string(answer->status());
  } else if (!written || reader.ended()) {
    ++counts.closed;
    result = "its connection closed";
  } else {
    ++counts.lost;
  }
  record.add("client has to " + request.id + after + ": " + result);
}

void sendRequests(std::uint16_t port, unsigned firstNumber, Record& record, Counts& counts) {
  std::vector<std::thread> clients;
  for (unsigned i = 0; i < kClients; ++i)
    clients.emplace_back([&, i] { sendRequest(port, firstNumber + i, record, counts); });
  for (std::thread& client : clients) client.join();
}

/// The peers that have neither an answer nor a close.
int waitingPeers(const std::vector<Socket>& peers) {
  int waiting = 0;
  for (const Socket& peer : peers) {
    HttpReader reader(peer);
    waiting += !reader.read(nowMs() + 1) && !reader.ended();
  }
  return waiting;
}

}  // namespace

int main() {
  Record record(std::getenv("REVIEW_RECORD"));
  const auto handle = [&](const HttpMessage& request, Socket& connection) {
    const std::string id = request.header("req-id");
    if (id.empty()) return sendAll(connection, responseText(404, "Not Found", "", ""));
    record.add("worker runs " + id);
    return sendAll(connection, responseText(200, "OK", "", "made for " + id + "\n"));
  };
  Worker first("s-1", handle), second("s-2", handle);
  const std::vector<Instance> instances{first.instance(), second.instance()};
  Agent agent(record, "agent", 41, instances);
  Gatekeeper gatekeeper(record, std::getenv("REVIEW_FOLDER"), agent.port(), settingsJson(), kSockets);
  gatekeeper.start(instances, 41);
  if (!gatekeeper.waitUntilReady()) cannotRun(record, "the gatekeeper is not ready");

  Counts before, after;
  sendRequests(gatekeeper.port(), 0, record, before);
  std::vector<Socket> peers;
  for (unsigned i = 0; troubleIsOn() && i < kPeers; ++i) {
    peers.push_back(connectPeer(gatekeeper.port(), i));
    sleepMs(kPeerSpacingMs);
  }
  record.add(std::to_string(peers.size()) + " peers have sent a part of a request and stay");
  sleepMs(kPeerAnswerMs + kSlackMs);
  record.add("peers with neither an error nor a close 3 s later: " + std::to_string(waitingPeers(peers)));
  sendRequests(gatekeeper.port(), 100, record, after);
  sleepMs(kSecondRoundAfterMs);
  record.add("peers with neither an error nor a close: " + std::to_string(waitingPeers(peers)));
  sendRequests(gatekeeper.port(), 200, record, after);

  gatekeeper.stop(0);
  record.add("clients' requests before the peers came: answered " + std::to_string(before.answered));
  record.add("clients' requests after that: answered " + std::to_string(after.answered) +
             ", closed unanswered " + std::to_string(after.closed) + ", lost " + std::to_string(after.lost));
  if (before.answered < kClients) cannotRun(record, "not all requests were answered before the peers came");
  record.add(after.lost > 0 ? "RULE BROKEN" : "rule held");
  return after.lost > 0 ? 1 : 0;
}
