#include "expectations.hpp"

#include <algorithm>

namespace wingslip::lab {

namespace {

constexpr double kMsPerS = 1000;
const std::string kRosterPrefix = "roster_";
const std::string kRosterAgreed = "roster_agreed";

bool holds(const Expectation& expect, std::optional<long> count) {
  return count && (!expect.min || *count >= *expect.min) && (!expect.max || *count <= *expect.max);
}

std::string unmetLine(const Expectation& expect, std::optional<long> count) {
  return "line " + std::to_string(expect.line) + ": " + expect.countName +
         (expect.figure.empty() ? "" : " " + expect.figure) + " is " +
         (count ? std::to_string(*count) : "not reported") + ", expected " +
         std::to_string(expect.min.value_or(0)) + ".." + (expect.max ? std::to_string(*expect.max) : "any");
}

}  // namespace

std::vector<std::string> expectedFigures(const Scenario& scenario) {
  std::vector<std::string> out;
  for (const Expectation& expect : scenario.expects)
    if (expect.countName == "figure" && std::find(out.begin(), out.end(), expect.figure) == out.end())
      out.push_back(expect.figure);
  return out;
}

std::optional<long> Expectations::figure(const Expectation& expect) const {
  std::optional<long> most;
  for (int g = 0; g < scenario_.gatekeepers; ++g) {
    if (expect.gatekeeper && *expect.gatekeeper != g) continue;
    const std::optional<long> maximum =
        observations_.figures.maximum(expect.figure, g, expect.afterS * kMsPerS, expect.beforeS * kMsPerS);
    if (!maximum) return std::nullopt;
    most = std::max(most.value_or(*maximum), *maximum);
  }
  return most;
}

std::vector<std::string> Expectations::unmet() const {
  std::vector<std::string> out;
  for (const Expectation& expect : scenario_.expects) {
    const std::optional<long> counted = count(expect);
    if (!holds(expect, counted)) out.push_back(unmetLine(expect, counted));
  }
  return out;
}

// The observed count; no value for a figure that a selected gatekeeper did not report.
std::optional<long> Expectations::count(const Expectation& expect) const {
  const double afterMs = expect.afterS * kMsPerS, beforeMs = expect.beforeS * kMsPerS;
  if (expect.countName == "figure") return figure(expect);
  if (expect.countName == "idle_opened") return idleClients(expect.gatekeeper).opened;
  if (expect.countName == "idle_closed") return idleClients(expect.gatekeeper).closed;
  if (expect.countName == "idle_refused") return idleClients(expect.gatekeeper).refused;
  if (expect.countName == "attempts") return attempts(expect);
  if (const auto outcome = requestOutcomeOf(expect.countName))
    return verifier_.count(*outcome, expect.gatekeeper, afterMs, beforeMs);
  if (expect.countName == "copies_equal") return mostEqualCopies();
  if (expect.countName.rfind(kRosterPrefix, 0) == 0 && expect.countName != kRosterAgreed)
    return namesInRoster(expect.countName.substr(kRosterPrefix.size()), beforeMs);
  return eventCount(expect);
}

// The counts of one gatekeeper, or the sum over all.
IdleClientCounts Expectations::idleClients(std::optional<int> gatekeeper) const {
  IdleClientCounts out;
  for (const auto& [g, counts] : observations_.idleClients) {
    if (gatekeeper && *gatekeeper != g) continue;
    out.opened += counts.opened;
    out.closed += counts.closed;
    out.refused += counts.refused;
  }
  return out;
}

long Expectations::attempts(const Expectation& expect) const {
  const auto matches = [&](int worker) {
    return expect.worker ? worker == *expect.worker
                         : scenario_.zones[scenario_.zoneOf(worker)] == *expect.zone;
  };
  return verifier_.attempts(matches, expect.afterS * kMsPerS, expect.beforeS * kMsPerS);
}

// The number of gatekeepers that have the most common copy of the shared state.
long Expectations::mostEqualCopies() const {
  long most = 0;
  for (const auto& [copy, gatekeepers] : observations_.copies) most = std::max(most, gatekeepers);
  return most;
}

// The number of names in `state` in the last roster recorded before `beforeMs`.
long Expectations::namesInRoster(const std::string& state, double beforeMs) const {
  long out = 0;
  for (const RecordedRoster& roster : observations_.rosters) {
    const auto found = roster.namesByState.find(state);
    if (roster.atMs < beforeMs) out = found == roster.namesByState.end() ? 0 : found->second;
  }
  return out;
}

long Expectations::eventCount(const Expectation& expect) const {
  const double afterMs = expect.afterS * kMsPerS, beforeMs = expect.beforeS * kMsPerS;
  return std::count_if(observations_.events.begin(), observations_.events.end(),
                       [&](const ObservedEvent& event) {
                         return event.what == expect.countName &&
                                (!expect.gatekeeper || *expect.gatekeeper == event.gatekeeper) &&
                                event.atMs >= afterMs && event.atMs < beforeMs;
                       });
}

}  // namespace wingslip::lab
