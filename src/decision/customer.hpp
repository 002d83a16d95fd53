/// State of one customer at a gateway: local token buckets and the estimate of its fleet-wide usage.
#pragma once

#include <array>
#include <cstddef>

#include "wingslip/decision/types.hpp"

namespace wingslip::decision {

/// Slots of the usage history, each a quarter of a reading period: four reading periods.
constexpr int kHistorySlots = 16;
constexpr int kSlotsPerPeriod = 4;

/// Requested units and the seconds in which they were requested; both decay over time.
struct DemandSample {
  double units = 0;
  double seconds = 0;
};

/// Usage per quarter of a reading period: a ring buffer indexed by the slot number.
struct UsageHistory {
  std::array<double, kHistorySlots> ownUnits{};       ///< units admitted by this gateway
  std::array<double, kHistorySlots> othersUnits{};    ///< estimated units used through the other gateways
  std::array<double, kHistorySlots> admitFraction{};  ///< admit fraction in force during the slot
  long slot = 0;                                      ///< number of the newest slot

  static std::size_t indexOf(long slot) { return static_cast<std::size_t>(slot % kHistorySlots); }
  std::size_t newest() const { return indexOf(slot); }
};

/// State of one customer. Its rules are in CustomerQuota, FleetQuota and concurrency_cap.
struct Customer {
  CustomerId id = 0;
  unsigned planIndex = 0;
  unsigned customerGatewayCount = 1;  ///< number of gateways that receive the customer's requests
  Time updatedAt = 0;                 ///< time as of which buckets and estimates are valid
  double localTokens = 0;             ///< units in this gateway's token bucket; negative: in debt
  double fleetTokens = 0;             ///< estimated units remaining over all gateways; negative: in debt
  double ceilingTokens = 0;           ///< units in this gateway's share of the hard ceiling's bucket
  double admitFraction = 1;           ///< share of its demand to admit when the fleet-wide quota is used up
  int readingPercent = -1;            ///< the last quota reading, in percent; negative: none yet
  Time readingAt = 0;
  Time meanReadingIntervalMs = 0;   ///< moving average of the time between two readings
  double admitCredit = 0;           ///< unused units that the admit fraction has granted at this gateway
  double meanRequestUnits = 0;      ///< moving average of the units of a request
  DemandSample shortTermDemand;     ///< over all gateways; follows changes of the demand quickly
  DemandSample longTermDemand;      ///< over all gateways; the average level of the demand
  double ownUsage = 0;              ///< units admitted by this gateway in metered periods, decaying
  double fleetUsage = 0;            ///< metered units over all gateways, decaying; ownUsage is a part of them
  unsigned attemptsInFlight = 0;    ///< of this gateway
  double meanAttemptsInFlight = 0;  ///< moving average of this gateway's attempts in flight
  double fleetMeanAttemptsInFlight = 0;  ///< estimate over all gateways, from metered peaks
  UsageHistory history;
};

}  // namespace wingslip::decision
