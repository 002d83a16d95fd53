// The figures that operators fetch: counts from the start of the process.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "wingslip/decision/gateway.hpp"

namespace wingslip {

struct ClassCounts {
  std::uint64_t success = 0, busy = 0, failure = 0;  // final answers
};

// Attempts after the first of their request, by how the one before had ended (decision::AttemptResult).
struct RetryCounts {
  static constexpr std::array<const char*, 8> kNames{"ok",          "error", "declined",  "timeout",
                                                     "unconnected", "reset", "cancelled", "never_sent"};
  std::array<std::uint64_t, kNames.size()> after{};

  void add(decision::AttemptResult before) { ++after[static_cast<std::size_t>(before)]; }
};

// By the class's name: one that a reload drops keeps its counts.
struct Metrics {
  std::map<std::string, ClassCounts> classes;
  std::uint64_t attempts = 0;   // written whole to workers
  std::uint64_t shortHere = 0;  // not begun for want of descriptors or memory here
  std::uint64_t reconfigOk = 0, reconfigFailed = 0;
  RetryCounts retries;
  decision::RejectionCounts refusals;
};

struct Gauges {
  std::size_t inFlight = 0;  // requests taken and not yet ended
  std::size_t listed = 0, down = 0;
};

// In lines `svc.NAME:VALUE|c` (counts) and `|g` (as it is now), closed by a line EOF.
inline std::string telemetryText(const Metrics& metrics, const Gauges& gauges, const std::string& more) {
  std::string out;
  const auto line = [&](const std::string& name, std::uint64_t value, const char* kind) {
    out += "svc." + name + ":" + std::to_string(value) + "|" + kind + "\n";
  };
  for (const auto& [name, counts] : metrics.classes) {
    line("success." + name, counts.success, "c");
    line("busy." + name, counts.busy, "c");
    line("failure." + name, counts.failure, "c");
  }
  line("backend_calls", metrics.attempts, "c");
  line("backend_short", metrics.shortHere, "c");
  line("reconfig_ok", metrics.reconfigOk, "c");
  line("reconfig_failed", metrics.reconfigFailed, "c");
  for (std::size_t i = 0; i < RetryCounts::kNames.size(); ++i)
    line(std::string("retry_after.") + RetryCounts::kNames[i], metrics.retries.after[i], "c");
  line("refused.bucket", metrics.refusals.localQuota, "c");
  line("refused.store", metrics.refusals.fleetQuota, "c");
  line("refused.unknown", metrics.refusals.unknownCustomer, "c");
  line("refused.worker", metrics.refusals.noWorker, "c");
  line("refused.limit", metrics.refusals.concurrencyLimit, "c");
  line("refused.pressed", metrics.refusals.overload, "c");
  line("inflight", gauges.inFlight, "g");
  line("hosts_listed", gauges.listed, "g");
  line("hosts_down", gauges.down, "g");
  return out + more + "EOF\n";
}

}  // namespace wingslip
