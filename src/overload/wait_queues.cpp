// Implementation of the wait queue statistics and of their output.
#include "overload/wait_queues.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace wingslip {

void WaitQueues::QueueEntry::enter(WaitQueues& queues, WaitQueue queue, Time now) {
  leave();
  queues_ = &queues;
  queue_ = queue;
  since_ = now;
  Record& record = queues.record(queue);
  record.entries.push_back(*this);
  ++record.waiting;
  record.peak = std::max(record.peak, record.waiting);
  record.everEntered = true;
}

void WaitQueues::QueueEntry::leave() {
  if (!queues_) return;
  unlink();
  --queues_->record(queue_).waiting;
  queues_ = nullptr;
}

void WaitQueues::setExternalSource(WaitQueue queue, ExternalSource externalSource) {
  record(queue).externalSource = std::move(externalSource);
}

WaitQueues::Statistics WaitQueues::statistics(WaitQueue queue, Time now) const {
  const Record& queueRecord = record(queue);
  Statistics statistics;
  if (queueRecord.externalSource) statistics = queueRecord.externalSource(now);
  statistics.waiting += queueRecord.waiting;
  statistics.peak = std::max(statistics.peak, queueRecord.peak);
  statistics.rejections += queueRecord.rejections;
  if (!queueRecord.entries.empty())
    statistics.oldestMs = std::max(statistics.oldestMs, now - queueRecord.entries.front().since());
  return statistics;
}

std::string WaitQueues::telemetry(Time now) const {
  std::string out;
  for (std::size_t i = 0; i < kWaitQueues; ++i) {
    const Statistics current = statistics(static_cast<WaitQueue>(i), now);
    const char* name = kWaitQueueNames[i].data();
    char lines[320];
    const int length =
        std::snprintf(lines, sizeof lines,
                      "svc.wait.%s.now:%zu|g\nsvc.wait.%s.most:%zu|g\nsvc.wait.%s.oldest_ms:%.0f|g\n"
                      "svc.wait.%s.turned_away:%llu|c\n",
                      name, current.waiting, name, current.peak, name, std::max(0.0, current.oldestMs), name,
                      static_cast<unsigned long long>(current.rejections));
    out.append(lines, static_cast<std::size_t>(std::clamp<int>(length, 0, sizeof lines - 1)));
  }
  return out;
}

std::string WaitQueues::logLine(Time now) const {
  std::string out;
  for (std::size_t i = 0; i < kWaitQueues; ++i) {
    const Statistics current = statistics(static_cast<WaitQueue>(i), now);
    if (current.waiting == 0 && current.rejections == 0) continue;
    char part[96];
    const int length =
        std::snprintf(part, sizeof part, "%swait.%s=%zu/%zu/%.0f/%llu", out.empty() ? "" : " ",
                      kWaitQueueNames[i].data(), current.waiting, current.peak,
                      std::max(0.0, current.oldestMs), static_cast<unsigned long long>(current.rejections));
    out.append(part, static_cast<std::size_t>(std::clamp<int>(length, 0, sizeof part - 1)));
  }
  return out;
}

}  // namespace wingslip
