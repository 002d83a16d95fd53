/// A hybrid logical clock: timestamps that follow physical time as far as it is known and never go back.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace wingslip::replication {

/// One reading of a hybrid logical clock; ordered by time, then counter, then the name of who read it.
struct Timestamp {
  std::int64_t physicalMs = 0;  ///< Unix time, or the largest that was observed
  std::uint32_t counter = 0;    ///< orders readings within one millisecond
  std::string origin;           ///< name of the gatekeeper that read the clock
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a comparison's result for a pointer
  auto operator<=>(const Timestamp&) const = default;
};

/// Monotonic whatever the physical clock does.
class HybridClock {
 public:
  /// A timestamp after all earlier and all observed ones. `unixMs`: the physical clock, which may step.
  [[nodiscard]] Timestamp next(std::int64_t unixMs, const std::string& origin);
  /// Later timestamps will be after `timestamp`.
  void observe(const Timestamp& timestamp);

 private:
  std::int64_t physicalMs_ = 0;
  std::uint32_t counter_ = 0;
};

}  // namespace wingslip::replication
