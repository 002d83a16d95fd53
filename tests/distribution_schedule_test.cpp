/// Tests of configuration distribution in virtual time: seeded fault schedules, and the lab's simulation of a
/// fleet. The environment variables DISTRIBUTION_SCHEDULES and DISTRIBUTION_FIRST_SEED set the number of
/// schedules and the first seed.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "distribution_fleet.hpp"
#include "distribution_simulation.hpp"

namespace wingslip::distribution {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kSchedules = 12;  // a schedule runs many times slower under AddressSanitizer
#else
constexpr std::uint64_t kSchedules = 150;
#endif

std::uint64_t fromEnvironment(const char* name, std::uint64_t defaultValue) {
  const char* value = std::getenv(name);
  return value == nullptr ? defaultValue : std::strtoull(value, nullptr, 10);
}

void runSchedules(double loss) {
  const std::uint64_t first = fromEnvironment("DISTRIBUTION_FIRST_SEED", 1);
  const std::uint64_t schedules = fromEnvironment("DISTRIBUTION_SCHEDULES", kSchedules);
  std::uint64_t versions = 0, repairs = 0, rejectedChanges = 0, restarts = 0, corruptedTables = 0, failed = 0;
  for (std::uint64_t seed = first; seed < first + schedules; ++seed) {
    ScheduleOptions options;
    options.seed = seed;
    options.loss = loss;
    ScheduledFleet fleet(options);
    fleet.run();
    for (const std::string& violation : fleet.violations) ADD_FAILURE() << violation;
    failed += fleet.violations.empty() ? 0 : 1;
    versions += fleet.committed();
    repairs += fleet.repairs;
    rejectedChanges += fleet.rejectedChanges;
    restarts += fleet.restarts;
    corruptedTables += fleet.corruptedTables;
    EXPECT_EQ(fleet.conflicts, 0u) << "seed " << seed;
  }
  std::cout << schedules << " schedules from seed " << first << ", loss " << loss << ": " << versions
            << " versions, " << repairs << " repairs, " << rejectedChanges << " rejections reported, "
            << restarts << " restarts, " << corruptedTables << " corrupted tables, " << failed << " failed\n";
  // The schedules must exercise changes, repairs, rejections and restarts.
  EXPECT_GT(versions, schedules * 10);
  EXPECT_GT(repairs, schedules);
  EXPECT_GT(rejectedChanges, schedules);
  EXPECT_GT(restarts, schedules);
}

TEST(DistributionSchedules, ReplicasAndSubscribersConvergeAtFivePercentLoss) { runSchedules(0.05); }
TEST(DistributionSchedules, ReplicasAndSubscribersConvergeAtTwentyPercentLoss) { runSchedules(0.20); }

// Small fleet. The tests check counts and ratios in virtual time, not wall time.
wingslip::lab::DistributionOptions smallFleet(wingslip::lab::DistributionScenario scenario) {
  wingslip::lab::DistributionOptions options;
  options.scenario = scenario;
  options.regions = 3;
  options.zones = 6;
  options.subscribers = 200;
  options.entries = 2'000;
  options.meanSeconds = 120;
  options.stormSeconds = 30;
  return options;
}

// Bounds of the lab command (tools/lab/distribution_run.cpp).
constexpr double kMaxDeliveryToAllMs = 18'000;
constexpr double kMaxBytesPerSecond = 17'000;

void expectConsistentAndWithinLimits(const wingslip::lab::DistributionResult& result) {
  EXPECT_EQ(result.differingCopies, 0u);
  EXPECT_EQ(result.conflicts, 0u);
  EXPECT_EQ(result.recovered, result.restarted);
  for (const auto& phase : result.phases) {
    EXPECT_GT(phase.changes, 0u) << phase.name;
    EXPECT_EQ(phase.uncommitted, 0u) << phase.name;
    EXPECT_LE(phase.deliveryToAll.worst, kMaxDeliveryToAllMs) << phase.name;
    EXPECT_LE(phase.subscriber.worstTenSecondBytes, kMaxBytesPerSecond) << phase.name;
  }
}

TEST(DistributionSimulation, EveryChangeIsAppliedOnceByEveryGatekeeper) {
  const auto result = simulateDistribution(smallFleet(wingslip::lab::DistributionScenario::steady));
  expectConsistentAndWithinLimits(result);
  for (const auto& phase : result.phases) {
    EXPECT_EQ(phase.deliveries, phase.changes * 200) << phase.name;
    EXPECT_LE(phase.messagesPerChangeAndSubscriber, 2.3) << phase.name;
    EXPECT_LE(phase.bytesPerChangeAndSubscriber, 350) << phase.name;
  }
  // Changes of a storm are sent in batches: fewer messages per change.
  EXPECT_LT(result.phases[1].messagesPerChangeAndSubscriber, result.phases[0].messagesPerChangeAndSubscriber);
}

TEST(DistributionSimulation, CostOfChangeIsIndependentOfEntriesAndSubscribers) {
  const auto options = smallFleet(wingslip::lab::DistributionScenario::steady);
  auto moreEntries = options, moreSubscribers = options;
  moreEntries.entries = 16'000;
  moreSubscribers.subscribers = 800;
  const auto base = simulateDistribution(options).phases[0];
  for (const auto& other :
       {simulateDistribution(moreEntries).phases[0], simulateDistribution(moreSubscribers).phases[0]}) {
    EXPECT_NEAR(other.bytesPerChangeAndSubscriber, base.bytesPerChangeAndSubscriber,
                0.1 * base.bytesPerChangeAndSubscriber);
    EXPECT_NEAR(other.messagesPerChangeAndSubscriber, base.messagesPerChangeAndSubscriber, 0.2);
    const double baseBytes = base.subscriber.meanBytesIn + base.subscriber.meanBytesOut;
    EXPECT_NEAR(other.subscriber.meanBytesIn + other.subscriber.meanBytesOut, baseBytes, 0.25 * baseBytes);
  }
}

TEST(DistributionSimulation, DeliveryDelayIsBoundedAfterLossOfReplicaOrWriter) {
  using wingslip::lab::DistributionScenario;
  for (const auto scenario : {DistributionScenario::replica_dies, DistributionScenario::writer_dies}) {
    auto options = smallFleet(scenario);
    options.meanSeconds = 180;
    const auto result = simulateDistribution(options);
    expectConsistentAndWithinLimits(result);
    EXPECT_GE(result.failovers, 33u);  // the subscribers of one zone
    EXPECT_EQ(result.repairs, 0u);
  }
}

TEST(DistributionSimulation, RestartedZoneCatchesUpWithAndWithoutSnapshot) {
  using wingslip::lab::DistributionScenario;
  const auto warm = simulateDistribution(smallFleet(DistributionScenario::zone_restart));
  expectConsistentAndWithinLimits(warm);
  EXPECT_GE(warm.restarted, 33u);
  EXPECT_EQ(warm.repairs, 0u);
  const auto cold = simulateDistribution(smallFleet(DistributionScenario::zone_cold));
  expectConsistentAndWithinLimits(cold);
  EXPECT_GE(cold.repairs, 33u);
  EXPECT_LT(50 * warm.restartedMeanBytes, cold.restartedMeanBytes);
  EXPECT_LT(cold.restartedMeanBytes, 1.3 * cold.fullConfigurationBytes);
}

TEST(DistributionSimulation, PartitionedRegionsReceiveThroughThirdRegion) {
  auto options = smallFleet(wingslip::lab::DistributionScenario::regions_part);
  options.meanSeconds = 400;
  expectConsistentAndWithinLimits(simulateDistribution(options));
}

TEST(DistributionSimulation, SameSeedReproducesSameRun) {
  const auto options = smallFleet(wingslip::lab::DistributionScenario::steady);
  const auto first = simulateDistribution(options), second = simulateDistribution(options);
  EXPECT_EQ(first.phases[1].subscriber.meanBytesIn, second.phases[1].subscriber.meanBytesIn);
  EXPECT_EQ(first.phases[1].deliveryToAll.worst, second.phases[1].deliveryToAll.worst);
}

}  // namespace
}  // namespace wingslip::distribution
