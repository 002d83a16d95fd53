// Tests the memory budget: charges, reserves, usage and watermarks.
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
  EXPECT_EQ(a.bytes(), 60u);  // unchanged
  EXPECT_EQ(budget.refusals(Account::clients), 1u);
  EXPECT_TRUE(a.resize(10));  // shrinking always succeeds
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

// Guards against an account at its limit that does not count as overloaded because memory reserved for other
// accounts is unused.
TEST(MemoryBudget, ReportsTheAccountWithTheHighestUsage) {
  MemoryBudget budget(shares(100, 20, 50));
  std::size_t crossed = 0;
  budget.setCallbacks(
      0.5, 0.8, [&] { ++crossed; }, [] {});
  auto clients = budget.open(Account::clients);
  ASSERT_TRUE(clients.resize(39));  // of the 50 bytes that it may use
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

// Guards against load shedding for bytes that shedding requests would not free.
TEST(MemoryBudget, PermanentChargesDoNotCountAsUsage) {
  MemoryBudget budget(shares(100));
  auto permanent = budget.open(Account::clients), other = budget.open(Account::clients);
  ASSERT_TRUE(permanent.resize(90));
  EXPECT_GT(budget.highestUsage().share(), 0.8);
  permanent.markPermanent();
  EXPECT_EQ(budget.highestUsage().share(), 0);
  EXPECT_FALSE(other.resize(11));
  ASSERT_TRUE(other.resize(5));
  EXPECT_EQ(budget.highestUsage().share(), 0.5);
  EXPECT_TRUE(budget.wouldStayWithin(0.75, Account::clients, 2));
  EXPECT_FALSE(budget.wouldStayWithin(0.75, Account::clients, 3));
  ASSERT_TRUE(permanent.resize(92));
  EXPECT_EQ(budget.highestUsage().used, 7u);
  EXPECT_EQ(permanent.split(50).bytes(), 2u);  // released immediately by the temporary's destructor
  auto moved = std::move(permanent);
  moved.shrinkTo(40);
  EXPECT_EQ(budget.highestUsage().used, 5u);
  moved.release();
  EXPECT_EQ(budget.used(), 5u);
  EXPECT_EQ(budget.highestUsage().limit, 100u);
}

TEST(MemoryBudget, AMovedChargeIsReleasedExactlyOnce) {
  MemoryBudget budget(shares(100));
  {
    auto a = budget.open(kAnyAccount);
    ASSERT_TRUE(a.resize(50));
    MemoryBudget::Charge b = std::move(a);
    // NOLINTNEXTLINE(bugprone-use-after-move): the test checks the moved-from charge
    EXPECT_EQ(a.bytes(), 0u);
    b = std::move(b);
    EXPECT_EQ(budget.used(), 50u);
    // NOLINTNEXTLINE(bugprone-use-after-move): a charge moved to itself retains its bytes
    auto part = b.split(20);
    EXPECT_EQ(part.bytes() + b.bytes(), 50u);
    EXPECT_EQ(b.split(1000).bytes(), 30u);  // released immediately by the temporary's destructor
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

TEST(MemoryBudget, AccountsMatchTheirChargesForRandomSequences) {
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    const auto below = [&](std::size_t n) {
      return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
    };
    MemoryBudget::Shares budgetShares{1000, {}};
    for (auto& part : budgetShares.reserved) part = below(250);
    MemoryBudget budget(budgetShares);
    std::vector<std::pair<Account, MemoryBudget::Charge>> charges;
    std::size_t crossings = 0, expectedPeak = 0;
    bool highMarkReached = false;
    budget.setCallbacks(
        0.4, 0.7, [&] { ++crossings; }, [] {});
    for (int step = 0; step < 400; ++step) {
      const auto account = static_cast<Account>(below(kAccounts));
      switch (below(7)) {
        case 0:
          charges.emplace_back(account, budget.open(account));
          break;
        case 1:
          if (!charges.empty()) charges.erase(charges.begin() + static_cast<long>(below(charges.size())));
          break;
        case 2:
          if (!charges.empty()) {
            auto& [of, from] = charges[below(charges.size())];
            auto part = from.split(below(100));
            charges.emplace_back(Account(of), std::move(part));
          }
          break;
        case 3:
          if (!charges.empty() && below(4) == 0) charges[below(charges.size())].second.markPermanent();
          break;
        default:
          if (!charges.empty()) {
            auto& [of, charge] = charges[below(charges.size())];
            const std::size_t before = charge.bytes(), requested = below(400),
                              availableBytes = budget.available(of);
            const bool granted = charge.resize(requested);
            EXPECT_EQ(granted, requested <= before + availableBytes);
            EXPECT_EQ(charge.bytes(), granted ? requested : before);
          }
      }
      std::array<std::size_t, kAccounts> sums{};
      std::size_t sum = 0;
      for (const auto& [of, charge] : charges) {
        sums[static_cast<std::size_t>(of)] += charge.bytes();
        sum += charge.bytes();
      }
      ASSERT_EQ(budget.used(), sum) << "seed " << seed << " step " << step;
      ASSERT_LE(sum, 1000u);
      for (std::size_t i = 0; i < kAccounts; ++i) {
        ASSERT_EQ(budget.used(static_cast<Account>(i)), sums[i]);
        // An account's own reserve is always available to it.
        ASSERT_GE(budget.available(static_cast<Account>(i)) + sums[i], budgetShares.reserved[i])
            << "seed " << seed;
      }
      expectedPeak = std::max(expectedPeak, sum);
      const double part = budget.highestUsage().share();
      if (part >= 0.7) highMarkReached = true;
      if (highMarkReached) {
        ASSERT_GT(crossings, 0u);
      }
      ASSERT_LE(part, 1);
    }
    EXPECT_EQ(highMarkReached, crossings > 0) << seed;
    EXPECT_EQ(budget.peak(), expectedPeak) << seed;
    charges.clear();
    EXPECT_EQ(budget.used(), 0u);
  }
}

TEST(MemoryBudget, TheBudgetExcludesMemoryOfTheProcessAHandoverAndStateFiles) {
  constexpr std::size_t mib = std::size_t{1} << 20;
  const auto total = [](std::size_t limit, bool twoProcesses, bool stateFiles) {
    return budgetSharesFor({limit * mib, twoProcesses, stateFiles}).total;
  };
  EXPECT_EQ(total(32, false, false), 15 * mib);
  EXPECT_LT(total(32, false, true), 15 * mib);
  EXPECT_LT(2 * total(64, true, true), total(64, false, true));
  for (const bool twoProcesses : {false, true})
    for (const bool stateFiles : {false, true}) {
      const std::size_t minimumLimit = minMemoryLimit(twoProcesses, stateFiles);
      EXPECT_EQ(budgetSharesFor({minimumLimit - 1, twoProcesses, stateFiles}).total, 0u);
      EXPECT_GE(budgetSharesFor({minimumLimit, twoProcesses, stateFiles}).total, mib * 99 / 100);
      EXPECT_LE(minimumLimit, 32 * mib);  // the platform's smallest memory limit
      std::size_t reserved = 0;
      for (const std::size_t part : budgetSharesFor({minimumLimit, twoProcesses, stateFiles}).reserved)
        reserved += part;
      EXPECT_LT(reserved, budgetSharesFor({minimumLimit, twoProcesses, stateFiles}).total);
    }
}

}  // namespace
}  // namespace wingslip
