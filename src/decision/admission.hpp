/// Admission of a new request by its customer's quota, and every reason for which a request is rejected.
#pragma once

#include <optional>

#include "decision/customer_quota.hpp"
#include "decision/random.hpp"
#include "decision/unknown_customers.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision {

/// Why a request was rejected before its first attempt.
enum class RejectionReason {
  hardCeiling,      ///< this gateway's part of the customer's hard ceiling is used up
  localQuota,       ///< the customer's bucket at this gateway is empty
  concurrencyCap,   ///< its attempts in flight are, or more likely than pays would be, at their cap
  fleetQuota,       ///< its quota over all gateways is estimated to be used up
  unknownCustomer,  ///< its use of the quota is unknown, and the request too large
  overload,         ///< the host is short of memory, descriptors or time
  noWorker,         ///< no worker may be sent to
};

struct Rejection {
  RejectionReason reason;
  Time retryAfterMs;  ///< when the customer may find capacity; to be bounded before it is sent
};

/// Counts a rejection where operators have a figure for its reason.
void countRejection(RejectionCounts& counts, RejectionReason reason);

/// What it was made with outlives it.
class Admission {
 public:
  Admission(const Settings& settings, const FleetQuota& fleetQuota, const UnknownCustomers& unknownCustomers,
            Random& random)
      : settings_(settings), fleetQuota_(fleetQuota), unknownCustomers_(unknownCustomers), random_(random) {}

  /// Decides by the customer's quota. Nothing: admitted so far; its units are not yet debited.
  /// @param usualLatencyMs of the request's class: when an attempt in flight is likely to have ended.
  [[nodiscard]] std::optional<Rejection> check(Customer& customer, const Request& request,
                                               Time usualLatencyMs, bool isHostOverloaded);

  /// Whether a worker was found for a request that the quota admitted.
  void noteWorkerChoice(Time now, bool wasFound);
  /// Share of admitted requests that lately found no worker: a wrong rejection then costs less.
  double workerShortage() const { return workerShortage_; }

 private:
  std::optional<Rejection> checkFleetQuota(Customer& customer, const Request& request, double tokensNeeded,
                                           double unknownProbability, bool isHostOverloaded);
  bool isCapLikelyReached(const Customer& customer, const PlanSettings& plan) const;
  bool isFleetQuotaUsedUp(const Customer& customer, double tokensNeeded) const;

  const Settings& settings_;
  const FleetQuota& fleetQuota_;
  const UnknownCustomers& unknownCustomers_;
  Random& random_;
  double workerShortage_ = 0;
  Time workerChoiceAt_ = 0;
};

}  // namespace wingslip::decision
