/// Health checks of the load balancer in front of the gatekeepers.
#include "load_balancer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace wingslip::lab {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

constexpr int kUnhealthyThreshold = 3;  // consecutive failed checks that take a gatekeeper out of rotation

}  // namespace

// A single request for a gatekeeper's /health/ready on a new connection.
class LoadBalancer::HealthCheck : public std::enable_shared_from_this<HealthCheck> {
 public:
  HealthCheck(LoadBalancer& loadBalancer, int gatekeeper)
      : loadBalancer_(loadBalancer),
        gatekeeper_(gatekeeper),
        socket_(loadBalancer.io_),
        timer_(loadBalancer.io_, kHealthCheckPeriod) {}

  void start(unsigned short port) {
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      Error ignored;
      if (!error) self->socket_.close(ignored);
    });
    socket_.async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), port),
                          [self = shared_from_this()](const Error& error) {
                            if (error) return self->end(false);
                            self->write();
                          });
  }

 private:
  void write() {
    http::async_write(socket_, request_, [self = shared_from_this()](const Error& error, std::size_t) {
      if (error) return self->end(false);
      self->read();
    });
  }

  void read() {
    http::async_read(socket_, buffer_, reply_, [self = shared_from_this()](const Error& error, std::size_t) {
      self->end(!error && self->reply_.result() == http::status::ok);
    });
  }

  void end(bool ready) {
    timer_.cancel();
    if (ready)
      loadBalancer_.recordSuccess(gatekeeper_);
    else
      loadBalancer_.recordFailure(gatekeeper_);
  }

  LoadBalancer& loadBalancer_;
  const int gatekeeper_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_{http::verb::get, "/health/ready", 11};
  http::response<http::string_body> reply_;
};

void LoadBalancer::check() {
  for (const Gatekeeper& gatekeeper : gatekeepers_)
    std::make_shared<HealthCheck>(*this, gatekeeper.index)->start(gatekeeper.port);
}

bool LoadBalancer::allInRotation() const {
  return std::all_of(gatekeepers_.begin(), gatekeepers_.end(),
                     [](const Gatekeeper& gatekeeper) { return gatekeeper.inRotation; });
}

void LoadBalancer::recordSuccess(int gatekeeper) {
  Gatekeeper& gk = gatekeepers_[gatekeeper];
  gk.failedChecks = 0;
  if (!gk.inRotation) spdlog::info("event=in_front gatekeeper={} at_ms={:.0f}", gatekeeper, clock_.nowMs());
  gk.inRotation = true;
}

void LoadBalancer::recordFailure(int gatekeeper) {
  Gatekeeper& gk = gatekeepers_[gatekeeper];
  if (++gk.failedChecks < kUnhealthyThreshold || !gk.inRotation) return;
  gk.inRotation = false;
  spdlog::info("event=out_of_front gatekeeper={} at_ms={:.0f}", gatekeeper, clock_.nowMs());
}

}  // namespace wingslip::lab
