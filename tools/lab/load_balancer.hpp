/// The load balancer in front of the gatekeepers: decides by health checks which gatekeepers are in rotation.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <vector>

#include "process.hpp"
#include "run_clock.hpp"

namespace wingslip::lab {

/// Period of the health checks of one gatekeeper, and the timeout of a check.
constexpr auto kHealthCheckPeriod = std::chrono::milliseconds(250);

/// Maintains `Gatekeeper::inRotation`: a gatekeeper enters the rotation at the first answer 200 and leaves it
/// after several consecutive failed checks. Runs on the given loop; not thread-safe. Keeps references: the
/// arguments of the constructor must outlive it.
class LoadBalancer {
 public:
  LoadBalancer(boost::asio::io_context& io, std::vector<Gatekeeper>& gatekeepers, const RunClock& clock)
      : io_(io), gatekeepers_(gatekeepers), clock_(clock) {}

  /// Starts one health check of each gatekeeper.
  void check();

  /// Whether all gatekeepers are in rotation.
  bool allInRotation() const;

 private:
  class HealthCheck;

  void recordSuccess(int gatekeeper);
  void recordFailure(int gatekeeper);

  boost::asio::io_context& io_;
  std::vector<Gatekeeper>& gatekeepers_;
  const RunClock& clock_;
};

}  // namespace wingslip::lab
