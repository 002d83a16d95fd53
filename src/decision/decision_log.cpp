/// Log of the decision module: rate limit of event lines and format of the summary.
#include "decision/decision_log.hpp"

#include <array>
#include <cstdio>

namespace wingslip::decision {
namespace {

constexpr std::size_t kMaxSummaryBytes = 320;

}  // namespace

void DecisionLog::logEvent(Time now, const char* line) {
  if (now - lastEventAt_ < kMinEventIntervalMs) return;
  lastEventAt_ = now;
  actions_.log(line);
}

void DecisionLog::summarize(Time now, const RejectionCounts& counts, const DecisionGauges& gauges) {
  const auto increase = [](std::uint64_t count, std::uint64_t before) {
    return static_cast<unsigned>(count - before);
  };
  const RejectionCounts& before = countsAtLastSummary_;
  const ReadyWorkerCounts& workers = gauges.workers;
  std::array<char, kMaxSummaryBytes> line{};
  std::snprintf(
      line.data(), line.size(),
      "rejected: local quota %u fleet quota %u unknown customer %u (burst share %.2f) no worker %u "
      "(gateway's limit %u) overload %u; concurrency limit %.1f in flight %u worker shortage %.2f; "
      "workers ready %u ejected %u warming up %u overloaded %u",
      increase(counts.localQuota, before.localQuota), increase(counts.fleetQuota, before.fleetQuota),
      increase(counts.unknownCustomer, before.unknownCustomer), gauges.assumedBurstShare,
      increase(counts.noWorker, before.noWorker), increase(counts.concurrencyLimit, before.concurrencyLimit),
      increase(counts.overload, before.overload), gauges.concurrencyLimit, gauges.attemptsInFlight,
      gauges.workerShortage, workers.ready, workers.ejected, workers.warmingUp, workers.overloaded);
  lastSummaryAt_ = now;
  countsAtLastSummary_ = counts;
  actions_.log(line.data());
}

}  // namespace wingslip::decision
