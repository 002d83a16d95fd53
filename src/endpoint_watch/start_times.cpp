// Implementation of the conversion of start times.
#include "endpoint_watch/start_times.hpp"

#include <algorithm>

namespace wingslip {

void StartTimes::correctClockOffset(double startedAtMs, Time receivedAt) {
  if (startedAtMs > 0) clockOffsetMs_ = std::min(clockOffsetMs_, receivedAt - startedAtMs);
}

WorkerStart StartTimes::startOf(decision::WorkerId worker, double startedAtMs, Time receivedAt,
                                bool isUpdate) {
  const auto found = workers_.find(worker);
  if (found != workers_.end() && found->second.startedAtMs == startedAtMs) return found->second.start;
  WorkerStart start;
  if (startedAtMs > 0) {
    const Time estimated = std::min(startedAtMs + clockOffsetMs_, receivedAt);
    start.slowStartFrom = isUpdate ? receivedAt : estimated;
    start.processStartedAt = isUpdate ? std::max(estimated, receivedAt - kMaxNotificationDelayMs) : estimated;
  }
  workers_[worker] = {startedAtMs, start};
  return start;
}

void StartTimes::removeUnlisted(const std::function<bool(decision::WorkerId)>& isListed) {
  if (workers_.size() <= kMaxWorkers) return;
  std::erase_if(workers_, [&](const auto& entry) { return !isListed(entry.first); });
}

}  // namespace wingslip
