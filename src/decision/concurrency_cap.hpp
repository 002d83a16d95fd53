/// A plan's cap on the attempts that all gateways together have in flight for a customer.
#pragma once

#include "decision/customer.hpp"
#include "decision/decay.hpp"
#include "wingslip/decision/settings.hpp"

namespace wingslip::decision::concurrency_cap {

/// Averages this gateway's attempts in flight over time.
inline void advance(Customer& customer, Time elapsedMs) {
  constexpr Time kMemoryMs = 1000;
  customer.meanInFlight = approach(customer.meanInFlight, customer.attemptsInFlight, elapsedMs, kMemoryMs);
}
/// Lets the other gateways' metered peak fade while no reading comes.
void fadeFleetMean(Customer& customer, Time elapsedMs);
/// A reading of a customer without a quota on its rate: the peak of attempts in flight, in percent of the
/// cap.
void noteReading(Customer& customer, const PlanSettings& plan, int percent);
/// Whether this gateway alone has as many attempts in flight as the cap allows.
inline bool isReached(const Customer& customer, const PlanSettings& plan) {
  return plan.maxConcurrent > 0 && customer.attemptsInFlight >= plan.maxConcurrent;
}
/// Probability that one more attempt is under the cap over all gateways. Of a plan with a cap.
/// @param share this gateway's share of the customer's use.
[[nodiscard]] double probabilityOfCapacity(const Customer& customer, const PlanSettings& plan, double share);

}  // namespace wingslip::decision::concurrency_cap
