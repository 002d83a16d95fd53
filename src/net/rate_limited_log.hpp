/// Log lines at a limited rate: those between are counted and suppressed.
#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "net/log.hpp"

namespace wingslip {

class RateLimitedLog {
 public:
  /// `event`: the name of its lines.
  explicit RateLimitedLog(std::string event,
                          std::chrono::milliseconds interval = std::chrono::milliseconds(200))
      : event_(std::move(event)), interval_(interval) {}

  /// Writes a warning, unless the last one was less than the interval ago.
  void say(const std::string& text) {
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
