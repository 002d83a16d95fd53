/// The optional sections of the configuration file.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "config/config.hpp"

namespace wingslip {

/// Reads the section `coordination`; nullopt if the file has none.
/// @throws ConfigError that names the invalid key
std::optional<CoordinationConfig> readCoordination(const nlohmann::json& file);

/// Reads the section `replica`; nullopt if the file has none.
/// @param gatekeeperName name of this gatekeeper, which must not be among the peers
/// @throws ConfigError that names the invalid key
std::optional<ReplicationConfig> readReplication(const nlohmann::json& file,
                                                 const std::string& gatekeeperName);

}  // namespace wingslip
