/// TCP proxy with fault injection on a link of a gatekeeper.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>

#include "loopback_listener.hpp"

namespace wingslip::lab {

/// The mode of a link. pass: data is forwarded; cut: connections are reset; blackhole: data is dropped in
/// both directions; oneway: data towards the gatekeeper is dropped; delay: data is forwarded later; throttle:
/// the bandwidth is limited.
enum class LinkMode { pass, cut, blackhole, oneway, delay, throttle };

/// A proxy between one gatekeeper and one upstream port: that of a worker, its discovery agent, the store or
/// another gatekeeper. Runs on the given loop; not thread-safe.
class Proxy {
 public:
  /// Registers every upstream connection in `links`. `io` and `links` must outlive the proxy.
  Proxy(asio::io_context& io, int gatekeeper, unsigned short upstreamPort, LinkOrigins& links);
  unsigned short port() const { return port_; }
  /// Sets the mode of open and future connections. `delay` adds `delayMs` to each chunk in each direction;
  /// `throttle` limits each direction to `bytesPerS`. A connection that has dropped data is reset when the
  /// link passes data again, since a TCP stream cannot have a gap.
  void set(LinkMode mode, double delayMs = 0, double bytesPerS = 0);

 private:
  struct Connection;
  void accept();
  asio::io_context& io_;
  int gatekeeper_;
  unsigned short upstreamPort_;
  LinkOrigins& links_;
  tcp::acceptor acceptor_;
  unsigned short port_;
  LinkMode mode_ = LinkMode::pass;
  double delayMs_ = 0, bytesPerS_ = 0;
  std::set<std::shared_ptr<Connection>> connections_;
};

}  // namespace wingslip::lab
