// The open-loop load of a run: clients that arrive at random, whatever became of those before them, each with
// one request to one gatekeeper of the front.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "judge.hpp"
#include "process.hpp"
#include "run_clock.hpp"
#include "scenario.hpp"

namespace wingslip::lab {

/// Poisson arrivals at the scenario's rate. Single-threaded, on the loop it is given. All that it is given
/// must outlive it.
class OpenLoad {
 public:
  /// `seed`: of the times, the gatekeepers picked, the customers and the requests' ids.
  OpenLoad(boost::asio::io_context& io, const Scenario& scenario, const std::vector<Gatekeeper>& gatekeepers,
           RunClock& clock, Judge& judge, std::uint64_t seed);

  /// Schedules the next arrival, and with it those after it until the end of the load.
  void arrive();

  int inFlight() const { return inFlight_; }

  /// Arrivals that found no gatekeeper in the front, or too many requests in flight.
  long notSent() const { return notSent_; }

 private:
  class Exchange;

  void send();
  std::vector<int> front() const;

  boost::asio::io_context& io_;
  const Scenario& scenario_;
  const std::vector<Gatekeeper>& gatekeepers_;
  RunClock& clock_;
  Judge& judge_;
  std::mt19937_64 random_;
  double nextS_ = 0;
  int inFlight_ = 0;
  long notSent_ = 0;
};

}  // namespace wingslip::lab
