// What the reader of configurations says to one optional part of a file.
#pragma once

#include <stdexcept>
#include <string>

#include "config/config.hpp"

namespace wingslip {

// "" where the part is taken, else the line that turns it down; the rest of the file is well.
inline std::string saidOf(const std::string& key, const std::string& json) {
  try {
    parseConfig(R"({"name": "g", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings":
      {"permissions": {"attemptsCap": 3}, "profiles": [{"name": "look", "deadline": 100, "repeat": "safe"}]},
      ")" + key +
                "\": " + json + "}");
  } catch (const std::runtime_error& error) {
    const std::string what = error.what();
    // The settings are read after the optional parts, and are too short here.
    if (what.find(key) != std::string::npos || what.rfind("not an address", 0) == 0) return what;
  }
  return "";
}

}  // namespace wingslip
