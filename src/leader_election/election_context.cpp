#include "leader_election/election_context.hpp"

namespace wingslip::leader_election {

void ElectionContext::onStoreRollback(Time now, const std::string& reason) {
  session.scheduleRegistration(now);
  if (now < claimsBlockedUntil) return;
  ++counts.storeRollbacks;
  claimsBlockedUntil = now + timing.ttlMs;
  host.logEvent("coordination store lost state, no token is claimed for one session TTL: " + reason);
}

}  // namespace wingslip::leader_election
