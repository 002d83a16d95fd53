#include "replication/failure_detector.hpp"

#include <utility>

namespace wingslip::replication {

std::optional<std::string> FailureDetector::nextTarget(Time now, Membership& membership,
                                                       std::mt19937_64& random) {
  if (!target_.empty() && !acknowledged_) membership.suspect(now, target_);
  target_.clear();
  while (!remainingTargets_.empty()) {
    const std::string name = std::move(remainingTargets_.back());
    remainingTargets_.pop_back();
    const Membership::Member* member = membership.find(name);
    if (!member || !isLive(member->record.state)) continue;
    target_ = name;
    acknowledged_ = false;
    return name;
  }
  remainingTargets_ = membership.randomLive(membership.members().size(), random);
  return std::nullopt;
}

void FailureDetector::acknowledge(const std::string& name) {
  if (name == target_) acknowledged_ = true;
}

void FailureDetector::addProbeRequest(const std::string& target, const std::string& requester) {
  requesterByTarget_[target] = requester;
}

std::optional<std::string> FailureDetector::takeProbeRequester(const std::string& target) {
  const auto found = requesterByTarget_.find(target);
  if (found == requesterByTarget_.end()) return std::nullopt;
  std::string requester = std::move(found->second);
  requesterByTarget_.erase(found);
  return requester;
}

}  // namespace wingslip::replication
