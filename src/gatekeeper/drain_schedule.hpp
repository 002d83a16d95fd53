/// When the steps of a drain are taken. Uses no clock.
#pragma once

#include <algorithm>

#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// The steps of a drain, in ms after SIGTERM.
struct DrainSchedule {
  decision::Time closeIdleMs;  ///< accepting has stopped by now, and idle connections are closed
  decision::Time refuseMs;     ///< requests in flight are failed, and all others refused
  decision::Time exitMs;       ///< the process exits
};

/// Returns the schedule that answers as many requests as possible before the platform may kill the process,
/// 700 ms after the longest deadline, which counts as 3 s where it is longer.
/// @param longestDeadlineMs of all request classes, ms
/// @param nextProcessAccepts whether another process accepts from SIGTERM on, as in an upgrade
inline DrainSchedule drainSchedule(decision::Time longestDeadlineMs, bool nextProcessAccepts) {
  constexpr decision::Time kMaxDeadlineMs = 3000;
  constexpr decision::Time kRefuseAfterDeadlineMs = 400;
  constexpr decision::Time kExitAfterDeadlineMs = 550;
  constexpr decision::Time kCloseIdleMs = 500;  // new connections arrive for up to 400 ms after SIGTERM
  // In an upgrade: the clients of idle connections then connect to the new process.
  constexpr decision::Time kCloseIdleInUpgradeMs = 1200;
  constexpr decision::Time kMinCloseIdleBeforeRefuseMs = 200;  // for requests that have just begun
  const decision::Time deadlineMs = std::min(longestDeadlineMs, kMaxDeadlineMs);
  const decision::Time refuseMs = deadlineMs + kRefuseAfterDeadlineMs;
  const decision::Time closeIdleMs =
      nextProcessAccepts ? std::min(kCloseIdleInUpgradeMs, refuseMs - kMinCloseIdleBeforeRefuseMs)
                         : std::min(kCloseIdleMs, refuseMs);
  return {closeIdleMs, refuseMs, deadlineMs + kExitAfterDeadlineMs};
}

}  // namespace wingslip
