/// Choice of a worker: who may be sent to, and what each costs.
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
constexpr unsigned kGatewaysPerWorker = 20;    // gateways that have a worker in their subset, as a rule
constexpr unsigned kMinWorkersPerGateway = 8;  // or one outlier is felt
// Workers in a subset at most, where enough gateways are left to each: a gateway's traffic does not grow with
// the list, and each worker used takes a connection.
constexpr unsigned kMaxWorkersPerGateway = 48;
constexpr unsigned kMinGatewaysPerWorker = 4;  // left to each worker then, or some worker would be in none

// Factors of a worker's cost.
constexpr double kCrossZoneWeight = 15;  // per unit of the cross-zone price
constexpr double kOutsideSubsetCost = 2.5;
constexpr double kRandomSpread = 0.02;  // or gateways alike would all take the first of equal workers
constexpr double kAvoidedCost = 10000;  // ejected or silent: only where there is no other
constexpr double kTriedCost = 30;       // has been tried for this request

// The lowest i with i * subsets / count == part.
std::size_t partStart(std::size_t part, std::size_t count, unsigned subsets) {
  return (part * count + subsets - 1) / subsets;
}

}  // namespace

// Each round of as many gateways as there are subsets divides all workers once, in an order of its own by
// hash, so that every worker is in as many subsets as any other, and a change of the list moves few. Where
// gateways are few, all workers are in the subset.
void LoadBalancer::assignSubset() {
  std::vector<std::pair<std::uint64_t, UpstreamWorker*>> order;
  for (UpstreamWorker& worker : workers_.all())
    if (worker.endpoint.phase != WorkerPhase::removed)
      order.emplace_back(0, &worker);  // a draining one keeps its place
  const std::size_t count = order.size();
  subsets_ = subsetsFor(static_cast<unsigned>(count));
  for (auto& [hash, worker] : order) worker->isInSubset = subsets_ == 1;
  if (subsets_ == 1) return;
  const std::uint64_t round = settings_.gatewayIndex / subsets_;
  for (auto& [hash, worker] : order) hash = mixBits(worker->endpoint.worker ^ mixBits(round));
  const auto isBefore = [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : a.second->endpoint.worker < b.second->endpoint.worker;
  };
  // Of the sorted order only which workers are in this gateway's part matters: selection, not a sort.
  const std::size_t part = settings_.gatewayIndex % subsets_;
  const auto first = order.begin() + static_cast<std::ptrdiff_t>(partStart(part, count, subsets_));
  const auto last = order.begin() + static_cast<std::ptrdiff_t>(partStart(part + 1, count, subsets_));
  std::nth_element(order.begin(), first, order.end(), isBefore);
  std::nth_element(first, last, order.end(), isBefore);
  for (auto it = first; it != last; ++it) it->second->isInSubset = true;
}

// As many as leave each worker its gateways and each gateway its least workers; more than that where a subset
// would be larger than its most.
unsigned LoadBalancer::subsetsFor(unsigned workerCount) const {
  const unsigned usual =
      std::min(settings_.gatewayCount / kGatewaysPerWorker, workerCount / kMinWorkersPerGateway);
  const unsigned needed = (workerCount + kMaxWorkersPerGateway - 1) / kMaxWorkersPerGateway;
  return std::max({1u, usual, std::min(settings_.gatewayCount / kMinGatewaysPerWorker, needed)});
}

// A request that may have run is exempt from the limit: without a worker its final answer might be a failure.
inline bool LoadBalancer::mayBeSentTo(UpstreamWorker& worker, Time now, const PendingRequest& pending,
                                      double capacityShare) {
  if (!isInDeduplicationScope(pending, worker.endpoint)) return false;
  const bool isWarm = capacityShare >= 1;
  if (!isWarm && !slowStart_.hasBudget(worker, now, capacityShare, subsets_)) return false;
  if (isPaused(worker, now)) return false;
  return pending.mayHaveRun || hasCapacity(worker);
}

// The load of all gateways, weighted by how slow the worker has been; a warming one is used as far as its
// budget goes. Draws one random number.
inline double LoadBalancer::cost(const UpstreamWorker& worker, Time now, const PendingRequest& pending,
                                 double capacityShare) {
  double cost = outliers_.slowness(worker) * (loadReports_.load(worker, now) + 1) * capacityShare;
  if (worker.endpoint.zone != settings_.zone) cost *= 1 + kCrossZoneWeight * settings_.crossZonePrice;
  if (!worker.isInSubset) cost *= kOutsideSubsetCost;
  cost *= 1 + kRandomSpread * random_.next();
  if (outliers_.shouldAvoid(worker, now)) cost *= kAvoidedCost;
  const auto& tried = pending.triedWorkers;
  if (std::find(tried.begin(), tried.end(), worker.endpoint.worker) != tried.end()) cost *= kTriedCost;
  return cost;
}

UpstreamWorker* LoadBalancer::pick(Time now, const PendingRequest& pending) {
  UpstreamWorker* best = nullptr;
  double leastCost = 0;
  for (UpstreamWorker& worker : workers_.all()) {
    if (!worker.isReady() || workers_.isExcluded(worker.endpoint.worker)) continue;
    const double capacityShare = slowStart_.capacityShare(worker, now);
    if (!mayBeSentTo(worker, now, pending, capacityShare)) continue;
    const double workerCost = cost(worker, now, pending, capacityShare);
    if (!best || workerCost < leastCost) {
      best = &worker;
      leastCost = workerCost;
    }
  }
  return best;
}

}  // namespace wingslip::decision
