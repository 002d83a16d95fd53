/// Event counts by reason since the process's start.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wingslip {

/// Counts events by reason.
/// @tparam Reason an enumeration with values from 0 without gaps
/// @tparam names the names of its values in the metrics, in the order of the values
template <class Reason, const auto& names>
class ReasonCounts {
 public:
  void add(Reason reason) { ++counts_[static_cast<std::size_t>(reason)]; }
  std::uint64_t count(Reason reason) const { return counts_[static_cast<std::size_t>(reason)]; }

  /// Lines `svc.KIND.NAME:VALUE|c`, starting with the reason whose value is `first`.
  std::string telemetry(std::string_view kind, std::size_t first = 0) const {
    std::string out;
    for (std::size_t i = first; i < counts_.size(); ++i)
      out += "svc." + std::string(kind) + "." + std::string(names[i]) + ":" + std::to_string(counts_[i]) +
             "|c\n";
    return out;
  }

 private:
  std::array<std::uint64_t, names.size()> counts_{};
};

}  // namespace wingslip
