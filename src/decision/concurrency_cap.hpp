/// A plan's cap on the attempts that all gateways together have in flight for a customer.
#pragma once

#include "decision/customer.hpp"
#include "decision/decay.hpp"
#include "wingslip/decision/settings.hpp"

namespace wingslip::decision::concurrency_cap {

/// Updates the moving average of this gateway's attempts in flight.
inline void advance(Customer& customer, Time elapsedMs) {
  constexpr Time kTimeConstantMs = 1000;
  customer.meanAttemptsInFlight =
      decayedAverage(customer.meanAttemptsInFlight, customer.attemptsInFlight, elapsedMs, kTimeConstantMs);
}
/// Decays the fleet's estimated mean of attempts in flight towards 0 while no quota readings arrive.
void decayFleetMean(Customer& customer, Time elapsedMs);
/// Updates the fleet's estimated mean of attempts in flight from a quota reading, for a customer whose plan
/// has no rate quota.
/// @param percent the metered peak of attempts in flight, in percent of the cap.
void recordReading(Customer& customer, const PlanSettings& plan, int percent);
/// Whether this gateway's attempts in flight alone reach the cap; false for a plan without a cap.
inline bool isReached(const Customer& customer, const PlanSettings& plan) {
  return plan.maxConcurrent > 0 && customer.attemptsInFlight >= plan.maxConcurrent;
}
/// Probability that one more attempt stays within the cap over all gateways. Requires a plan with a cap that
/// this gateway alone has not reached.
/// @param share this gateway's share of the customer's use, above 0 and at most 1.
[[nodiscard]] double probabilityWithinCap(const Customer& customer, const PlanSettings& plan, double share);

}  // namespace wingslip::decision::concurrency_cap
