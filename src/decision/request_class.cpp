/// Request classes: measures the usual latency of each and retains it when the settings change.
#include "decision/request_class.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>

#include "decision/decay.hpp"

namespace wingslip::decision {
namespace {

constexpr Time kLatencyTimeConstantMs = 20000;
constexpr Time kMaxSampleMs = 1000;  // upper bound of the elapsed time by which a sample is weighted

}  // namespace

RequestClasses::RequestClasses(const std::vector<ClassSettings>& settings, Time now) {
  replace(settings, now);
}

void RequestClasses::replace(const std::vector<ClassSettings>& settings, Time now) {
  // If names are equal, the last class is used.
  std::unordered_map<std::string_view, const RequestClass*> classesByName;
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
  cachedLargestMeanLatencyMs_ = kNotComputed;
}

void RequestClasses::recordLatency(RequestClass& requestClass, Time now, Time latencyMs) {
  const Time previousMs = requestClass.meanLatencyMs;
  requestClass.meanLatencyMs =
      previousMs > 0
          ? decayedAverage(previousMs, latencyMs, std::min(kMaxSampleMs, now - requestClass.latencyUpdatedAt),
                           kLatencyTimeConstantMs)
          : latencyMs;
  requestClass.latencyUpdatedAt = now;
  if (previousMs >= cachedLargestMeanLatencyMs_ || requestClass.meanLatencyMs >= cachedLargestMeanLatencyMs_)
    cachedLargestMeanLatencyMs_ = kNotComputed;
}

Time RequestClasses::largestMeanLatencyMs() {
  if (cachedLargestMeanLatencyMs_ != kNotComputed) return cachedLargestMeanLatencyMs_;
  cachedLargestMeanLatencyMs_ = 0;
  for (const RequestClassPtr& requestClass : classes_)
    cachedLargestMeanLatencyMs_ = std::max(cachedLargestMeanLatencyMs_, requestClass->meanLatencyMs);
  return cachedLargestMeanLatencyMs_;
}

}  // namespace wingslip::decision
