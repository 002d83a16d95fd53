#include "replication/records.hpp"

#include <array>
#include <tuple>

namespace wingslip::replication {
namespace {

constexpr std::size_t kRowOverheadBytes = 32;  // encoded timestamp numbers, tombstone flag and string lengths

}  // namespace

const char* nameOf(MemberState state) {
  static constexpr std::array<const char*, 4> kNames{"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(state)];
}

bool supersedes(const MemberRecord& left, const MemberRecord& right) {
  return std::tie(left.generation, left.incarnation, left.state, left.address) >
         std::tie(right.generation, right.incarnation, right.state, right.address);
}

std::size_t estimateEncodedBytes(const Row& row) {
  return row.table.size() + row.key.size() + row.value.size() + row.timestamp.origin.size() +
         kRowOverheadBytes;
}

}  // namespace wingslip::replication
