#include "random_faults.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "scenario_steps.hpp"

namespace wingslip::lab {
namespace {

constexpr std::uint64_t kSeedMask = 0x9e3779b97f4a7c15ULL;  // XORed with the run's seed
constexpr double kDelayMs = 300;
constexpr double kThrottleBytesPerS = 2000;

/// The step that repairs each fault.
const std::map<std::string, std::string> kRepairs{
    {"kill", "restart"},   {"term", "restart"},  {"stop", "cont"},          {"cut", "heal"},
    {"blackhole", "heal"}, {"oneway", "heal"},   {"delay", "heal"},         {"drain", "revive"},
    {"throttle", "heal"},  {"silent", "revive"}, {"agent_down", "agent_up"}};

/// The values of a `[random]` table; times are seconds after the start of the load.
struct RandomFaults {
  double ratePerS = 0;
  double healAfterS = 0;
  double fromS = 0;
  double untilS = 0;
  std::vector<std::string> faults;
};

RandomFaults readRandomFaults(const TableReader& reader, const toml::table& table, double lengthS) {
  reader.onlyKeys(table, {"rate_per_s", "faults", "heal_after_s", "from_s", "until_s"});
  RandomFaults out;
  out.ratePerS = reader.number(table, "rate_per_s", 0.5, 0, 100);
  out.healAfterS = reader.number(table, "heal_after_s", 2.0, 0.1, 3600);
  out.fromS = reader.number(table, "from_s", 1.0, 0, lengthS);
  out.untilS = reader.number(table, "until_s", lengthS, out.fromS, lengthS);
  const toml::array* faults = table["faults"].as_array();
  if (!faults || faults->empty()) reader.fail(table.source(), "random needs faults = [\"kill\", ...]");
  for (const toml::node& fault : *faults) {
    const std::optional<std::string> name = fault.value<std::string>();
    if (!name || !kRepairs.contains(*name))
      reader.fail(fault.source(), "unknown random fault " + name.value_or("?") +
                                      " (one of kill, term, stop, cut, blackhole, oneway, delay, throttle, "
                                      "drain, silent, agent_down)");
    out.faults.push_back(*name);
  }
  return out;
}

/// The gatekeeper or worker on which a fault acts.
struct Target {
  bool isGatekeeper = false;
  int index = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 mistakes the 0 of a comparison result for a pointer
  auto operator<=>(const Target&) const = default;
};

Step stepOn(Target target, double atS, const std::string& kind) {
  Step step;
  step.atS = atS;
  step.kind = kind;
  (target.isGatekeeper ? step.gatekeeper : step.worker) = target.index;
  return step;
}

void drawFaults(const RandomFaults& faults, std::uint64_t seed, Scenario& scenario) {
  std::mt19937_64 random(seed ^ kSeedMask);
  std::exponential_distribution<double> gapS(faults.ratePerS > 0 ? faults.ratePerS : 1);
  std::map<Target, double> faultyUntilS;
  for (double atS = faults.fromS + gapS(random); faults.ratePerS > 0 && atS < faults.untilS;
       atS += gapS(random)) {
    const std::string& kind = faults.faults[random() % faults.faults.size()];
    const bool onGatekeeper = isGatekeeperFault(kind);
    const auto targets = static_cast<std::uint64_t>(onGatekeeper ? scenario.gatekeepers : scenario.workers);
    const Target target{onGatekeeper, static_cast<int>(random() % targets)};
    double& untilS = faultyUntilS[target];
    if (untilS > atS) continue;
    untilS = std::min(atS + faults.healAfterS, scenario.lengthS);
    Step fault = stepOn(target, atS, kind);
    if (kind == "delay") fault.delayMs = kDelayMs;
    if (kind == "throttle") fault.bytesPerS = kThrottleBytesPerS;
    scenario.steps.push_back(fault);
    scenario.steps.push_back(stepOn(target, untilS, kRepairs.at(kind)));
  }
}

}  // namespace

void addRandomFaults(const TableReader& reader, const toml::table& file, std::uint64_t seed,
                     Scenario& scenario) {
  const toml::table* table = file["random"].as_table();
  if (!table) return;
  drawFaults(readRandomFaults(reader, *table, scenario.lengthS), seed, scenario);
  std::stable_sort(scenario.steps.begin(), scenario.steps.end(),
                   [](const Step& first, const Step& second) { return first.atS < second.atS; });
}

}  // namespace wingslip::lab
