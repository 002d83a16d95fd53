/// Bounds how long ago a client sent the last byte of a request body that is still being read.
#pragma once

#include <algorithm>
#include <chrono>

namespace wingslip {

/// A request's deadline counts from its last byte, which may already be in the kernel, here or at the client,
/// while the gatekeeper does not read. The lag is at least the time since the client sent the last byte, if
/// it has sent it. It grows at all times except while the gatekeeper has read everything that has arrived and
/// waits for the client. That time reduces the lag instead of ending it: bytes that were held up at the
/// client need some time to arrive once reading goes on, and a worker that takes a little now and then would
/// otherwise start the deadline anew each time.
///
/// Uses no clock: every call gets the time, which must not decrease.
class BodyLag {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;

  /// Starts a body. `unreadFor`: how long its first bytes had waited to be read.
  void start(TimePoint now, Duration unreadFor) {
    lag_ = unreadFor;
    updatedAt_ = now;
    awaitingClient_ = false;
  }
  /// All bytes that have arrived are read, and the body is incomplete.
  void awaitClient(TimePoint now) { change(now, true); }
  /// Bytes have arrived, or reading is paused.
  void stopAwaitingClient(TimePoint now) { change(now, false); }
  /// The lag at `now`.
  Duration at(TimePoint now) const {
    const Duration elapsed = now - updatedAt_;
    return awaitingClient_ ? std::max(Duration::zero(), lag_ - elapsed) : lag_ + elapsed;
  }

 private:
  void change(TimePoint now, bool awaitingClient) {
    lag_ = at(now);
    updatedAt_ = now;
    awaitingClient_ = awaitingClient;
  }

  Duration lag_{};
  TimePoint updatedAt_;
  bool awaitingClient_ = false;
};

}  // namespace wingslip
