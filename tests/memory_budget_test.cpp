// The memory budget: charges, reserves, usage and marks.
#include "overload/memory_budget.hpp"

#include <gtest/gtest.h>

#include <random>
#include <stdexcept>
#include <utility>
#include <vector>

namespace wingslip {
namespace {

constexpr auto kAnyAccount = Account::clients;

MemoryBudget::Shares shares(std::size_t total, std::size_t clients = 0, std::size_t workers = 0) {
  return {total, {clients, workers, 0, 0}};
}

TEST(MemoryBudget, AChargeBeyondTheBudgetIsRefused) {
  MemoryBudget budget(shares(100));
  auto a = budget.open(Account::clients), b = budget.open(Account::workers);
  EXPECT_TRUE(a.resize(60));
  EXPECT_FALSE(b.resize(41));
  EXPECT_EQ(b.bytes(), 0u);
  EXPECT_TRUE(b.resize(40));
  EXPECT_FALSE(a.resize(61));
  EXPECT_EQ(a.bytes(), 60u);  // as it was
  EXPECT_EQ(budget.refusals(Account::clients), 1u);
  EXPECT_TRUE(a.resize(10));  // less is always granted
  EXPECT_EQ(budget.used(), 50u);
  EXPECT_EQ(budget.peak(), 100u);
  MemoryBudget::Charge unbound;
  EXPECT_FALSE(unbound.resize(1));
  EXPECT_THROW(MemoryBudget(shares(100, 60, 41)), std::invalid_argument);
}

TEST(MemoryBudget, ReservesCannotBeUsedByOtherAccounts) {
  MemoryBudget budget(shares(100, 30, 30));
  auto clients = budget.open(Account::clients), workers = budget.open(Account::workers);
  EXPECT_EQ(budget.available(Account::clients), 70u);
  EXPECT_FALSE(clients.resize(71));
  EXPECT_TRUE(clients.resize(70));
  EXPECT_EQ(budget.available(Account::discovery), 0u);
  EXPECT_FALSE(workers.resize(31));
  EXPECT_TRUE(workers.resize(30));
}

// An account at its limit is overloaded although memory is reserved for others.
TEST(MemoryBudget, ReportsTheAccountWithTheHighestUsage) {
  MemoryBudget budget(shares(100, 20, 50));
  std::size_t crossed = 0;
  budget.observe(
      0.5, 0.8, [&] { ++crossed; }, [] {});
  auto clients = budget.open(Account::clients);
  ASSERT_TRUE(clients.resize(39));  // of the 50 that it could have
  EXPECT_EQ(crossed, 0u);
  ASSERT_TRUE(clients.resize(40));
  EXPECT_EQ(crossed, 1u);
  EXPECT_EQ(budget.highestUsage().used, 40u);
  EXPECT_EQ(budget.highestUsage().limit, 50u);
  ASSERT_TRUE(clients.resize(45));
  ASSERT_TRUE(clients.resize(26));
  EXPECT_EQ(crossed, 1u);
  ASSERT_TRUE(clients.resize(25));
  EXPECT_EQ(crossed, 2u);
}

// Shedding requests would not free them.
TEST(MemoryBudget, PermanentChargesAreNoUsage) {
  MemoryBudget budget(shares(100));
  auto permanent = budget.open(Account::clients), other = budget.open(Account::clients);
  ASSERT_TRUE(permanent.resize(90));
  EXPECT_GT(budget.highestUsage().share(), 0.8);
  permanent.markPermanent();
  EXPECT_EQ(budget.highestUsage().share(), 0);
  EXPECT_FALSE(other.resize(11));
  ASSERT_TRUE(other.resize(5));
  EXPECT_EQ(budget.highestUsage().share(), 0.5);
  EXPECT_TRUE(budget.staysUnder(0.75, Account::clients, 2));
  EXPECT_FALSE(budget.staysUnder(0.75, Account::clients, 3));
  ASSERT_TRUE(permanent.resize(92));
  EXPECT_EQ(budget.highestUsage().used, 7u);
  EXPECT_EQ(permanent.split(50).bytes(), 2u);  // and is gone
  auto moved = std::move(permanent);
  moved.shrinkTo(40);
  EXPECT_EQ(budget.highestUsage().used, 5u);
  moved.release();
  EXPECT_EQ(budget.used(), 5u);
  EXPECT_EQ(budget.highestUsage().limit, 100u);
}

TEST(MemoryBudget, AChargeIsGivenBackOnceHoweverItIsMoved) {
  MemoryBudget budget(shares(100));
  {
    auto a = budget.open(kAnyAccount);
    ASSERT_TRUE(a.resize(50));
    MemoryBudget::Charge b = std::move(a);
    // NOLINTNEXTLINE(bugprone-use-after-move): the test is of what is left of it
    EXPECT_EQ(a.bytes(), 0u);
    b = std::move(b);
    EXPECT_EQ(budget.used(), 50u);
    // NOLINTNEXTLINE(bugprone-use-after-move): moved to itself, it still holds its bytes
    auto part = b.split(20);
    EXPECT_EQ(part.bytes() + b.bytes(), 50u);
    EXPECT_EQ(b.split(1000).bytes(), 30u);  // and is gone at once
    EXPECT_EQ(budget.used(), 20u);
    auto c = budget.open(kAnyAccount);
    ASSERT_TRUE(c.resize(10));
    c = std::move(part);
    EXPECT_EQ(budget.used(), 20u);
    c.release();
    c.release();
    EXPECT_EQ(budget.used(), 0u);
  }
  EXPECT_EQ(budget.used(), 0u);
}

TEST(MemoryBudget, AccountsAddUpOverAnySequence) {
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&](std::size_t n) {
      return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
    };
    MemoryBudget::Shares given{1000, {}};
    for (auto& part : given.reserved) part = below(250);
    MemoryBudget budget(given);
    std::vector<std::pair<Account, MemoryBudget::Charge>> all;
    std::size_t crossings = 0, above = 0;
    bool high = false;
    budget.observe(
        0.4, 0.7, [&] { ++crossings; }, [] {});
    for (int step = 0; step < 400; ++step) {
      const auto account = static_cast<Account>(below(kAccounts));
      switch (below(7)) {
        case 0:
          all.emplace_back(account, budget.open(account));
          break;
        case 1:
          if (!all.empty()) all.erase(all.begin() + static_cast<long>(below(all.size())));
          break;
        case 2:
          if (!all.empty()) {
            auto& [of, from] = all[below(all.size())];
            auto part = from.split(below(100));
            all.emplace_back(Account(of), std::move(part));
          }
          break;
        case 3:
          if (!all.empty() && below(4) == 0) all[below(all.size())].second.markPermanent();
          break;
        default:
          if (!all.empty()) {
            auto& [of, charge] = all[below(all.size())];
            const std::size_t before = charge.bytes(), to = below(400), room = budget.available(of);
            const bool granted = charge.resize(to);
            EXPECT_EQ(granted, to <= before + room);
            EXPECT_EQ(charge.bytes(), granted ? to : before);
          }
      }
      std::array<std::size_t, kAccounts> sums{};
      std::size_t sum = 0;
      for (const auto& [of, charge] : all) {
        sums[static_cast<std::size_t>(of)] += charge.bytes();
        sum += charge.bytes();
      }
      ASSERT_EQ(budget.used(), sum) << "seed " << seed << " step " << step;
      ASSERT_LE(sum, 1000u);
      for (std::size_t i = 0; i < kAccounts; ++i) {
        ASSERT_EQ(budget.used(static_cast<Account>(i)), sums[i]);
        // Its own reserve is always available.
        ASSERT_GE(budget.available(static_cast<Account>(i)) + sums[i], given.reserved[i]) << "seed " << seed;
      }
      above = std::max(above, sum);
      const double part = budget.highestUsage().share();
      if (part >= 0.7) high = true;
      if (high) {
        ASSERT_GT(crossings, 0u);
      }
      ASSERT_LE(part, 1);
    }
    EXPECT_EQ(high, crossings > 0) << seed;
    EXPECT_EQ(budget.peak(), above) << seed;
    all.clear();
    EXPECT_EQ(budget.used(), 0u);
  }
}

TEST(MemoryBudget, TheBudgetLeavesMemoryForTheProcessTheHandoverAndFiles) {
  constexpr std::size_t mib = std::size_t{1} << 20;
  const auto total = [](std::size_t limit, bool two, bool files) {
    return sharesOf({limit * mib, two, files}).total;
  };
  EXPECT_EQ(total(32, false, false), 15 * mib);
  EXPECT_LT(total(32, false, true), 15 * mib);
  EXPECT_LT(2 * total(64, true, true), total(64, false, true));
  for (const bool two : {false, true})
    for (const bool files : {false, true}) {
      const std::size_t least = minMemoryLimit(two, files);
      EXPECT_EQ(sharesOf({least - 1, two, files}).total, 0u);
      EXPECT_GE(sharesOf({least, two, files}).total, mib * 99 / 100);
      EXPECT_LE(least, 32 * mib);  // the least that the platform grants
      std::size_t reserved = 0;
      for (const std::size_t part : sharesOf({least, two, files}).reserved) reserved += part;
      EXPECT_LT(reserved, sharesOf({least, two, files}).total);
    }
}

}  // namespace
}  // namespace wingslip
