// A gatekeeper with a small memory budget, its worker and its discovery agent on loopback.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "loopback.hpp"

namespace wingslip::test {

constexpr std::size_t kMiB = std::size_t{1} << 20;

class OverloadFixture : public Loopback {
 protected:
  json file() {
    json workers = json::array();
    for (int i = 1; i <= 20; ++i) workers.push_back(entry("s-" + std::to_string(i), worker.text()));
    json out = configJson(discovery.text(), workers);
    out["ops"] = "127.0.0.1:0";
    out["limits"]["memory_mb"] = 14;  // a budget of 1.5 MiB
    out["limits"]["sockets"] = 1024;
    return out;
  }
  void startGatekeeper(const json& config) {
    node.emplace(io, parseConfig(config.dump()));
    overflowBytes = memory().used(Account::clients);
    node->start();
  }
  void startGatekeeper() { startGatekeeper(file()); }
  PeerPtr sendRequest(const std::string& text) {
    const auto client = dial(node->address());
    client->send(text);
    return client;
  }
  PeerPtr sendSmall(const std::string& id) {
    Ask what;
    what.id = id;
    return sendRequest(what.text());
  }
  std::string longRequestHead(std::size_t length, const std::string& id = "00000000000000b1") {
    Ask what;
    what.klass = "edit";
    what.id = id;
    std::string text = what.text();
    text.erase(text.find("Content-Length: 0\r\n"), 19);
    return text.substr(0, text.size() - 2) + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
  }
  // The worker's end of the connection with this request.
  PeerPtr workerConnection(const std::string& id) {
    PeerPtr found;
    until(
        [&] {
          for (const auto& peer : worker.peers)
            if (peer->has("Req-Id: " + id)) found = peer;
          return found != nullptr;
        },
        "a request at the worker");
    return found;
  }
  std::string operatorCall(const std::string& line) {
    const auto caller = dial(node->opsAddress());
    caller->send(line + "\n");
    until([&] { return caller->ended; }, "the end of an operator's answer");
    return caller->got;
  }
  MemoryBudget& memory() { return node->pressure().memory(); }
  std::size_t waiting(WaitQueue queue) { return node->pressure().waitQueues().waiting(queue); }
  std::uint64_t rejections(WaitQueue queue) {
    return node->pressure().waitQueues().figures(queue, OverloadManager::now()).rejections;
  }
  // Uses what is left of the budget but for `rest` bytes, as other clients would.
  void fillMemory(std::size_t rest, bool permanent = false) {
    otherClients = memory().open(Account::clients);
    ASSERT_TRUE(otherClients.resize(memory().available(Account::clients) - rest));
    if (permanent) otherClients.markPermanent();
  }
  void runFor(std::chrono::milliseconds span) {
    io.restart();
    io.run_for(span);
  }

  Listener discovery{io}, worker{io};
  std::optional<Gatekeeper> node;
  MemoryBudget::Charge otherClients;
  std::size_t overflowBytes = 0;  // reserved for overflow connections
  void TearDown() override { otherClients.release(); }
};

}  // namespace wingslip::test
