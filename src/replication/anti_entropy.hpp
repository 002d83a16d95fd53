/// Anti-entropy between copies: digests with a hash per range of rows, and the contents of differing ranges.
/// The functions are pure, except that the rows of truncated contents are chosen at random.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "replication/membership.hpp"
#include "replication/replicated_table.hpp"

namespace wingslip::replication {

/// Number of ranges into which rows are divided by the hash of table and key. One further range, at this
/// index, covers the members.
constexpr std::size_t kRowRanges = 16;

/// Hashes of the ranges, by range index. Equal contents have equal hashes, regardless of their order.
using Digest = std::vector<std::uint64_t>;

/// Returns the digest of a copy's rows and live members.
[[nodiscard]] Digest digestOf(const ReplicatedTable& table, const Membership& membership);

/// Returns the indices of the ranges whose hashes differ. Empty if the digests are equal, and also if
/// `remote` has a different number of ranges, for example none.
[[nodiscard]] std::vector<unsigned> differingRanges(const Digest& local, const Digest& remote);

/// Members and rows of the requested ranges. The rows are limited to `kMaxRowBytesPerMessage`.
struct RangeContents {
  std::optional<std::vector<MemberRecord>> members;  ///< present if the range of members was requested
  std::vector<Row> rows;
  bool truncated = false;  ///< rows beyond the limit were omitted
};

/// Returns the contents of `ranges`, starting at a random row, so that repeated exchanges of truncated
/// contents eventually cover all rows.
[[nodiscard]] RangeContents contentsOf(const std::vector<unsigned>& ranges, const ReplicatedTable& table,
                                       const Membership& membership, std::mt19937_64& random);

}  // namespace wingslip::replication
