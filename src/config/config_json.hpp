/// Converts the JSON of the configuration file to a `Config`.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "config/config.hpp"

namespace wingslip {

/// Parses the text of the file.
/// @throws IncompleteConfigError if the text is not JSON, ConfigError if it is not an object
nlohmann::json parseConfigObject(std::string_view text);

/// Reads the configuration from the file's object.
/// @throws ConfigError that names the invalid key; also the exceptions of addresses and settings (see
/// `ConfigError`)
Config configFromJson(const nlohmann::json& file);

}  // namespace wingslip
