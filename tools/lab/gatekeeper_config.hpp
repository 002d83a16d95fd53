// The configuration files of the fleet's gatekeepers, as a scenario asks for them.
#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "scenario.hpp"

namespace wingslip::lab {

/// The ports on 127.0.0.1 where one gatekeeper listens and where its links begin.
struct GatekeeperPorts {
  unsigned short listen = 0;            ///< its own, for clients
  unsigned short listenPeers = 0;       ///< its own, for other gatekeepers; `[replica]` only
  unsigned short discovery = 0;         ///< the link to its discovery agent
  unsigned short store = 0;             ///< the link to the coordination store; `[store]` only
  std::map<int, unsigned short> peers;  ///< the links to other gatekeepers; `[replica]` only
};

/// The whole configuration of the gatekeeper with this index, the scenario's patch included. `known` is the
/// list of workers that it starts with, in discovery's form; `seed` is the run's.
nlohmann::json gatekeeperConfig(const Scenario& scenario, int gatekeeper, const GatekeeperPorts& ports,
                                const nlohmann::json& known, std::uint64_t seed);

/// Applies a JSON merge patch to a configuration file, written aside and renamed.
void patchConfig(const std::filesystem::path& config, const std::string& patch);

}  // namespace wingslip::lab
