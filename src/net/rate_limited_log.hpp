/// Warnings at a limited rate: lines above the rate are suppressed and counted.
#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "net/log.hpp"

namespace wingslip {

/// Logs the warnings of one event. Used from one thread only.
class RateLimitedLog {
 public:
  /// @param event value of the key `event` in each line
  /// @param interval minimum time between two lines
  explicit RateLimitedLog(std::string event,
                          std::chrono::milliseconds interval = std::chrono::milliseconds(200))
      : event_(std::move(event)), interval_(interval) {}

  /// Logs a warning with the number of lines suppressed since the last one, or suppresses it if the last
  /// warning was logged less than the interval ago.
  void warn(const std::string& text) {
    const auto now = std::chrono::steady_clock::now();
    if (now < nextLineAt_) return void(++suppressed_);
    processLog().warn("event={} text=\"{}\" left_out={}", event_, text, std::exchange(suppressed_, 0));
    nextLineAt_ = now + interval_;
  }

 private:
  const std::string event_;
  const std::chrono::milliseconds interval_;
  std::chrono::steady_clock::time_point nextLineAt_{};
  unsigned suppressed_ = 0;
};

}  // namespace wingslip
