/// Candidates for one leader task in virtual time, on the stand-in coordination store: the real leader
/// election state machine without faults. The simulation counts the calls to the store.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <vector>

#include "event_queue.hpp"
#include "leader_election/leader_election.hpp"
#include "store_state.hpp"

namespace wingslip::lab {

/// A fleet of simulated candidates. It owns the candidates, the store and the virtual clock.
class SimulatedCandidates {
 public:
  /// Total traffic between all candidates and the store since the start.
  struct Traffic {
    std::uint64_t calls = 0;
    std::uint64_t bytes = 0;  ///< of keys, values and sessions in calls and replies
  };

  /// Starts `candidates` candidates. `seed` determines delays and the choices of the election.
  SimulatedCandidates(std::size_t candidates, std::uint64_t seed);
  ~SimulatedCandidates();

  /// Advances the virtual time.
  void run(wingslip::leader_election::Time durationMs);
  /// Crashes the leader without a resignation. Returns false if there is no leader.
  bool crashLeader();

  std::size_t leaders() const;     ///< candidates that currently lead
  std::size_t registered() const;  ///< registrations at the store
  std::size_t registeredBytes() const;
  const Traffic& traffic() const { return traffic_; }

 private:
  using Time = wingslip::leader_election::Time;
  struct Candidate;
  struct BlockingRead {
    Candidate* candidate;
    wingslip::leader_election::StoreCall call;
  };
  void at(Time when, std::function<void()> action);
  // Sends a call to the store; it arrives after a delay and fails at its time-out.
  void call(Candidate& from, const wingslip::leader_election::StoreCall& call);
  void arrive(Candidate& from, const wingslip::leader_election::StoreCall& call);
  // Defers the reply to a blocking read until its key changes or its wait ends.
  void waitForChange(Candidate& from, const wingslip::leader_election::StoreCall& call);
  void reply(Candidate& to, std::uint64_t callId, const wingslip::leader_election::StoreReply& reply) const;
  void replyLater(Candidate& to, std::uint64_t callId, const wingslip::leader_election::StoreReply& reply);
  // Replies to the blocking reads of a changed key.
  void wakeReads(const std::string& key);
  wingslip::leader_election::StoreReply read(const wingslip::leader_election::StoreCall& call) const;
  Time delayMs();

  std::mt19937_64 random_;
  EventQueue events_;
  StoreState store_;
  std::list<BlockingRead> blockingReads_;
  std::vector<std::unique_ptr<Candidate>> candidates_;
  Traffic traffic_;
};

}  // namespace wingslip::lab
