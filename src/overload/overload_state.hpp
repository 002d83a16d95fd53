/// How overloaded the gatekeeper is: watermarks with hysteresis over memory and descriptors, and the event
/// loop's delay judged as CoDel judges a queue. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace wingslip {

/// `throttling`: request bodies are no longer read ahead, and the decision module is told: it rejects what is
/// large or beyond its quota. `shedding`: a share of all requests is rejected too.
enum class OverloadLevel : unsigned { none, throttling, shedding };
constexpr std::size_t kOverloadLevels = 3;
enum class OverloadSource : unsigned { memory, descriptors, eventLoop };
constexpr std::size_t kOverloadSources = 3;

/// State machine fed with usage, loop delays and time. Used from the event loop's thread only.
class OverloadState {
 public:
  using Time = double;  ///< ms of any steady clock

  /// Shares of what there is: overloaded from `high` on, until `low` is reached.
  struct Watermarks {
    double high = 0.75;
    double low = 0.55;
  };
  struct Limits {
    Watermarks memory;
    Watermarks descriptors{0.9, 0.75};  ///< of busy connections; idle ones are closed when needed
    Time intervalMs = 100;              ///< for which a mark must be exceeded before anything is shed
    Time targetDelayMs = 5;             ///< of the event loop
  };
  /// @param minLatencyObjectiveMs the shortest of all classes: it becomes the interval, within bounds
  static Limits limitsFor(Time minLatencyObjectiveMs);

  explicit OverloadState(const Limits& limits) : limits_(limits) {}
  void setLimits(const Limits& limits) { limits_ = limits; }
  const Limits& limits() const { return limits_; }

  /// @param source memory or descriptors
  void onUsage(Time now, OverloadSource source, double used, double total);
  void onLoopDelay(Time now, Time delayMs);
  /// Time has passed.
  void onTime(Time now);

  OverloadLevel level() const { return level_; }
  OverloadLevel level(OverloadSource source) const { return signal(source).level; }
  /// Nothing is left that time alone would change.
  bool isNormal() const { return level_ == OverloadLevel::none && rejectShare_ == 0; }
  /// Bytes above the low mark that must be freed now, if memory is shedding; at most once an interval,
  /// because what was shed takes a while to be freed.
  double takeExcessBytes(Time now);
  /// Share of new requests to reject: it rises while the event loop is shedding, and falls afterwards.
  double rejectShare() const { return rejectShare_; }
  /// How much longer the overload is expected to last, in ms; 0: there is none.
  Time expectedDurationMs(Time now) const;
  /// How often the level was entered.
  std::uint64_t enteredCount(OverloadLevel level) const {
    return enteredCounts_[static_cast<std::size_t>(level)];
  }

 private:
  struct Signal {
    OverloadLevel level = OverloadLevel::none;
    Time aboveHighSince = 0;
    bool aboveHigh = false;
    bool active = false;  // the high mark was reached, and the low one not since
  };
  Signal& signal(OverloadSource source) { return signals_[static_cast<std::size_t>(source)]; }
  const Signal& signal(OverloadSource source) const { return signals_[static_cast<std::size_t>(source)]; }
  void updateUsageLevel(Time now, Signal& signal) const;
  void updateOverall(Time now);
  void updateLevel(Time now);
  void updateRejectShare(Time now);

  Limits limits_;
  std::array<Signal, kOverloadSources> signals_{};
  OverloadLevel level_ = OverloadLevel::none;
  std::array<std::uint64_t, kOverloadLevels> enteredCounts_{};
  double usedBytes_ = 0;
  double totalBytes_ = 0;
  double rejectShare_ = 0;
  bool shareRises_ = false;
  Time lastShareStepAt_ = 0;
  Time overloadedSince_ = 0;
  Time usualDurationMs_ = 0;  // of earlier overloads; 0: there was none
  Time excessTakenAt_ = 0;
};

}  // namespace wingslip
