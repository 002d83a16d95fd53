/// Simulation, in virtual time, of a fleet of control replicas and the configuration subscribers of
/// gatekeepers: it runs the production ControlReplica and Subscriber and encodes messages for their sizes,
/// but uses no sockets. Entries, ranges and records are shared between the simulated copies, so the memory of
/// a run does not indicate that of a gatekeeper.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "distribution/control_replica.hpp"
#include "distribution/subscriber.hpp"

namespace wingslip::lab {

using wingslip::distribution::Milliseconds;

/// Load and fault of a simulation.
enum class DistributionScenario {
  steady,        ///< changes at the mean rate, then a storm of changes
  replica_dies,  ///< a control replica other than the writer fails and restarts
  writer_dies,   ///< the writer fails; another replica gets a term after the lease has expired
  zone_restart,  ///< all gatekeepers of a zone restart together, with a snapshot on disk
  zone_cold,     ///< as zone_restart, but without a snapshot
  regions_part,  ///< two regions, one of them the writer's, are partitioned from each other for five minutes
};

/// The size of the fleet, the load and the network of a simulation.
struct DistributionOptions {
  DistributionScenario scenario = DistributionScenario::steady;
  int regions = 6;
  int zones = 18;  ///< total over all regions; one control replica per zone
  int subscribers = 8'400;
  int entries = 64'000;
  double changesPerSecond = 29'000.0 / 86'400.0;
  double stormFactor = 10;        ///< rate in the storm as a multiple of the mean rate
  int meanSeconds = 300;          ///< duration at the mean rate
  int stormSeconds = 60;          ///< duration of the storm
  double loss = 0.01;             ///< fraction of messages lost
  Milliseconds zoneDelay = 1;     ///< one way, in ms, within a zone
  Milliseconds regionDelay = 10;  ///< one way, between zones of a region
  Milliseconds farDelay = 80;     ///< one way, between regions
  std::uint64_t seed = 1;
};

/// Quantiles of samples, in the unit of the samples; `worst` is the largest.
struct Quantiles {
  double median = 0, p99 = 0, worst = 0;
};

/// Traffic of one kind of node in one phase: bytes and messages per second. Means are per node.
struct TrafficRates {
  double meanBytesIn = 0, meanBytesOut = 0, meanMessagesIn = 0, meanMessagesOut = 0;
  double worstBytes = 0;           ///< mean over the phase at the node with the most traffic, in and out
  double worstTenSecondBytes = 0;  ///< in the worst ten-second window of any node, in and out
};

/// The measurements of one phase.
struct DistributionPhase {
  std::string name;
  double seconds = 0;
  std::uint64_t changes = 0;      ///< published in this phase and committed
  std::uint64_t uncommitted = 0;  ///< published in this phase and not committed
  std::uint64_t deliveries = 0;   ///< changes applied, summed over the gatekeepers
  Quantiles delivery;             ///< ms from publication until in effect at one gatekeeper
  /// Time in ms from publication until in effect at all running gatekeepers, except those that are catching
  /// up after a restart.
  Quantiles deliveryToAll;
  TrafficRates subscriber, replica, writer;
  /// Counts Changes with records and all Acknowledge messages; excludes heartbeats of replicas and lost
  /// messages.
  double bytesPerChangeAndSubscriber = 0;
  double messagesPerChangeAndSubscriber = 0;
};

/// The result of a simulation.
struct DistributionResult {
  std::vector<DistributionPhase> phases;
  /// Subscribers, and running replicas, whose copy is not the newest at the end.
  std::uint64_t differingCopies = 0;
  std::uint64_t failovers = 0, repairs = 0, conflicts = 0;
  std::uint64_t restarted = 0, recovered = 0;  ///< subscribers; equal if all caught up
  Quantiles recovery;                          ///< ms from a restart until the copy is up to date
  double restartedMeanBytes = 0;  ///< mean bytes received per restarted subscriber until up to date
  std::uint64_t maxSubscribersAtAReplica = 0, maxTransfersAtAReplica = 0;
  double fullConfigurationBytes = 0;  ///< baseline for comparison: size of the whole encoded configuration
  double meanStalenessMs = 0;         ///< mean age of Subscriber::writerTime() at the end
};

/// Runs the simulation to its end. `options.seed` determines all random choices.
DistributionResult simulateDistribution(const DistributionOptions& options);

/// Returns a configuration of `entries` entries of about 150 encoded bytes, each added by a separate version
/// of term 1.
wingslip::distribution::Snapshot makeConfiguration(int entries, std::uint64_t seed);

}  // namespace wingslip::lab
