/// SWIM failure detection: selection of probe targets, acknowledgement of the current probe, and probes
/// requested by other members.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "replication/membership.hpp"

namespace wingslip::replication {

/// Sends no messages itself. Not thread-safe; owned by `Replica`.
class FailureDetector {
 public:
  /// Ends the current probe, marks its target as suspect unless it was acknowledged, and returns the next
  /// target of a shuffled round over the live members. Returns nullopt at the end of a round; the next call
  /// starts a new one.
  [[nodiscard]] std::optional<std::string> nextTarget(Time now, Membership& membership,
                                                      std::mt19937_64& random);
  /// Records that the member `name` acknowledged a probe, sent by this member or by another on its behalf.
  void acknowledge(const std::string& name);
  /// Whether `name` is the target of the current probe and has not acknowledged it.
  [[nodiscard]] bool isAwaiting(const std::string& name) const { return name == target_ && !acknowledged_; }

  /// Records that `requester` waits for an acknowledgement by `target` of a probe that this member sends.
  void addProbeRequest(const std::string& target, const std::string& requester);
  /// Removes and returns the member that waits for an acknowledgement by `target`. If several members
  /// requested the probe, only the most recent one is recorded.
  [[nodiscard]] std::optional<std::string> takeProbeRequester(const std::string& target);

 private:
  std::vector<std::string> remainingTargets_;  // of the current round; the last element is probed next
  std::string target_;                         // of the current probe; empty: none
  bool acknowledged_ = true;
  std::map<std::string, std::string> requesterByTarget_;
};

}  // namespace wingslip::replication
