/// Reads the configuration file's JSON.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "config/config.hpp"

namespace wingslip {

/// @throws IncompleteConfigError on anything but JSON, ConfigError on JSON that is no object.
nlohmann::json parseConfigObject(std::string_view text);

/// @throws ConfigError with the key at fault.
Config configFromJson(const nlohmann::json& file);

}  // namespace wingslip
