/// Load shedding: selects the requests that are rejected or released while the host is short of memory,
/// file descriptors or processing time.
#pragma once

#include <vector>

#include "decision/random.hpp"
#include "decision/request_table.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision {

/// A request in flight whose memory may be released. Candidates are ordered by these keys: those whose
/// response has not started first, then those of customers over their quota first, then the lowest value per
/// byte first.
struct ReleaseCandidate {
  bool responseStarted = false;
  bool isWithinQuota = true;
  double valuePerByte = 0;  ///< value of the request per byte of its memory
  RequestId id = 0;
};

/// Applies the host's overload signal. The random generator must outlive it.
class LoadShedding {
 public:
  explicit LoadShedding(Random& random) : random_(random) {}

  /// Stores the signal, which applies until the next one.
  void onSignal(const OverloadSignal& signal) { signal_ = signal; }
  const OverloadSignal& signal() const { return signal_; }

  /// Whether a new request is to be rejected because the host is overloaded. Adjusts the value threshold and
  /// may draw a random number.
  [[nodiscard]] bool shouldReject(const Request& request, const ClassSettings& requestClass,
                                  const PlanSettings& plan);
  /// Returns the requests in flight in the order in which they are to be released.
  /// @param isOverQuota predicate on a PendingRequest: whether its customer is over its quota.
  template <class IsOverQuota>
  static std::vector<ReleaseCandidate> releaseOrder(const RequestTable& requests, IsOverQuota isOverQuota) {
    std::vector<ReleaseCandidate> order;
    order.reserve(requests.size());
    for (const auto& [id, pending] : requests.all())
      order.push_back({pending.responseStarted, !isOverQuota(pending),
                       valuePerByte(pending.request, pending.classSettings(), pending.plan), id});
    sort(order);
    return order;
  }

 private:
  static double valuePerByte(const Request& request, const ClassSettings& requestClass,
                             const PlanSettings& plan);
  static void sort(std::vector<ReleaseCandidate>& order);
  bool shouldShed(double value);

  Random& random_;
  OverloadSignal signal_;
  double valueThreshold_ = 0;  // value per byte below which a new request is shed; 0: no request yet
};

}  // namespace wingslip::decision
