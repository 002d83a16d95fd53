/// Candidates for one leader task before the stand-in coordination store, in virtual time: the real state
/// machine, no faults. It counts the calls at the store.
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

class SimulatedCandidates {
 public:
  struct Traffic {
    std::uint64_t calls = 0;
    std::uint64_t bytes = 0;  ///< of keys and values in calls and answers
  };

  SimulatedCandidates(std::size_t candidates, std::uint64_t seed);
  ~SimulatedCandidates();

  void run(wingslip::leader_election::Time durationMs);
  /// The leader's process is gone without a word. False: none leads.
  bool crashLeader();

  std::size_t leaders() const;
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
  void call(Candidate& from, const wingslip::leader_election::StoreCall& call);
  void arrive(Candidate& from, const wingslip::leader_election::StoreCall& call);
  void waitForChange(Candidate& from, const wingslip::leader_election::StoreCall& call);
  void reply(Candidate& to, std::uint64_t callId, const wingslip::leader_election::StoreReply& reply) const;
  void replyLater(Candidate& to, std::uint64_t callId, const wingslip::leader_election::StoreReply& reply);
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
