/// A stand-in worker on the lab's event loop. It implements the worker's side of the protocol page.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>

#include "loopback_listener.hpp"
#include "run_verifier.hpp"

namespace wingslip::lab {

/// Faults that steps set on a worker.
struct WorkerMode {
  bool silent = false;    ///< accepts requests and never answers
  bool draining = false;  ///< declines new requests with `Srv-Declined: 1`
};

/// A stand-in worker. Answers 200 with a body unique to the worker and the request, after a log-normal
/// service time drawn from `seed`; 503 with `Srv-Declined: 1` beyond `Scenario::workerInFlight` concurrent
/// requests and while draining; 404 without a Req-Id. Runs on the given loop; not thread-safe.
class Worker {
 public:
  /// Keeps references: `io`, `scenario`, `verifier` and `links` must outlive the worker. `nowMs` gives the
  /// run's time.
  Worker(asio::io_context& io, int index, const Scenario& scenario, RunVerifier& verifier,
         const LinkOrigins& links, std::function<double()> nowMs, std::uint64_t seed);
  unsigned short port() const { return port_; }
  /// Number of connections accepted since construction.
  long accepted() const { return accepted_; }
  /// Draws whether a fault with this share, 0 to 1, applies to the present exchange.
  bool drawFault(double share);
  /// Simulates a restart at the same address: resets all connections, clears `mode` and starts cold.
  void restart();
  WorkerMode mode;
  int inFlight = 0;

 private:
  void accept();
  friend class WorkerSession;
  asio::io_context& io_;
  int index_;
  const Scenario& scenario_;
  RunVerifier& verifier_;
  const LinkOrigins& links_;
  std::function<double()> nowMs_;
  std::mt19937_64 random_;
  std::unique_ptr<tcp::acceptor> acceptor_;
  unsigned short port_ = 0;
  double startedMs_ = 0;
  long accepted_ = 0;
  std::set<std::shared_ptr<tcp::socket>> open_;
};

}  // namespace wingslip::lab
