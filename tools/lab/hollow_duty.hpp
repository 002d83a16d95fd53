// Candidates for a duty before the stand-in coordination store, in virtual time: the real `LeaderElection`
// cores, no faults. It counts what the store is asked.
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

class HollowCandidates {
 public:
  struct Traffic {
    std::uint64_t calls = 0;
    std::uint64_t bytes = 0;  // of keys and values in calls and answers
  };

  HollowCandidates(std::size_t candidates, std::uint64_t seed);
  ~HollowCandidates();

  void run(wingslip::leader_election::Time milliseconds);
  // The process that holds the duty is gone without a word. False: none holds it.
  bool crashHolder();

  std::size_t holders() const;
  std::size_t registered() const;  // registrations at the store
  std::size_t registeredBytes() const;
  const Traffic& traffic() const { return traffic_; }

 private:
  using Time = wingslip::leader_election::Time;
  struct Candidate;
  struct Read {
    Candidate* who;
    wingslip::leader_election::Ask ask;
  };
  void at(Time when, std::function<void()> what);
  void call(Candidate& from, const wingslip::leader_election::Ask& ask);
  void arrive(Candidate& from, const wingslip::leader_election::Ask& ask);
  void wait(Candidate& from, const wingslip::leader_election::Ask& ask);
  void answer(Candidate& to, std::uint64_t id, const wingslip::leader_election::Reply& reply) const;
  void wake(const std::string& key);
  wingslip::leader_election::Reply readOf(const wingslip::leader_election::Ask& ask) const;
  Time delay();

  std::mt19937_64 random_;
  EventQueue events_;
  StoreState store_;
  std::list<Read> reads_;  // that wait for a change
  std::vector<std::unique_ptr<Candidate>> candidates_;
  Traffic traffic_;
};

}  // namespace wingslip::lab
