// Validation of one optional section of a configuration file.
#pragma once

#include <stdexcept>
#include <string>

#include "config/config.hpp"

namespace wingslip {

// Parses a configuration whose section `key` is `json` and whose other sections are valid. Returns the error
// that rejects the section, or "" if it is accepted.
inline std::string configErrorOf(const std::string& key, const std::string& json) {
  try {
    parseConfig(R"({"name": "g", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings":
      {"permissions": {"attemptsCap": 3}, "profiles": [{"name": "look", "deadline": 100, "repeat": "safe"}]},
      ")" + key +
                "\": " + json + "}");
  } catch (const std::runtime_error& error) {
    const std::string what = error.what();
    // The settings are incomplete here. They are parsed after the optional sections, so their error, which
    // does not name the section, means that the section was accepted.
    if (what.find(key) != std::string::npos || what.rfind("not an address", 0) == 0) return what;
  }
  return "";
}

}  // namespace wingslip
