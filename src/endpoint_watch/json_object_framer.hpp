/// Splits a byte stream into JSON objects. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace wingslip {

/// Finds objects by their braces, so that an object may be on a single line or, indented, on several lines.
/// Only white space is allowed between objects; an empty line there is a heartbeat. The caller owns the
/// buffer.
class JsonObjectFramer {
 public:
  /// Returns the next complete object of `buffer`, or nullopt if it is incomplete.
  /// @param buffer all bytes of the stream except those that `takeConsumed` reported
  /// @throws EndpointListError on a character other than white space or '{' between objects
  std::optional<std::string_view> next(std::string_view buffer);
  /// Number of line ends between objects since the last call.
  std::size_t takeHeartbeats();
  /// Number of bytes at the front of the buffer that are consumed; the caller removes them.
  std::size_t takeConsumed();
  /// Starts over with a new stream.
  void reset() { *this = {}; }

 private:
  void scanBetweenObjects(char character);
  /// Returns true if the character is the closing brace of the object.
  bool scanInObject(char character);

  std::size_t position_ = 0;
  std::size_t objectStart_ = 0;
  std::size_t consumed_ = 0;
  std::size_t heartbeats_ = 0;
  unsigned depth_ = 0;  // number of open braces; 0: between objects
  bool inString_ = false;
  bool escaped_ = false;  // the next character of a string follows a backslash
};

}  // namespace wingslip
