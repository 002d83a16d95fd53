/// A response to an operator that consists of several lines.
#pragma once

#include <cstddef>
#include <string>
#include <utility>

namespace wingslip {

/// Collects lines up to a total of `kMaxBytes`; the text ends with the number of omitted lines, if any, and a
/// line `EOF`.
class OperatorResponse {
 public:
  static constexpr std::size_t kMaxBytes = 256 * 1024;  // holds 1,024 lines with the longest names

  explicit OperatorResponse(std::string firstLine) : text_(std::move(firstLine)) { text_ += '\n'; }

  /// Adds a line, given without its line feed, or counts it as omitted if it does not fit.
  void addLine(const std::string& line) {
    if (text_.size() + line.size() + 1 > kMaxBytes)
      ++omittedLines_;
    else
      text_ += line + "\n";
  }

  /// @return the complete response.
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
