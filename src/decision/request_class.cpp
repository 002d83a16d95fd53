/// Request classes: learning the usual latency, and keeping it when the settings change.
#include "decision/request_class.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>

#include "decision/decay.hpp"

namespace wingslip::decision {
namespace {

constexpr Time kLatencyMemoryMs = 20000;
constexpr Time kMaxSampleMs = 1000;  // time that one answer stands for at most, after a time without any

}  // namespace

RequestClasses::RequestClasses(const std::vector<ClassSettings>& settings, Time now) {
  replace(settings, now);
}

void RequestClasses::replace(const std::vector<ClassSettings>& settings, Time now) {
  std::unordered_map<std::string_view, const RequestClass*> learned;  // of equal names the last
  for (const RequestClassPtr& old : classes_) learned[old->settings.name] = old.get();
  std::vector<RequestClassPtr> classes;
  classes.reserve(settings.size());
  for (const ClassSettings& item : settings) {
    classes.push_back(std::make_shared<RequestClass>(RequestClass{item, 0, now}));
    const auto found = learned.find(item.name);
    if (found == learned.end()) continue;
    classes.back()->learnedLatencyMs = found->second->learnedLatencyMs;
    classes.back()->learnedAt = found->second->learnedAt;
  }
  classes_ = std::move(classes);
  longestLatencyMs_ = kStale;
}

void RequestClasses::noteLatency(RequestClass& requestClass, Time now, Time latencyMs) {
  const Time before = requestClass.learnedLatencyMs;
  requestClass.learnedLatencyMs =
      before > 0 ? approach(before, latencyMs, std::min(kMaxSampleMs, now - requestClass.learnedAt),
                            kLatencyMemoryMs)
                 : latencyMs;
  requestClass.learnedAt = now;
  if (before >= longestLatencyMs_ || requestClass.learnedLatencyMs >= longestLatencyMs_)
    longestLatencyMs_ = kStale;
}

Time RequestClasses::longestLatencyMs() {
  if (longestLatencyMs_ != kStale) return longestLatencyMs_;
  longestLatencyMs_ = 0;
  for (const RequestClassPtr& requestClass : classes_)
    longestLatencyMs_ = std::max(longestLatencyMs_, requestClass->learnedLatencyMs);
  return longestLatencyMs_;
}

}  // namespace wingslip::decision
