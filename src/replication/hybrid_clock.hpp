/// A hybrid logical clock: its timestamps follow physical time where possible and never go back.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace wingslip::replication {

/// A reading of a hybrid logical clock. Ordered by time, then by counter, then by the gatekeeper's name.
struct Timestamp {
  std::int64_t physicalMs = 0;  ///< Unix time, or the largest physical time observed
  std::uint32_t counter = 0;    ///< orders readings within one millisecond
  std::string origin;           ///< name of the gatekeeper whose clock was read
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 in the comparison for a pointer
  auto operator<=>(const Timestamp&) const = default;
};

/// Issues monotonic timestamps, even when the physical clock steps back.
class HybridClock {
 public:
  /// Returns a timestamp later than all timestamps issued or observed before.
  /// @param unixMs reading of the physical clock, which may step.
  /// @param origin name of the gatekeeper that reads the clock.
  [[nodiscard]] Timestamp next(std::int64_t unixMs, const std::string& origin);
  /// Advances the clock: timestamps issued from now on are later than `timestamp`.
  void observe(const Timestamp& timestamp);

 private:
  std::int64_t physicalMs_ = 0;
  std::uint32_t counter_ = 0;
};

}  // namespace wingslip::replication
