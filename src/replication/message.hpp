// What gatekeepers say to each other, and what they hold in common: members and rows, with their order.
// Bodies are CBOR. Pure.
#pragma once

#include <compare>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace wingslip::replication {

// A hybrid logical clock's reading: physical ms as far as known, a counter within them, and who read it.
struct Stamp {
  std::int64_t ms = 0;
  std::uint32_t count = 0;
  std::string origin;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a comparison's result for a pointer
  auto operator<=>(const Stamp&) const = default;
};

// Never goes back, whatever the physical clock does: `now` is Unix ms as the caller's clock has it.
class HybridClock {
 public:
  Stamp next(std::int64_t now, const std::string& origin);
  void hear(const Stamp& stamp);  // what comes next is after it
  std::int64_t ms() const { return ms_; }

 private:
  std::int64_t ms_ = 0;
  std::uint32_t count_ = 0;
};

enum class Health : unsigned { alive, suspect, dead, left };
const char* nameOf(Health health);

// One gatekeeper as SWIM tells of it. `generation` rises at each start of its process, `incarnation` when it
// answers a suspicion.
struct MemberRow {
  std::string name, address;  // address: host:port where others reach it
  std::uint64_t generation = 0, incarnation = 0;
  Health health = Health::alive;
  bool operator==(const MemberRow&) const = default;
};
// Whether `a` replaces `b` of the same name: a total order, so that merging is a maximum.
bool newer(const MemberRow& a, const MemberRow& b);

// A row of a replicated table; the one with the larger stamp stays (last writer wins), and so do removals.
struct Row {
  std::string table, key, value;
  Stamp stamp;
  bool gone = false;
  bool operator==(const Row&) const = default;
};

enum class Kind : unsigned { ping, reach, vouch, gossip, sync, push };

struct Message {
  static constexpr std::size_t kMostBytes = 256 * 1024, kMostName = 128, kMostValue = 4096, kMostRows = 4096;
  std::string fleet;  // of another fleet: not heard
  Kind kind = Kind::ping;
  MemberRow self;      // who says it
  std::string target;  // reach: whom to ask; vouch: who has answered
  std::vector<MemberRow> members;
  std::vector<Row> rows;
  std::vector<std::uint64_t> digest;  // sync: a hash a range of the tables, then of the members; else empty
  std::vector<unsigned> differ;       // an answer to sync: the ranges in which this copy is another
  bool more = false;                  // an answer to sync: not all rows of them were told
};

std::vector<std::uint8_t> encode(const Message& message);
// Throws std::runtime_error with one plain line on what is no message.
Message decode(const std::uint8_t* bytes, std::size_t size);

// What a gatekeeper leaves on disk: rows, members, its generation and when it was written (Unix ms).
struct Snapshot {
  std::int64_t atMs = 0;
  std::uint64_t generation = 0;
  std::vector<MemberRow> members;
  std::vector<Row> rows;
};
// A line with the format's version, an XXH64 of the rest and its length; then CBOR.
std::string encodeSnapshot(const Snapshot& snapshot);
// Throws std::runtime_error on another version, a wrong length or checksum, or anything that is no snapshot.
Snapshot decodeSnapshot(const std::string& bytes);

}  // namespace wingslip::replication
