/// Runs the leader election in the gatekeeper process: connects the state machine to the coordination store's
/// client and to a timer of the event loop, and answers operators' calls. Created only if the configuration
/// names a coordination store.
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

/// Used on the event loop's thread. The event loop and the overload manager must outlive it.
class Coordinator : private ElectionHost {
 public:
  /// `candidates`: number of gatekeepers in the fleet according to the settings.
  Coordinator(boost::asio::io_context& io, const CoordinationConfig& settings, const std::string& name,
              unsigned candidates, std::uint64_t seed, OverloadManager& overloadManager);

  /// Starts the election. Its first call to the store is made after a random delay.
  void start();
  /// Stops acting as leader and releases the locks. Called on SIGTERM and when the configuration changes to
  /// another store.
  void drain();
  /// Called after `drain`. Ends the session once the locks are released, or after `maxWaitMs` at the latest;
  /// `done` is called 100 ms later. Further calls have no effect.
  void shutDown(Time maxWaitMs, std::function<void()> done);

  /// Returns the metrics as lines `svc.duty.NAME:VALUE|c` (counters) and `|g` (gauges).
  [[nodiscard]] std::string telemetry() const;
  /// Returns the response to the operators' call `duties`: a line `200 ...`, one line per task, and `EOF`.
  [[nodiscard]] std::string dutiesResponse() const;
  /// Returns the response to the operators' call `roster`: one line per member, missing, draining and
  /// departed members first; at most 6 KiB.
  [[nodiscard]] std::string rosterResponse() const;

 private:
  void callStore(const StoreCall& call) override { storeClient_.call(call); }
  void cancelCall(std::uint64_t callId) override { storeClient_.cancel(callId); }
  void logEvent(const std::string& line) override { log_.warn(line); }

  [[nodiscard]] Time now() const;
  [[nodiscard]] bool isReadyToEndSession() const;
  [[nodiscard]] Time nextDueAt() const;
  /// Runs all actions that are due and arms the timer for the next one. Called after every event.
  void runDue();
  void endSession();
  void armTimer();

  LeaderElection election_;
  MembershipTask membership_;
  StoreClient storeClient_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer endSessionTimer_;
  std::string lastStoreError_;
  std::function<void()> onShutDownDone_;
  Time endSessionDeadline_ = 0;
  Time drainStartedAt_ = 0;
  bool isEndingSession_ = false;
  RateLimitedLog log_{"duty"};
};

}  // namespace wingslip::leader_election
