// Lines on standard error at a bounded rate: those between are counted and left out.
#pragma once

#include <chrono>
#include <cstdio>
#include <string>

namespace burlwind {

class QuietLog {
 public:
  explicit QuietLog(std::string topic, std::chrono::milliseconds every = std::chrono::milliseconds(200))
      : topic_(std::move(topic)), every_(every) {}

  void say(const std::string& line) {
    const auto now = std::chrono::steady_clock::now();
    if (now < next_) return void(++unsaid_);
    std::fprintf(stderr, "burlwind: %s: %s%s\n", topic_.c_str(), line.c_str(),
                 unsaid_ > 0 ? (" (" + std::to_string(unsaid_) + " lines left out)").c_str() : "");
    unsaid_ = 0;
    next_ = now + every_;
  }

 private:
  const std::string topic_;
  const std::chrono::milliseconds every_;
  std::chrono::steady_clock::time_point next_{};
  unsigned unsaid_ = 0;
};

}  // namespace burlwind
