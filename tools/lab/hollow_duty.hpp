// Candidates for a duty before the stand-in coordination store, in virtual time: the real `Duties` cores, no
// faults. It counts what the store is asked.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <vector>

#include "duty/duties.hpp"
#include "event_queue.hpp"
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

  void run(burlwind::duty::Time milliseconds);
  // The process that holds the duty is gone without a word. False: none holds it.
  bool crashHolder();

  std::size_t holders() const;
  std::size_t registered() const;  // registrations at the store
  std::size_t registeredBytes() const;
  const Traffic& traffic() const { return traffic_; }

 private:
  using Time = burlwind::duty::Time;
  struct Candidate;
  struct Read {
    Candidate* who;
    burlwind::duty::Ask ask;
  };
  void at(Time when, std::function<void()> what);
  void call(Candidate& from, const burlwind::duty::Ask& ask);
  void arrive(Candidate& from, const burlwind::duty::Ask& ask);
  void wait(Candidate& from, const burlwind::duty::Ask& ask);
  void answer(Candidate& to, std::uint64_t id, const burlwind::duty::Reply& reply) const;
  void wake(const std::string& key);
  burlwind::duty::Reply readOf(const burlwind::duty::Ask& ask) const;
  Time delay();

  std::mt19937_64 random_;
  EventQueue events_;
  StoreState store_;
  std::list<Read> reads_;  // that wait for a change
  std::vector<std::unique_ptr<Candidate>> candidates_;
  Traffic traffic_;
};

}  // namespace wingslip::lab
