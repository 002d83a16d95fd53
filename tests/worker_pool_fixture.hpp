// A worker pool with one worker, for the tests of the pool.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "loopback.hpp"

namespace burlwind::test {

class WorkerPoolFixture : public Loopback {
 protected:
  using Duration = std::chrono::steady_clock::duration;

  // Makes the pool, and places `worker` in it as worker 1.
  void open(const WorkerPool::Limits& limits) {
    pool.emplace(io, limits, std::vector<std::string>{"util", "queue"}, pressure, [this](AttemptEnd&& end) {
      EXPECT_FALSE(starting) << "told from within start";
      ends.push_back(std::move(end));
      if (const auto then = std::exchange(onEnd, nullptr)) then();
    });
    pool->place(1, {worker.address()});
  }

  // Starts the first attempt of request `id` at worker 1.
  void start(irisring::RequestId id, std::optional<Duration> timeout = {},
             std::function<bool()> wanted = nullptr) {
    AttemptBytes bytes;
    bytes.bytes = "GET / HTTP/1.1\r\nReq-Id: " + std::to_string(id) + "\r\n\r\n";
    bytes.wanted = std::move(wanted);
    starting = true;
    pool->start(id, 0, 1, std::move(bytes), timeout);
    starting = false;
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
  BackPressure pressure{io, sharesOf({std::size_t{64} << 20}), Pressure::Limits{}};
  std::vector<AttemptEnd> ends;
  std::function<void()> onEnd;  // called once, with the next attempt that ends
  std::optional<WorkerPool> pool;
  bool starting = false;
};

}  // namespace burlwind::test
