/// Workers excluded by an operator: merges the operators' calls, the exclusions of the other process of an
/// upgrade and those replicated from other gatekeepers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "gatekeeper/exclusions.hpp"
#include "gatekeeper/ops_server.hpp"

namespace wingslip {

/// The workers that a change excludes and includes, as instance ids in ascending order.
struct ExclusionChange {
  std::vector<std::string> excluded;
  std::vector<std::string> included;
};

/// Owns the exclusions and their file. Used from the event loop's thread only.
class ExclusionControl {
 public:
  /// Receives the workers that a change excludes and includes; there may be none.
  using OnChange = std::function<void(const ExclusionChange&)>;

  /// Reads the file in `stateDir`.
  /// @param stateDir the state directory; empty: nothing is persisted
  /// @param onChange called after each call or synchronization that may change the exclusions, also from
  ///     within calls of this object
  ExclusionControl(boost::asio::io_context& io, const std::string& stateDir, OnChange onChange);

  /// Reports every excluded worker to the callback.
  void reportAll();
  /// Synchronizes with the file every 250 ms from now on: applies the changes that the other process of an
  /// upgrade has written, and retries writes that failed.
  /// @param onLoaded called after each synchronization, once the file has been read
  void startPeriodicSync(std::function<void()> onLoaded);

  /// False while every read of the file has failed with an I/O error, so that the excluded workers are not
  /// known. A missing, malformed or too large file counts as read.
  bool isLoaded() const { return exclusions_.isLoaded(); }
  /// Records that an endpoint list has named this worker: operators may exclude it. At most 8192 workers
  /// are recorded.
  void addListedWorker(const std::string& id);
  /// Excludes or includes a worker for an operator, and writes the file. Rejects an id that is neither
  /// excluded nor named by any list, and an exclusion beyond `Exclusions::kMaxExcluded`.
  ExclusionResult setExcluded(const std::string& id, bool excluded);
  /// Applies an exclusion or inclusion by another gatekeeper, or by this one before its restart. The next
  /// synchronization writes the file. Ignores an exclusion beyond `Exclusions::kMaxExcluded`.
  void onReplicated(const std::string& id, bool excluded);

 private:
  void scheduleSync();
  void reportChanges(const std::set<std::string>& idsBefore);

  Exclusions exclusions_;
  std::unordered_set<std::string> listedWorkers_;
  const OnChange onChange_;
  std::function<void()> onLoaded_;
  boost::asio::steady_timer syncTimer_;
};

}  // namespace wingslip
