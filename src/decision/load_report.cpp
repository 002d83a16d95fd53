/// Load reports: which of their figures count.
#include "decision/load_report.hpp"

#include <algorithm>
#include <optional>
#include <string>

namespace wingslip::decision {
namespace {

constexpr double kReportMemoryMs = 600;
constexpr Time kMinReportSpanMs = 50;        // that a report stands for; at 0 two at once would count as one
constexpr std::size_t kMinMeanReports = 10;  // behind the mean of all workers

// The other gateways' part of one figure; nothing where the figure does not tell of it.
std::optional<double> othersPart(const std::string& field, double figure, unsigned ownInFlight,
                                 unsigned gatewayCount) {
  // The worker counts the attempt that it answers.
  if (field == "inflight") return std::max(0.0, figure - ownInFlight - 1);
  if (field != "queue") return std::nullopt;
  const double part = figure * (gatewayCount - 1) / gatewayCount;
  if (part < 0) return std::nullopt;
  return std::max(0.0, part);
}

}  // namespace

void LoadReports::note(UpstreamWorker& worker, Time now, const std::vector<double>& report,
                       std::size_t workerCount) {
  const std::size_t count = std::min(report.size(), settings_.loadReportFields.size());
  for (std::size_t i = 0; i < count; ++i) {
    const std::optional<double> sample =
        othersPart(settings_.loadReportFields[i], report[i], worker.inFlight, settings_.gatewayCount);
    if (!sample) continue;
    worker.othersInFlight =
        approach(worker.othersInFlight, *sample, now - worker.othersAt + kMinReportSpanMs, kReportMemoryMs);
    worker.othersAt = now;
    const double meanMemory = static_cast<double>(std::max<std::size_t>(kMinMeanReports, workerCount));
    meanOthers_ = approach(meanOthers_, *sample, 1, meanMemory);
  }
}

}  // namespace wingslip::decision
