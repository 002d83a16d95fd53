/// Exception of the decoders of messages and snapshots.
#pragma once

#include <stdexcept>

namespace wingslip::distribution {

/// Thrown when bytes are not a valid message or snapshot of this format. `what()` is a single line for the
/// log.
class CodecError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace wingslip::distribution
