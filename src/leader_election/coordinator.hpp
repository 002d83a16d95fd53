/// Runs the leader election in the program: the state machine, the store's client and one timer on the loop,
/// and the answers to operators. Made only where the configuration names a store.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "config/config.hpp"
#include "leader_election/leader_election.hpp"
#include "leader_election/membership_task.hpp"
#include "leader_election/store_client.hpp"
#include "net/overload_manager.hpp"
#include "net/rate_limited_log.hpp"

namespace wingslip::leader_election {

/// Used on the loop's thread. The loop and the overload manager must outlive it.
class Coordinator : private ElectionHost {
 public:
  /// `candidates`: how many gatekeepers there are, as the settings say.
  Coordinator(boost::asio::io_context& io, const Coordination& settings, const std::string& name,
              unsigned candidates, std::uint64_t seed, OverloadManager& overloadManager);

  void start();
  /// SIGTERM, or another store from now on: acts stop, locks go back.
  void drain();
  /// After `drain`: ends the session once locks are given back, or after `maxWaitMs`; `done` follows 100 ms
  /// later.
  void leave(Time maxWaitMs, std::function<void()> done);

  /// Lines `svc.duty.NAME:VALUE|c` and `|g`.
  [[nodiscard]] std::string telemetry() const;
  /// The answer to the operators' call `duties`: a line `200 ...`, then one a task, then EOF.
  [[nodiscard]] std::string dutiesAnswer() const;
  /// The answer to the operators' call `roster`: one line a member, those that are not there first, 6 KiB at
  /// most.
  [[nodiscard]] std::string rosterAnswer() const;

 private:
  void callStore(const StoreCall& call) override { storeClient_.call(call); }
  void cancelCall(std::uint64_t callId) override { storeClient_.cancel(callId); }
  void logEvent(const std::string& line) override { log_.say(line); }

  [[nodiscard]] Time now() const;
  [[nodiscard]] bool isReadyToLeave() const;
  [[nodiscard]] Time nextDueAt() const;
  /// After every event: does what is due and sets the timer for what is next.
  void runDue();
  void endSession();
  void armTimer();

  LeaderElection election_;
  MembershipTask membership_;
  StoreClient storeClient_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer leaveTimer_;
  std::string lastStoreError_;
  std::function<void()> onLeft_;
  Time leaveBy_ = 0;
  Time drainedAt_ = 0;
  bool isEnding_ = false;
  RateLimitedLog log_{"duty"};
};

}  // namespace wingslip::leader_election
