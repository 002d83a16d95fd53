// The front of a fleet, as a load balancer keeps it: the gatekeepers that its health checks find ready.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <vector>

#include "process.hpp"
#include "run_clock.hpp"

namespace wingslip::lab {

/// The time between two health checks of one gatekeeper, and the longest that one takes.
constexpr auto kHealthEvery = std::chrono::milliseconds(250);

/// Keeps `Gatekeeper::inFront`: in at the first answer 200, out after some misses in a row. Single-threaded,
/// on the loop it is given. All that it is given must outlive it.
class Front {
 public:
  Front(boost::asio::io_context& io, std::vector<Gatekeeper>& gatekeepers, const RunClock& clock)
      : io_(io), gatekeepers_(gatekeepers), clock_(clock) {}

  /// Starts one health check of each gatekeeper.
  void check();

  bool allIn() const;

 private:
  class HealthCheck;

  void hit(int gatekeeper);
  void miss(int gatekeeper);

  boost::asio::io_context& io_;
  std::vector<Gatekeeper>& gatekeepers_;
  const RunClock& clock_;
};

}  // namespace wingslip::lab
