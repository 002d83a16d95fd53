/// What a process leaves in a file of the state folder for the one that an upgrade starts: what takes long to
/// learn, or what only the older process can know.
#pragma once

#include <optional>
#include <string>

#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// Both processes read one monotonic clock (`DecisionClock`), whatever is done to the wall clock between
/// them.
struct Handover {
  decision::Time at = 0;           ///< of the writing, on the monotonic clock
  double warmRate = 0;             ///< good answers a ms of a warm worker
  decision::Time clockOffset = 0;  ///< the monotonic clock less the true Unix time, in ms (`StartTimes`)
};

/// Does nothing where no folder is given. The file is replaced whole; one that cannot be written is not
/// there.
void leave(const std::string& folder, const Handover& handover);
/// What cannot be read, or makes no sense, is not there.
std::optional<Handover> inherit(const std::string& folder);

}  // namespace wingslip
