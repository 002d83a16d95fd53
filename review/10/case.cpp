/// Case 10: a peer sends a GET of a class that is safe to repeat with a body of 100,000 bytes, head first.
/// Without the disruption it sends the same GET with no body.
#include "stage.hpp"

namespace {

using namespace stage;

constexpr int kRounds = 10;
constexpr std::size_t kBodyBytes = 100000;
constexpr double kBetweenMs = 100;  // between the head and the body

/// Sends the request and returns the status of the answer; 0: there is none within 3 s.
int sendAndRead(const Gatekeeper& gatekeeper, const Request& request) {
  const Descriptor socket = connectLoopback(gatekeeper.port());
  if (socket.number() < 0 || !sendAll(socket.number(), request.head())) return 0;
  if (!request.body.empty()) sleepMs(kBetweenMs);
  sendAll(socket.number(), request.body);
  const auto answer = MessageReader(socket.number()).next(nowMs() + 3000);
  return answer ? answer->status() : 0;
}

int play(Record& record) {
  auto& sent = *new SentIds;
  auto& workers = *new Workers(4, record, sent);
  auto& discovery = *new Discovery(workers.ports());
  Gatekeeper gatekeeper(
      record,
      smallDeployment({profile("catalog", "safe", 1500, 6000, 1), profile("wallet", "safe", 2000, 6000, 1),
                       profile("purchase", "keyed", 1200, 3000, 2)}),
      discovery);
  gatekeeper.start();
  int served = 0;
  int runImproper = 0;
  int servedImproper = 0;
  for (int round = 0; round < kRounds; ++round) {
    Request ordinary;
    ordinary.id = newId();
    sent.add(ordinary);
    const int answer = sendAndRead(gatekeeper, ordinary);
    served += answer == 200;
    record.line("client sent id=" + ordinary.id + " answer " + std::to_string(answer));
    Request other;
    other.id = newId();
    if (hasTrouble()) other.body.assign(kBodyBytes, 'b');
    sent.add(other);  // the peer sends it in this form, so the workers do not answer 400
    const int otherAnswer = sendAndRead(gatekeeper, other);
    record.line("peer sent id=" + other.id + " GET with a body of " + std::to_string(other.body.size()) +
                " bytes, answer " + std::to_string(otherAnswer));
    servedImproper += hasTrouble() && otherAnswer == 200;
    runImproper += hasTrouble() && workers.timesRun(other.id) > 0;
  }
  record.say("ordinary requests served: " + std::to_string(served) + " of " + std::to_string(kRounds) +
             "; improper requests run by a worker: " + std::to_string(runImproper) + ", answered 200: " +
             std::to_string(servedImproper) + " of " + std::to_string(hasTrouble() ? kRounds : 0));
  if (served == 0) return kCouldNotRun;
  return servedImproper > 0 ? kBroken : kHeld;
}

}  // namespace

int main() { return stage::runCase(play); }
