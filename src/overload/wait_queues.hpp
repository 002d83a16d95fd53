// The places in which work waits: who waits where, since when, and who was turned away. What waits holds a
// Waiting, which leaves its place by itself. No I/O and no clock.
#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace wingslip {

enum class WaitAt : unsigned {
  acceptQueue,
  noRoom,
  halfRead,
  pausedRead,
  held,
  connecting,
  attemptOut,
  bodyWindow,
  answerWindow,
  answerWrite,
  opsCaller,
  discoveryLine,
  loop,
};
constexpr std::size_t kPlaces = static_cast<std::size_t>(WaitAt::loop) + 1;
// As figures, the log and the map of docs/design.md name them.
constexpr std::array<std::string_view, kPlaces> kPlaceNames{
    "accept_queue", "no_room",        "half_read",   "paused_read",   "held",
    "connecting",   "attempt_out",    "body_window", "answer_window", "answer_write",
    "ops_caller",   "discovery_line", "loop"};
static_assert(!kPlaceNames.back().empty(), "every place has a name");

class WaitQueues {
 public:
  using Time = double;  // ms of any steady clock

  struct Figures {
    std::size_t waiting = 0, most = 0;
    Time oldest = 0;  // how long the first of them has waited
    std::uint64_t turnedAway = 0;
  };

  // One that waits. It is in one place at a time, or in none.
  class Waiting
      : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
   public:
    Waiting() = default;
    Waiting(const Waiting&) = delete;
    Waiting& operator=(const Waiting&) = delete;
    ~Waiting() { leave(); }
    void enter(WaitQueues& places, WaitAt place, Time now);
    void leave();
    Time since() const { return since_; }
    bool in(WaitAt place) const { return places_ && place_ == place; }

   private:
    WaitQueues* places_ = nullptr;
    WaitAt place_ = WaitAt::held;
    Time since_ = 0;
  };

  // A place that others keep count of (the kernel, the loop) says how it stands when asked.
  void read(WaitAt place, std::function<Figures(Time now)> reader);
  void turnAway(WaitAt place, std::uint64_t n = 1) { of(place).turnedAway += n; }

  Figures figures(WaitAt place, Time now) const;
  std::size_t waiting(WaitAt place) const { return of(place).count; }
  // Whether anything ever entered, or somebody reads it.
  bool reports(WaitAt place) const { return of(place).entered || of(place).reader; }

  std::string telemetry(Time now) const;  // svc. lines
  std::string logLine(Time now) const;    // one line, only places with somebody in them or turned away since

 private:
  using Queue = boost::intrusive::list<Waiting, boost::intrusive::constant_time_size<false>>;
  struct Record {
    Queue queue;  // in the order of entry, so that the first is the oldest
    std::size_t count = 0, most = 0;
    std::uint64_t turnedAway = 0;
    bool entered = false;
    std::function<Figures(Time)> reader;
  };
  Record& of(WaitAt place) { return records_[static_cast<std::size_t>(place)]; }
  const Record& of(WaitAt place) const { return records_[static_cast<std::size_t>(place)]; }

  std::array<Record, kPlaces> records_;
};

}  // namespace wingslip
