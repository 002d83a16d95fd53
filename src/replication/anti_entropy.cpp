#include "replication/anti_entropy.hpp"

#include <algorithm>
#include <set>
#include <string>

#include "codec/hash.hpp"

namespace wingslip::replication {
namespace {

unsigned rangeOf(const Row& row) {
  return static_cast<unsigned>(hash64(row.key, hash64(row.table)) % kRowRanges);
}

// The value is not hashed: each write has its own timestamp, so equal timestamps imply equal values.
std::uint64_t hashOf(const Row& row) {
  return hash64(row.table + '\n' + row.key + '\n' + std::to_string(row.timestamp.physicalMs) + '\n' +
                std::to_string(row.timestamp.counter) + '\n' + row.timestamp.origin);
}

// Hashes live members only, because copies may evict the records of dead and departed members at different
// times.
std::uint64_t hashOf(const MemberRecord& member) {
  return isLive(member.state) ? hash64(member.name + '\n' + std::to_string(member.generation)) : 0;
}

}  // namespace

// Adds up the hashes of each range, so that the digest does not depend on the order of the records.
Digest digestOf(const ReplicatedTable& table, const Membership& membership) {
  Digest out(kRowRanges + 1);
  for (const auto& [key, entry] : table.entries()) out[rangeOf(entry.row)] += hashOf(entry.row);
  out[kRowRanges] += hashOf(membership.self());
  for (const auto& [name, member] : membership.members()) out[kRowRanges] += hashOf(member.record);
  return out;
}

std::vector<unsigned> differingRanges(const Digest& local, const Digest& remote) {
  std::vector<unsigned> out;
  if (remote.size() != local.size()) return out;
  for (unsigned range = 0; range < local.size(); ++range)
    if (local[range] != remote[range]) out.push_back(range);
  return out;
}

RangeContents contentsOf(const std::vector<unsigned>& ranges, const ReplicatedTable& table,
                         const Membership& membership, std::mt19937_64& random) {
  RangeContents out;
  const std::set<unsigned> requestedRanges(ranges.begin(), ranges.end());
  if (requestedRanges.contains(kRowRanges)) {
    out.members.emplace();
    for (const auto& [name, member] : membership.members()) out.members->push_back(member.record);
  }
  std::vector<const Row*> rows;
  for (const auto& [key, entry] : table.entries())
    if (requestedRanges.contains(rangeOf(entry.row))) rows.push_back(&entry.row);
  if (rows.empty()) return out;
  const auto first = static_cast<std::ptrdiff_t>(random() % rows.size());
  std::rotate(rows.begin(), rows.begin() + first, rows.end());
  std::size_t bytes = 0;
  for (const Row* row : rows) {
    bytes += estimateEncodedBytes(*row);
    out.truncated = bytes > kMaxRowBytesPerMessage;
    if (out.truncated) break;
    out.rows.push_back(*row);
  }
  return out;
}

}  // namespace wingslip::replication
