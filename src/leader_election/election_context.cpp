#include "leader_election/election_context.hpp"

namespace wingslip::leader_election {

void ElectionContext::onStoreRollback(Time now, const std::string& what) {
  session.registerNow(now);
  if (now < noClaimsUntil) return;
  ++counts.storeRollbacks;
  noClaimsUntil = now + timing.ttlMs;
  host.logEvent("the store went back: " + what);
}

}  // namespace wingslip::leader_election
