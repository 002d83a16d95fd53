/// Worker table: updates from the endpoint list, and exclusion by an operator.
#include "decision/worker_table.hpp"

#include "decision/concurrency_limit.hpp"

namespace wingslip::decision {

void WorkerTable::applyUpdate(Time now, EndpointUpdate kind, const std::vector<Endpoint>& list) {
  if (kind != EndpointUpdate::delta)
    for (UpstreamWorker& worker : workers_) worker.endpoint.phase = WorkerPhase::removed;
  for (const Endpoint& endpoint : list) {
    UpstreamWorker* worker = find(endpoint.worker);
    if (!worker) {
      indexById_[endpoint.worker] = workers_.size();
      worker = &workers_.emplace_back();
      initialize(*worker, now);
    } else if (endpoint.startedAt != worker->endpoint.startedAt) {
      reset(*worker, now);
    }
    worker->endpoint = endpoint;
  }
}

void WorkerTable::eraseRemoved() {
  const auto dropped = std::erase_if(workers_, [](const UpstreamWorker& worker) {
    return worker.endpoint.phase == WorkerPhase::removed && worker.inFlight == 0;
  });
  if (dropped == 0) return;
  indexById_.clear();
  for (std::size_t i = 0; i < workers_.size(); ++i) indexById_[workers_[i].endpoint.worker] = i;
}

// The worker's process has restarted: discards all state of the previous process except its attempts in
// flight.
void WorkerTable::reset(UpstreamWorker& worker, Time now) {
  const Endpoint endpoint = worker.endpoint;
  const unsigned inFlight = worker.inFlight;
  worker = UpstreamWorker{};
  worker.endpoint = endpoint;
  worker.inFlight = inFlight;
  initialize(worker, now);
}

// The initial number of warm-up tokens is random, so that gateways in the same state do not all send at the
// same time.
void WorkerTable::initialize(UpstreamWorker& worker, Time now) {
  worker.latencyRatioAt = now;
  worker.othersInFlightAt = now;
  worker.warmUpTokensUpdatedAt = now;
  worker.warmUpTokens = random_.next();
  worker.limit = initialWorkerLimit(settings_.gatewayCount);
}

// The worker may have restarted during its exclusion without a new start time in the endpoint list yet, so
// its state is reset.
void WorkerTable::include(Time now, WorkerId id) {
  const auto found = excludedSince_.find(id);
  if (found == excludedSince_.end()) return;
  const Time excludedSince = found->second;
  excludedSince_.erase(found);
  UpstreamWorker* worker = find(id);
  if (!worker) return;
  reset(*worker, now);
  worker->lastResponseAt = now;
  if (worker->endpoint.startedAt < excludedSince) worker->reincludedAt = now;
}

WorkerCounts WorkerTable::counts(Time now) const {
  WorkerCounts out;
  for (const UpstreamWorker& worker : workers_) {
    if (worker.endpoint.phase == WorkerPhase::removed) continue;
    ++out.listed;
    if (!worker.isReady() || isExcluded(worker.endpoint.worker) || worker.isEjected(now)) ++out.unavailable;
  }
  return out;
}

}  // namespace wingslip::decision
