/// This process's session at the coordination store: its creation and renewal, the lease that follows from
/// the renewals, and the registration, which exists as long as the session.
///
/// The lease starts when the last successful renewal was *sent*, which is before the store restarts its TTL.
/// So the lease expires before the store can end the session and grant the lock to another process.
#pragma once

#include <cstdint>
#include <string>

#include "leader_election/election_types.hpp"
#include "leader_election/retry_delay.hpp"
#include "leader_election/store_calls.hpp"

namespace wingslip::leader_election {

/// Owned by `ElectionContext` and used on the election's thread.
class StoreSession {
 public:
  /// Effect of a reply on the session.
  enum class Change { none, createdOrRenewed, lost };

  StoreSession(const Timing& timing, const ProcessIdentity& self, StoreCalls& calls, RandomDelay& random,
               ElectionCounts& counts);

  /// Schedules the creation of the session after a random delay and returns when it is due.
  Time start(Time now);
  /// Handles the reply to a creation or renewal that was sent at `sentAt`.
  [[nodiscard]] Change onSessionReply(Time now, const StoreReply& reply, Time sentAt);
  /// Handles the reply to a write of the registration; schedules a retry if the write failed.
  void onRegistrationReply(Time now, const StoreReply& reply);

  /// Creates or renews the session if that is due. While draining, no session is created.
  void runDue(Time now, bool draining);
  /// Returns whether the registration has changed and can be written at `now`.
  [[nodiscard]] bool isRegistrationDue(Time now) const;
  /// Writes the registration to the store. Call it only if `isRegistrationDue`.
  void sendRegistration(Time now, const Registration& registration);
  /// Returns when `runDue` must be called next; infinity if nothing is scheduled.
  [[nodiscard]] Time nextDueAt(bool draining) const;

  /// Schedules a write of the registration, not before the retry delay after a failed attempt has elapsed.
  void markRegistrationChanged() { registrationChanged_ = true; }
  /// Schedules an immediate write of the registration, without the retry delay.
  void scheduleRegistration(Time now);
  /// Returns whether no write of the registration is in flight or, with a session, pending.
  [[nodiscard]] bool isRegistrationSettled() const;

  /// Ends a session whose lease has expired and stops renewing it. Otherwise, if renewals reach the
  /// store but their replies are lost, a process that may not act would own the lock indefinitely.
  void abandon(Time now);
  /// Sends the call that ends the session.
  void end(Time now);

  /// Whether a session exists, as far as this process knows.
  [[nodiscard]] bool isLive() const { return live_; }
  [[nodiscard]] const std::string& id() const { return id_; }
  /// When the call that created the session was sent.
  [[nodiscard]] Time createdAt() const { return createdAt_; }
  [[nodiscard]] Time leaseEndsAt() const { return renewedAt_ + timing_.leaseMs(); }
  [[nodiscard]] bool isLeaseValid(Time now) const { return live_ && now < leaseEndsAt(); }

 private:
  void clearSession(Time now);

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
