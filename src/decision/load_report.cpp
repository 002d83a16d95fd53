/// Load reports: estimates the other gateways' attempts in flight from the reported figures.
#include "decision/load_report.hpp"

#include <algorithm>
#include <optional>
#include <string>

namespace wingslip::decision {
namespace {

constexpr double kSmoothingTimeConstantMs = 600;
// Added to the time since the previous report, which determines a report's weight; at 0, the second of two
// simultaneous reports would have no weight.
constexpr Time kAddedReportIntervalMs = 50;
constexpr std::size_t kMinMeanWindowReports = 10;  // minimum window of the mean over all workers

// The other gateways' attempts in flight according to one figure of a report; no value where the figure is
// not related to them.
std::optional<double> othersInFlightSample(const std::string& field, double figure, unsigned ownInFlight,
                                           unsigned gatewayCount) {
  // The figure includes the attempt whose answer carried the report; `ownInFlight` no longer includes it.
  if (field == "inflight") return std::max(0.0, figure - ownInFlight - 1);
  if (field != "queue") return std::nullopt;
  const double estimate = figure * (gatewayCount - 1) / gatewayCount;
  if (estimate < 0) return std::nullopt;
  return std::max(0.0, estimate);
}

}  // namespace

void LoadReports::record(UpstreamWorker& worker, Time now, const std::vector<double>& report,
                         std::size_t workerCount) {
  const std::size_t count = std::min(report.size(), settings_.loadReportFields.size());
  for (std::size_t i = 0; i < count; ++i) {
    const std::optional<double> sample = othersInFlightSample(settings_.loadReportFields[i], report[i],
                                                              worker.inFlight, settings_.gatewayCount);
    if (!sample) continue;
    worker.othersInFlight =
        decayedAverage(worker.othersInFlight, *sample, now - worker.othersInFlightAt + kAddedReportIntervalMs,
                       kSmoothingTimeConstantMs);
    worker.othersInFlightAt = now;
    const double windowReports =
        static_cast<double>(std::max<std::size_t>(kMinMeanWindowReports, workerCount));
    meanOthersInFlight_ = decayedAverage(meanOthersInFlight_, *sample, 1, windowReports);
  }
}

}  // namespace wingslip::decision
