/// The fixture of the upstream pool tests: a pool with one worker.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "loopback.hpp"

namespace wingslip::test {

/// Creates an upstream pool with one worker and records the ended attempts.
class UpstreamPoolFixture : public Loopback {
 protected:
  using Duration = std::chrono::steady_clock::duration;

  // Creates the pool and adds `worker` to it as worker 1.
  void createPool(const UpstreamPool::Limits& limits) {
    pool.emplace(io, limits, std::vector<std::string>{"util", "queue"}, overloadManager,
                 [this](AttemptEnd&& end) {
                   EXPECT_FALSE(insideStartAttempt) << "attempt end reported from within startAttempt";
                   attemptEnds.push_back(std::move(end));
                   if (const auto callback = std::exchange(onNextEnd, nullptr)) callback();
                 });
    pool->setWorkerAddress(1, {worker.address()});
  }

  // Starts the first attempt of request `id` at worker 1. The request is sent only if `wanted` is null or
  // returns true.
  void startAttempt(decision::RequestId id, std::optional<Duration> timeout = {},
                    std::function<bool()> wanted = nullptr) {
    insideStartAttempt = true;
    pool->startAttempt(
        id, 0, 1,
        bufferedRequest("GET / HTTP/1.1\r\nReq-Id: " + std::to_string(id) + "\r\n\r\n", std::move(wanted)),
        timeout);
    insideStartAttempt = false;
  }

  // A request of these bytes, which is not sent if `wanted` returns false when it is serialized.
  static AttemptRequest bufferedRequest(const std::string& bytes, std::function<bool()> wanted = nullptr) {
    AttemptRequest request;
    request.maxSerializedBytes = bytes.size();
    request.serialize = [bytes, wanted = std::move(wanted)]() -> std::optional<std::string> {
      if (wanted && !wanted()) return std::nullopt;
      return bytes;
    };
    return request;
  }

  // The number of requests that the worker has received.
  std::size_t requestsReceived() const { return worker.count("\r\n\r\n"); }
  void waitForRequests(std::size_t n) {
    waitUntil([&] { return requestsReceived() == n; }, "a request at the worker");
  }
  void waitForEnds(std::size_t n) {
    waitUntil([&] { return attemptEnds.size() == n; }, "the end of an attempt");
  }

  Listener worker{io};
  OverloadManager overloadManager{io, budgetSharesFor({std::size_t{64} << 20}), OverloadState::Limits{}};
  std::vector<AttemptEnd> attemptEnds;
  std::function<void()> onNextEnd;  // called once, when the next attempt ends
  std::optional<UpstreamPool> pool;
  bool insideStartAttempt = false;
};

}  // namespace wingslip::test
