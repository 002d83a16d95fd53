/// Lines of the log at a bounded rate: those between are counted and left out.
#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "net/log.hpp"

namespace wingslip {

class RateLimitedLog {
 public:
  /// `event`: the name of its lines.
  explicit RateLimitedLog(std::string event, std::chrono::milliseconds every = std::chrono::milliseconds(200))
      : event_(std::move(event)), every_(every) {}

  void say(const std::string& text) {
    const auto now = std::chrono::steady_clock::now();
    if (now < next_) return void(++unsaid_);
    processLog().warn("event={} text=\"{}\" left_out={}", event_, text, std::exchange(unsaid_, 0));
    next_ = now + every_;
  }

 private:
  const std::string event_;
  const std::chrono::milliseconds every_;
  std::chrono::steady_clock::time_point next_{};
  unsigned unsaid_ = 0;
};

}  // namespace wingslip
