/// The replicated records, fleet members and table rows, and the order by which copies of them are merged.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "replication/hybrid_clock.hpp"

namespace wingslip::replication {

/// Milliseconds of a monotonic clock.
using Time = double;

/// The SWIM state of a member. The values are part of the wire format; among records of the same
/// incarnation, the one with the larger value wins.
enum class MemberState : unsigned { alive, suspect, dead, left };

/// Returns the name of the state in logs, metrics and operator responses.
const char* nameOf(MemberState state);

/// Whether a member in this state is treated as running.
[[nodiscard]] inline bool isLive(MemberState state) { return state <= MemberState::suspect; }

/// The membership record of one gatekeeper.
struct MemberRecord {
  std::string name;
  std::string address;            ///< host:port at which other members connect to it
  std::uint64_t generation = 0;   ///< increases with each start of the member's process
  std::uint64_t incarnation = 0;  ///< increased by the member to refute a suspicion
  MemberState state = MemberState::alive;
  bool operator==(const MemberRecord&) const = default;
};

/// Whether the record `left` replaces the record `right` of the same member. This is a total order, which
/// makes merging commutative.
[[nodiscard]] bool supersedes(const MemberRecord& left, const MemberRecord& right);

/// A row of a replicated table. Conflicts are resolved by last-writer-wins: the row with the larger timestamp
/// replaces the other.
struct Row {
  std::string table;
  std::string key;
  std::string value;
  Timestamp timestamp;
  bool tombstone = false;  ///< the key was removed; the value is empty
  bool operator==(const Row&) const = default;
};

constexpr std::size_t kMaxNameBytes = 128;    ///< limit of names, addresses, table names and keys
constexpr std::size_t kMaxValueBytes = 4096;  ///< limit of a row's value
/// Limit of the estimated size of the rows in a message; applies separately to gossiped rows and to the rows
/// of ranges.
constexpr std::size_t kMaxRowBytesPerMessage = 48 * 1024;

/// Returns the approximate encoded size of the row in a message, in bytes.
[[nodiscard]] std::size_t estimateEncodedBytes(const Row& row);

}  // namespace wingslip::replication
