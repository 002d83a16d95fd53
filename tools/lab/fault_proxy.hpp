/// The fault proxy on a link from a gatekeeper to a worker, its agent or the store.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>

#include "loopback_listener.hpp"

namespace wingslip::lab {

enum class LinkMode { pass, cut, blackhole, oneway, delay, throttle };

/// A fault proxy between one gatekeeper and one port: a worker, its discovery agent or the store.
class Proxy {
 public:
  Proxy(asio::io_context& io, int gatekeeper, unsigned short towards, LinkOf& links);
  unsigned short port() const { return port_; }
  /// A link that has dropped bytes is reset when it heals, since TCP never leaves a hole in a stream.
  /// delay: `delayMs` is added to each piece, each way. throttle: at most `bytesPerS` each way.
  void set(LinkMode mode, double delayMs = 0, double bytesPerS = 0);

 private:
  struct Pair;
  void accept();
  asio::io_context& io_;
  int gatekeeper_;
  unsigned short towards_;
  LinkOf& links_;
  tcp::acceptor acceptor_;
  unsigned short port_;
  LinkMode mode_ = LinkMode::pass;
  double delayMs_ = 0, bytesPerS_ = 0;
  std::set<std::shared_ptr<Pair>> pairs_;
};

}  // namespace wingslip::lab
