/// The optional sections of the configuration file.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "config/config.hpp"

namespace wingslip {

/// The section `coordination`; nothing where the file has none.
/// @throws ConfigError with the key at fault.
std::optional<Coordination> readCoordination(const nlohmann::json& file);

/// The section `replica`; nothing where the file has none.
/// @param gatekeeperName may not be among the peers.
/// @throws ConfigError with the key at fault.
std::optional<Replication> readReplication(const nlohmann::json& file, const std::string& gatekeeperName);

}  // namespace wingslip
