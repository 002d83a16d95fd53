// When a watch on the list of workers is opened, waited for and opened anew. No I/O: events and time (ms of
// any steady clock) in, what to do next out; `src/node/discovery.*` carries it out.
//
// What it holds against are the clocks by which a change counts as told (docs/design.md, "The watch"): where
// an agent of one's own has the list, from the moment that the agent has it; what a silent watch misses, 6 s
// after it fell silent; 4 s after a new address. From then on nothing may go to a worker that leaves for
// longer than the settings say.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

namespace wingslip {

class Watch {
 public:
  using Time = double;
  enum class Act {
    none,
    connect,  // close what there is, and connect
    ask,      // on the connection that has come up
    close,    // close what there is; `due` says when to go on
  };
  // All in ms.
  struct Limits {
    Time answerTimeout = 1000;   // from connecting to the first whole line
    Time silenceTimeout = 2400;  // from one whole line to the next, heartbeats among them
    Time firstBackoff = 50;      // mean wait before connecting anew
    Time maxBackoff = 250;       // to which it doubles; each wait is a half to one and a half of the mean
    Time sharedAnswerTimeout = 2500;  // the same where discovery has turned calls away
    Time sharedFirstBackoff = 50, sharedMaxBackoff = 1000;
    Time sharedCallInterval = 6500;  // and from the beginning of one call to that of the next at most
  };
  // `stopWithin`: for how long a worker that leaves may still be sent to, by the settings; `gatekeepers`:
  // those who may call at the same time.
  static Limits limitsFor(Time stopWithin, unsigned gatekeepers);
  // The longest from the moment at which an agent that answers has a change until this side has it, whatever
  // was going on then.
  static Time hasWithin(const Limits& limits) { return limits.answerTimeout + 1.5 * limits.maxBackoff; }
  // The same from the moment at which a discovery that has turned calls away, or said nothing to them,
  // answers.
  static Time hasWithinShared(const Limits& limits) {
    return std::max(hasWithin(limits), limits.sharedCallInterval);
  }

  Watch(const Limits& limits, std::uint64_t seed) : limits_(limits), random_(seed) {}
  void retune(const Limits& limits) { limits_ = limits; }

  // Begins, or begins anew at another address, of which nothing is known.
  Act open(Time now);
  // The connection has come up.
  Act up(Time now);
  // A whole line has come: a list that holds, or a heartbeat.
  void line(Time now);
  // The connection could not be made, broke, ended or said what cannot be used.
  Act lost(Time now);
  // Discovery is there and has turned the call away: it serves many and has no room.
  Act turnedAway(Time now);
  // At `due` or later.
  Act look(Time now);
  void stop() { state_ = State::stopped; }

  // When to look; below 0: never.
  Time due() const { return state_ == State::stopped ? -1 : due_; }
  // Calls made: connections begun, since the start.
  std::uint64_t calls() const { return calls_; }

 private:
  enum class State { stopped, waiting, connecting, asked, watching };
  Act backOff(Time now);

  Limits limits_;
  std::mt19937_64 random_;
  State state_ = State::stopped;
  Time due_ = 0, since_ = 0;  // since when lines come
  Time calledAt_ = 0;         // when the last call began
  Time backoff_ = 0;          // the mean of the wait before; 0: none lately
  bool shared_ = false;       // discovery has turned a call away and not answered since
  std::uint64_t calls_ = 0;
};

}  // namespace wingslip
