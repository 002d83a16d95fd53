/// Calls to the coordination store over HTTP, on the program's loop.
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

/// Used on the loop's thread. The loop and the overload manager must outlive it.
class StoreClient {
 public:
  static constexpr std::size_t kMaxConcurrentCalls = 8;  ///< further ones fail
  static constexpr std::size_t kMaxBodyBytes = std::size_t{2} << 20;

  /// `error`: one line, empty where the store gave a usable answer.
  using OnReply =
      std::function<void(std::uint64_t callId, const StoreReply& reply, const std::string& error)>;

  StoreClient(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& store,
              OverloadManager& overloadManager, OnReply onReply);

  /// Replied once, from a handler of its own, never from within.
  void call(const StoreCall& call);
  /// Ends the call; there is no reply.
  void cancel(std::uint64_t callId);

 private:
  void onResponse(std::uint64_t callId, const HttpClient::Response* response, const std::string& error);

  const boost::asio::ip::tcp::endpoint store_;
  const OnReply onReply_;
  std::unordered_map<std::uint64_t, StoreOperation> operations_;  // under way, by call
  HttpClient httpClient_;
};

}  // namespace wingslip::leader_election
