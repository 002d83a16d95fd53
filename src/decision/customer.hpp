/// What a gateway keeps of one customer: its local buckets and its estimate of what the whole fleet uses.
#pragma once

#include <array>
#include <cstddef>

#include "wingslip/decision/types.hpp"

namespace wingslip::decision {

/// Quarters of a reading period that are kept: four periods.
constexpr int kHistorySlots = 16;
constexpr int kSlotsPerPeriod = 4;

/// Units and the seconds that they stand for, both fading with time.
struct DemandSample {
  double units = 0;
  double seconds = 0;
};

/// Quarter periods, as a ring indexed by their number.
struct UsageHistory {
  std::array<double, kHistorySlots> ownUnits{};       ///< sent by this gateway
  std::array<double, kHistorySlots> othersUnits{};    ///< taken from the estimate for the other gateways
  std::array<double, kHistorySlots> admitFraction{};  ///< in force
  long slot = 0;                                      ///< number of the newest

  static std::size_t indexOf(long slot) { return static_cast<std::size_t>(slot % kHistorySlots); }
  std::size_t newest() const { return indexOf(slot); }
};

struct Customer {
  CustomerId id = 0;
  unsigned planIndex = 0;
  unsigned customerGateways = 1;  ///< gateways that its requests come through
  Time advancedAt = 0;            ///< buckets and estimates stand as of this time
  double localTokens = 0;         ///< units in this gateway's bucket
  double fleetTokens = 0;         ///< units, estimate of what all gateways together have left
  double ceilingTokens = 0;       ///< units in this gateway's part of the hard ceiling
  double admitFraction = 1;       ///< of its demand, where the fleet-wide quota is used up
  int readingPercent = -1;        ///< the last quota reading; negative: none yet
  Time readingAt = 0;
  Time readingGapMs = 0;    ///< usual time between two readings
  double admitCredit = 0;   ///< units that the admit fraction has granted here and that are unused
  double requestUnits = 0;  ///< usual units of a request
  DemandSample recentDemand;
  DemandSample usualDemand;
  double ownUse = 0;  ///< decayed sums behind this gateway's share of the use
  double allUse = 0;
  unsigned attemptsInFlight = 0;
  double meanInFlight = 0;       ///< attempts of this gateway
  double fleetMeanInFlight = 0;  ///< attempts of all gateways, by their metered peaks
  UsageHistory history;
};

}  // namespace wingslip::decision
