// Test fixture: a gatekeeper with a small memory budget, a worker and a discovery agent on loopback.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "loopback.hpp"

namespace wingslip::test {

constexpr std::size_t kMiB = std::size_t{1} << 20;

class OverloadFixture : public Loopback {
 protected:
  json configuration() {
    json workers = json::array();
    for (int i = 1; i <= 20; ++i)
      workers.push_back(endpointEntryJson("s-" + std::to_string(i), worker.addressText()));
    json out = configJson(discovery.addressText(), workers);
    out["ops"] = "127.0.0.1:0";
    out["limits"]["memory_mb"] = 14;  // a budget of 1.5 MiB
    out["limits"]["sockets"] = 1024;
    return out;
  }
  void startGatekeeper(const json& config) {
    gatekeeper.emplace(io, parseConfig(config.dump()));
    overflowConnectionBytes = memory().used(Account::clients);
    gatekeeper->start();
  }
  void startGatekeeper() { startGatekeeper(configuration()); }
  /// Answers the gatekeeper's watch with an empty change of its list, after which it serves.
  void waitUntilServing() {
    waitUntil([&] { return discovery.count("\r\n\r\n") == 1; }, "a watch");
    discovery.peers[0]->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string chunk;
    appendChunk(chunk, endpointListJson(1, false, json::array()) + "\n", false);
    discovery.peers[0]->send(chunk);
    waitUntil([&] { return gatekeeper->ready(); }, "readiness");
  }
  PeerPtr sendRequest(const std::string& text) {
    const auto client = connectTo(gatekeeper->address());
    client->send(text);
    return client;
  }
  PeerPtr sendSmallRequest(const std::string& id) {
    TestRequest request;
    request.id = id;
    return sendRequest(request.text());
  }
  std::string longRequestHeader(std::size_t length, const std::string& id = "00000000000000b1") {
    TestRequest request;
    request.requestClass = "edit";
    request.id = id;
    std::string text = request.text();
    text.erase(text.find("Content-Length: 0\r\n"), 19);
    return text.substr(0, text.size() - 2) + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
  }
  // Returns the worker's end of the connection that has received the request with this id.
  PeerPtr workerConnection(const std::string& id) {
    PeerPtr connection;
    waitUntil(
        [&] {
          for (const auto& peer : worker.peers)
            if (peer->has("Req-Id: " + id)) connection = peer;
          return connection != nullptr;
        },
        "the request at the worker");
    return connection;
  }
  std::string operatorCall(const std::string& line) {
    const auto caller = connectTo(gatekeeper->opsAddress());
    caller->send(line + "\n");
    waitUntil([&] { return caller->closedByPeer; }, "the end of the response to an operator");
    return caller->received;
  }
  MemoryBudget& memory() { return gatekeeper->overloadManager().memory(); }
  std::size_t waiting(WaitQueue queue) { return gatekeeper->overloadManager().waitQueues().waiting(queue); }
  std::uint64_t rejections(WaitQueue queue) {
    return gatekeeper->overloadManager().waitQueues().statistics(queue, OverloadManager::now()).rejections;
  }
  // Charges the available memory of the clients' account except `remainingBytes`, as other clients would.
  void fillMemory(std::size_t remainingBytes, bool permanent = false) {
    otherClientsCharge = memory().open(Account::clients);
    ASSERT_TRUE(otherClientsCharge.resize(memory().available(Account::clients) - remainingBytes));
    if (permanent) otherClientsCharge.markPermanent();
  }
  void runFor(std::chrono::milliseconds duration) {
    io.restart();
    io.run_for(duration);
  }

  Listener discovery{io}, worker{io};
  std::optional<Gatekeeper> gatekeeper;
  MemoryBudget::Charge otherClientsCharge;
  std::size_t overflowConnectionBytes = 0;  // charged for overflow connections at the start
  void TearDown() override { otherClientsCharge.release(); }
};

}  // namespace wingslip::test
