/// How a worker's response progresses: how much of it came lately, and for how long its worker has been
/// awaited without progress. Uses no clock; the caller passes the time.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace wingslip {

/// Counts the bytes of a response that arrived in the recent past, in time slots.
class RecentBytes {
 public:
  using Clock = std::chrono::steady_clock;
  static constexpr std::chrono::milliseconds kSlot{100};
  static constexpr std::size_t kSlots = 12;
  static constexpr std::chrono::milliseconds kMaxSpan = kSlot * kSlots;

  /// Forgets all bytes; the next ones begin a new response.
  void reset() { firstAt_.reset(); }
  /// Adds bytes that have arrived now.
  void add(Clock::time_point now, std::size_t bytes) {
    if (bytes == 0) return;
    if (!firstAt_) {
      firstAt_ = now;
      slots_.fill({});
    }
    const std::uint32_t number = slotAt(now);
    Slot& slot = slots_[number % slots_.size()];
    if (slot.number != number) slot = {number, 0};
    slot.bytes += static_cast<std::uint32_t>(bytes);
  }
  /// Bytes that arrived in the last `span`, kMaxSpan at most. The oldest slot counts as a whole.
  std::size_t within(Clock::time_point now, std::chrono::milliseconds span) const {
    if (!firstAt_) return 0;
    const std::uint32_t last = slotAt(now);
    const auto slotsBack = static_cast<std::uint32_t>(span / kSlot);
    std::size_t bytes = 0;
    for (const Slot& slot : slots_)
      if (slot.number + slotsBack >= last) bytes += slot.bytes;
    return bytes;
  }
  /// Time since the first byte; zero if none has arrived.
  Clock::duration age(Clock::time_point now) const { return firstAt_ ? now - *firstAt_ : Clock::duration{}; }

 private:
  struct Slot {
    std::uint32_t number = 0;
    std::uint32_t bytes = 0;
  };
  std::uint32_t slotAt(Clock::time_point now) const {
    return static_cast<std::uint32_t>((now - *firstAt_) / kSlot);
  }

  std::array<Slot, kSlots + 1> slots_{};
  std::optional<Clock::time_point> firstAt_;
};

/// The time for which a sender has been awaited since it last made progress. Single bytes are no progress: a
/// sender makes it with every kProgressBytes. Time during which it was not awaited does not count.
class StallTime {
 public:
  using Clock = std::chrono::steady_clock;
  static constexpr std::size_t kProgressBytes = 16 * 1024;

  void reset() { *this = StallTime(); }
  /// The sender is awaited from now on, if it is not already.
  void startWait(Clock::time_point now) {
    if (!waitingSince_) waitingSince_ = now;
  }
  /// The sender is not awaited from now on.
  void stopWait(Clock::time_point now) {
    if (waitingSince_) stalled_ += now - *waitingSince_;
    waitingSince_.reset();
  }
  /// Adds bytes that have arrived now.
  void add(Clock::time_point now, std::size_t bytes) {
    bytes_ += bytes;
    if (bytes_ < kProgressBytes) return;
    bytes_ = 0;
    stalled_ = {};
    if (waitingSince_) waitingSince_ = now;
  }
  /// When the sender will have made no progress for `limit`, if it goes on like this. Requires that it is
  /// awaited.
  Clock::time_point expiresAt(Clock::duration limit) const { return *waitingSince_ + (limit - stalled_); }

 private:
  std::size_t bytes_ = 0;      // since the last progress
  Clock::duration stalled_{};  // of earlier waits since the last progress
  std::optional<Clock::time_point> waitingSince_;
};

}  // namespace wingslip
