/// Limits, reports and periodic synchronization of the exclusions. See exclusion_control.hpp.
#include "gatekeeper/exclusion_control.hpp"

#include <chrono>
#include <utility>

#include "net/http.hpp"
#include "net/log.hpp"

namespace wingslip {
namespace {

constexpr auto kSyncInterval = std::chrono::milliseconds(250);
constexpr std::size_t kMaxListedWorkers = 8192;

}  // namespace

ExclusionControl::ExclusionControl(boost::asio::io_context& io, const std::string& stateDir,
                                   OnChange onChange)
    : exclusions_(stateDir), onChange_(std::move(onChange)), syncTimer_(io) {}

void ExclusionControl::reportAll() { reportChanges({}); }

void ExclusionControl::startPeriodicSync(std::function<void()> onLoaded) {
  onLoaded_ = std::move(onLoaded);
  scheduleSync();
}

void ExclusionControl::scheduleSync() {
  syncTimer_.expires_after(kSyncInterval);
  syncTimer_.async_wait([this](const Error& error) {
    if (error) return;
    const auto idsBefore = exclusions_.ids();
    if (exclusions_.sync()) reportChanges(idsBefore);
    if (exclusions_.isLoaded()) onLoaded_();
    scheduleSync();
  });
}

void ExclusionControl::addListedWorker(const std::string& id) {
  if (listedWorkers_.size() < kMaxListedWorkers || listedWorkers_.contains(id)) listedWorkers_.insert(id);
}

ExclusionResult ExclusionControl::setExcluded(const std::string& id, bool excluded) {
  if (!listedWorkers_.contains(id) && !exclusions_.ids().contains(id))
    return {ExclusionResult::Status::unknownWorker};
  if (excluded && !exclusions_.canExclude(id)) return {ExclusionResult::Status::tooManyExcluded};
  const auto idsBefore = exclusions_.ids();
  const std::error_code error = exclusions_.set(id, excluded);
  reportChanges(idsBefore);
  processLog().info("event={} worker={} kept={}", excluded ? "excluded" : "included", id, !error);
  if (!error) return {};
  return {ExclusionResult::Status::notPersisted, error};
}

void ExclusionControl::onReplicated(const std::string& id, bool excluded) {
  if (exclusions_.ids().contains(id) == excluded || !exclusions_.canExclude(id)) return;
  const auto idsBefore = exclusions_.ids();
  // Replicated changes arrive in batches: the next sync writes the file once for all of them.
  exclusions_.setWithoutWriting(id, excluded);
  reportChanges(idsBefore);
}

void ExclusionControl::reportChanges(const std::set<std::string>& idsBefore) {
  ExclusionChange change;
  for (const std::string& id : exclusions_.ids())
    if (!idsBefore.contains(id)) change.excluded.push_back(id);
  for (const std::string& id : idsBefore)
    if (!exclusions_.ids().contains(id)) change.included.push_back(id);
  onChange_(change);
}

}  // namespace wingslip
