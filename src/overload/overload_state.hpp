// How hard a gatekeeper is pressed: marks with hysteresis over memory and descriptors, and the loop's own
// delay as CoDel sees a standing queue. No I/O; time is passed in, in ms of any steady clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace wingslip {

enum class Stage : unsigned { none, slow, shed };
enum class Source : unsigned { memory, descriptors, loop };
constexpr std::size_t kSources = 3;

class Pressure {
 public:
  using Time = double;
  struct Marks {
    double high = 0.75, low = 0.55;  // of what there is
  };
  struct Limits {
    Marks memory;
    Marks descriptors{0.9, 0.75};  // idle ones make room as they are needed: only the busy ones count
    Time interval = 100;           // for which a mark is passed before anything is shed
    Time target = 5;               // of the loop's delay
  };
  // The shortest aim of the settings, a second at most, is the interval: work that waits in the loop for as
  // long as the quickest answer may take is a queue that stands. The target is the usual twentieth of it.
  static Limits limitsFor(Time shortestAim);

  explicit Pressure(const Limits& limits) : limits_(limits) {}
  void retune(const Limits& limits) { limits_ = limits; }
  const Limits& limits() const { return limits_; }

  // What is seen. Each is cheap and may be told as often as one likes; `look` only lets time pass.
  void level(Time now, Source source, double used, double total);
  void loopDelay(Time now, Time delay);
  void look(Time now);

  Stage stage() const { return stage_; }
  // Nothing is left that time alone would change.
  bool calm() const { return stage_ == Stage::none && share_ == 0; }
  Stage stage(Source source) const { return of(source).stage; }
  // Of the bytes held, those that must be given back: over the low mark, and only while memory is shed. Once
  // in an interval: what was shed needs a while to be given back, and reads are refused meanwhile, so nothing
  // overflows.
  double takeExcess(Time now);
  // Of the new requests, the share that is one too many: it rises while the loop's queue is shed, and falls
  // after. Memory and descriptors are given back by what holds them.
  double share() const { return share_; }
  // How much longer this may go on.
  Time lasts(Time now) const;
  // How often each stage was entered.
  std::uint64_t entered(Stage stage) const { return entered_[static_cast<std::size_t>(stage)]; }
  Time since() const { return began_; }

 private:
  struct Seen {
    Stage stage = Stage::none;
    Time above = 0;       // since when the high mark has been passed without a break
    bool over = false;    // it is passed now
    bool passed = false;  // it was, and the low one has not been reached since
  };
  Seen& of(Source source) { return seen_[static_cast<std::size_t>(source)]; }
  const Seen& of(Source source) const { return seen_[static_cast<std::size_t>(source)]; }
  void judge(Time now, Seen& seen) const;
  void conclude(Time now);

  Limits limits_;
  std::array<Seen, kSources> seen_{};
  Stage stage_ = Stage::none;
  std::array<std::uint64_t, 3> entered_{};
  double held_ = 0, total_ = 0;
  double share_ = 0;
  bool rising_ = false;
  Time stepAt_ = 0, began_ = 0, usual_ = 0, shedAt_ = 0;
};

}  // namespace wingslip
