/// Fixture of the tests that run the gatekeeper program against slow workers and clients.
#pragma once

#include <algorithm>
#include <chrono>
#include <string>

#include "program_under_faults.hpp"

namespace wingslip::test {

class StagingFaults : public GatekeeperUnderFaults {
 protected:
  /// The configuration with short times: a response that may be retried is awaited for 400 ms, and keyed
  /// requests may be repeated for 700 ms.
  json stagingConfig() {
    json configuration = config();
    json& classes = configuration["settings"]["profiles"];
    for (json& requestClass : classes) {
      requestClass["aim"] = 400.0;
      requestClass["deadline"] = 3000.0;
    }
    classes[1]["aim"] = 3000.0;
    classes[1]["window"] = 700.0;
    classes[1]["dedupScope"] = "all";
    return configuration;
  }

  void runFor(std::chrono::milliseconds span) {
    const auto until = std::chrono::steady_clock::now() + span;
    while (std::chrono::steady_clock::now() < until) {
      io.restart();
      io.run_for(std::chrono::milliseconds(5));
    }
  }

  PeerPtr workerOf(Listener& listener, const std::string& id) {
    const auto find = [&]() -> PeerPtr {
      for (const PeerPtr& peer : listener.peers)
        if (peer->has(id)) return peer;
      return nullptr;
    };
    waitUntil([&] { return find() != nullptr; }, "the request at the worker");
    return find();
  }
};

}  // namespace wingslip::test
