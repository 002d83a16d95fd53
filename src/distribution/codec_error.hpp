/// The error of reading messages and snapshots.
#pragma once

#include <stdexcept>

namespace wingslip::distribution {

/// The bytes are no message or snapshot of this format. `what()` is one line for the log.
class CodecError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace wingslip::distribution
