// Calls to a coordination store in the manner of Consul's HTTP API (session, kv), on the program's loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "leader_election/leader_election.hpp"
#include "net/http_client.hpp"
#include "net/overload_manager.hpp"

namespace wingslip::leader_election {

class StoreClient {
 public:
  static constexpr std::size_t kMostCalls = 8;  // at once; more are answered as failed
  static constexpr std::size_t kMostBody = std::size_t{2} << 20;

  using Replied = std::function<void(std::uint64_t ask, const Reply& reply, const std::string& error)>;
  StoreClient(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& store,
              OverloadManager& pressure, Replied replied);

  // Answered once, from a handler of its own, never from within.
  void ask(const Ask& ask);
  void drop(std::uint64_t ask);  // ends the call; it is not answered

 private:
  void ended(std::uint64_t id, const HttpClient::Response* response, const std::string& error);

  const boost::asio::ip::tcp::endpoint store_;
  const Replied replied_;
  std::unordered_map<std::uint64_t, Call> kinds_;
  HttpClient calls_;
};

// The method and target of a call, and its body; pure.
struct HttpCall {
  bool put = false;
  std::string target, body;
};
HttpCall httpCallOf(const Ask& ask);
// Reads an answer: its status, its `X-Consul-Index` ("" where it is missing) and its body. Throws
// std::runtime_error with one plain line on anything that is not an answer to this call.
Reply readReply(Call call, unsigned status, std::string_view index, const std::string& body);

}  // namespace wingslip::leader_election
