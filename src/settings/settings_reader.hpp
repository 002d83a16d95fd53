/// Reads settings and maps their external keys and values to the terms of the code (`docs/glossary.md`).
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "settings/key_values.hpp"
#include "wingslip/decision/settings.hpp"

namespace wingslip::settings {

/// Settings of the host that the decision module does not use.
struct HostSettings {
  /// Names used in messages; their positions are the indexes that the decision module uses.
  std::vector<std::string> classes;
  std::vector<std::string> plans;
  std::vector<std::string> zones;
  std::vector<std::string> machineTypes;
  /// Timeout for connecting to a worker, ms.
  decision::Time connectTimeoutMs = 250;
  /// Idle time after which a worker closes a connection, ms.
  decision::Time workerIdleTimeoutMs = 30000;
};

/// Reads the decision module's settings from `key=value` lines. Unknown keys are ignored, and missing ones
/// retain their defaults.
/// @throws SettingsError on a malformed line or an invalid value.
decision::Settings parseSettings(std::string_view text);
/// Reads the host's settings from the same text, with the same treatment of keys and errors.
HostSettings parseHostSettings(std::string_view text);

}  // namespace wingslip::settings
