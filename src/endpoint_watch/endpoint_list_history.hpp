/// Which endpoint lists can be used when they arrive out of order. No I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "endpoint_watch/endpoint_list.hpp"

namespace wingslip {

/// Guards against lists that are older than what is known (an agent that lags, or a discovery service
/// restored from old state). The first such list is rejected, so that a snapshot is requested. If the
/// snapshot is old as well there is nothing better and it is used, but workers that were draining or removed
/// stay draining until a list newer than all before names them as ready, or they have restarted.
class EndpointListHistory {
 public:
  EndpointListHistory() = default;
  EndpointListHistory(const EndpointListHistory&) = delete;  // idsByGeneration_ refers to the ids in retired_
  EndpointListHistory& operator=(const EndpointListHistory&) = delete;

  /// The generation from which changes are to be requested; below 0: a snapshot is to be requested.
  long long requestGeneration() const { return requestGeneration_; }
  /// Requests a snapshot next, because what was received cannot be trusted.
  void requestSnapshot() { requestGeneration_ = -1; }
  /// Marks workers of an old list as draining where they are known to be.
  /// @return false: the list is rejected, and a snapshot is to be requested.
  bool accept(EndpointList& list);

 private:
  /// A worker that was draining or removed when it was last listed.
  struct RetiredWorker {
    long long generation = 0;  // the newest list that said so
    double startedAtMs = 0;
  };
  using RetiredById = std::map<std::string, RetiredWorker>;

  bool isOutdated(const EndpointList& list) const;
  void keepRetiredDraining(EndpointList& list) const;
  void record(const EndpointEntry& entry, long long generation);
  void setGeneration(const std::string& id, RetiredWorker& worker, long long generation);
  void forget(RetiredById::iterator worker);

  long long requestGeneration_ = -1;
  long long newestGeneration_ = -1;
  RetiredById retired_;
  std::set<std::pair<long long, std::string_view>> idsByGeneration_;  // of retired_, the oldest first
};

}  // namespace wingslip
