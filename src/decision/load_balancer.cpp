/// Load balancing: eligibility and cost of each worker, and the division of workers into subsets.
#include "decision/load_balancer.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "decision/concurrency_limit.hpp"
#include "decision/retry_policy.hpp"

namespace wingslip::decision {
namespace {

// Subsets.
// Preferred minimum number of gateways that have a worker in their subset.
constexpr unsigned kPreferredGatewaysPerWorker = 20;
// Minimum size of a subset; in a smaller one a single outlier takes a noticeable part of the traffic.
constexpr unsigned kMinWorkersPerGateway = 8;
// Maximum size of a subset, subject to kMinGatewaysPerWorker: it bounds a gateway's connections, since each
// worker in use takes one, and prevents its traffic from growing with the endpoint list.
constexpr unsigned kMaxWorkersPerGateway = 48;
// Minimum number of gateways that have a worker in their subset, also where subsets then exceed their maximum
// size; without it some workers could be in no subset.
constexpr unsigned kMinGatewaysPerWorker = 4;

// Factors of a worker's cost.
constexpr double kCrossZoneWeight = 15;  // increase of the factor per unit of Settings::crossZonePrice
constexpr double kOutsideSubsetFactor = 2.5;
constexpr double kCostJitter = 0.02;  // without it, gateways in the same state would pick the same worker
// For a worker to avoid, see OutlierDetection::shouldAvoid; so large that it is practically picked only if no
// other worker is eligible.
constexpr double kAvoidedFactor = 10000;
constexpr double kTriedFactor = 30;  // for a worker that an earlier attempt of this request was sent to

// First index of a part: the lowest i with i * subsetCount / count == part.
std::size_t partStart(std::size_t part, std::size_t count, unsigned subsetCount) {
  return (part * count + subsetCount - 1) / subsetCount;
}

}  // namespace

// Deterministic subsetting. The gateways are grouped into rounds of as many gateways as there are subsets.
// Each round orders all workers by a hash of its own and divides them once among its gateways, so that
// the numbers of subsets that two workers are in differ by at most one and a change of the endpoint list
// moves few workers. Where there are few gateways or few workers, all workers are in the subset.
void LoadBalancer::assignSubset() {
  // Draining workers are included, so that draining moves no other worker to another subset.
  std::vector<std::pair<std::uint64_t, UpstreamWorker*>> hashedWorkers;
  for (UpstreamWorker& worker : workers_.all())
    if (worker.endpoint.phase != WorkerPhase::removed) hashedWorkers.emplace_back(0, &worker);
  const std::size_t count = hashedWorkers.size();
  subsetCount_ = chooseSubsetCount(static_cast<unsigned>(count));
  for (auto& [hash, worker] : hashedWorkers) worker->isInSubset = subsetCount_ == 1;
  if (subsetCount_ == 1) return;
  const std::uint64_t round = settings_.gatewayIndex / subsetCount_;
  for (auto& [hash, worker] : hashedWorkers) hash = mixBits(worker->endpoint.worker ^ mixBits(round));
  const auto isBefore = [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : a.second->endpoint.worker < b.second->endpoint.worker;
  };
  // A selection suffices instead of a sort: only membership of this gateway's part matters, not its order.
  const std::size_t part = settings_.gatewayIndex % subsetCount_;
  const auto first =
      hashedWorkers.begin() + static_cast<std::ptrdiff_t>(partStart(part, count, subsetCount_));
  const auto last =
      hashedWorkers.begin() + static_cast<std::ptrdiff_t>(partStart(part + 1, count, subsetCount_));
  std::nth_element(hashedWorkers.begin(), first, hashedWorkers.end(), isBefore);
  std::nth_element(first, last, hashedWorkers.end(), isBefore);
  for (auto it = first; it != last; ++it) it->second->isInSubset = true;
}

// The largest count that gives each worker at least kPreferredGatewaysPerWorker gateways and each gateway at
// least kMinWorkersPerGateway workers. Where subsets would then exceed kMaxWorkersPerGateway, the count is
// larger, but gives each worker at least kMinGatewaysPerWorker gateways.
unsigned LoadBalancer::chooseSubsetCount(unsigned workerCount) const {
  const unsigned preferred =
      std::min(settings_.gatewayCount / kPreferredGatewaysPerWorker, workerCount / kMinWorkersPerGateway);
  const unsigned required = (workerCount + kMaxWorkersPerGateway - 1) / kMaxWorkersPerGateway;
  return std::max({1u, preferred, std::min(settings_.gatewayCount / kMinGatewaysPerWorker, required)});
}

// A request that may have run is exempt from the worker's limit: without a retry its final answer might be a
// failure.
inline bool LoadBalancer::isEligible(UpstreamWorker& worker, Time now, const PendingRequest& pending,
                                     double capacityShare) {
  if (!isInDeduplicationScope(pending, worker.endpoint)) return false;
  const bool isWarm = capacityShare >= 1;
  if (!isWarm && !slowStart_.hasBudget(worker, now, capacityShare, subsetCount_)) return false;
  if (isPaused(worker, now)) return false;
  return pending.mayHaveRun || hasCapacity(worker);
}

// The worker's load from all gateways, weighted by its slowness. Scaling by the capacity share favours a
// warming worker, so that its budget is used. Draws one random number.
inline double LoadBalancer::cost(const UpstreamWorker& worker, Time now, const PendingRequest& pending,
                                 double capacityShare) {
  double cost = outliers_.slowness(worker) * (loadReports_.load(worker, now) + 1) * capacityShare;
  if (worker.endpoint.zone != settings_.zone) cost *= 1 + kCrossZoneWeight * settings_.crossZonePrice;
  if (!worker.isInSubset) cost *= kOutsideSubsetFactor;
  cost *= 1 + kCostJitter * random_.next();
  if (outliers_.shouldAvoid(worker, now)) cost *= kAvoidedFactor;
  const auto& tried = pending.triedWorkers;
  if (std::find(tried.begin(), tried.end(), worker.endpoint.worker) != tried.end()) cost *= kTriedFactor;
  return cost;
}

UpstreamWorker* LoadBalancer::pick(Time now, const PendingRequest& pending) {
  UpstreamWorker* cheapest = nullptr;
  double lowestCost = 0;
  for (UpstreamWorker& worker : workers_.all()) {
    if (!worker.isReady() || workers_.isExcluded(worker.endpoint.worker)) continue;
    const double capacityShare = slowStart_.capacityShare(worker, now);
    if (!isEligible(worker, now, pending, capacityShare)) continue;
    const double workerCost = cost(worker, now, pending, capacityShare);
    if (!cheapest || workerCost < lowestCost) {
      cheapest = &worker;
      lowestCost = workerCost;
    }
  }
  return cheapest;
}

}  // namespace wingslip::decision
