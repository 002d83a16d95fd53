/// Event queue of a simulation in virtual time, used by the lab and the tests.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace wingslip::lab {

/// A queue of timed actions with a virtual clock. Actions run in order of their times; actions with equal
/// times run in the order of insertion.
class EventQueue {
 public:
  using Time = double;  ///< virtual time in ms
  using Action = std::function<void()>;

  /// The virtual time, in ms since the start of the simulation.
  Time now() const { return now_; }

  /// Schedules an action at `time` (ms), or at the current virtual time if `time` has passed.
  void at(Time time, Action action) {
    events_.push({std::max(time, now_), ++insertedCount_, std::move(action)});
  }

  /// Removes and returns the next action due by `until` (ms) and advances the clock to its time. Returns
  /// nothing and advances the clock to `until` if no action is due by then.
  std::optional<Action> next(Time until) {
    if (events_.empty() || events_.top().time > until) {
      now_ = until;
      return std::nullopt;
    }
    Event event = events_.top();
    events_.pop();
    now_ = event.time;
    return std::move(event.action);
  }

 private:
  struct Event {
    Time time;
    std::uint64_t order;  // of insertion; breaks ties between equal times
    Action action;
    // Inverted: std::priority_queue returns the greatest element, which must be the earliest event.
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  Time now_ = 0;
  std::uint64_t insertedCount_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace wingslip::lab
