// The time of a run: what has passed since its load began, and what is due later.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace wingslip::lab {

/// Counts from its construction, and again from 0 after `restart`. Single-threaded, on the loop it is given.
class RunClock {
 public:
  explicit RunClock(boost::asio::io_context& io) : io_(io), start_(Steady::now()) {}

  /// The run's time is 0 now.
  void restart() { start_ = Steady::now(); }

  double nowMs() const;

  /// Calls `what` on the loop `seconds` after the run's start.
  void at(double seconds, std::function<void()> what);

 private:
  using Steady = std::chrono::steady_clock;

  boost::asio::io_context& io_;
  Steady::time_point start_;
};

}  // namespace wingslip::lab
