/// Clients that keep their connections and behave as real ones do at their worst: they leave at any point of
/// a request, send several at once, stop in the middle, write slowly, or send what is no request.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <vector>

#include "judge.hpp"
#include "process.hpp"
#include "run_clock.hpp"
#include "scenario.hpp"

namespace wingslip::lab {

/// Single-threaded, on the loop it is given. All that it is given must outlive it.
class RoughClients {
 public:
  RoughClients(boost::asio::io_context& io, const Scenario& scenario,
               const std::vector<Gatekeeper>& gatekeepers, RunClock& clock, Judge& judge, std::uint64_t seed);
  ~RoughClients();

  /// Each client goes on from exchange to exchange until the end of the load.
  void start();

 private:
  class Client;
  friend class Client;

  boost::asio::io_context& io_;
  const Scenario& scenario_;
  const std::vector<Gatekeeper>& gatekeepers_;
  RunClock& clock_;
  Judge& judge_;
  std::mt19937_64 random_;
  std::vector<std::shared_ptr<Client>> clients_;
};

}  // namespace wingslip::lab
