/// The workers by identifier, and those that operators have excluded.
#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "decision/random.hpp"
#include "decision/upstream_worker.hpp"

namespace wingslip::decision {

/// Owns the workers. References to them are valid until the next `applyUpdate` or `eraseRemoved`.
class WorkerTable {
 public:
  /// The arguments must outlive the table.
  WorkerTable(const Settings& settings, Random& random) : settings_(settings), random_(random) {}

  /// Applies an endpoint list or changes to it. Workers that a complete list does not contain are marked as
  /// removed; removed workers remain in the table until `eraseRemoved`. A worker whose start time has changed
  /// is a new process and is reset.
  void applyUpdate(Time now, EndpointUpdate kind, const std::vector<Endpoint>& list);
  /// Erases removed workers without attempts in flight.
  void eraseRemoved();

  /// Returns the worker, or null where the table does not contain it.
  UpstreamWorker* find(WorkerId id) {
    const auto found = indexById_.find(id);
    return found == indexById_.end() ? nullptr : &workers_[found->second];
  }
  /// All workers, in the order in which they were first listed.
  std::vector<UpstreamWorker>& all() { return workers_; }
  const std::vector<UpstreamWorker>& all() const { return workers_; }
  std::size_t size() const { return workers_.size(); }

  /// Excludes a worker, listed or not, until `include`. Exclusions are stored apart from the endpoint list
  /// and from health, so that no update of either ends an exclusion.
  void exclude(Time now, WorkerId id) { excludedSince_.try_emplace(id, now); }
  /// Ends an exclusion: resets the worker's state and restarts its slow start, unless its process has started
  /// during the exclusion. No effect on a worker that is not excluded.
  void include(Time now, WorkerId id);
  bool isExcluded(WorkerId id) const { return excludedSince_.contains(id); }

  /// Counts the listed workers and, among them, those excluded, draining or ejected.
  WorkerCounts counts(Time now) const;

 private:
  void reset(UpstreamWorker& worker, Time now);
  void initialize(UpstreamWorker& worker, Time now);

  const Settings& settings_;
  Random& random_;
  std::vector<UpstreamWorker> workers_;
  std::unordered_map<WorkerId, std::size_t> indexById_;  // index in workers_ by identifier
  std::unordered_map<WorkerId, Time> excludedSince_;     // start of each exclusion
};

}  // namespace wingslip::decision
