/// What gatekeepers replicate: members of the fleet and rows of tables, with the order by which copies merge.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "replication/hybrid_clock.hpp"

namespace wingslip::replication {

/// Milliseconds of a monotonic clock.
using Time = double;

/// The SWIM state of a member. The order and the values are part of the wire format.
enum class MemberState : unsigned { alive, suspect, dead, left };

/// The state's word in logs, figures and operators' answers.
const char* nameOf(MemberState state);

/// Whether a member in this state is taken for running.
[[nodiscard]] inline bool isLive(MemberState state) { return state <= MemberState::suspect; }

/// One gatekeeper as the membership protocol describes it.
struct MemberRecord {
  std::string name;
  std::string address;            ///< host:port where the other members reach it
  std::uint64_t generation = 0;   ///< rises with each start of its process
  std::uint64_t incarnation = 0;  ///< rises each time the member refutes a suspicion
  MemberState state = MemberState::alive;
  bool operator==(const MemberRecord&) const = default;
};

/// Whether `left` replaces `right` of the same name. A total order, so that merging is commutative.
[[nodiscard]] bool supersedes(const MemberRecord& left, const MemberRecord& right);

/// A row of a replicated table. The last writer wins: the row with the larger timestamp replaces the other.
struct Row {
  std::string table;
  std::string key;
  std::string value;
  Timestamp timestamp;
  bool tombstone = false;  ///< the key was removed
  bool operator==(const Row&) const = default;
};

constexpr std::size_t kMaxNameBytes = 128;  ///< names, addresses, tables, keys
constexpr std::size_t kMaxValueBytes = 4096;
constexpr std::size_t kMaxRowBytesPerMessage = 48 * 1024;

/// What the row takes in a message, approximately.
[[nodiscard]] std::size_t messageBytes(const Row& row);

}  // namespace wingslip::replication
