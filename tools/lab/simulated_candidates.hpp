/// Candidates for one leader task in virtual time, on the stand-in coordination store. They run the same
/// leader election state machine as the gatekeeper; no call is lost. The simulation counts the calls to the
/// store.
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

  /// Starts `candidates` candidates. `seed` determines the delays and the candidates' random choices.
  SimulatedCandidates(std::size_t candidates, std::uint64_t seed);
  ~SimulatedCandidates();

  /// Advances the virtual time by `durationMs`.
  void run(wingslip::leader_election::Time durationMs);
  /// Stops the leader without releasing its lock. Returns false if there is no leader.
  bool crashLeader();

  std::size_t leaders() const;          ///< number of candidates that currently lead
  std::size_t registered() const;       ///< number of registrations in the store
  std::size_t registeredBytes() const;  ///< of keys, values and sessions of the registrations
  const Traffic& traffic() const { return traffic_; }

 private:
  using Time = wingslip::leader_election::Time;
  struct Candidate;
  // A read that waits at the store for a change of its key.
  struct BlockingRead {
    Candidate* candidate;
    wingslip::leader_election::StoreCall call;
  };
  void at(Time when, std::function<void()> action);
  // Sends a call to the store; it arrives after a delay and fails at its timeout.
  void call(Candidate& from, const wingslip::leader_election::StoreCall& call);
  // Executes a call at the store and schedules the reply.
  void execute(Candidate& from, const wingslip::leader_election::StoreCall& call);
  // Defers the reply to a blocking read until its key changes or its maximum wait has passed.
  void waitForChange(Candidate& from, const wingslip::leader_election::StoreCall& call);
  // Delivers a reply now, unless the call already has one or was cancelled, or the candidate has crashed.
  void reply(Candidate& to, std::uint64_t callId, const wingslip::leader_election::StoreReply& reply) const;
  // Delivers a reply after a delay.
  void replyLater(Candidate& to, std::uint64_t callId, const wingslip::leader_election::StoreReply& reply);
  // Replies to the blocking reads whose key is a prefix of the changed key.
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
