/// What the candidacies of one process share: its session at the store, its calls, its counts.
#pragma once

#include <string>

#include "leader_election/election_types.hpp"
#include "leader_election/retry_delay.hpp"
#include "leader_election/store_calls.hpp"
#include "leader_election/store_session.hpp"

namespace wingslip::leader_election {

/// Owned by `LeaderElection`, and at one place in memory while that lives: members refer to each other.
struct ElectionContext {
  ElectionContext(const Timing& electionTiming, const ProcessIdentity& identity, std::uint64_t seed,
                  ElectionHost& electionHost)
      : timing(electionTiming), self(identity), host(electionHost), random(seed) {}
  ElectionContext(const ElectionContext&) = delete;
  ElectionContext& operator=(const ElectionContext&) = delete;

  /// The store may have forgotten tokens: every process registers what it has seen, and no token is claimed
  /// for a TTL. Guards against giving a token twice.
  void onStoreRollback(Time now, const std::string& what);

  const Timing timing;
  const ProcessIdentity self;
  ElectionHost& host;
  RandomDelay random;
  ElectionCounts counts;
  StoreCalls calls{timing, host};
  StoreSession session{timing, self, calls, random, counts};
  bool draining = false;
  Time noClaimsUntil = 0;
};

}  // namespace wingslip::leader_election
