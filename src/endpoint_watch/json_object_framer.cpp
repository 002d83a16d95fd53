// Implementation of the framing of JSON objects.
#include "endpoint_watch/json_object_framer.hpp"

#include <algorithm>
#include <utility>

#include "endpoint_watch/endpoint_list.hpp"

namespace wingslip {

std::optional<std::string_view> JsonObjectFramer::next(std::string_view buffer) {
  for (; position_ < buffer.size(); ++position_) {
    const char character = buffer[position_];
    if (depth_ == 0) {
      scanBetweenObjects(character);
    } else if (scanInObject(character)) {
      consumed_ = ++position_;
      return buffer.substr(objectStart_, consumed_ - objectStart_);
    }
  }
  return std::nullopt;
}

void JsonObjectFramer::scanBetweenObjects(char character) {
  if (character == '\n') ++heartbeats_;
  if (character == '{') {
    objectStart_ = position_;
    depth_ = 1;
  } else if (character == ' ' || character == '\t' || character == '\r' || character == '\n') {
    consumed_ = position_ + 1;
  } else {
    throw EndpointListError("list: a character other than white space or '{' between objects");
  }
}

bool JsonObjectFramer::scanInObject(char character) {
  if (escaped_) {
    escaped_ = false;
  } else if (inString_) {
    escaped_ = character == '\\';
    inString_ = character != '"';
  } else if (character == '"') {
    inString_ = true;
  } else if (character == '{') {
    ++depth_;
  } else if (character == '}') {
    --depth_;
    return depth_ == 0;
  }
  return false;
}

std::size_t JsonObjectFramer::takeHeartbeats() { return std::exchange(heartbeats_, 0); }

std::size_t JsonObjectFramer::takeConsumed() {
  position_ -= consumed_;
  objectStart_ -= std::min(objectStart_, consumed_);
  return std::exchange(consumed_, 0);
}

}  // namespace wingslip
