// The open-loop load of a run: clients arrive at random times, independent of the outcome of earlier
// requests, and each sends one request to one of the gatekeepers in rotation.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "process.hpp"
#include "run_clock.hpp"
#include "run_verifier.hpp"
#include "scenario.hpp"

namespace wingslip::lab {

/// Poisson arrivals at the scenario's rate. Single-threaded, on the event loop `io`. All constructor
/// arguments passed by reference must outlive it.
class OpenLoad {
 public:
  /// `seed` determines the arrival times, the choice of gatekeepers and customers, and the ids of requests.
  OpenLoad(boost::asio::io_context& io, const Scenario& scenario, const std::vector<Gatekeeper>& gatekeepers,
           RunClock& clock, RunVerifier& verifier, std::uint64_t seed);

  /// Schedules the next arrival; each arrival schedules the one after it until the end of the load.
  void scheduleNextArrival();

  /// The number of requests sent and not yet ended.
  int inFlight() const { return inFlight_; }

  /// The number of arrivals not sent because no gatekeeper was in rotation or too many requests were in
  /// flight.
  long notSent() const { return notSent_; }

 private:
  class Exchange;

  void send();
  std::vector<int> gatekeepersInRotation() const;

  boost::asio::io_context& io_;
  const Scenario& scenario_;
  const std::vector<Gatekeeper>& gatekeepers_;
  RunClock& clock_;
  RunVerifier& verifier_;
  std::mt19937_64 random_;
  double nextS_ = 0;
  int inFlight_ = 0;
  long notSent_ = 0;
};

}  // namespace wingslip::lab
