/// Start times of workers, on the gatekeeper's monotonic clock. No I/O.
///
/// Endpoint lists give a start time as Unix time of a clock that the workers' machines share. The wall clock
/// of this machine may be wrong and may be stepped, so it is read only once, when the process starts,
/// and only as an estimate. Later start times are derived from when they were received, on the monotonic
/// clock.
#pragma once

#include <cstddef>
#include <functional>
#include <unordered_map>

#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// A start of a worker, in ms of the monotonic clock.
struct WorkerStart {
  decision::Time slowStartFrom = 0;  ///< start of its slow start; 0: it started long ago
  /// Connections opened before this time go to an earlier process of the worker; 0: there is none.
  decision::Time processStartedAt = 0;
};

/// Converts start times to the monotonic clock:
/// - A start is in the past. If the estimated offset places one in the future, the offset is too large and is
///   lowered.
/// - A start received after the first list of this process (`isUpdate`) happened since the previous list:
///   slow start counts from when it was received. The estimate is used only to attribute connections to the
///   worker's processes, and reaches back at most `kMaxNotificationDelayMs`.
/// - A start on the first list has the estimated age. If the wall clock was ahead when this process started,
///   workers that started shortly before are considered older than they are.
/// - The same start of a worker always gives the same result, also after the estimate has changed.
class StartTimes {
 public:
  using Time = decision::Time;
  /// The longest plausible time from a worker's start until a gatekeeper receives the list that names it.
  static constexpr Time kMaxNotificationDelayMs = 10000;
  /// Number of workers above which `removeUnlisted` removes those that are not listed.
  static constexpr std::size_t kMaxWorkers = 8192;

  /// @param clockOffsetMs the monotonic clock minus the wall clock, read when the process started
  explicit StartTimes(Time clockOffsetMs) : clockOffsetMs_(clockOffsetMs) {}

  /// Lowers the clock offset if it places an entry's start time in the future; to be called for all entries
  /// of a list before `startOf`.
  /// @param startedAtMs Unix time in ms; 0: long ago
  /// @param receivedAt when the list was received, on the monotonic clock
  void correctClockOffset(double startedAtMs, Time receivedAt);
  /// The start of a worker on the monotonic clock.
  /// @param isUpdate whether the list is not the first one that this process received
  WorkerStart startOf(decision::WorkerId worker, double startedAtMs, Time receivedAt, bool isUpdate);
  /// If there are more than `kMaxWorkers` workers, removes those for which `isListed` returns false.
  void removeUnlisted(const std::function<bool(decision::WorkerId)>& isListed);

  /// The estimate, as corrected so far, of the monotonic clock minus Unix time, in ms.
  Time clockOffsetMs() const { return clockOffsetMs_; }
  /// Number of workers whose start is recorded.
  std::size_t size() const { return workers_.size(); }

 private:
  struct RecordedStart {
    double startedAtMs = 0;
    WorkerStart start;
  };

  Time clockOffsetMs_;
  std::unordered_map<decision::WorkerId, RecordedStart> workers_;
};

}  // namespace wingslip
