/// Client of service discovery: keeps a watch on the endpoint list open and passes on what it receives.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "endpoint_watch/endpoint_list.hpp"
#include "endpoint_watch/endpoint_watch.hpp"
#include "net/overload_manager.hpp"

namespace wingslip {

/// Used from the event loop's thread only.
class DiscoveryClient {
 public:
  using OnEndpointList = std::function<void(const EndpointList&)>;

  /// Since the last `takeStats`, for the service log.
  struct Stats {
    std::size_t bytesRead = 0;
    std::size_t longestMessageBytes = 0;  ///< complete or not
    unsigned lists = 0;                   ///< endpoint lists received
    std::uint64_t connects = 0;           ///< connections attempted since the process's start
  };

  /// @param known the list that is known already, or one of a generation below 0
  /// @param seed of the random delays
  /// @param onEndpointList called with each list that is accepted; may call `stop`
  /// @param overloadManager must outlive this
  DiscoveryClient(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& agent,
                  EndpointList known, const EndpointWatch::Limits& limits, std::uint64_t seed,
                  OnEndpointList onEndpointList, OverloadManager& overloadManager);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  void start();
  void stop();
  /// Uses another agent, unless it is the same, and requests the changes since the last list.
  void setAgent(const boost::asio::ip::tcp::endpoint& agent, const EndpointWatch::Limits& limits);
  Stats takeStats();

 private:
  class Connection;
  std::shared_ptr<Connection> connection_;
};

}  // namespace wingslip
