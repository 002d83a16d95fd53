/// Repair of copies that differ: a digest of hashes by range, and the contents of ranges. Pure but for the
/// random choice of the rows that a message has space for.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "replication/membership.hpp"
#include "replication/replicated_table.hpp"

namespace wingslip::replication {

/// Ranges of rows, by the hash of table and key; one more range has the live members.
constexpr std::size_t kRowRanges = 16;

/// One hash a range: equal for equal contents, whatever their order.
using Digest = std::vector<std::uint64_t>;

[[nodiscard]] Digest digestOf(const ReplicatedTable& table, const Membership& membership);

/// Empty where the digests are equal, and also where `remote` has another number of ranges, as an empty
/// digest has.
[[nodiscard]] std::vector<unsigned> differingRanges(const Digest& local, const Digest& remote);

struct RangeContents {
  std::optional<std::vector<MemberRecord>> members;  ///< present where the range of members was asked for
  std::vector<Row> rows;
  bool truncated = false;  ///< there are more rows than a message takes
};

/// Starts at a random row, so that rounds with truncated contents reach all rows in the end.
[[nodiscard]] RangeContents contentsOf(const std::vector<unsigned>& ranges, const ReplicatedTable& table,
                                       const Membership& membership, std::mt19937_64& random);

}  // namespace wingslip::replication
