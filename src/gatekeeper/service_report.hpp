/// The service log's periodic lines, from which on-call engineers tell causes apart: final answers, how
/// attempts ended, connections, and the largest buffers.
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

/// Final answers since the last report.
struct FinalAnswerCounts {
  unsigned served = 0;
  unsigned rejected = 0;
  unsigned failed = 0;
};

/// What one report says: counts since the last one, and the present state.
struct ServiceSample {
  FinalAnswerCounts answers;
  UpstreamPool::Stats upstream;
  ClientServer::Stats clients;
  DiscoveryClient::Stats discovery;
  std::size_t requestsInFlight = 0;
  std::size_t clientConnections = 0;
  std::size_t workerConnections = 0;
  std::uint64_t invariantsBroken = 0;
};

/// Writes one report.
void logServiceReport(const ServiceSample& sample);

/// Calls `report` every 5 s on the event loop, for as long as it lives.
class ReportTimer {
 public:
  ReportTimer(boost::asio::io_context& io, std::function<void()> report);
  void start();

 private:
  const std::function<void()> report_;
  boost::asio::steady_timer timer_;
};

}  // namespace wingslip
