/// Misbehaving clients on persistent connections. They disconnect at any point of a request, pipeline
/// requests, stall in the middle of a request, write slowly or send malformed requests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <vector>

#include "process.hpp"
#include "run_clock.hpp"
#include "run_verifier.hpp"
#include "scenario.hpp"

namespace wingslip::lab {

/// The misbehaving clients of one run. Single-threaded, on the event loop `io`. All constructor arguments
/// passed by reference must outlive it; `seed` determines every random choice.
class MisbehavingClients {
 public:
  MisbehavingClients(boost::asio::io_context& io, const Scenario& scenario,
                     const std::vector<Gatekeeper>& gatekeepers, RunClock& clock, RunVerifier& verifier,
                     std::uint64_t seed);
  ~MisbehavingClients();

  /// Starts all clients. Each repeats exchanges until the end of the load.
  void start();

 private:
  class Client;
  friend class Client;

  boost::asio::io_context& io_;
  const Scenario& scenario_;
  const std::vector<Gatekeeper>& gatekeepers_;
  RunClock& clock_;
  RunVerifier& verifier_;
  std::mt19937_64 random_;
  std::vector<std::shared_ptr<Client>> clients_;
};

}  // namespace wingslip::lab
