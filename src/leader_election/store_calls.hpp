/// The calls to the store that are under way, and what each is for.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "leader_election/election_types.hpp"

namespace wingslip::leader_election {

enum class CallPurpose {
  session,        ///< creates or renews this process's session
  registration,   ///< writes this process's registration
  lockWatch,      ///< blocking read of a task's lock and record
  step,           ///< the step that a candidacy takes
  registrations,  ///< a leader's blocking read of all registrations
  endSession      ///< nothing waits for its reply
};

struct PendingCall {
  CallPurpose purpose;
  std::size_t taskIndex = 0;
  Time sentAt = 0;
};

class StoreCalls {
 public:
  StoreCalls(const Timing& timing, ElectionHost& host) : timing_(timing), host_(host) {}

  /// Gives the call its id and time-out. Returns the id, which is never 0.
  std::uint64_t send(Time now, StoreCall call, CallPurpose purpose, std::size_t taskIndex = 0);
  /// Its reply will not come any more. 0: nothing is done.
  void cancel(std::uint64_t callId);
  /// Of a call whose reply has come. Nothing: it was cancelled.
  [[nodiscard]] std::optional<PendingCall> take(std::uint64_t callId);

 private:
  const Timing& timing_;
  ElectionHost& host_;
  std::unordered_map<std::uint64_t, PendingCall> pending_;
  std::uint64_t lastCallId_ = 0;
};

}  // namespace wingslip::leader_election
