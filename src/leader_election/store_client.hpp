/// HTTP client of the coordination store, on the program's event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "leader_election/election_types.hpp"
#include "net/http_client.hpp"
#include "net/overload_manager.hpp"

namespace wingslip::leader_election {

/// Sends each `StoreCall` as an HTTP request. Used on the event loop's thread. The event loop and the
/// overload manager must outlive it.
class StoreClient {
 public:
  static constexpr std::size_t kMaxConcurrentCalls = 8;               ///< calls beyond this limit fail
  static constexpr std::size_t kMaxBodyBytes = std::size_t{2} << 20;  ///< a longer response fails the call

  /// `error` is a one-line message, empty if the store returned a usable response.
  using OnReply =
      std::function<void(std::uint64_t callId, const StoreReply& reply, const std::string& error)>;

  StoreClient(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& store,
              OverloadManager& overloadManager, OnReply onReply);

  /// Sends a call. `onReply` is called once for it, from a later event of the loop and never from within
  /// `call`.
  void call(const StoreCall& call);
  /// Cancels the call; `onReply` is not called for it.
  void cancel(std::uint64_t callId);

 private:
  void onResponse(std::uint64_t callId, const HttpClient::Response* response, const std::string& error);

  const boost::asio::ip::tcp::endpoint store_;
  const OnReply onReply_;
  std::unordered_map<std::uint64_t, StoreOperation> operationsInFlight_;  // by call id
  HttpClient httpClient_;
};

}  // namespace wingslip::leader_election
