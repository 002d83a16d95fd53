/// Test fixture: a fleet of replicas in virtual time on a seeded network that loses, delays and duplicates
/// messages, with partitions, process restarts and steps of the physical clocks.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "event_queue.hpp"
#include "replication/replica.hpp"

namespace wingslip::replication {

/// Owns the replicas, their drivers and the event queue. Members are named g0, g1 and so on.
class Fleet {
 public:
  static constexpr Time kProbePeriodMs = 300;
  static constexpr Time kGossipPeriodMs = 100;
  static constexpr Time kAntiEntropyPeriodMs = 1500;

  /// @param loss probability that a message is lost, until `faultsUntil`.
  /// @param faultsUntil end of message loss, long delays and partitions, in ms of virtual time.
  Fleet(std::uint64_t seed, int size, double loss, Time faultsUntil)
      : random_(seed), loss_(loss), faultsUntil_(faultsUntil) {
    timing_.probePeriodMs = kProbePeriodMs;
    timing_.gossipPeriodMs = kGossipPeriodMs;
    timing_.antiEntropyPeriodMs = kAntiEntropyPeriodMs;
    for (int i = 0; i < size; ++i) {
      nodes_.push_back(std::make_unique<Node>(*this, i));
      at(randomBetween(0, 500), [this, i] { nodes_[i]->startProcess(); });
    }
  }

  /// Advances virtual time to `until`.
  void run(Time until) {
    while (const auto action = events_.next(until)) (*action)();
  }
  Time now() const { return events_.now(); }
  double randomBetween(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  int randomMember() { return static_cast<int>(random_() % nodes_.size()); }
  /// Sets or removes a random key at a member.
  void write(int index) {
    Node& node = *nodes_[index];
    const std::string key = "k" + std::to_string(random_() % 20);
    if (random_() % 4 == 0)
      node.replica->remove(now(), "t", key);
    else
      node.replica->set(now(), "t", key, "v" + std::to_string(++writtenValues_));
    node.scheduleTick();
  }
  /// Replaces the member's process by a new one with a higher generation and an empty copy.
  void restart(int index) { nodes_[index]->startProcess(); }
  /// Separates the members with an index below `boundary` from the others; 0 heals the partition.
  void partition(int boundary) { partitionBoundary_ = boundary; }
  /// Steps the physical clock of a member by `ms`.
  void stepClock(int index, double ms) { nodes_[index]->physicalClockMs += ms; }
  /// Whether all copies have equal rows and digests.
  bool allCopiesEqual() const {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      return node->replica->rows() == nodes_[0]->replica->rows() &&
             node->replica->digest() == nodes_[0]->replica->digest();
    });
  }
  /// Returns the smallest number of live peers that any member knows.
  std::size_t minLiveCount() const {
    std::size_t out = nodes_.size();
    for (const auto& node : nodes_) out = std::min(out, node->replica->liveCount());
    return out;
  }
  bool allCaughtUp() const {
    return std::all_of(nodes_.begin(), nodes_.end(),
                       [](const auto& node) { return node->replica->caughtUp(); });
  }
  const Replica& replica(int index) const { return *nodes_[index]->replica; }
  /// Number of messages rejected as stale by the current processes of all members.
  std::uint64_t rejectedStale() const {
    std::uint64_t out = 0;
    for (const auto& node : nodes_) out += node->replica->counts().rejectedStale;
    return out;
  }

  long messages = 0;      ///< requests sent
  std::size_t bytes = 0;  ///< encoded requests and responses

 private:
  struct Node : Environment {
    Node(Fleet& owner, int position)
        : fleet(owner), index(position), physicalClockMs(1e12 + owner.randomBetween(-5000, 5000)) {}
    // Starts a new process of this member, with an empty copy and a higher generation.
    void startProcess() {
      ++process;
      std::map<std::string, std::string> seeds;
      const int size = static_cast<int>(fleet.nodes_.size());
      for (int k = 1; k <= 2 && k < size; ++k) seeds["g" + std::to_string((index + k) % size)] = "a";
      const MemberRecord self{"g" + std::to_string(index), "a", ++generation, 0, MemberState::alive};
      replica = std::make_unique<Replica>(fleet.timing_, "f", self, seeds, fleet.random_(), *this);
      replica->start(fleet.now());
      scheduleTick();
    }
    void scheduleTick() {
      const Time next = replica->nextTickAt();
      if (!std::isfinite(next)) return;
      const std::uint64_t scheduledTick = ++lastScheduledTick;
      fleet.at(next, [this, scheduledTick] {
        if (scheduledTick != lastScheduledTick) return;  // rescheduled
        replica->tick(fleet.now());
        scheduleTick();
      });
    }
    void send(const OutgoingRequest& request) override { fleet.deliver(*this, request); }
    void onRowChanged(const Row&) override {}
    void log(const std::string&) override {}
    std::int64_t unixMs() const override { return static_cast<std::int64_t>(physicalClockMs + fleet.now()); }

    Fleet& fleet;
    int index;
    double physicalClockMs;  // Unix time in ms at the start of the fleet
    std::uint64_t generation = 0;
    std::uint64_t lastScheduledTick = 0;
    int process = 0;  // number of the current process; 0: none started yet
    std::unique_ptr<Replica> replica;
  };

  void at(Time time, std::function<void()> action) { events_.at(time, std::move(action)); }
  bool isLost(int from, int to) {
    if (now() >= faultsUntil_) return false;
    const bool partitioned =
        partitionBoundary_ > 0 && (from < partitionBoundary_) != (to < partitionBoundary_);
    return randomBetween(0, 1) < loss_ || partitioned;
  }
  Time randomDelay() {
    return now() >= faultsUntil_ || randomBetween(0, 1) < 0.9 ? randomBetween(1, 20) : randomBetween(1, 3000);
  }

  void deliver(Node& from, const OutgoingRequest& request) {
    ++messages;
    const std::vector<std::uint8_t> encoded = encode(request.message);
    bytes += encoded.size();
    const int to = std::stoi(request.recipient.substr(1));
    const int process = from.process;
    const std::uint64_t id = request.id;
    at(now() + request.timeoutMs,
       [this, &from, id, process] { completeRequest(from, process, id, std::nullopt); });
    for (int copy = randomBetween(0, 1) < 0.05 ? 2 : 1; copy > 0; --copy) {  // some requests are duplicated
      if (isLost(from.index, to)) continue;
      at(now() + randomDelay(), [this, &from, to, id, process, encoded] {
        Node& node = *nodes_[to];
        if (!node.replica) return;
        auto response = node.replica->onRequest(now(), decode(encoded.data(), encoded.size()));
        node.scheduleTick();
        if (!response || isLost(to, from.index)) return;
        bytes += encode(*response).size();
        at(now() + randomDelay(),
           [this, &from, process, id, response] { completeRequest(from, process, id, response); });
      });
    }
  }
  void completeRequest(Node& node, int process, std::uint64_t id,
                       const std::optional<Message>& response) const {
    if (node.process != process) return;  // the process that sent the request has ended
    node.replica->onResponse(now(), id, response);
    node.scheduleTick();
  }

  std::mt19937_64 random_;
  const double loss_;
  const Time faultsUntil_;
  Timing timing_;
  int partitionBoundary_ = 0;
  int writtenValues_ = 0;
  wingslip::lab::EventQueue events_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

}  // namespace wingslip::replication
