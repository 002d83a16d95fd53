/// State of one customer at a gateway: local token buckets and the estimate of its fleet-wide usage.
#pragma once

#include <array>
#include <cstddef>

#include "wingslip/decision/types.hpp"

namespace wingslip::decision {

/// Number of slots of the usage history.
constexpr int kHistorySlots = 16;
/// Number of slots per reading period: a slot is a quarter of the period, but at least 250 ms.
constexpr int kSlotsPerPeriod = 4;

/// Decaying sums whose quotient is the demand over all gateways, in units per second. An observation covers a
/// part of the demand: it adds the units of that part and its duration, multiplied by the part's share of the
/// demand.
struct DemandSums {
  double units = 0;
  double seconds = 0;
};

/// Usage per slot: a ring buffer indexed by the slot number.
struct UsageHistory {
  std::array<double, kHistorySlots> ownUnits{};     ///< units admitted by this gateway
  std::array<double, kHistorySlots> othersUnits{};  ///< estimated units used through the other gateways
  /// Assumed admit fraction at the last decision in the slot, or before it; 1 if the fleet-wide quota was not
  /// estimated to be used up.
  std::array<double, kHistorySlots> assumedAdmitFraction{};
  long slot = 0;  ///< number of the newest slot

  static std::size_t indexOf(long slot) { return static_cast<std::size_t>(slot % kHistorySlots); }
  std::size_t newest() const { return indexOf(slot); }
};

/// State of one customer. Its rules are in CustomerQuota, FleetQuota and concurrency_cap.
struct Customer {
  CustomerId id = 0;
  unsigned planIndex = 0;
  unsigned customerGatewayCount = 1;  ///< number of gateways that receive the customer's requests
  Time updatedAt = 0;                 ///< time as of which buckets and estimates are valid
  /// Units in this gateway's token bucket, which has the plan's full rate and burst; negative: in debt.
  double localTokens = 0;
  double fleetTokens = 0;    ///< estimated units remaining over all gateways; negative: in debt
  double ceilingTokens = 0;  ///< units in this gateway's share of the hard ceiling's bucket
  /// Share of the demand that the gateways are assumed to admit while the fleet-wide quota is used up.
  double assumedAdmitFraction = 1;
  /// The last quota reading, in percent of the rate, or of the cap without a rate; negative: none yet.
  int readingPercent = -1;
  Time readingAt = 0;  ///< time of the last reading; initially the time at which the customer was added
  Time meanReadingIntervalMs = 0;  ///< moving average of the time between two readings
  /// Units that this gateway may still admit while the fleet-wide quota is used up. Accrues at this gateway's
  /// share of the rate; negative: in debt.
  double admitCredit = 0;
  double meanRequestUnits = 0;      ///< moving average of the units of a request
  DemandSums shortTermDemand;       ///< over all gateways; follows changes of the demand quickly
  DemandSums longTermDemand;        ///< over all gateways; the average level of the demand
  double ownUsage = 0;              ///< units admitted by this gateway in metered periods, decaying
  double fleetUsage = 0;            ///< metered units over all gateways, decaying; ownUsage is a part of them
  unsigned attemptsInFlight = 0;    ///< of this gateway
  double meanAttemptsInFlight = 0;  ///< moving average of this gateway's attempts in flight
  double fleetMeanAttemptsInFlight = 0;  ///< estimate over all gateways, from metered peaks
  UsageHistory history;
};

}  // namespace wingslip::decision
