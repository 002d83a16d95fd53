/// The exception for replication messages and snapshots that cannot be decoded.
#pragma once

#include <stdexcept>

namespace wingslip::replication {

/// Thrown for bytes that are not a valid message or snapshot of the supported format version. `what()` is one
/// line for the log.
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace wingslip::replication
