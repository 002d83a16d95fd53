/// Case 7: a planned restart while clients send requests with bodies at 64 kB a second. The longest deadline
/// of the settings is 1.2 s. Without the disruption there is no SIGTERM.
#include "stage.hpp"

namespace {

using namespace stage;

constexpr int kRestarts = 4;
constexpr int kClients = 12;
constexpr double kLongestDeadlineMs = 1200;
constexpr double kSigkillAfterMs = kLongestDeadlineMs + 700;  // PROTOCOL: SIGKILL comes no sooner
constexpr std::size_t kBodyBytes = 60000;                     // PROTOCOL: a body holds 64 KiB at most
constexpr double kHeadMs = 300;                               // LATER: a client may take 2 s for a head
constexpr std::size_t kPieceBytes = 3200;                     // LATER: 64 kB a second
constexpr double kPieceMs = 50;
constexpr double kFirstStartMs = 100;  // after SIGTERM; PROTOCOL: clients keep using their connections
constexpr double kLastStartMs = 470;

struct Upload {
  std::string id;
  double sentAtMs = 0;  ///< when its last byte was written; 0: it was not
  int status = 0;       ///< of the answer; 0: none
  double endAtMs = 0;   ///< when the answer or the end of the connection came
  bool ended = false;   ///< the connection ended with no answer
};

bool exchangeOne(int socket, MessageReader& reader, SentIds& sent) {
  Request request;
  request.id = newId();
  request.deadlineMs = static_cast<int>(kLongestDeadlineMs);
  sent.add(request);
  return sendAll(socket, request.text()) && reader.next(nowMs() + 3000).has_value();
}

void upload(const Gatekeeper& gatekeeper, SentIds& sent, const std::atomic<double>& signalAtMs,
            double startMs, Upload& out) {
  const Descriptor socket = connectLoopback(gatekeeper.port());
  if (socket.number() < 0) return;
  MessageReader reader(socket.number());
  if (!exchangeOne(socket.number(), reader, sent)) return;  // the connection is one that is kept
  while (signalAtMs < 0) sleepMs(1);
  sleepMs(signalAtMs + startMs - nowMs());
  Request request;
  request.id = out.id = newId();
  request.requestClass = "wallet";
  request.method = "POST";
  request.body.assign(kBodyBytes, 'b');
  request.deadlineMs = static_cast<int>(kLongestDeadlineMs);
  sent.add(request);
  const std::string head = request.head();
  bool open = sendAll(socket.number(), head.substr(0, 40));
  sleepMs(kHeadMs);
  open = open && sendAll(socket.number(), head.substr(40));
  for (std::size_t at = 0; open && at < kBodyBytes; at += kPieceBytes) {
    sleepMs(kPieceMs);
    open = sendAll(socket.number(), request.body.substr(at, kPieceBytes));
  }
  if (open) out.sentAtMs = nowMs();
  if (const auto answer = reader.next(nowMs() + 4000)) out.status = answer->status();
  out.ended = out.status == 0 && reader.ended();
  out.endAtMs = nowMs();
}

/// Plays one restart and returns the number of requests that were lost.
int restart(Record& record, Gatekeeper& gatekeeper, SentIds& sent, const Workers& workers, int& answered) {
  gatekeeper.start();
  std::atomic<double> signalAtMs = -1;
  std::vector<Upload> uploads(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    const double startMs = kFirstStartMs + (kLastStartMs - kFirstStartMs) * i / (kClients - 1);
    clients.emplace_back([&, i, startMs] { upload(gatekeeper, sent, signalAtMs, startMs, uploads[i]); });
    sleepMs(50);
  }
  sleepMs(500);
  if (hasTrouble()) gatekeeper.signal(SIGTERM);
  signalAtMs = nowMs();
  bool killed = false;
  if (hasTrouble()) killed = !gatekeeper.waitForExit(signalAtMs + kSigkillAfterMs);
  const double exitAtMs = nowMs();
  if (killed) gatekeeper.kill();
  for (std::thread& client : clients) client.join();
  if (hasTrouble())
    record.line("the gatekeeper " + std::string(killed ? "was killed" : "ended by itself") + " " +
                std::to_string(exitAtMs - signalAtMs) + " ms after SIGTERM");
  gatekeeper.recordLog("event=invariant");
  int lost = 0;
  for (const Upload& one : uploads) {
    const int runs = workers.timesRun(one.id);
    // Lost: written whole and read, for a worker has got it; the gatekeeper ended the connection by itself.
    const bool isLost = one.sentAtMs > 0 && one.ended && runs > 0 && !killed;
    lost += isLost;
    answered += one.status > 0;
    record.line("client sent id=" + one.id + " unsafe, last byte " +
                (one.sentAtMs > 0 ? std::to_string(one.sentAtMs - signalAtMs) + " ms" : "not written") +
                ", answer " + (one.status > 0 ? std::to_string(one.status) : "none") + " at " +
                std::to_string(one.endAtMs - signalAtMs) + " ms, run " + std::to_string(runs) + " times" +
                (isLost ? " LOST" : ""));
  }
  gatekeeper.kill();
  return lost;
}

int play(Record& record) {
  auto& sent = *new SentIds;
  auto& workers = *new Workers(10, record, sent);
  auto& discovery = *new Discovery(workers.ports());
  workers.serviceMs = 250;  // the site's mean work of a wallet request is 160 to 290 ms
  Gatekeeper gatekeeper(record,
                        smallDeployment({profile("catalog", "safe", 500, 1000, 1),
                                         profile("wallet", "unsafe", 600, kLongestDeadlineMs, 1),
                                         profile("purchase", "keyed", 500, 1000, 2)}),
                        discovery);
  int lost = 0;
  int answered = 0;
  for (int i = 0; i < kRestarts; ++i) lost += restart(record, gatekeeper, sent, workers, answered);
  record.say("slow uploads: " + std::to_string(kRestarts * kClients) + ", answered: " +
             std::to_string(answered) + ", run by a worker and never answered: " + std::to_string(lost));
  if (answered == 0 && lost == 0) return kCouldNotRun;
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main() { return stage::runCase(play); }
