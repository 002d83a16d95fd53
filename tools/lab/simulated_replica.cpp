#include "simulated_replica.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace wingslip::lab {

using wingslip::replication::Environment;
using wingslip::replication::MemberRecord;
using wingslip::replication::Message;
using wingslip::replication::OutgoingRequest;
using wingslip::replication::Replica;
using wingslip::replication::Row;
using wingslip::replication::Timing;

namespace {

constexpr const char* kFleet = "scale";
constexpr std::size_t kRowValueBytes = 100;
constexpr std::int64_t kUnixStartMs = 1'000'000'000'000;  // wall clock at virtual time 0
constexpr double kMinDelayMs = 0.2, kMaxDelayMs = 2;      // of a message, one way

std::string nameFor(std::size_t index) { return "gatekeeper-" + std::to_string(index); }

MemberRecord recordFor(std::size_t index, std::uint64_t generation) {
  MemberRecord result;
  result.name = nameFor(index);
  result.address = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7946";
  result.generation = generation;
  return result;
}

Row storedRow(std::size_t index) {
  Row result;
  result.table = "t";
  result.key = "key-" + std::to_string(index);
  result.value = std::string(kRowValueBytes, 'v');
  result.timestamp.physicalMs = kUnixStartMs - 1000;
  result.timestamp.counter = static_cast<std::uint32_t>(index);
  result.timestamp.origin = nameFor(0);
  return result;
}

}  // namespace

struct SimulatedReplicas::Member : Environment {
  Member(SimulatedReplicas& owner, std::size_t memberIndex) : fleet(owner), index(memberIndex) {}

  void startProcess(const std::vector<MemberRecord>& members, const std::vector<Row>& rows) {
    ++generation;
    core = std::make_unique<Replica>(Timing{}, kFleet, recordFor(index, generation),
                                     std::map<std::string, std::string>{}, fleet.random_(), *this);
    core->restore(members, rows);
    core->start(fleet.events_.now());
    armTimer();
  }
  void armTimer() {
    const Time next = core->nextTickAt();
    if (!std::isfinite(next)) return;
    const std::uint64_t timer = ++lastTimer;
    fleet.schedule(next, [this, timer] {
      if (timer != lastTimer) return;
      core->tick(fleet.events_.now());
      armTimer();
    });
  }
  void send(const OutgoingRequest& request) override { fleet.deliver(*this, request); }
  void onRowChanged(const Row& row) override {
    fleet.receivedCount_ += row.key == "new-" + std::to_string(fleet.writtenCount_);
  }
  void log(const std::string&) override {}
  std::int64_t unixMs() const override {
    return kUnixStartMs + static_cast<std::int64_t>(fleet.events_.now());
  }

  SimulatedReplicas& fleet;
  std::size_t index;
  std::uint64_t generation = 0, lastTimer = 0;
  std::unique_ptr<Replica> core;
};

SimulatedReplicas::SimulatedReplicas(std::size_t members, std::size_t rows, std::uint64_t seed)
    : random_(seed) {
  std::vector<MemberRecord> all;
  for (std::size_t i = 0; i < members; ++i) all.push_back(recordFor(i, 1));
  std::vector<Row> stored;
  for (std::size_t i = 0; i < rows; ++i) stored.push_back(storedRow(i));
  for (std::size_t i = 0; i < members; ++i) {
    members_.push_back(std::make_unique<Member>(*this, i));
    members_.back()->startProcess(all, stored);
  }
}

SimulatedReplicas::~SimulatedReplicas() = default;

void SimulatedReplicas::schedule(Time time, std::function<void()> action) {
  events_.at(time, std::move(action));
}

SimulatedReplicas::Time SimulatedReplicas::delayMs() {
  return std::uniform_real_distribution<Time>(kMinDelayMs, kMaxDelayMs)(random_);
}

void SimulatedReplicas::run(Time milliseconds) {
  const Time until = events_.now() + milliseconds;
  while (const auto action = events_.next(until)) {
    (*action)();
  }
}

void SimulatedReplicas::deliver(Member& from, const OutgoingRequest& outgoing) {
  const std::vector<std::uint8_t> request = wingslip::replication::encode(outgoing.message);
  ++traffic_.messages;
  traffic_.bytes += request.size();
  const std::size_t recipient = std::stoul(outgoing.recipient.substr(outgoing.recipient.rfind('-') + 1));
  const std::uint64_t id = outgoing.id, generation = from.generation;
  schedule(events_.now() + delayMs(), [this, &from, recipient, id, generation, request] {
    Member& member = *members_[recipient];
    const auto answer =
        member.core->onRequest(events_.now(), wingslip::replication::decode(request.data(), request.size()));
    member.armTimer();
    std::optional<Message> response;
    if (answer) {
      const std::vector<std::uint8_t> encoded = wingslip::replication::encode(*answer);
      ++traffic_.messages;
      traffic_.bytes += encoded.size();
      response = wingslip::replication::decode(encoded.data(), encoded.size());
    }
    schedule(events_.now() + delayMs(), [this, &from, id, generation, response] {
      if (from.generation != generation) return;  // the requesting member has restarted
      from.core->onResponse(events_.now(), id, response);
      from.armTimer();
    });
  });
}

void SimulatedReplicas::writeRow() {
  ++writtenCount_;
  receivedCount_ = 1;  // the writer; onRowChanged counts the other members
  Member& writer = *members_.front();
  writer.core->set(events_.now(), "t", "new-" + std::to_string(writtenCount_),
                   std::string(kRowValueBytes, 'n'));
  writer.armTimer();
}

SimulatedReplicas::Time SimulatedReplicas::runUntilReplicated(Time maxDuration) {
  constexpr Time kStepMs = 10;
  const Time start = events_.now();
  while (receivedCount_ < members_.size() && events_.now() - start < maxDuration) run(kStepMs);
  return events_.now() - start;
}

void SimulatedReplicas::restartLastMember() {
  Member& last = *members_.back();
  std::vector<MemberRecord> known;
  for (const auto& [name, member] : last.core->members()) known.push_back(member.record);
  const std::vector<Row> rows = last.core->rows();
  last.startProcess(known, rows);
}

std::size_t SimulatedReplicas::minAliveCount() const {
  std::size_t result = members_.size();
  for (const auto& member : members_) result = std::min(result, member->core->liveCount());
  return result;
}

std::size_t SimulatedReplicas::rowCount() const { return members_.front()->core->rows().size(); }

}  // namespace wingslip::lab
