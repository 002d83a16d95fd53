/// Concurrency cap of a plan. The other gateways' attempts in flight are estimated from this gateway's own or
/// from quota readings.
#include "decision/concurrency_cap.hpp"

#include <algorithm>
#include <cmath>

namespace wingslip::decision::concurrency_cap {
namespace {

constexpr Time kFleetMeanTimeConstantMs = 60000;  // decay without quota readings
// A metered peak exceeds the mean by about kPeakDeviations standard deviations plus kPeakOffset attempts.
constexpr double kPeakDeviations = 1.2;
constexpr double kPeakOffset = 0.5;
// Weight of a new peak in the moving average; below 1, so that a single peak does not exhaust the cap.
constexpr double kPeakWeight = 0.3;
constexpr unsigned kMaxTerms = 64;  // upper bound on the summed terms of the Poisson distribution

// Probability that fewer than `capacity` attempts are in flight, for a Poisson distribution of mean `mean`.
double probabilityBelow(unsigned capacity, double mean) {
  double term = std::exp(-mean);
  double sum = 0;
  for (unsigned i = 0; i < capacity && i < kMaxTerms; ++i) {
    sum += term;
    term *= mean / (i + 1);
  }
  return sum;
}

}  // namespace

void decayFleetMean(Customer& customer, Time elapsedMs) {
  customer.fleetMeanAttemptsInFlight =
      decayedAverage(customer.fleetMeanAttemptsInFlight, 0, elapsedMs, kFleetMeanTimeConstantMs);
}

void recordReading(Customer& customer, const PlanSettings& plan, int percent) {
  const double peak = std::max(0.0, percent / 100.0 * plan.maxConcurrent - kPeakOffset);
  // Solves mean + kPeakDeviations * sqrt(mean) = peak for sqrt(mean).
  const double rootOfMean = std::sqrt(kPeakDeviations * kPeakDeviations / 4 + peak) - kPeakDeviations / 2;
  customer.fleetMeanAttemptsInFlight +=
      kPeakWeight * (rootOfMean * rootOfMean - customer.fleetMeanAttemptsInFlight);
}

double probabilityWithinCap(const Customer& customer, const PlanSettings& plan, double share) {
  // With a rate quota, readings yield this gateway's share, so the other gateways' mean follows from its own
  // mean. Without a rate quota, readings yield the mean over all gateways.
  const double othersMean = plan.rate > 0 ? customer.meanAttemptsInFlight * (1 - share) / share
                                          : customer.fleetMeanAttemptsInFlight * (1 - share);
  return probabilityBelow(plan.maxConcurrent - customer.attemptsInFlight, othersMean);
}

}  // namespace wingslip::decision::concurrency_cap
