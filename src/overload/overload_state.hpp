/// Overload detection: watermarks with hysteresis for memory and descriptors, and a target for the event
/// loop's delay as in CoDel queue management. Performs no I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace wingslip {

/// Degree of overload. From `throttling` on, the decision module rejects requests that exceed their
/// customer's quota; if memory is overloaded, it also rejects large requests, and request bodies are not read
/// ahead. In addition, `shedding` of memory ends requests in flight, and `shedding` of the event loop rejects
/// a share of new requests.
enum class OverloadLevel : unsigned { none, throttling, shedding };
constexpr std::size_t kOverloadLevels = 3;
/// A resource whose use can cause an overload.
enum class OverloadSource : unsigned { memory, descriptors, eventLoop };
constexpr std::size_t kOverloadSources = 3;

/// Derives the overload level from samples of resource usage and event loop delay. Owned by the
/// OverloadManager and used from the event loop's thread only.
class OverloadState {
 public:
  using Time = double;  ///< milliseconds of any monotonic clock

  /// High and low watermark as shares of the limit (0 to 1). A resource is overloaded from when its usage
  /// reaches `high` until it falls to `low`.
  struct Watermarks {
    double high = 0.75;
    double low = 0.55;
  };
  /// Thresholds of the overload levels.
  struct Limits {
    Watermarks memory;
    Watermarks descriptors{0.9, 0.75};  ///< idle connections do not count: they can be closed
    /// Time at or above the threshold after which memory and descriptors are at `shedding`. The event loop is
    /// at `throttling` after this time and at `shedding` after twice this time.
    Time intervalMs = 100;
    Time targetDelayMs = 5;  ///< event loop delay from which the event loop counts as late
  };
  /// @param minLatencyObjectiveMs the shortest latency objective of all request classes; clamped to a fixed
  /// range it becomes the interval
  static Limits limitsFor(Time minLatencyObjectiveMs);

  explicit OverloadState(const Limits& limits) : limits_(limits) {}
  void setLimits(const Limits& limits) { limits_ = limits; }
  const Limits& limits() const { return limits_; }

  /// Adds a sample of a resource's usage.
  /// @param source memory or descriptors
  /// @param used, total in the same unit; a total of 0 counts as no usage
  void onUsage(Time now, OverloadSource source, double used, double total);
  /// Adds a sample of the event loop's delay.
  void onLoopDelay(Time now, Time delayMs);
  /// Updates the level and the reject share for elapsed time alone.
  void onTime(Time now);

  OverloadLevel level() const { return level_; }
  OverloadLevel level(OverloadSource source) const { return signal(source).level; }
  /// @return whether there is no overload and the reject share has decayed to 0.
  bool isNormal() const { return level_ == OverloadLevel::none && rejectShare_ == 0; }
  /// @return the bytes above the low watermark that must be freed now, or 0 if memory is not at `shedding`.
  /// Above 0 at most once per interval, because the memory of shed requests is freed with a delay.
  double takeExcessBytes(Time now);
  /// @return the share of new requests to reject (0 to below 1). It rises while the event loop is at
  /// `shedding` and falls afterwards.
  double rejectShare() const { return rejectShare_; }
  /// @return the expected remaining duration of the overload in ms, or 0 if there is none.
  Time expectedDurationMs(Time now) const;
  /// @return how many times the level was entered.
  std::uint64_t enteredCount(OverloadLevel level) const {
    return enteredCounts_[static_cast<std::size_t>(level)];
  }

 private:
  // State of one source. For the event loop, `aboveHigh` and `active` mean that the last sample was late.
  struct Signal {
    OverloadLevel level = OverloadLevel::none;
    Time aboveHighSince = 0;
    bool aboveHigh = false;
    bool active = false;  // hysteresis: set at the high mark, cleared at the low mark
  };
  Signal& signal(OverloadSource source) { return signals_[static_cast<std::size_t>(source)]; }
  const Signal& signal(OverloadSource source) const { return signals_[static_cast<std::size_t>(source)]; }
  void updateUsageLevel(Time now, Signal& signal) const;
  void updateLevelAndRejectShare(Time now);
  void updateLevel(Time now);
  void updateRejectShare(Time now);

  Limits limits_;
  std::array<Signal, kOverloadSources> signals_{};
  OverloadLevel level_ = OverloadLevel::none;
  std::array<std::uint64_t, kOverloadLevels> enteredCounts_{};
  double usedBytes_ = 0;
  double totalBytes_ = 0;
  double rejectShare_ = 0;
  bool rejectShareRising_ = false;
  Time lastShareStepAt_ = 0;
  Time overloadedSince_ = 0;
  Time meanDurationMs_ = 0;  // moving average of earlier overloads; 0 before the first has ended
  Time lastExcessAt_ = 0;
};

}  // namespace wingslip
