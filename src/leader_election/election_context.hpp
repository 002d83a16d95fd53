/// State shared by the candidacies of one process: its session at the coordination store, its calls in flight
/// and its counters.
#pragma once

#include <string>

#include "leader_election/election_types.hpp"
#include "leader_election/retry_delay.hpp"
#include "leader_election/store_calls.hpp"
#include "leader_election/store_session.hpp"

namespace wingslip::leader_election {

/// Owned by `LeaderElection`. Neither copied nor moved, since its members refer to each other.
struct ElectionContext {
  ElectionContext(const Timing& electionTiming, const ProcessIdentity& identity, std::uint64_t seed,
                  ElectionHost& electionHost)
      : timing(electionTiming), self(identity), host(electionHost), random(seed) {}
  ElectionContext(const ElectionContext&) = delete;
  ElectionContext& operator=(const ElectionContext&) = delete;

  /// Called when the store has lost state, for example after a restore from an old snapshot. Registers the
  /// highest tokens that this process has seen and blocks claims for one TTL, in which the other processes
  /// register theirs. Guards against assigning a token twice.
  void onStoreRollback(Time now, const std::string& reason);

  const Timing timing;
  const ProcessIdentity self;
  ElectionHost& host;
  RandomDelay random;
  ElectionCounts counts;
  StoreCalls calls{timing, host};
  StoreSession session{timing, self, calls, random, counts};
  bool draining = false;
  Time claimsBlockedUntil = 0;  ///< no fencing token is claimed before this time
};

}  // namespace wingslip::leader_election
