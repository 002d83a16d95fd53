/// Configuration files of the fleet's gatekeepers, derived from the scenario.
#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "scenario.hpp"

namespace wingslip::lab {

/// The ports on 127.0.0.1 of one gatekeeper: its own listeners and the proxies of its links.
struct GatekeeperPorts {
  unsigned short listen = 0;            ///< listener for clients
  unsigned short listenPeers = 0;       ///< listener for other gatekeepers; `[replica]` only
  unsigned short discovery = 0;         ///< proxy to its discovery agent
  unsigned short store = 0;             ///< proxy to the coordination store; `[store]` only
  std::map<int, unsigned short> peers;  ///< proxies to other gatekeepers, by index; `[replica]` only
};

/// The complete configuration of the gatekeeper with this index, including the scenario's patch. `known` is
/// its initial endpoint list in discovery's JSON format; `seed` is the run's seed.
nlohmann::json gatekeeperConfig(const Scenario& scenario, int gatekeeper, const GatekeeperPorts& ports,
                                const nlohmann::json& known, std::uint64_t seed);

/// Applies a JSON merge patch to a configuration file. The file is replaced atomically by a rename.
void patchConfig(const std::filesystem::path& config, const std::string& patch);

}  // namespace wingslip::lab
