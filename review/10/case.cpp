/// Case 10: workers begin some answers and never end them. Without the disruption they end them.
#include "stage.hpp"

namespace {

using namespace stage;

constexpr int kRequests = 8;
constexpr int kDeadlineMs = 1000;
constexpr double kGraceMs = 500 + 50;  // STANDING: half a second; PROTOCOL: each limit is 50 ms longer
constexpr double kMaxWaitMs = 15000;   // of a client here
constexpr std::size_t kBytes = 20000;  // far from the 64 KiB from which the first bytes are timed

struct Exchange {
  Request request;
  double startMs = 0;
  double firstMs = -1;  ///< first byte of the answer, counted from the request's last byte
  double endMs = -1;    ///< end of the answer, or of the connection; negative: none within kMaxWaitMs
  std::string answer;
};

void request(const Gatekeeper& gatekeeper, Exchange& out) {
  const Descriptor socket = connectLoopback(gatekeeper.port());
  if (socket.number() < 0 || !sendAll(socket.number(), out.request.text())) return;
  out.startMs = nowMs();
  const double untilMs = out.startMs + kMaxWaitMs;
  for (int result = 1; result > 0;) {
    result = receive(socket.number(), out.answer, untilMs - nowMs());
    if (result > 0 && out.firstMs < 0) out.firstMs = nowMs() - out.startMs;
    const std::size_t headEnd = out.answer.find("\r\n\r\n");
    if (headEnd == std::string::npos && result > 0) continue;
    const auto length = out.answer.find("Content-Length: ");
    const std::size_t bytes =
        length < headEnd ? std::strtoull(out.answer.c_str() + length + 16, nullptr, 10) : std::string::npos;
    const bool whole = bytes != std::string::npos && out.answer.size() >= headEnd + 4 + bytes;
    if (result == 0 || whole) out.endMs = nowMs() - out.startMs;
    if (whole) return;
  }
}

int play(Record& record) {
  auto& sent = *new SentIds;
  auto& workers = *new Workers(4, record, sent);
  auto& discovery = *new Discovery(workers.ports());
  Gatekeeper gatekeeper(record,
                        smallDeployment({profile("catalog", "safe", 500, kDeadlineMs, 1),
                                         profile("wallet", "unsafe", 600, kDeadlineMs, 1),
                                         profile("purchase", "keyed", 500, kDeadlineMs, 2)}),
                        discovery);
  gatekeeper.start();
  std::vector<Exchange> exchanges(kRequests);
  std::vector<std::thread> clients;
  for (Exchange& one : exchanges) {
    one.request.id = newId();
    one.request.requestClass = "wallet";
    one.request.method = "POST";
    one.request.deadlineMs = kDeadlineMs;
    sent.add(one.request);
    workers.answerLong(one.request.id, {kBytes, kBytes / 2, 50, true, hasTrouble()});
    clients.emplace_back([&] { request(gatekeeper, one); });
    sleepMs(100);
  }
  for (std::thread& one : clients) one.join();
  int inTime = 0;
  int lost = 0;
  for (const Exchange& one : exchanges) {
    const bool isLost = one.endMs < 0 || one.endMs > kDeadlineMs + kGraceMs;
    lost += isLost;
    inTime += !isLost;
    record.line("client sent id=" + one.request.id + " deadline_ms=" + std::to_string(kDeadlineMs) +
                ", first byte of the answer after " + std::to_string(one.firstMs) + " ms, end after " +
                (one.endMs < 0 ? "more than " + std::to_string(kMaxWaitMs) : std::to_string(one.endMs)) +
                " ms, " + std::to_string(one.answer.size()) + " bytes \"" +
                one.answer.substr(0, one.answer.find("\r\n")) + "\"" + (isLost ? " LOST" : ""));
  }
  record.say("requests: " + std::to_string(kRequests) +
             ", with a final answer in time: " + std::to_string(inTime) +
             ", later than their time and 0.55 s, or never: " + std::to_string(lost));
  if (!hasTrouble() && inTime == 0) return kCouldNotRun;
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main() { return stage::runCase(play); }
