// The duties' driver: their cores, the store's client and one timer on the program's loop, and what operators
// ask of them. Made only where the configuration names a store.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "config/config.hpp"
#include "leader_election/leader_election.hpp"
#include "leader_election/roster.hpp"
#include "leader_election/store_client.hpp"
#include "net/overload_manager.hpp"
#include "net/rate_limited_log.hpp"

namespace wingslip::leader_election {

class Coordinator : private Outside {
 public:
  // `candidates`: how many gatekeepers there are, as the settings say.
  Coordinator(boost::asio::io_context& io, const Coordination& where, const std::string& name,
              unsigned candidates, std::uint64_t seed, OverloadManager& pressure);

  void start();
  void drain();  // SIGTERM, or another store from now on: acts stop, locks go back
  // After `drain`: once what was held is given back, or after `within` ms, ends the session; `done` 100 ms
  // later.
  void leave(Time within, std::function<void()> done);

  std::string telemetry() const;  // lines `svc.duty.NAME:VALUE|c` and `|g`
  std::string duties() const;     // of operators: a line `200 ...`, then one a duty, then EOF
  std::string roster() const;     // the same: one a name, those who are not there first, 6 KiB at most

 private:
  void ask(const Ask& ask) override { client_.ask(ask); }
  void drop(std::uint64_t ask) override { client_.drop(ask); }
  void told(const std::string& line) override { log_.say(line); }
  Time now() const;
  void turn();  // after every event: what is due, and when the next is

  LeaderElection duties_;
  RosterDuty rosterDuty_;
  StoreClient client_;
  boost::asio::steady_timer timer_, end_;
  std::string lastError_;
  std::function<void()> done_;
  Time leaveBy_ = 0, drainedAt_ = 0;
  bool ending_ = false;
  RateLimitedLog log_{"duty"};
};

}  // namespace wingslip::leader_election
