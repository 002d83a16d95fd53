/// Mapping of the external keys and values of settings to the terms of the code.
#include "settings/settings_reader.hpp"

namespace wingslip::settings {
namespace {

using decision::ClassSettings;
using decision::DeduplicationScope;
using decision::Idempotency;
using decision::PlanSettings;
using decision::Settings;

Idempotency parseIdempotency(const std::string& key, std::string_view word) {
  if (word == "safe") return Idempotency::idempotent;
  if (word == "keyed") return Idempotency::withKey;
  if (word == "unsafe") return Idempotency::notIdempotent;
  throw SettingsError(SettingsError::Kind::unknownValue, key);
}

DeduplicationScope parseDeduplicationScope(const std::string& key, std::string_view word) {
  if (word == "all") return DeduplicationScope::all;
  if (word == "zone") return DeduplicationScope::zone;
  if (word == "cell") return DeduplicationScope::cell;
  throw SettingsError(SettingsError::Kind::unknownValue, key);
}

/// Whether the gateway requests the endpoint list, as opposed to discovery pushing it.
bool parsePollsEndpoints(const std::string& key, std::string_view word) {
  if (word == "on_request") return true;
  if (word == "pushed") return false;
  throw SettingsError(SettingsError::Kind::unknownValue, key);
}

std::string itemPrefix(const std::string& list, unsigned index) {
  return list + "." + std::to_string(index) + ".";
}

ClassSettings readClass(const KeyValues& values, const std::string& prefix) {
  ClassSettings out;
  out.name = values.text(prefix + "name", out.name);
  out.latencyObjectiveMs = values.number(prefix + "aim", out.latencyObjectiveMs);
  out.deadlineMs = values.number(prefix + "deadline", out.deadlineMs);
  out.idempotencyWindowMs = values.number(prefix + "window", out.idempotencyWindowMs);
  out.priorityWeight = values.number(prefix + "worth", out.priorityWeight);
  out.lateAnswerValue = values.number(prefix + "lateWorth", out.lateAnswerValue);
  const std::string idempotencyKey = prefix + "repeat";
  out.idempotency = parseIdempotency(idempotencyKey, values.text(idempotencyKey, "unsafe"));
  const std::string scopeKey = prefix + "dedupScope";
  out.deduplicationScope = parseDeduplicationScope(scopeKey, values.text(scopeKey, "all"));
  return out;
}

PlanSettings readPlan(const KeyValues& values, const std::string& prefix) {
  PlanSettings out;
  out.name = values.text(prefix + "name", out.name);
  out.rate = values.number(prefix + "unitsPerS", out.rate);
  out.burst = values.number(prefix + "depth", out.burst);
  out.maxConcurrent = values.wholeNumber(prefix + "atOnce", out.maxConcurrent);
  out.ceilingRate = values.number(prefix + "ceilingRate", out.ceilingRate);
  out.ceilingBurst = values.number(prefix + "hardBurst", out.ceilingBurst);
  out.ceilingSlack = values.number(prefix + "tolerance", out.ceilingSlack);
  out.price = values.number(prefix + "pays", out.price);
  out.overQuotaValue = values.number(prefix + "overWorth", out.overQuotaValue);
  out.overQuotaCost = values.number(prefix + "overrunCost", out.overQuotaCost);
  return out;
}

void readFleet(const KeyValues& values, Settings& out) {
  out.gatewayIndex = values.wholeNumber("me", out.gatewayIndex);
  out.gatewayCount = values.wholeNumber("nInstances", out.gatewayCount);
  out.zone = values.wholeNumber("locality", out.zone);
  out.loadReportFields = values.words("report.fields", out.loadReportFields);
  out.pollsEndpoints = parsePollsEndpoints("discovery", values.text("discovery", "pushed"));
  out.pollTimeoutMs = values.number("rules.askWithin", out.pollTimeoutMs);
  out.crossZonePrice = values.number("prices.crossZone", out.crossZonePrice);
}

void readRequestRules(const KeyValues& values, Settings& out) {
  out.maxAttempts = values.wholeNumber("permissions.attemptsCap", out.maxAttempts);
  out.maxRetryAfterMs = values.number("permissions.maxRetryAfter", out.maxRetryAfterMs);
  out.quotaReadingPeriodMs = values.number("familyInfo.metering", out.quotaReadingPeriodMs);
  out.correctsUnits = values.boolean("familyInfo.truedUp", out.correctsUnits);
  out.maxUnits = values.number("familyInfo.mostUnits", out.maxUnits);
}

void readWorkerRules(const KeyValues& values, Settings& out) {
  out.drainGraceMs = values.number("rules.stopSendingWithin", out.drainGraceMs);
  out.slowStartInitialShare = values.number("rules.coldFrom", out.slowStartInitialShare);
  out.slowStartMs = values.number("rules.warmUp", out.slowStartMs);
  out.overloadMultiple = values.number("rules.fallMultiple", out.overloadMultiple);
  out.overloadWindowMs = values.number("rules.overloadFor", out.overloadWindowMs);
}

std::vector<std::string> readNames(const KeyValues& values, const std::string& list) {
  std::vector<std::string> names(values.itemCount(list));
  for (unsigned i = 0; i < names.size(); ++i) names[i] = values.text(itemPrefix(list, i) + "name", "");
  return names;
}

}  // namespace

Settings parseSettings(std::string_view text) {
  const KeyValues values(text);
  Settings out;
  readFleet(values, out);
  readRequestRules(values, out);
  readWorkerRules(values, out);
  const unsigned classes = values.itemCount("profiles");
  for (unsigned i = 0; i < classes; ++i) out.classes.push_back(readClass(values, itemPrefix("profiles", i)));
  const unsigned plans = values.itemCount("plans");
  for (unsigned i = 0; i < plans; ++i) out.plans.push_back(readPlan(values, itemPrefix("plans", i)));
  return out;
}

HostSettings parseHostSettings(std::string_view text) {
  const KeyValues values(text);
  HostSettings out;
  out.classes = readNames(values, "profiles");
  out.plans = readNames(values, "plans");
  out.zones = values.words("localities", out.zones);
  out.machineTypes = values.words("shapes", out.machineTypes);
  out.connectTimeoutMs = values.number("permissions.dialTimeout", out.connectTimeoutMs);
  out.workerIdleTimeoutMs = values.number("permissions.connIdle", out.workerIdleTimeoutMs);
  return out;
}

}  // namespace wingslip::settings
