/// When workers started, on the gatekeeper's own monotonic clock.
///
/// Lists give a start as Unix time by the one clock that the fleet's machines read. This machine's wall clock
/// may be wrong, and may be stepped by seconds or by an hour, so it is read once, at the process's start, and
/// only as a hint. What is measured from then on is the span on the monotonic clock since a start was told.
/// No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// One start of a worker, in ms of the monotonic clock.
struct WorkerStart {
  decision::Time warmFrom = 0;     ///< slow start counts from here; 0: it started long ago
  decision::Time processFrom = 0;  ///< connections opened before this went to an earlier process; 0: none did
};

/// The rule:
/// - A start lies in the past. One that the hint places in the future says that the hint is behind, and moves
///   it on.
/// - A start told after the process's first list (`live`) has happened since the list before: slow start
///   counts from when it was told. The hint is believed for the process's connections alone, and only as far
///   back as `kMostDelay`.
/// - A start on the first list has the hint's age, for want of anything else: a process that starts with its
///   clock ahead takes workers that were started just before it for older than they are.
/// - The same start of a worker always gives the same answer, whatever the hint has become.
class StartTimes {
 public:
  using Time = decision::Time;
  /// From a worker's start until its list reaches a gatekeeper: the longest that is plausible, in ms.
  static constexpr Time kMostDelay = 10000;
  /// Workers remembered; past it those that are not listed are forgotten.
  static constexpr std::size_t kMostHeld = 8192;

  /// `offset`: the monotonic clock less the wall clock, in ms, as read at the process's start.
  explicit StartTimes(Time offset) : offset_(offset) {}

  /// A list names this start; called for all of its entries before `startOf`.
  void hear(double startedAtMs, Time told);
  /// `startedAtMs` in Unix time, 0: long ago; `told` on the monotonic clock.
  WorkerStart startOf(decision::WorkerId worker, double startedAtMs, Time told, bool live);
  /// Forgets workers for which `listed` is false, if there are more than `kMostHeld`.
  void trim(const std::function<bool(decision::WorkerId)>& listed);

  /// The hint as corrected so far: the monotonic clock less the true Unix time, in ms.
  Time offset() const { return offset_; }
  std::size_t held() const { return known_.size(); }

 private:
  struct Known {
    double startedAtMs = 0;
    WorkerStart start;
  };

  Time offset_;
  std::unordered_map<decision::WorkerId, Known> known_;
};

}  // namespace wingslip
