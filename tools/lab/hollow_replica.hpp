// Hollow members of the shared state: many `Replica` cores in one process and in virtual time, with the real
// message codec between them and no requests. Nothing is lost or late: it shows the load of a calm fleet.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "event_queue.hpp"
#include "replication/replica.hpp"

namespace wingslip::lab {

class HollowReplicas {
 public:
  struct Traffic {
    std::uint64_t messages = 0;  // requests and answers
    std::uint64_t bytes = 0;     // of their bodies
  };

  // All members know each other, and hold the same `rows`, from the start.
  HollowReplicas(std::size_t members, std::size_t rows, std::uint64_t seed);
  ~HollowReplicas();

  void run(wingslip::replication::Time milliseconds);
  // Member 0 writes a row that nobody has.
  void writeRow();
  // Runs until every member has the last row written; returns the time in ms, or `most` where that ends it.
  wingslip::replication::Time runUntilEverywhere(wingslip::replication::Time most);
  // A new process of the last member, with what the one before left on disk.
  void restartLast();

  std::size_t size() const { return members_.size(); }
  const Traffic& traffic() const { return traffic_; }
  std::size_t leastAlive() const;  // members that the least knowing one thinks alive, itself not counted
  std::size_t rowsHeld() const;    // by member 0

 private:
  using Time = wingslip::replication::Time;
  struct Member;
  void at(Time when, std::function<void()> what);
  void carry(Member& from, const wingslip::replication::OutgoingRequest& request);
  Time delay();

  std::mt19937_64 random_;
  EventQueue events_;
  std::vector<std::unique_ptr<Member>> members_;
  Traffic traffic_;
  std::size_t heard_ = 0, written_ = 0;  // heard_: members that have the last row written
};

}  // namespace wingslip::lab
