// Implementation of reading the configuration file and the environment variables.
#include "config/config.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "config/config_json.hpp"

namespace wingslip {
namespace {

using nlohmann::json;

json readFile() {
  const char* path = std::getenv("BALANCER_CONFIG");
  if (!path) throw ConfigError("BALANCER_CONFIG is not set");
  std::ifstream in(path);
  if (!in) throw ConfigError(std::string("cannot read ") + path);
  return parseConfigObject(std::string(std::istreambuf_iterator<char>(in), {}));
}

void overrideFromEnvironment(const char* variable, const char* key, json& file) {
  if (const char* value = std::getenv(variable)) file[key] = value;
}

int parseDescriptor(std::string_view digits) {
  int descriptor = -1;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), descriptor);
  if (error != std::errc() || end != digits.data() + digits.size() || descriptor < 0)
    throw ConfigError("BALANCER_ACCEPT_FD is not a file descriptor (an integer of at least 0)");
  return descriptor;
}

}  // namespace

Config parseConfig(std::string_view text) { return configFromJson(parseConfigObject(text)); }

Config readConfig() {
  json file = readFile();
  overrideFromEnvironment("BALANCER_NAME", "name", file);
  overrideFromEnvironment("BALANCER_LISTEN", "listen", file);
  overrideFromEnvironment("BALANCER_DISCOVERY", "discovery", file);
  overrideFromEnvironment("BALANCER_OPS", "ops", file);
  Config out = configFromJson(file);
  if (const char* directory = std::getenv("TMPDIR")) out.stateDir = directory;
  if (const char* inherited = std::getenv("BALANCER_ACCEPT_FD"))
    out.inheritedListenFd = parseDescriptor(inherited);
  return out;
}

void requireNoKeyRemoved(const Config& before, const Config& after) {
  for (const std::string& key : before.keys)
    if (!std::binary_search(after.keys.begin(), after.keys.end(), key))
      throw ConfigError(key.substr(1) + " is missing; a reload must not remove a key");
}

Config rereadConfig(const Config& before) {
  json file = readFile();
  overrideFromEnvironment("BALANCER_NAME", "name", file);
  overrideFromEnvironment("BALANCER_LISTEN", "listen", file);
  overrideFromEnvironment("BALANCER_OPS", "ops", file);
  Config out = configFromJson(file);
  requireNoKeyRemoved(before, out);
  return out;
}

}  // namespace wingslip
