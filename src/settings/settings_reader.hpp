/// The edge at which the settings' own words are mapped to the terms of the code (`docs/glossary.md`).
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "settings/key_values.hpp"
#include "wingslip/decision/settings.hpp"

namespace wingslip::settings {

/// What the settings say to the host and not to the decision module.
struct HostSettings {
  /// Names as they stand on sockets, by the index that the decision module knows them by.
  std::vector<std::string> classes;
  std::vector<std::string> plans;
  std::vector<std::string> zones;
  std::vector<std::string> machineTypes;
  decision::Time connectTimeoutMs = 250;
  /// A worker closes a connection that has been idle this long.
  decision::Time workerIdleTimeoutMs = 30000;
};

/// Reads `path=value` lines. Unknown keys are ignored, missing ones leave the default.
/// @throws SettingsError on a malformed line, number or word.
decision::Settings parseSettings(std::string_view text);
HostSettings parseHostSettings(std::string_view text);

}  // namespace wingslip::settings
