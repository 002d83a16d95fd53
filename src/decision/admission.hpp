/// Admission of new requests by customer quota, and the reasons for which a request can be rejected.
#pragma once

#include <optional>

#include "decision/customer_quota.hpp"
#include "decision/random.hpp"
#include "decision/unknown_customers.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision {

/// Why a request was rejected.
enum class RejectionReason {
  hardCeiling,      ///< this gateway's share of the customer's hard ceiling is used up
  localQuota,       ///< too few tokens in the customer's bucket at this gateway
  concurrencyCap,   ///< the customer's attempts in flight have reached the cap, or probably have
  fleetQuota,       ///< the customer's quota over all gateways is estimated to be used up
  unknownCustomer,  ///< the customer's usage is unknown; random, more likely for a larger request
  overload,         ///< the host is short of memory, file descriptors or processing time
  noWorker,         ///< no worker for the first attempt
};

/// Rejection of a request.
struct Rejection {
  RejectionReason reason;
  Time retryAfterMs;  ///< estimated time until capacity is available; the caller bounds it before sending
};

/// Increments the counter of `reason`; hard ceiling and concurrency cap have none.
void countRejection(RejectionCounts& counts, RejectionReason reason);

/// Decides on new requests by customer quota. The constructor's arguments must outlive the object.
class Admission {
 public:
  Admission(const Settings& settings, const FleetQuota& fleetQuota, const UnknownCustomers& unknownCustomers,
            Random& random)
      : settings_(settings), fleetQuota_(fleetQuota), unknownCustomers_(unknownCustomers), random_(random) {}

  /// Decides on a request by the customer's quota. Records its demand unless the hard ceiling, the local
  /// bucket or the concurrency cap rejects it. An admission may spend admit credit; the buckets are debited
  /// by CustomerQuota::debit.
  /// @param usualLatencyMs usual latency of the request's class. It is returned as the retry delay at the
  ///   concurrency cap, since an attempt in flight has probably ended by then.
  /// @return the rejection; empty if the quota admits the request.
  [[nodiscard]] std::optional<Rejection> decide(Customer& customer, const Request& request,
                                                Time usualLatencyMs, bool isHostOverloaded);

  /// Records whether a worker was found for a request that the quota admitted.
  void recordWorkerChoice(Time now, bool foundWorker);
  /// Decaying average share of admitted requests for which no worker was found, in [0, 1). The higher it is,
  /// the less a wrong rejection costs.
  double workerShortage() const { return workerShortage_; }

 private:
  std::optional<Rejection> decideByFleetQuota(Customer& customer, const Request& request, double tokensNeeded,
                                              double unknownAdmitProbability, bool isHostOverloaded);
  bool isCapLikelyReached(const Customer& customer, const PlanSettings& plan) const;
  bool isFleetQuotaUsedUp(const Customer& customer, double tokensNeeded) const;

  const Settings& settings_;
  const FleetQuota& fleetQuota_;
  const UnknownCustomers& unknownCustomers_;
  Random& random_;
  double workerShortage_ = 0;
  Time lastWorkerChoiceAt_ = 0;
};

}  // namespace wingslip::decision
