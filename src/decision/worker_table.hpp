/// The workers by identifier, and those that operators have excluded.
#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "decision/random.hpp"
#include "decision/upstream_worker.hpp"

namespace wingslip::decision {

/// Owns the workers. References to them hold until the next change of the list.
class WorkerTable {
 public:
  /// What it is made with outlives it.
  WorkerTable(const Settings& settings, Random& random) : settings_(settings), random_(random) {}

  /// Takes in a list or its changes; those removed stay until `dropRemoved`.
  void merge(Time now, EndpointUpdate kind, const std::vector<Endpoint>& list);
  /// Forgets removed workers without attempts in flight.
  void dropRemoved();

  /// Null where it is not listed.
  UpstreamWorker* find(WorkerId id) {
    const auto found = indexes_.find(id);
    return found == indexes_.end() ? nullptr : &workers_[found->second];
  }
  /// In the order of their first listing.
  std::vector<UpstreamWorker>& all() { return workers_; }
  const std::vector<UpstreamWorker>& all() const { return workers_; }
  std::size_t size() const { return workers_.size(); }

  /// Exclusions stand apart from the list and from health, so that no update of either ends one.
  void exclude(Time now, WorkerId id) { excludedSince_.try_emplace(id, now); }
  void include(Time now, WorkerId id);
  bool isExcluded(WorkerId id) const { return excludedSince_.contains(id); }

  WorkerCounts counts(Time now) const;

 private:
  void reset(UpstreamWorker& worker, Time now);
  void start(UpstreamWorker& worker, Time now);

  const Settings& settings_;
  Random& random_;
  std::vector<UpstreamWorker> workers_;
  std::unordered_map<WorkerId, std::size_t> indexes_;  // in workers_
  std::unordered_map<WorkerId, Time> excludedSince_;
};

}  // namespace wingslip::decision
