/// Splits a byte stream into JSON objects. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace wingslip {

/// Finds objects by their braces, so that an object may stand on one line or, indented, on several. Between
/// objects there is white space only; an empty line there is a heartbeat. The caller owns the buffer of
/// bytes.
class JsonObjectFramer {
 public:
  /// The next complete object of `buffer`, which holds the stream's bytes since the last `takeConsumed`;
  /// nothing while it is not complete.
  /// @throws EndpointListError where something else than an object begins.
  std::optional<std::string_view> next(std::string_view buffer);
  /// Line ends between objects since the last call.
  std::size_t takeHeartbeats();
  /// How many bytes at the front of the buffer are read; the caller removes them.
  std::size_t takeConsumed();
  /// Starts with a new stream.
  void reset() { *this = {}; }

 private:
  void scanBetweenObjects(char character);
  /// True: the object's closing brace.
  bool scanInObject(char character);

  std::size_t position_ = 0;
  std::size_t objectStart_ = 0;
  std::size_t consumed_ = 0;
  std::size_t heartbeats_ = 0;
  unsigned depth_ = 0;  // open braces; 0: between objects
  bool inString_ = false;
  bool escaped_ = false;  // the next character of a string stands for itself
};

}  // namespace wingslip
