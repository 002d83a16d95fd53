/// A stand-in worker on the lab's loop, after the protocol page.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>

#include "judge.hpp"
#include "loopback_listener.hpp"

namespace wingslip::lab {

struct WorkerMode {
  bool silent = false;    // takes requests, says nothing
  bool draining = false;  // turns new ones away with Srv-Declined
};

/// A stand-in worker: 200 with a body of its own for the request, after a seeded log-normal service time;
/// past `Scenario::workerInFlight` requests or while draining, 503 with `Srv-Declined: 1`; no Req-Id, 404.
class Worker {
 public:
  Worker(asio::io_context& io, int index, const Scenario& s, Judge& judge, const LinkOf& links,
         std::function<double()> nowMs, std::uint64_t seed);
  unsigned short port() const { return port_; }
  long accepted() const { return accepted_; }  // connections since the run began
  bool strikes(double share);                  // by chance, for a share of the exchanges
  void restart();  // as a new process under the same address: all connections reset, cold again
  WorkerMode mode;
  int inFlight = 0;

 private:
  void accept();
  friend class WorkerSession;
  asio::io_context& io_;
  int index_;
  const Scenario& s_;
  Judge& judge_;
  const LinkOf& links_;
  std::function<double()> nowMs_;
  std::mt19937_64 random_;
  std::unique_ptr<tcp::acceptor> acceptor_;
  unsigned short port_ = 0;
  double startedMs_ = 0;
  long accepted_ = 0;
  std::set<std::shared_ptr<tcp::socket>> open_;
};

}  // namespace wingslip::lab
