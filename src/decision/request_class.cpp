/// Request classes: measures the usual latency of each and retains it when the settings change.
#include "decision/request_class.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>

#include "decision/decay.hpp"

namespace wingslip::decision {
namespace {

constexpr Time kLatencyTimeConstantMs = 20000;
constexpr Time kMaxSampleMs = 1000;  // upper bound of the time for which one answer counts in the average

}  // namespace

RequestClasses::RequestClasses(const std::vector<ClassSettings>& settings, Time now) {
  replace(settings, now);
}

void RequestClasses::replace(const std::vector<ClassSettings>& settings, Time now) {
  std::unordered_map<std::string_view, const RequestClass*> classesByName;  // the last of equal names
  for (const RequestClassPtr& oldClass : classes_) classesByName[oldClass->settings.name] = oldClass.get();
  std::vector<RequestClassPtr> classes;
  classes.reserve(settings.size());
  for (const ClassSettings& classSettings : settings) {
    classes.push_back(std::make_shared<RequestClass>(RequestClass{classSettings, 0, now}));
    const auto match = classesByName.find(classSettings.name);
    if (match == classesByName.end()) continue;
    classes.back()->meanLatencyMs = match->second->meanLatencyMs;
    classes.back()->latencyUpdatedAt = match->second->latencyUpdatedAt;
  }
  classes_ = std::move(classes);
  cachedLongestLatencyMs_ = kNotComputed;
}

void RequestClasses::recordLatency(RequestClass& requestClass, Time now, Time latencyMs) {
  const Time previousMs = requestClass.meanLatencyMs;
  requestClass.meanLatencyMs =
      previousMs > 0
          ? decayedAverage(previousMs, latencyMs, std::min(kMaxSampleMs, now - requestClass.latencyUpdatedAt),
                           kLatencyTimeConstantMs)
          : latencyMs;
  requestClass.latencyUpdatedAt = now;
  if (previousMs >= cachedLongestLatencyMs_ || requestClass.meanLatencyMs >= cachedLongestLatencyMs_)
    cachedLongestLatencyMs_ = kNotComputed;
}

Time RequestClasses::longestLatencyMs() {
  if (cachedLongestLatencyMs_ != kNotComputed) return cachedLongestLatencyMs_;
  cachedLongestLatencyMs_ = 0;
  for (const RequestClassPtr& requestClass : classes_)
    cachedLongestLatencyMs_ = std::max(cachedLongestLatencyMs_, requestClass->meanLatencyMs);
  return cachedLongestLatencyMs_;
}

}  // namespace wingslip::decision
