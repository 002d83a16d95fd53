/// The clock and the timers of a run.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace wingslip::lab {

/// Measures the time since construction or the last `restart`. Timers run on the given loop, which must
/// outlive the clock; not thread-safe.
class RunClock {
 public:
  explicit RunClock(boost::asio::io_context& io) : io_(io), start_(Steady::now()) {}

  /// Resets the time to 0. Pending timers keep their due time.
  void restart() { start_ = Steady::now(); }

  /// Milliseconds since the start of the run.
  double nowMs() const;

  /// Calls `callback` on the loop `seconds` after the start of the run.
  void at(double seconds, std::function<void()> callback);

 private:
  using Steady = std::chrono::steady_clock;

  boost::asio::io_context& io_;
  Steady::time_point start_;
};

}  // namespace wingslip::lab
