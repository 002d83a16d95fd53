// A fleet of gatekeepers' configuration subscribers and control replicas in virtual time: the real cores and
// the codec's real message sizes; no sockets. Entries, ranges and records are shared between the simulated
// copies, so the memory of a run says nothing of a gatekeeper's.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "distribution/control_replica.hpp"
#include "distribution/subscriber.hpp"

namespace wingslip::lab {

using wingslip::distribution::Milliseconds;

enum class DistributionScenario {
  steady,        // the mean rate, then a storm
  replica_dies,  // a control replica that is not the writer is lost for a while
  writer_dies,   // the writer is lost; another gets a term once the lease has ended
  zone_restart,  // all gatekeepers of a zone start at once, with a snapshot
  zone_cold,     // the same without a snapshot
  regions_part,  // two regions, one of them the writer's, do not reach each other for five minutes
};

struct DistributionOptions {
  DistributionScenario scenario = DistributionScenario::steady;
  int regions = 6;
  int zones = 18;  // in all; one control replica a zone
  int subscribers = 8'400;
  int entries = 64'000;
  double changesPerSecond = 29'000.0 / 86'400.0;
  double stormFactor = 10;
  int meanSeconds = 300;
  int stormSeconds = 60;
  double loss = 0.01;
  Milliseconds zoneDelay = 1;     // one way, within a zone
  Milliseconds regionDelay = 10;  // between zones of a region
  Milliseconds farDelay = 80;     // between regions
  std::uint64_t seed = 1;
};

// Quantiles of samples, in the unit of the samples.
struct Quantiles {
  double median = 0, p99 = 0, worst = 0;
};

// Bytes and messages of one kind of node in one phase, a second.
struct TrafficRates {
  double meanBytesIn = 0, meanBytesOut = 0, meanMessagesIn = 0, meanMessagesOut = 0;
  double worstBytes = 0;           // in and out together, of the node with the most, over the phase
  double worstTenSecondBytes = 0;  // the same over the worst ten seconds of any node
};

struct DistributionPhase {
  std::string name;
  double seconds = 0;
  std::uint64_t changes = 0;  // committed of those that were published in it
  std::uint64_t uncommitted = 0;
  std::uint64_t deliveries = 0;  // a change at a gatekeeper
  Quantiles delivery;            // ms from the publishing until in force at one gatekeeper
  Quantiles everywhere;          // ms until in force at the last gatekeeper that runs
  TrafficRates subscriber, replica, writer;
  double bytesPerChangeAndSubscriber = 0;  // without heartbeats and what they are answered with
  double messagesPerChangeAndSubscriber = 0;
};

struct DistributionResult {
  std::vector<DistributionPhase> phases;
  std::uint64_t differingCopies = 0;  // at the end: subscribers and replicas that are not at the last version
  std::uint64_t failovers = 0, repairs = 0, conflicts = 0;
  std::uint64_t restarted = 0, recovered = 0;
  Quantiles recovery;             // ms from a restart until the copy was up to date
  double restartedMeanBytes = 0;  // received by each that restarted, until then
  std::uint64_t maxSubscribersAtAReplica = 0, maxTransfersAtAReplica = 0;
  double wholeFileBytes = 0;   // the baseline: the whole configuration, encoded
  double meanStalenessMs = 0;  // at the end: age of the newest word from the writer
};

DistributionResult simulateDistribution(const DistributionOptions& options);

// Entries of some 150 bytes encoded, one a version, of term 1.
wingslip::distribution::Snapshot makeConfiguration(int entries, std::uint64_t seed);

}  // namespace wingslip::lab
