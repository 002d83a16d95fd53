/// Client of service discovery: maintains a watch on the endpoint list and passes on the lists it receives.
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

/// Watches the endpoint list at one discovery agent, and reconnects when the connection is lost. Used from
/// the event loop's thread only.
class DiscoveryClient {
 public:
  /// Receives each accepted list; under overload, lists that arrive together are merged into one.
  using OnEndpointList = std::function<void(const EndpointList&)>;

  /// Statistics for the service log, counted since the last `takeStats` unless noted otherwise.
  struct Stats {
    std::size_t bytesRead = 0;            ///< from the agent, HTTP headers included
    std::size_t longestMessageBytes = 0;  ///< of complete and incomplete messages
    unsigned lists = 0;                   ///< endpoint lists received
    std::uint64_t connects = 0;           ///< connection attempts since the process started
  };

  /// @param agent address of the discovery agent
  /// @param initialList the list to start from; if its generation is below 0 there is none, and a
  ///     snapshot is requested
  /// @param limits timeouts and backoff of the watch
  /// @param seed seed of the random backoff delays
  /// @param onEndpointList called with each list that is accepted; may call `stop`
  /// @param overloadManager must outlive this
  DiscoveryClient(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& agent,
                  EndpointList initialList, const EndpointWatch::Limits& limits, std::uint64_t seed,
                  OnEndpointList onEndpointList, OverloadManager& overloadManager);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  /// Starts the watch.
  void start();
  /// Closes the connection and ends the watch; no list is passed on afterwards.
  void stop();
  /// Applies new limits. If the agent's address differs, also reconnects to the new one and requests the
  /// changes since the last list.
  void setAgent(const boost::asio::ip::tcp::endpoint& agent, const EndpointWatch::Limits& limits);
  /// Returns the statistics and resets them, except `connects`.
  Stats takeStats();

 private:
  class Connection;
  std::shared_ptr<Connection> connection_;
};

}  // namespace wingslip
