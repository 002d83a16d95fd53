/// The decision module's log: rate limit, and the text of the summary.
#include "decision/decision_log.hpp"

#include <array>
#include <cstdio>

namespace wingslip::decision {
namespace {

constexpr std::size_t kMaxSummaryBytes = 320;

}  // namespace

void DecisionLog::note(Time now, const char* line) {
  if (now - notedAt_ < kMinIntervalMs) return;
  notedAt_ = now;
  actions_.log(line);
}

void DecisionLog::summarize(Time now, const RejectionCounts& counts, const DecisionFigures& figures) {
  const auto since = [](std::uint64_t count, std::uint64_t before) {
    return static_cast<unsigned>(count - before);
  };
  const RejectionCounts& before = atLastSummary_;
  const ReadyWorkerCounts& workers = figures.workers;
  std::array<char, kMaxSummaryBytes> line{};
  std::snprintf(
      line.data(), line.size(),
      "rejected: local quota %u fleet quota %u unknown customer %u (reach %.2f) no worker %u "
      "(gateway's limit %u) overload %u; concurrency limit %.1f in flight %u worker shortage %.2f; "
      "workers ready %u ejected %u warming up %u overloaded %u",
      since(counts.localQuota, before.localQuota), since(counts.fleetQuota, before.fleetQuota),
      since(counts.unknownCustomer, before.unknownCustomer), figures.unknownCustomerReach,
      since(counts.noWorker, before.noWorker), since(counts.concurrencyLimit, before.concurrencyLimit),
      since(counts.overload, before.overload), figures.concurrencyLimit, figures.attemptsInFlight,
      figures.workerShortage, workers.ready, workers.ejected, workers.warmingUp, workers.overloaded);
  summaryAt_ = now;
  atLastSummary_ = counts;
  actions_.log(line.data());
}

}  // namespace wingslip::decision
