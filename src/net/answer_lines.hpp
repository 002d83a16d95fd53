// An operators' answer of many lines: as many as fit, how many were cut, then EOF.
#pragma once

#include <cstddef>
#include <string>

namespace wingslip {

class OperatorResponse {
 public:
  static constexpr std::size_t kMost = 256 * 1024;  // bytes: 1,024 lines of the longest names

  explicit OperatorResponse(std::string first) : out_(std::move(first)) { out_ += '\n'; }
  void add(const std::string& line) {
    if (out_.size() + line.size() + 1 > kMost)
      ++cut_;
    else
      out_ += line + "\n";
  }
  std::string end() const {
    return out_ + (cut_ > 0 ? "... and " + std::to_string(cut_) + " more\n" : std::string()) + "EOF\n";
  }

 private:
  std::string out_;
  std::size_t cut_ = 0;
};

}  // namespace wingslip
