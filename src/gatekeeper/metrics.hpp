/// The metrics that operators poll: counts since the start of the process, and gauges.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// Final responses to the requests of one request class; `failure` also counts requests whose client
/// disconnected.
struct ClassCounts {
  std::uint64_t success = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failure = 0;
};

/// Events that follow an attempt, by the attempt's result (decision::AttemptResult).
struct AttemptResultCounts {
  static constexpr std::array<const char*, 8> kNames{"ok",          "error", "declined",  "timeout",
                                                     "unconnected", "reset", "cancelled", "never_sent"};
  std::array<std::uint64_t, kNames.size()> counts{};

  void add(decision::AttemptResult previousResult) { ++counts[static_cast<std::size_t>(previousResult)]; }
};

/// Counts since the start of the process.
struct Metrics {
  /// By the name of the request class. A class that a reload removes retains its counts.
  std::map<std::string, ClassCounts> classes;
  std::uint64_t attemptsWritten = 0;  ///< attempts whose last byte was passed to the kernel
  /// Attempts not started because of the connection limit or the memory budget of this process.
  std::uint64_t localResourceShortages = 0;
  std::uint64_t reloadsOk = 0;
  std::uint64_t reloadsFailed = 0;
  std::uint64_t repeatedIds = 0;  ///< requests whose id had come before and may have run
  /// Unfinished responses that may be long, passed on from the deadline.
  std::uint64_t startedWithoutEnd = 0;
  std::uint64_t truncatedResponses = 0;  ///< streamed responses that could not be completed
  AttemptResultCounts retries;
  AttemptResultCounts rejectionsAfterAttempt;  ///< rejected requests of which an attempt had been started
  decision::RejectionCounts rejections;
};

/// Values at the time of the call `telemetry`.
struct Gauges {
  std::size_t requestsInFlight = 0;
  std::size_t workersListed = 0;       ///< workers on the endpoint list
  std::size_t workersUnavailable = 0;  ///< of these: excluded, draining or ejected
};

/// The metrics as lines `svc.NAME:VALUE|c` (counts) and `svc.NAME:VALUE|g` (gauges), followed by `extraLines`
/// and a line EOF.
inline std::string telemetryText(const Metrics& metrics, const Gauges& gauges,
                                 const std::string& extraLines) {
  std::string out;
  const auto line = [&](const std::string& name, std::uint64_t value, const char* type) {
    out += "svc." + name + ":" + std::to_string(value) + "|" + type + "\n";
  };
  for (const auto& [name, counts] : metrics.classes) {
    line("success." + name, counts.success, "c");
    line("busy." + name, counts.rejected, "c");
    line("failure." + name, counts.failure, "c");
  }
  line("backend_calls", metrics.attemptsWritten, "c");
  line("backend_short", metrics.localResourceShortages, "c");
  line("reconfig_ok", metrics.reloadsOk, "c");
  line("reconfig_failed", metrics.reloadsFailed, "c");
  line("repeated_ids", metrics.repeatedIds, "c");
  line("answers.begun_at_deadline", metrics.startedWithoutEnd, "c");
  line("answers.cut", metrics.truncatedResponses, "c");
  const auto linesByResult = [&](const std::string& kind, const AttemptResultCounts& results) {
    for (std::size_t i = 0; i < AttemptResultCounts::kNames.size(); ++i)
      line(kind + "." + AttemptResultCounts::kNames[i], results.counts[i], "c");
  };
  linesByResult("retry_after", metrics.retries);
  linesByResult("refused_after", metrics.rejectionsAfterAttempt);
  line("refused.bucket", metrics.rejections.localQuota, "c");
  line("refused.store", metrics.rejections.fleetQuota, "c");
  line("refused.unknown", metrics.rejections.unknownCustomer, "c");
  line("refused.worker", metrics.rejections.noWorker, "c");
  line("refused.limit", metrics.rejections.concurrencyLimit, "c");
  line("refused.pressed", metrics.rejections.overload, "c");
  line("inflight", gauges.requestsInFlight, "g");
  line("hosts_listed", gauges.workersListed, "g");
  line("hosts_down", gauges.workersUnavailable, "g");
  return out + extraLines + "EOF\n";
}

}  // namespace wingslip
