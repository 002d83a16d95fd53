/// Decides whether a received endpoint list is usable when lists arrive out of order. No I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "endpoint_watch/endpoint_list.hpp"

namespace wingslip {

/// Handles lists that are older than those received before: from an agent that lags, or from a discovery
/// service that was restored from old state. The first outdated list is rejected, so that a snapshot is
/// requested. If the snapshot is outdated as well, it is used because no newer list is available, but workers
/// that were draining or removed stay draining until a list newer than all lists before it names them as
/// ready, or until they restart.
class EndpointListHistory {
 public:
  EndpointListHistory() = default;
  EndpointListHistory(const EndpointListHistory&) = delete;  // idsByGeneration_ refers to the ids in retired_
  EndpointListHistory& operator=(const EndpointListHistory&) = delete;

  /// The generation from which changes are to be requested; below 0: a snapshot is to be requested.
  long long requestGeneration() const { return requestGeneration_; }
  /// Makes the next request one for a snapshot; to be called if a received list is outdated or malformed.
  void requestSnapshot() { requestGeneration_ = -1; }
  /// Records a list that was received. In an outdated snapshot that is accepted, sets the workers that are
  /// known to be retired to draining.
  /// @return false if the list is rejected and a snapshot is to be requested
  bool accept(EndpointList& list);

 private:
  /// A worker that was draining or removed when it was last listed.
  struct RetiredWorker {
    long long generation = 0;  // of the newest list that named it as draining or removed
    double startedAtMs = 0;    // latest start of its process, Unix time in ms; 0: long ago, or not given
  };
  using RetiredById = std::map<std::string, RetiredWorker>;

  bool isOutdated(const EndpointList& list) const;
  void markRetiredAsDraining(EndpointList& list) const;
  void record(const EndpointEntry& entry, long long generation);
  void setGeneration(const std::string& id, RetiredWorker& worker, long long generation);
  void removeRetired(RetiredById::iterator worker);

  long long requestGeneration_ = -1;
  long long newestGeneration_ = -1;
  RetiredById retired_;
  std::set<std::pair<long long, std::string_view>> idsByGeneration_;  // index of retired_, oldest first
};

}  // namespace wingslip
