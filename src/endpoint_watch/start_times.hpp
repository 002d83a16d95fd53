/// When workers started, on the gatekeeper's own monotonic clock. No I/O.
///
/// Lists give a start as Unix time by the one clock that the fleet's machines read. This machine's wall clock
/// may be wrong and may be stepped, so it is read once, at the process's start, and only as an estimate. From
/// then on starts are placed by when they were received, on the monotonic clock.
#pragma once

#include <cstddef>
#include <functional>
#include <unordered_map>

#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// One start of a worker, in ms of the monotonic clock.
struct WorkerStart {
  decision::Time slowStartFrom = 0;  ///< slow start counts from here; 0: it started long ago
  /// Connections opened before this went to an earlier process; 0: there was none.
  decision::Time processStartedAt = 0;
};

/// Places starts on the monotonic clock:
/// - A start lies in the past. One that the estimated offset places in the future shows that the offset is
/// too
///   large, and lowers it.
/// - A start received after the process's first list (`isUpdate`) happened since the list before: slow start
///   counts from when it was received. The estimate is used for the process's connections only, and only as
///   far back as `kMaxNotificationDelayMs`.
/// - A start on the first list has the estimated age: if the clock was ahead at the process's start, workers
///   started just before are taken for older than they are.
/// - The same start of a worker always gives the same answer, whatever the estimate has become.
class StartTimes {
 public:
  using Time = decision::Time;
  /// The longest plausible time from a worker's start until its list reaches a gatekeeper.
  static constexpr Time kMaxNotificationDelayMs = 10000;
  /// Workers remembered; beyond it those that are not listed are forgotten.
  static constexpr std::size_t kMaxWorkers = 8192;

  /// @param clockOffsetMs the monotonic clock less the wall clock, as read at the process's start
  explicit StartTimes(Time clockOffsetMs) : clockOffsetMs_(clockOffsetMs) {}

  /// Corrects the clock offset by one start of a list; called for all entries of a list before `startOf`.
  /// @param startedAtMs Unix time; 0: long ago
  /// @param receivedAt when the list was received, on the monotonic clock
  void observe(double startedAtMs, Time receivedAt);
  /// @param isUpdate the list is not the process's first
  WorkerStart startOf(decision::WorkerId worker, double startedAtMs, Time receivedAt, bool isUpdate);
  /// If there are more than `kMaxWorkers`, forgets those for which `isListed` is false.
  void forgetUnlisted(const std::function<bool(decision::WorkerId)>& isListed);

  /// The offset as corrected so far: the monotonic clock less the true Unix time.
  Time clockOffsetMs() const { return clockOffsetMs_; }
  std::size_t size() const { return workers_.size(); }

 private:
  struct KnownStart {
    double startedAtMs = 0;
    WorkerStart start;
  };

  Time clockOffsetMs_;
  std::unordered_map<decision::WorkerId, KnownStart> workers_;
};

}  // namespace wingslip
