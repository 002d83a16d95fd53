/// Cap on attempts in flight: what the other gateways have is estimated, not known.
#include "decision/concurrency_cap.hpp"

#include <algorithm>
#include <cmath>

namespace wingslip::decision::concurrency_cap {
namespace {

constexpr Time kFleetMeanMemoryMs = 60000;
// A metered peak stands about kPeakDeviations deviations and kPeakOffset attempts over the mean.
constexpr double kPeakDeviations = 1.2;
constexpr double kPeakOffset = 0.5;
constexpr double kPeakWeight = 0.3;  // of a new peak, so that a single one does not close the cap
constexpr unsigned kMaxTerms = 64;   // of the Poisson distribution

// Poisson distribution: probability that fewer than `capacity` are in flight, of `mean` as a rule.
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

void fadeFleetMean(Customer& customer, Time elapsedMs) {
  customer.fleetMeanInFlight = approach(customer.fleetMeanInFlight, 0, elapsedMs, kFleetMeanMemoryMs);
}

void noteReading(Customer& customer, const PlanSettings& plan, int percent) {
  const double peak = std::max(0.0, percent / 100.0 * plan.maxConcurrent - kPeakOffset);
  const double root = std::sqrt(kPeakDeviations * kPeakDeviations / 4 + peak) - kPeakDeviations / 2;
  customer.fleetMeanInFlight += kPeakWeight * (root * root - customer.fleetMeanInFlight);
}

double probabilityOfCapacity(const Customer& customer, const PlanSettings& plan, double share) {
  const double others =
      plan.rate > 0 ? customer.meanInFlight * (1 - share) / share : customer.fleetMeanInFlight * (1 - share);
  return probabilityBelow(plan.maxConcurrent - customer.attemptsInFlight, others);
}

}  // namespace wingslip::decision::concurrency_cap
