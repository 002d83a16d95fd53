/// Request classes with the usual latency of each, as measured by this gateway.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "wingslip/decision/settings.hpp"

namespace wingslip::decision {

/// A request class with its usual latency: the measured mean, or an assumed value before the first answer. A
/// request in flight retains its class when the settings change.
struct RequestClass {
  /// Usual latency of a class before its first answer, as a share of its latency objective.
  static constexpr double kInitialLatencyObjectiveShare = 0.2;

  ClassSettings settings;
  Time meanLatencyMs = 0;  ///< moving average over successful answers; 0: none yet
  Time latencyUpdatedAt = 0;

  /// Mean latency, or an assumed value before the first answer.
  Time usualLatencyMs() const {
    return meanLatencyMs > 0 ? meanLatencyMs : settings.latencyObjectiveMs * kInitialLatencyObjectiveShare;
  }
};

using RequestClassPtr = std::shared_ptr<RequestClass>;

/// The classes of the current settings, by their index there.
class RequestClasses {
 public:
  RequestClasses(const std::vector<ClassSettings>& settings, Time now);

  /// Replaces the classes. A class takes the mean latency of the previous class with the same name.
  void replace(const std::vector<ClassSettings>& settings, Time now);
  std::size_t size() const { return classes_.size(); }
  const RequestClassPtr& operator[](std::size_t index) const { return classes_[index]; }

  /// Records the latency of a successful answer. `requestClass` may be one that changed settings have
  /// replaced.
  void recordLatency(RequestClass& requestClass, Time now, Time latencyMs);
  /// The largest mean latency of the current classes; 0: there are no answers yet.
  Time largestMeanLatencyMs();

 private:
  /// Value of cachedLargestMeanLatencyMs_ if it must be recomputed.
  static constexpr Time kNotComputed = -1;

  std::vector<RequestClassPtr> classes_;
  Time cachedLargestMeanLatencyMs_ = kNotComputed;
};

}  // namespace wingslip::decision
