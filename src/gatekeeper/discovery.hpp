// Discovery: keeps a watch on the list of workers open and hands on what it tells.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "endpoint_watch/endpoint_list.hpp"
#include "endpoint_watch/endpoint_watch.hpp"
#include "net/overload_manager.hpp"

namespace wingslip {

class Discovery {
 public:
  using Told = std::function<void(const Roster&)>;

  // `known`: the list that is known already, or one of a generation below 0. `seed`: of its share of the
  // chance.
  Discovery(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& agent, Roster known,
            const Watch::Limits& limits, std::uint64_t seed, Told told, OverloadManager& pressure);
  ~Discovery();
  // What happened since the last look, for the service log.
  struct Stats {
    std::size_t read = 0;         // bytes
    std::size_t longestLine = 0;  // bytes of one line, whole or not yet
    unsigned lists = 0;           // lines that told of workers
    std::uint64_t calls = 0;      // connections begun, since the start
  };
  Stats takeStats();
  void start();
  // Another agent from now on, unless it is the same; it is asked for what has changed since the last version
  // told.
  void moveTo(const boost::asio::ip::tcp::endpoint& agent, const Watch::Limits& limits);
  void stop();

 private:
  class Link;
  std::shared_ptr<Link> link_;
};

}  // namespace wingslip
