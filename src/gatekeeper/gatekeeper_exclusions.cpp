/// Workers that operators exclude: from calls, from the state file, and from other gatekeepers.
#include "gatekeeper/gatekeeper.hpp"
#include "gatekeeper/gatekeeper_limits.hpp"
#include "net/log.hpp"

namespace wingslip {
namespace {

using decision::Time;
using decision::WorkerId;
using namespace std::chrono_literals;

constexpr auto kSyncInterval = 250ms;               // of the file, with the other process of a hot restart
constexpr const char* kExcludedTable = "excluded";  // replicated among gatekeepers
constexpr std::size_t kMaxNamed = 8192;             // workers

}  // namespace

// An exclusion that another gatekeeper, or this one before its restart, has received.
void Gatekeeper::replicated(const replication::Row& row) {
  if (row.table != kExcludedTable || row.key.empty()) return;
  const bool excluded = exclusions_.ids().contains(row.key);
  if (row.gone != excluded || !exclusions_.canExclude(row.key)) return;
  const auto before = exclusions_.ids();
  exclusions_.setWithoutWriting(row.key, !row.gone);  // many arrive together and are written at once
  applyExclusions(before);
}

ExclusionResult Gatekeeper::exclude(const std::string& workerId) {
  const ExclusionResult result = setExcluded(workerId, true);
  if (replica_ && result.isInEffect()) replica_->set(kExcludedTable, workerId, "1");
  return result;
}

ExclusionResult Gatekeeper::include(const std::string& workerId) {
  const ExclusionResult result = setExcluded(workerId, false);
  if (replica_ && result.isInEffect()) replica_->remove(kExcludedTable, workerId);
  return result;
}

ExclusionResult Gatekeeper::setExcluded(const std::string& id, bool excluded) {
  if (!named_.contains(id) && !exclusions_.ids().contains(id))
    return {ExclusionResult::Status::unknownWorker};
  if (excluded && !exclusions_.canExclude(id)) return {ExclusionResult::Status::tooManyExcluded};
  const auto before = exclusions_.ids();
  const std::error_code error = exclusions_.set(id, excluded);
  applyExclusions(before);
  processLog().info("event={} worker={} kept={}", excluded ? "excluded" : "included", id, !error);
  if (!error) return {};
  return {ExclusionResult::Status::notPersisted, error};
}

void Gatekeeper::applyExclusions(const std::set<std::string>& before) {
  const Time now = clock_.now();
  for (const std::string& id : exclusions_.ids()) {
    if (before.contains(id)) continue;
    const WorkerId worker = numberOf(id);
    gateway_.exclude(now, worker);
    pool_.quiet(worker);
    excluded_.insert(worker);
    monitor_.workerExcluded(worker, now);
  }
  for (const std::string& id : before) {
    if (exclusions_.ids().contains(id)) continue;
    const WorkerId worker = numberOf(id);
    excluded_.erase(worker);
    monitor_.workerIncluded(worker);
    gateway_.include(now, worker);
  }
}

// The other process of a hot restart may have received the operators' call, and what could not be written is
// tried again.
void Gatekeeper::followExclusions() {
  follow_.expires_after(kSyncInterval);
  follow_.async_wait([this](const Error& error) {
    if (error) return;
    const auto before = exclusions_.ids();
    if (exclusions_.sync()) applyExclusions(before);
    if (exclusions_.isLoaded()) settleOnce();
    followExclusions();
  });
}

void Gatekeeper::noteNamed(const std::string& id) {
  if (named_.size() < kMaxNamed || named_.contains(id)) named_.insert(id);
}

}  // namespace wingslip
