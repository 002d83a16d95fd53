/// SWIM's probes: whom to probe next, whether the running probe was acknowledged, and probes made for others.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "replication/membership.hpp"

namespace wingslip::replication {

/// Sends nothing itself; owned by `Replica`.
class FailureDetector {
 public:
  /// Ends the running probe, suspecting its target unless it was acknowledged, and picks the next target in a
  /// shuffled round over the live members. Nothing: the round has ended, the next call starts another.
  [[nodiscard]] std::optional<std::string> nextTarget(Time now, Membership& membership,
                                                      std::mt19937_64& random);
  /// `name` has answered a probe, of this member or of another on its behalf.
  void acknowledge(const std::string& name);
  /// Whether `name` is being probed and has not been acknowledged.
  [[nodiscard]] bool isAwaiting(const std::string& name) const { return name == target_ && !acknowledged_; }

  /// `requester` waits for an acknowledgement of `target` through this member.
  void addProbeRequest(const std::string& target, const std::string& requester);
  /// Who waits for one of `target`; the last requester alone, and once.
  [[nodiscard]] std::optional<std::string> takeProbeRequester(const std::string& target);

 private:
  std::vector<std::string> round_;  // targets left of this round, the next one last
  std::string target_;
  bool acknowledged_ = true;
  std::map<std::string, std::string> requesterByTarget_;
};

}  // namespace wingslip::replication
