/// Request classes with the latency that this gateway has learned of each.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "wingslip/decision/settings.hpp"

namespace wingslip::decision {

/// A class with what was learned of it. A request in flight keeps its class when the settings change.
struct RequestClass {
  /// Of its latency objective, the usual latency of a class without answers.
  static constexpr double kUnlearnedShareOfObjective = 0.2;

  ClassSettings settings;
  Time learnedLatencyMs = 0;  ///< moving average of good answers; 0: none yet
  Time learnedAt = 0;

  Time usualLatencyMs() const {
    return learnedLatencyMs > 0 ? learnedLatencyMs : settings.latencyObjectiveMs * kUnlearnedShareOfObjective;
  }
};

using RequestClassPtr = std::shared_ptr<RequestClass>;

/// The classes in force, by their index in the settings.
class RequestClasses {
 public:
  RequestClasses(const std::vector<ClassSettings>& settings, Time now);

  /// Changed settings: a class keeps what was learned of the one of its name.
  void replace(const std::vector<ClassSettings>& settings, Time now);
  std::size_t size() const { return classes_.size(); }
  const RequestClassPtr& operator[](std::size_t index) const { return classes_[index]; }

  /// A good answer of a request of this class, which need not be in force any more.
  void noteLatency(RequestClass& requestClass, Time now, Time latencyMs);
  /// The longest learned latency of the classes in force; 0: none has answered.
  Time longestLatencyMs();

 private:
  static constexpr Time kStale = -1;  ///< of longestLatencyMs_: to be computed anew

  std::vector<RequestClassPtr> classes_;
  Time longestLatencyMs_ = kStale;
};

}  // namespace wingslip::decision
