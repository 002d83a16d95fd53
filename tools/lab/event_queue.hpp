/// The events of a simulation in virtual time, for the lab and the tests.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace wingslip::lab {

// Hands out actions in the order of their times, those of the same time in the order in which they were
// added, and keeps the virtual clock.
class EventQueue {
 public:
  using Time = double;  // ms
  using Action = std::function<void()>;

  Time now() const { return now_; }

  // Adds an action at `time`, or at once if that has passed.
  void at(Time time, Action action) { events_.push({std::max(time, now_), ++added_, std::move(action)}); }

  // Takes the next action that is due by `until` and sets the clock to its time. If there is none, sets the
  // clock to `until`.
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
    std::uint64_t order;
    Action action;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  Time now_ = 0;
  std::uint64_t added_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace wingslip::lab
