#include "hollow_replica.hpp"

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
constexpr std::size_t kRowBytes = 100;  // of a row's value
constexpr std::int64_t kUnixStart = 1'000'000'000'000;
constexpr double kLeastDelay = 0.2, kMostDelay = 2;  // ms, one way

std::string nameFor(std::size_t index) { return "gatekeeper-" + std::to_string(index); }

MemberRecord rowFor(std::size_t index, std::uint64_t generation) {
  MemberRecord out;
  out.name = nameFor(index);
  out.address = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7946";
  out.generation = generation;
  return out;
}

Row storedRow(std::size_t index) {
  Row out;
  out.table = "t";
  out.key = "key-" + std::to_string(index);
  out.value = std::string(kRowBytes, 'v');
  out.timestamp.physicalMs = kUnixStart - 1000;
  out.timestamp.counter = static_cast<std::uint32_t>(index);
  out.timestamp.origin = nameFor(0);
  return out;
}

}  // namespace

struct HollowReplicas::Member : Environment {
  Member(HollowReplicas& f, std::size_t i) : fleet(f), index(i) {}

  void begin(const std::vector<MemberRecord>& members, const std::vector<Row>& rows) {
    ++generation;
    core = std::make_unique<Replica>(Timing{}, kFleet, rowFor(index, generation),
                                     std::map<std::string, std::string>{}, fleet.random_(), *this);
    core->restore(members, rows);
    core->start(fleet.events_.now());
    arm();
  }
  void arm() {
    const Time next = core->nextTickAt();
    if (!std::isfinite(next)) return;
    const std::uint64_t mine = ++armed;
    fleet.at(next, [this, mine] {
      if (mine != armed) return;
      core->tick(fleet.events_.now());
      arm();
    });
  }
  void send(const OutgoingRequest& request) override { fleet.carry(*this, request); }
  void onRowChanged(const Row& row) override {
    fleet.heard_ += row.key == "new-" + std::to_string(fleet.written_);
  }
  void log(const std::string&) override {}
  std::int64_t unixMs() const override { return kUnixStart + static_cast<std::int64_t>(fleet.events_.now()); }

  HollowReplicas& fleet;
  std::size_t index;
  std::uint64_t generation = 0, armed = 0;
  std::unique_ptr<Replica> core;
};

HollowReplicas::HollowReplicas(std::size_t members, std::size_t rows, std::uint64_t seed) : random_(seed) {
  std::vector<MemberRecord> all;
  for (std::size_t i = 0; i < members; ++i) all.push_back(rowFor(i, 1));
  std::vector<Row> stored;
  for (std::size_t i = 0; i < rows; ++i) stored.push_back(storedRow(i));
  for (std::size_t i = 0; i < members; ++i) {
    members_.push_back(std::make_unique<Member>(*this, i));
    members_.back()->begin(all, stored);
  }
}

HollowReplicas::~HollowReplicas() = default;

void HollowReplicas::at(Time when, std::function<void()> what) { events_.at(when, std::move(what)); }

HollowReplicas::Time HollowReplicas::delay() {
  return std::uniform_real_distribution<Time>(kLeastDelay, kMostDelay)(random_);
}

void HollowReplicas::run(Time milliseconds) {
  const Time until = events_.now() + milliseconds;
  while (const auto action = events_.next(until)) {
    (*action)();
  }
}

void HollowReplicas::carry(Member& from, const OutgoingRequest& outgoing) {
  const std::vector<std::uint8_t> request = wingslip::replication::encode(outgoing.message);
  ++traffic_.messages;
  traffic_.bytes += request.size();
  const std::size_t to = std::stoul(outgoing.recipient.substr(outgoing.recipient.rfind('-') + 1));
  const std::uint64_t id = outgoing.id, generation = from.generation;
  at(events_.now() + delay(), [this, &from, to, id, generation, request] {
    Member& member = *members_[to];
    const auto answer =
        member.core->onRequest(events_.now(), wingslip::replication::decode(request.data(), request.size()));
    member.arm();
    std::optional<Message> heard;
    if (answer) {
      const std::vector<std::uint8_t> text = wingslip::replication::encode(*answer);
      ++traffic_.messages;
      traffic_.bytes += text.size();
      heard = wingslip::replication::decode(text.data(), text.size());
    }
    at(events_.now() + delay(), [this, &from, id, generation, heard] {
      if (from.generation != generation) return;  // asked by a process that is gone
      from.core->onResponse(events_.now(), id, heard);
      from.arm();
    });
  });
}

void HollowReplicas::writeRow() {
  ++written_;
  heard_ = 1;  // the writer
  Member& writer = *members_.front();
  writer.core->set(events_.now(), "t", "new-" + std::to_string(written_), std::string(kRowBytes, 'n'));
  writer.arm();
}

HollowReplicas::Time HollowReplicas::runUntilEverywhere(Time most) {
  constexpr Time kStep = 10;
  const Time start = events_.now();
  while (heard_ < members_.size() && events_.now() - start < most) run(kStep);
  return events_.now() - start;
}

void HollowReplicas::restartLast() {
  Member& last = *members_.back();
  std::vector<MemberRecord> known;
  for (const auto& [name, member] : last.core->members()) known.push_back(member.record);
  const std::vector<Row> rows = last.core->rows();
  last.begin(known, rows);
}

std::size_t HollowReplicas::leastAlive() const {
  std::size_t out = members_.size();
  for (const auto& member : members_) out = std::min(out, member->core->liveCount());
  return out;
}

std::size_t HollowReplicas::rowsHeld() const { return members_.front()->core->rows().size(); }

}  // namespace wingslip::lab
