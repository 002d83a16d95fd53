/// Builds and patches the gatekeepers' JSON configuration.
#include "gatekeeper_config.hpp"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace wingslip::lab {
namespace fs = std::filesystem;
using nlohmann::json;

namespace {

// Largest fleet in which every gatekeeper is configured with all others. In larger fleets gatekeepers
// discover most peers by themselves and connect to them directly, without the fault proxies.
constexpr int kMaxFullyConfiguredFleet = 30;
constexpr int kPeersInLargeFleet = 2;      // configured peers of a gatekeeper in a larger fleet
constexpr std::uint64_t kSeedStep = 7919;  // factor of the run's seed in its gatekeepers' seeds

std::string gatekeeperName(int gatekeeper) { return std::string("g").append(std::to_string(gatekeeper)); }

std::string loopbackAddress(unsigned short port) { return "127.0.0.1:" + std::to_string(port); }

std::string seedOf(std::uint64_t runSeed, int gatekeeper) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx",
                static_cast<unsigned long long>(runSeed * kSeedStep + gatekeeper));
  return out;
}

json settingsOf(const Scenario& s, int me) {
  return json{{"me", me},
              {"nInstances", s.configuredGatekeepers},
              {"locality", 0},
              {"localities", s.zones},
              {"shapes", {"m"}},
              {"discovery", "pushed"},
              {"permissions",
               {{"attemptsCap", s.attemptsCap},
                {"dialTimeout", 1000.0},
                {"connIdle", 30000.0},
                {"maxRetryAfter", 1000.0}}},
              {"familyInfo", {{"metering", 1000.0}, {"truedUp", false}, {"mostUnits", 2}}},
              {"report", {{"how", "answers"}, {"fields", {"util", "queue"}}}},
              {"rules",
               {{"stopSendingWithin", 1000.0},
                {"coldFrom", 0.2},
                {"warmUp", 1000.0},
                {"fallMultiple", 2.5},
                {"overloadFor", 1000.0}}},
              {"profiles",
               {{{"name", "look"},
                 {"aim", s.deadlineMs},
                 {"deadline", s.deadlineMs},
                 {"repeat", "safe"},
                 {"window", 0.0},
                 {"worth", 1.0}},
                {{"name", "edit"},
                 {"aim", s.deadlineMs},
                 {"deadline", s.deadlineMs},
                 {"repeat", "keyed"},
                 {"dedupScope", "zone"},
                 {"window", 60000.0},
                 {"worth", 2.0}}}},
              {"plans",
               {{{"name", "large"},
                 {"unitsPerS", 100000.0},
                 {"depth", 100000.0},
                 {"pays", 1.0},
                 {"overrunCost", 1.0}}}}};
}

json replicaOf(const Scenario& s, int gatekeeper, const GatekeeperPorts& ports) {
  json peers = json::object();
  for (int i = 1; i < s.gatekeepers; ++i) {
    const int other = (gatekeeper + i) % s.gatekeepers;
    if (i <= kPeersInLargeFleet || s.gatekeepers <= kMaxFullyConfiguredFleet)
      peers[gatekeeperName(other)] = loopbackAddress(ports.peers.at(other));
  }
  return json{{"listen", loopbackAddress(ports.listenPeers)},
              {"fleet", "lab"},
              {"peers", peers},
              {"probe_every_ms", s.probeEveryMs},
              {"gossip_every_ms", s.gossipEveryMs},
              {"repair_every_ms", s.repairEveryMs}};
}

json coordinationOf(const Scenario& s, const GatekeeperPorts& ports) {
  return json{{"store", loopbackAddress(ports.store)},
              {"prefix", "lab"},
              {"ttl_ms", s.storeTtlMs},
              {"lock_delay_ms", s.storeLockDelayMs}};
}

}  // namespace

json gatekeeperConfig(const Scenario& scenario, int gatekeeper, const GatekeeperPorts& ports,
                      const json& known, std::uint64_t seed) {
  json file{{"name", gatekeeperName(gatekeeper)},
            {"listen", loopbackAddress(ports.listen)},
            {"discovery", loopbackAddress(ports.discovery)},
            {"seed", seedOf(seed, gatekeeper)},
            {"limits", {{"sockets", 256}, {"memory_mb", 64}}},
            {"known", known},
            {"settings", settingsOf(scenario, gatekeeper)}};
  if (scenario.replica) file["replica"] = replicaOf(scenario, gatekeeper, ports);
  if (scenario.store) file["coordination"] = coordinationOf(scenario, ports);
  if (!scenario.configPatch.empty()) file.merge_patch(json::parse(scenario.configPatch));
  return file;
}

void patchConfig(const fs::path& config, const std::string& patch) {
  std::ifstream in(config);
  json file = json::parse(in);
  file.merge_patch(json::parse(patch));
  const fs::path temporary = config.string() + ".new";
  std::ofstream(temporary) << file.dump(1);
  fs::rename(temporary, config);
}

}  // namespace wingslip::lab
