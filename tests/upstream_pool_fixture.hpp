/// An upstream pool with one worker, for the tests of the pool.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "loopback.hpp"

namespace wingslip::test {

/// Opens an upstream pool before one worker, and collects the attempts that end.
class UpstreamPoolFixture : public Loopback {
 protected:
  using Duration = std::chrono::steady_clock::duration;

  // Makes the pool, with `worker` in it as worker 1.
  void open(const UpstreamPool::Limits& limits) {
    pool.emplace(io, limits, std::vector<std::string>{"util", "queue"}, pressure, [this](AttemptEnd&& end) {
      EXPECT_FALSE(starting) << "told from within start";
      ends.push_back(std::move(end));
      if (const auto then = std::exchange(onEnd, nullptr)) then();
    });
    pool->setWorkerAddress(1, {worker.address()});
  }

  // Starts the first attempt of request `id` at worker 1.
  void start(decision::RequestId id, std::optional<Duration> timeout = {},
             std::function<bool()> wanted = nullptr) {
    starting = true;
    pool->startAttempt(
        id, 0, 1, plain("GET / HTTP/1.1\r\nReq-Id: " + std::to_string(id) + "\r\n\r\n", std::move(wanted)),
        timeout);
    starting = false;
  }

  // What sends these bytes unless nobody wants them when it could.
  static AttemptRequest plain(const std::string& bytes, std::function<bool()> wanted = nullptr) {
    AttemptRequest out;
    out.maxSerializedBytes = bytes.size();
    out.serialize = [bytes, wanted = std::move(wanted)]() -> std::optional<std::string> {
      if (wanted && !wanted()) return std::nullopt;
      return bytes;
    };
    return out;
  }

  // The requests that have come to the worker.
  std::size_t seen() const { return worker.count("\r\n\r\n"); }
  void untilSeen(std::size_t n) {
    until([&] { return seen() == n; }, "a request at the worker");
  }
  void untilEnds(std::size_t n) {
    until([&] { return ends.size() == n; }, "an outcome");
  }

  Listener worker{io};
  OverloadManager pressure{io, sharesOf({std::size_t{64} << 20}), OverloadState::Limits{}};
  std::vector<AttemptEnd> ends;
  std::function<void()> onEnd;  // called once, with the next attempt that ends
  std::optional<UpstreamPool> pool;
  bool starting = false;
};

}  // namespace wingslip::test
