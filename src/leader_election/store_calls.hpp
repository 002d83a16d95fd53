/// Calls to the coordination store that are in flight, with the purpose of each.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "leader_election/election_types.hpp"

namespace wingslip::leader_election {

/// Determines which part of the election handles the reply to a call.
enum class CallPurpose {
  session,        ///< creates or renews this process's session
  registration,   ///< writes this process's registration
  lockWatch,      ///< blocking read of a task's lock and record
  step,           ///< advances the state machine of a candidacy
  registrations,  ///< a leader's blocking read of all registrations
  endSession      ///< ends the session; its reply is ignored
};

/// A call in flight.
struct PendingCall {
  CallPurpose purpose;
  std::size_t taskIndex = 0;  ///< of the candidacy that sent it, if its purpose belongs to a task
  Time sentAt = 0;
};

/// Assigns ids and timeouts to calls and matches replies to them. Owned by `ElectionContext`; the timing and
/// the host must outlive it.
class StoreCalls {
 public:
  StoreCalls(const Timing& timing, ElectionHost& host) : timing_(timing), host_(host) {}

  /// Assigns the call its id and timeout and sends it. Returns the id, which is never 0.
  std::uint64_t send(Time now, StoreCall call, CallPurpose purpose, std::size_t taskIndex = 0);
  /// Cancels a call; a reply to it is ignored. Has no effect for id 0.
  void cancel(std::uint64_t callId);
  /// Removes and returns the call whose reply has arrived; `std::nullopt` if it was cancelled.
  [[nodiscard]] std::optional<PendingCall> take(std::uint64_t callId);

 private:
  const Timing& timing_;
  ElectionHost& host_;
  std::unordered_map<std::uint64_t, PendingCall> pending_;
  std::uint64_t lastCallId_ = 0;
};

}  // namespace wingslip::leader_election
