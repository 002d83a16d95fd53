/// An operators' answer of many lines.
#pragma once

#include <cstddef>
#include <string>
#include <utility>

namespace wingslip {

/// As many lines as fit, then how many were left out, then `EOF`.
class OperatorResponse {
 public:
  static constexpr std::size_t kMaxBytes = 256 * 1024;  // 1,024 lines of the longest names

  explicit OperatorResponse(std::string firstLine) : text_(std::move(firstLine)) { text_ += '\n'; }

  void addLine(const std::string& line) {
    if (text_.size() + line.size() + 1 > kMaxBytes)
      ++omittedLines_;
    else
      text_ += line + "\n";
  }

  std::string text() const {
    const std::string omitted =
        omittedLines_ > 0 ? "... and " + std::to_string(omittedLines_) + " more\n" : std::string();
    return text_ + omitted + "EOF\n";
  }

 private:
  std::string text_;
  std::size_t omittedLines_ = 0;
};

}  // namespace wingslip
