/// Load shedding: what is given up while the host is short of memory, descriptors or time.
#pragma once

#include <vector>

#include "decision/random.hpp"
#include "decision/request_table.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip::decision {

/// A request in flight that may give back its memory, in the order in which that is asked of them: customers
/// beyond their quota first, then the least value for what it holds; one whose client is already getting the
/// answer only where there is no other left.
struct ReleaseCandidate {
  bool responseStarted = false;
  bool isWithinQuota = true;
  double valuePerByte = 0;
  RequestId id = 0;
};

/// What it is made with outlives it.
class LoadShedding {
 public:
  explicit LoadShedding(Random& random) : random_(random) {}

  /// Holds until the next one.
  void onSignal(const OverloadSignal& signal) { signal_ = signal; }
  const OverloadSignal& signal() const { return signal_; }

  /// Whether a new request is rejected for the host's sake.
  [[nodiscard]] bool mustReject(const Request& request, const ClassSettings& requestClass,
                                const PlanSettings& plan);
  /// @param isOverQuota tells it of a PendingRequest's customer.
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
  bool isAmongShedShare(double value);

  Random& random_;
  OverloadSignal signal_;
  double valueThreshold_ = 0;  // value per byte under which a new request is shed; 0: not known yet
};

}  // namespace wingslip::decision
