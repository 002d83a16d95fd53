/// This process's session at the store: creating and renewing it, the lease that follows from the renewals,
/// and the registration that lives as long as the session.
///
/// The lease counts from the moment the last successful renewal was *sent*, which is before the store counts
/// its TTL. So the lease ends before the store can end the session and give the lock to another.
#pragma once

#include <cstdint>
#include <string>

#include "leader_election/election_types.hpp"
#include "leader_election/retry_delay.hpp"
#include "leader_election/store_calls.hpp"

namespace wingslip::leader_election {

/// Owned by `LeaderElection`; single-threaded as that is.
class StoreSession {
 public:
  enum class Change { none, createdOrRenewed, lost };

  StoreSession(const Timing& timing, const ProcessIdentity& self, StoreCalls& calls, RandomDelay& random,
               ElectionCounts& counts);

  /// Returns when the first call is due.
  Time start(Time now);
  [[nodiscard]] Change onSessionReply(Time now, const StoreReply& reply, Time sentAt);
  void onRegistrationReply(Time now, const StoreReply& reply);

  /// Creates or renews the session where that is due. While draining none is created.
  void runDue(Time now, bool draining);
  [[nodiscard]] bool isRegistrationDue(Time now) const;
  void sendRegistration(Time now, const Registration& registration);
  /// Infinity: never by time alone.
  [[nodiscard]] Time nextDueAt(bool draining) const;

  /// The registration is written anew when the pause after a failed attempt is over.
  void markRegistrationChanged() { registrationChanged_ = true; }
  /// The registration is written anew at once.
  void registerNow(Time now);
  [[nodiscard]] bool isRegistrationSettled() const;

  /// Asks the store to end a session whose lease ran out, and renews it no more. Guards against renewals that
  /// arrive while their answers are lost: the lock would be held for ever by a process that may not act.
  void abandon(Time now);
  /// Asks the store to end the session.
  void end(Time now);

  [[nodiscard]] bool isLive() const { return live_; }
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] Time createdAt() const { return createdAt_; }
  [[nodiscard]] Time leaseEndsAt() const { return renewedAt_ + timing_.leaseMs(); }
  [[nodiscard]] bool isLeaseValid(Time now) const { return live_ && now < leaseEndsAt(); }

 private:
  void forgetSession(Time now);

  const Timing& timing_;
  const ProcessIdentity& self_;
  StoreCalls& calls_;
  RandomDelay& random_;
  ElectionCounts& counts_;

  std::string id_;
  bool live_ = false;
  Time createdAt_ = 0;
  Time renewedAt_ = 0;
  Time dueAt_ = 0;
  Backoff backoff_;
  std::uint64_t sessionCallId_ = 0;

  bool registrationChanged_ = true;
  Time registrationDueAt_ = 0;
  std::uint64_t registrationCallId_ = 0;
};

}  // namespace wingslip::leader_election
