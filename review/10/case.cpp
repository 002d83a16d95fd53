/// Case 10: a planned restart while clients have sent several requests at once. Without the disruption there
/// is no SIGTERM.
#include "stage.hpp"

namespace {

using namespace stage;

constexpr int kRestarts = 3;
constexpr int kClients = 8;
constexpr int kAtOnce = 4;
constexpr int kDeadlineMs = 3000;
constexpr double kServiceMs = 250;  // the site's mean work of a wallet request: 160 to 290 ms
constexpr double kSigkillAfterMs = kDeadlineMs + 700;  // PROTOCOL: SIGKILL comes no sooner
constexpr double kSignalAfterMs = 100;                 // after the requests have been sent

struct Sequence {
  std::vector<Request> requests;
  std::vector<int> statuses;  ///< of the answers that came
  double sentAtMs = 0;
  double endAtMs = 0;
  bool ended = false;  ///< the gatekeeper ended the connection before all were answered
};

/// All requests go in one write of under 2 KB, so that the gatekeeper gets them with one read.
void sendAtOnce(const Gatekeeper& gatekeeper, SentIds& sent, Sequence& out) {
  const Descriptor socket = connectLoopback(gatekeeper.port());
  if (socket.number() < 0) return;
  std::string text;
  for (int i = 0; i < kAtOnce; ++i) {
    Request request;
    request.id = newId();
    request.requestClass = "wallet";
    request.method = "POST";
    request.deadlineMs = kDeadlineMs;
    sent.add(request);
    text += request.text();
    out.requests.push_back(request);
  }
  out.sentAtMs = nowMs();
  if (!sendAll(socket.number(), text)) return;
  MessageReader reader(socket.number());
  while (static_cast<int>(out.statuses.size()) < kAtOnce) {
    const auto answer = reader.next(out.sentAtMs + kDeadlineMs + 500);
    if (!answer) break;
    out.statuses.push_back(answer->status());
  }
  out.ended = reader.ended();
  out.endAtMs = nowMs();
}

/// Plays one restart; adds what was answered and lost.
void restart(Record& record, Gatekeeper& gatekeeper, SentIds& sent, int& answered, int& lost) {
  gatekeeper.start();
  std::vector<Sequence> sequences(kClients);
  std::vector<std::thread> clients;
  for (Sequence& one : sequences) clients.emplace_back([&] { sendAtOnce(gatekeeper, sent, one); });
  sleepMs(kSignalAfterMs);
  const double signalAtMs = nowMs();
  if (hasTrouble()) gatekeeper.signal(SIGTERM);
  const bool endedItself = hasTrouble() && gatekeeper.waitForExit(signalAtMs + kSigkillAfterMs);
  const double exitAtMs = nowMs();
  for (std::thread& one : clients) one.join();
  if (hasTrouble())
    record.line("the gatekeeper " + std::string(endedItself ? "ended by itself " : "still ran ") +
                std::to_string(exitAtMs - signalAtMs) + " ms after SIGTERM");
  for (const Sequence& one : sequences) {
    for (std::size_t i = 0; i < one.requests.size(); ++i) {
      const bool isAnswered = i < one.statuses.size();
      // Lost: read with the first, which was answered; the gatekeeper ended the connection with no answer.
      const bool isLost = !isAnswered && !one.statuses.empty() && one.ended;
      answered += isAnswered;
      lost += isLost;
      record.line("client sent id=" + one.requests[i].id + " (" + std::to_string(i + 1) + " of " +
                  std::to_string(kAtOnce) + ") " + std::to_string(signalAtMs - one.sentAtMs) +
                  " ms before the signal, answer " + (isAnswered ? std::to_string(one.statuses[i]) : "none") +
                  ", connection over at " + std::to_string(one.endAtMs - signalAtMs) + " ms" +
                  (isLost ? " LOST" : ""));
    }
  }
  gatekeeper.kill();
}

int play(Record& record) {
  auto& sent = *new SentIds;
  auto& workers = *new Workers(10, record, sent);
  auto& discovery = *new Discovery(workers.ports());
  workers.serviceMs = kServiceMs;
  Gatekeeper gatekeeper(
      record,
      smallDeployment({profile("catalog", "safe", 1500, 6000, 1), profile("wallet", "unsafe", 2000, 6000, 1),
                       profile("purchase", "keyed", 1200, 3000, 2)}),
      discovery);
  int answered = 0;
  int lost = 0;
  for (int i = 0; i < kRestarts; ++i) restart(record, gatekeeper, sent, answered, lost);
  record.say("requests: " + std::to_string(kRestarts * kClients * kAtOnce) + ", answered: " +
             std::to_string(answered) + ", read and never answered: " + std::to_string(lost));
  if (answered == 0) return kCouldNotRun;
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main() { return stage::runCase(play); }
