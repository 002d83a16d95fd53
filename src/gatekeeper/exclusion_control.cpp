#include "gatekeeper/exclusion_control.hpp"

#include <chrono>
#include <utility>

#include "net/http.hpp"
#include "net/log.hpp"

namespace wingslip {
namespace {

constexpr auto kFollowInterval = std::chrono::milliseconds(250);
constexpr std::size_t kMaxNamed = 8192;

}  // namespace

ExclusionControl::ExclusionControl(boost::asio::io_context& io, const std::string& stateDir, Changed changed)
    : exclusions_(stateDir), changed_(std::move(changed)), followTimer_(io) {}

void ExclusionControl::applyAll() { apply({}); }

void ExclusionControl::follow(std::function<void()> known) {
  onKnown_ = std::move(known);
  scheduleFollow();
}

void ExclusionControl::scheduleFollow() {
  followTimer_.expires_after(kFollowInterval);
  followTimer_.async_wait([this](const Error& error) {
    if (error) return;
    const auto before = exclusions_.ids();
    if (exclusions_.sync()) apply(before);
    if (exclusions_.isLoaded()) onKnown_();
    scheduleFollow();
  });
}

void ExclusionControl::addNamed(const std::string& id) {
  if (named_.size() < kMaxNamed || named_.contains(id)) named_.insert(id);
}

ExclusionResult ExclusionControl::set(const std::string& id, bool excluded) {
  if (!named_.contains(id) && !exclusions_.ids().contains(id))
    return {ExclusionResult::Status::unknownWorker};
  if (excluded && !exclusions_.canExclude(id)) return {ExclusionResult::Status::tooManyExcluded};
  const auto before = exclusions_.ids();
  const std::error_code error = exclusions_.set(id, excluded);
  apply(before);
  processLog().info("event={} worker={} kept={}", excluded ? "excluded" : "included", id, !error);
  if (!error) return {};
  return {ExclusionResult::Status::notPersisted, error};
}

void ExclusionControl::onReplicated(const std::string& id, bool excluded) {
  if (exclusions_.ids().contains(id) == excluded || !exclusions_.canExclude(id)) return;
  const auto before = exclusions_.ids();
  exclusions_.setWithoutWriting(id, excluded);  // many come together: written once for all of them
  apply(before);
}

void ExclusionControl::apply(const std::set<std::string>& before) {
  ExclusionChange change;
  for (const std::string& id : exclusions_.ids())
    if (!before.contains(id)) change.excluded.push_back(id);
  for (const std::string& id : before)
    if (!exclusions_.ids().contains(id)) change.included.push_back(id);
  changed_(change);
}

}  // namespace wingslip
