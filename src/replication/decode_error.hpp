/// The error of reading replication messages and snapshots.
#pragma once

#include <stdexcept>

namespace wingslip::replication {

/// The bytes are no message or snapshot of this version. `what()` is one line for the log.
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace wingslip::replication
