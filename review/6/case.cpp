/// Case 6: a peer sends a request whose Transfer-Encoding does not end in `chunked`, so that the length of
/// its body is unknown. The body holds the text of another request. Without the disruption the same peer
/// sends the same body with a Content-Length.
#include "stage.hpp"

namespace {

using namespace stage;

constexpr int kRounds = 5;

Request ordinaryRequest() {
  Request request;
  request.id = newId();
  return request;
}

Request bodyRequest(const std::string& body) {
  Request request;
  request.id = newId();
  request.requestClass = "wallet";
  request.method = "POST";
  request.body = body;
  return request;
}

/// Sends the bytes on a connection of its own and returns the status lines that come back within a second.
std::string sendAndRead(const Gatekeeper& gatekeeper, const std::string& bytes) {
  const Descriptor socket = connectLoopback(gatekeeper.port());
  if (socket.number() < 0 || !sendAll(socket.number(), bytes)) return "none";
  MessageReader reader(socket.number());
  std::string statuses;
  const double untilMs = nowMs() + 1000;
  while (const auto answer = reader.next(untilMs)) statuses += " " + std::to_string(answer->status());
  return statuses.empty() ? "none" : statuses.substr(1);
}

int play(Record& record) {
  auto& sent = *new SentIds;
  auto& workers = *new Workers(4, record, sent);
  auto& discovery = *new Discovery(workers.ports());
  Gatekeeper gatekeeper(
      record,
      smallDeployment({profile("catalog", "safe", 1500, 6000, 1), profile("wallet", "unsafe", 2000, 6000, 1),
                       profile("purchase", "keyed", 1200, 3000, 2)}),
      discovery);
  gatekeeper.start();
  int served = 0;
  std::set<std::string> textsOfBodies;  // the ids in them
  for (int round = 0; round < kRounds; ++round) {
    for (const char* coding : {"gzip", "identity", "chunked, gzip"}) {
      const Request ordinary = ordinaryRequest();
      sent.add(ordinary);
      const std::string answer = sendAndRead(gatekeeper, ordinary.text());
      record.line("client sent id=" + ordinary.id + " answers: " + answer);
      served += answer == "200";
      const Request inner = bodyRequest("");  // a text in a body: nobody sends it as a request
      textsOfBodies.insert(inner.id);
      Request outer = bodyRequest(inner.text());
      if (hasTrouble()) {
        outer.statesLength = false;
        outer.extra = std::string("Transfer-Encoding: ") + coding + "\r\n";
      } else {
        sent.add(outer);
      }
      record.line("peer sent id=" + outer.id +
                  (hasTrouble() ? " Transfer-Encoding: " + std::string(coding) : "") +
                  ", its body is the text of a request id=" + inner.id +
                  "; answers: " + sendAndRead(gatekeeper, outer.text()));
    }
  }
  int fromBodies = 0;
  int otherwiseStrange = 0;
  for (const Arrival& arrival : workers.arrivals()) {
    const bool fromBody = textsOfBodies.count(arrival.id) > 0;
    fromBodies += fromBody;
    otherwiseStrange += !fromBody && !arrival.known;
  }
  record.say("ordinary requests served: " + std::to_string(served) + " of " + std::to_string(3 * kRounds) +
             "; requests at workers that nobody sent (text of a body): " + std::to_string(fromBodies) +
             "; requests at workers without the body that was sent: " + std::to_string(otherwiseStrange));
  if (served == 0) return kCouldNotRun;
  return fromBodies > 0 ? kBroken : kHeld;
}

}  // namespace

int main() { return stage::runCase(play); }
