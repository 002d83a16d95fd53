/// Periodic lines of the service log, by which on-call engineers distinguish the causes of an incident: final
/// responses, results of attempts, connections, and the largest buffers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "gatekeeper/client_server.hpp"
#include "gatekeeper/discovery_client.hpp"
#include "gatekeeper/upstream_pool.hpp"

namespace wingslip {

/// Final responses since the last report.
struct FinalResponseCounts {
  unsigned served = 0;
  unsigned rejected = 0;
  unsigned failed = 0;
};

/// Content of one report: counts since the last report unless noted otherwise, and current values.
struct ServiceSample {
  FinalResponseCounts responses;
  UpstreamPool::Stats upstream;
  ClientServer::Stats clients;
  DiscoveryClient::Stats discovery;
  std::size_t requestsInFlight = 0;
  std::size_t clientConnections = 0;
  std::size_t workerConnections = 0;
  std::uint64_t invariantsBroken = 0;  ///< since the start of the process
};

/// Writes one report to the service log.
void logServiceReport(const ServiceSample& sample);

/// Calls `report` every 5 s on the event loop until it is destroyed.
class ReportTimer {
 public:
  ReportTimer(boost::asio::io_context& io, std::function<void()> report);
  /// Schedules the next report.
  void start();

 private:
  const std::function<void()> report_;
  boost::asio::steady_timer timer_;
};

}  // namespace wingslip
