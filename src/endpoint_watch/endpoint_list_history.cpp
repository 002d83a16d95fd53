// Implementation of the handling of outdated endpoint lists.
#include "endpoint_watch/endpoint_list_history.hpp"

#include <algorithm>
#include <cstddef>

namespace wingslip {
namespace {

// Eight times the largest number of workers in a fleet; an entry takes about 170 bytes.
constexpr std::size_t kMaxRetired = 8192;

}  // namespace

bool EndpointListHistory::isOutdated(const EndpointList& list) const {
  if (requestGeneration_ >= 0) return list.generation < requestGeneration_;
  return list.generation < newestGeneration_ && !list.isSnapshot;
}

bool EndpointListHistory::accept(EndpointList& list) {
  if (isOutdated(list)) {
    requestSnapshot();
    return false;
  }
  if (list.generation < newestGeneration_) {
    markRetiredAsDraining(list);
  } else if (list.isSnapshot) {
    idsByGeneration_.clear();
    retired_.clear();
  }
  for (const EndpointEntry& entry : list.entries) record(entry, list.generation);
  requestGeneration_ = list.generation;
  newestGeneration_ = std::max(newestGeneration_, list.generation);
  return true;
}

// Prevents requests to a draining worker that an outdated list still names as ready.
void EndpointListHistory::markRetiredAsDraining(EndpointList& list) const {
  for (EndpointEntry& entry : list.entries) {
    const auto worker = retired_.find(entry.id);
    if (worker == retired_.end()) continue;
    const bool restarted = entry.startedAtMs > worker->second.startedAtMs;
    if (entry.phase == decision::WorkerPhase::ready && !restarted)
      entry.phase = decision::WorkerPhase::draining;
  }
}

void EndpointListHistory::record(const EndpointEntry& entry, long long generation) {
  if (entry.phase == decision::WorkerPhase::ready) {
    if (const auto worker = retired_.find(entry.id); worker != retired_.end()) removeRetired(worker);
    return;
  }
  const auto worker = retired_.try_emplace(entry.id).first;
  setGeneration(worker->first, worker->second, std::max(worker->second.generation, generation));
  worker->second.startedAtMs = std::max(worker->second.startedAtMs, entry.startedAtMs);
  if (retired_.size() <= kMaxRetired) return;
  removeRetired(retired_.find(std::string(idsByGeneration_.begin()->second)));
}

void EndpointListHistory::setGeneration(const std::string& id, RetiredWorker& worker, long long generation) {
  idsByGeneration_.erase({worker.generation, id});
  worker.generation = generation;
  idsByGeneration_.insert({generation, id});
}

void EndpointListHistory::removeRetired(RetiredById::iterator worker) {
  idsByGeneration_.erase({worker->second.generation, worker->first});
  retired_.erase(worker);
}

}  // namespace wingslip
