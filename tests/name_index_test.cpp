// Positions of zones and machine types by name.
#include "gatekeeper/name_index.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "growth.hpp"

namespace wingslip {
namespace {

TEST(NameIndex, FindsTheFirstPositionAndJoinsNamesOnce) {
  const std::vector<std::string> names{"a", "b", "a"};
  const NameIndex index(names);
  EXPECT_EQ(index.of("a"), 0u);
  EXPECT_EQ(index.of("b"), 1u);
  EXPECT_EQ(index.of("c"), NameIndex::kNone);
  EXPECT_EQ(joinedNames(names, {"c", "b", "c", "d"}), (std::vector<std::string>{"a", "b", "a", "c", "d"}));
}

TEST(NameIndex, TimeToJoinGrowsInProportionToTheNames) {
  const double factor = growth::between(1000, [](std::size_t n) {
    std::vector<std::string> names, added;
    for (std::size_t i = 0; i < n; ++i) names.push_back("zone-" + std::to_string(i));
    for (std::size_t i = 0; i < n; ++i) added.push_back("zone-" + std::to_string(n + i));
    const double before = growth::processorTime();
    EXPECT_EQ(joinedNames(names, added).size(), 2 * n);
    return growth::processorTime() - before;
  });
  EXPECT_LT(factor, growth::kMost);
}

}  // namespace
}  // namespace wingslip
