#include "endpoint_watch/start_times.hpp"

#include <algorithm>

namespace wingslip {

void StartTimes::hear(double startedAtMs, Time told) {
  if (startedAtMs > 0) offset_ = std::min(offset_, told - startedAtMs);
}

WorkerStart StartTimes::startOf(decision::WorkerId worker, double startedAtMs, Time told, bool live) {
  const auto found = known_.find(worker);
  if (found != known_.end() && found->second.startedAtMs == startedAtMs) return found->second.start;
  WorkerStart start;
  if (startedAtMs > 0) {
    const Time hinted = std::min(startedAtMs + offset_, told);
    start.warmFrom = live ? told : hinted;
    start.processFrom = live ? std::max(hinted, told - kMostDelay) : hinted;
  }
  known_[worker] = {startedAtMs, start};
  return start;
}

void StartTimes::trim(const std::function<bool(decision::WorkerId)>& listed) {
  if (known_.size() <= kMostHeld) return;
  std::erase_if(known_, [&](const auto& entry) { return !listed(entry.first); });
}

}  // namespace wingslip
