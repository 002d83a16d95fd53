// Lookup and merging of the names of zones and machine types.
#include "gatekeeper/name_index.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "growth.hpp"

namespace wingslip {
namespace {

TEST(NameIndex, FindsTheFirstIndexAndMergesNamesWithoutDuplicates) {
  const std::vector<std::string> names{"a", "b", "a"};
  const NameIndex index(names);
  EXPECT_EQ(index.indexOf("a"), 0u);
  EXPECT_EQ(index.indexOf("b"), 1u);
  EXPECT_EQ(index.indexOf("c"), NameIndex::kNone);
  EXPECT_EQ(mergedNames(names, {"c", "b", "c", "d"}), (std::vector<std::string>{"a", "b", "a", "c", "d"}));
}

// A reload merges the names on the event loop: a merge that searched the list for each name would take
// quadratic time.
TEST(NameIndex, MergeTimeIsLinearInTheNumberOfNames) {
  const double factor = growth::growthFactor(1000, [](std::size_t n) {
    std::vector<std::string> names, added;
    for (std::size_t i = 0; i < n; ++i) names.push_back("zone-" + std::to_string(i));
    for (std::size_t i = 0; i < n; ++i) added.push_back("zone-" + std::to_string(n + i));
    const double before = growth::threadCpuTimeMs();
    EXPECT_EQ(mergedNames(names, added).size(), 2 * n);
    return growth::threadCpuTimeMs() - before;
  });
  EXPECT_LT(factor, growth::kMaxFactor);
}

}  // namespace
}  // namespace wingslip
