/// Simulated members of the replicated state: many `Replica` state machines in one process and in virtual
/// time. They exchange encoded messages and receive no client requests. No message is lost or late, so the
/// simulation shows the load of a fleet without faults.
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

/// A fleet of simulated members. It owns the members and their virtual clock.
class SimulatedReplicas {
 public:
  /// Total traffic of all members since the start.
  struct Traffic {
    std::uint64_t messages = 0;  ///< requests and responses
    std::uint64_t bytes = 0;     ///< encoded size of the messages
  };

  /// Starts `members` members, which all know each other and have the same `rows` rows from the start. `seed`
  /// determines the delays and the random choices of the members.
  SimulatedReplicas(std::size_t members, std::size_t rows, std::uint64_t seed);
  ~SimulatedReplicas();

  /// Advances the virtual time by `milliseconds`.
  void run(wingslip::replication::Time milliseconds);
  /// Writes a new row at member 0.
  void writeRow();
  /// Runs until every member has the last written row or `maxDuration` (ms) has passed; returns the virtual
  /// time taken, in ms.
  wingslip::replication::Time runUntilReplicated(wingslip::replication::Time maxDuration);
  /// Restarts the last member as a new process with the stored state of its predecessor.
  void restartLastMember();

  /// The number of members.
  std::size_t size() const { return members_.size(); }
  const Traffic& traffic() const { return traffic_; }
  /// The number of other members that a member considers alive; the smallest over all members.
  std::size_t minAliveCount() const;
  /// The number of rows of member 0.
  std::size_t rowCount() const;

 private:
  using Time = wingslip::replication::Time;
  struct Member;
  void schedule(Time time, std::function<void()> action);
  // Encodes a request, delivers it after a delay and returns the response to the sender after a second delay.
  void deliver(Member& from, const wingslip::replication::OutgoingRequest& request);
  Time delayMs();

  std::mt19937_64 random_;
  EventQueue events_;
  std::vector<std::unique_ptr<Member>> members_;
  Traffic traffic_;
  // receivedCount_: members that have the last written row; writtenCount_: rows written by writeRow.
  std::size_t receivedCount_ = 0, writtenCount_ = 0;
};

}  // namespace wingslip::lab
