// Implementation of the conversion of the configuration file's JSON.
#include "config/config_json.hpp"

#include <algorithm>
#include <charconv>
#include <set>

#include "codec/socket_address.hpp"
#include "config/config_sections.hpp"

namespace wingslip {
namespace {

using nlohmann::json;

constexpr unsigned kMinFileDescriptors = 64;
constexpr double kMaxFileDescriptors = 1e6;
constexpr double kMaxMemoryMib = 1024 * 1024;  // 1 TiB; a larger limit is lowered to it

/// Formats a value as the right side of a `path=value` line: replaces separators of lines and words by '_'.
std::string toWord(const json& value) {
  const auto isSeparator = [](char c) { return c == ' ' || c == ',' || c == '\n' || c == '\r'; };
  std::string word = value.is_string() ? value.get<std::string>() : value.dump();
  std::replace_if(word.begin(), word.end(), isSeparator, '_');
  return word;
}

/// Appends nested JSON as `path=value` lines, the input format of settings::parseSettings.
void appendLines(const json& value, const std::string& path, std::string& lines) {
  const std::string prefix = path.empty() ? path : path + ".";
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) appendLines(item, prefix + key, lines);
  } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
    lines += path + ".count=" + std::to_string(value.size()) + "\n";
    for (std::size_t i = 0; i < value.size(); ++i) appendLines(value[i], prefix + std::to_string(i), lines);
  } else if (value.is_array()) {
    lines += path + "=";
    for (std::size_t i = 0; i < value.size(); ++i) lines += (i > 0 ? "," : "") + toWord(value[i]);
    lines += "\n";
  } else if (!value.is_null()) {
    lines += path + "=" + toWord(value) + "\n";
  }
}

std::uint64_t parseSeed(const std::string& text) {
  std::uint64_t seed = 0;
  const char* const textEnd = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), textEnd, seed, 16);
  if (error != std::errc() || end != textEnd)
    throw ConfigError("seed is not a hexadecimal number of at most 64 bits");
  return seed;
}

std::string readText(const json& file, const char* key) {
  const auto found = file.find(key);
  if (found == file.end() || !found->is_string())
    throw ConfigError(std::string(key) + " is missing or not a string");
  return found->get<std::string>();
}

unsigned readMaxFileDescriptors(const json& file) {
  const json::json_pointer path("/limits/sockets");
  if (!file.contains(path)) return Config{}.maxFileDescriptors;
  const json& value = file.at(path);
  if (!value.is_number() || value.get<double>() < kMinFileDescriptors)
    throw ConfigError("limits.sockets is not a number of at least " + std::to_string(kMinFileDescriptors));
  return static_cast<unsigned>(std::min(value.get<double>(), kMaxFileDescriptors));
}

/// Whether the limit is large enough is checked when the process starts, where the processes and files that
/// share it are known.
double readMemoryLimitMib(const json& file) {
  const json::json_pointer path("/limits/memory_mb");
  if (!file.contains(path)) return Config{}.memoryLimitMib;
  const json& value = file.at(path);
  if (!value.is_number() || !(value.get<double>() > 0))
    throw ConfigError("limits.memory_mb is not a number above 0");
  return std::min(value.get<double>(), kMaxMemoryMib);
}

std::set<std::string> keysOf(const json& value, const std::string& path);

std::set<std::string> keysOfObject(const json& object, const std::string& parent) {
  std::set<std::string> keys;
  for (const auto& [key, item] : object.items()) {
    const std::string path = parent + "/" + key;
    const bool isOptionalSection = path == "/coordination" || path == "/replica";
    if (item.is_null() || isOptionalSection) continue;
    keys.insert(path);
    if (path != "/known") keys.merge(keysOf(item, path));
  }
  return keys;
}

/// The items of an array have the same structure: returns the keys that all of them have.
std::set<std::string> keysOfArray(const json& array, const std::string& parent) {
  std::set<std::string> common;
  for (const json& item : array) {
    std::set<std::string> keys = keysOf(item, parent + "/*");
    if (&item == &array.front())
      common = std::move(keys);
    else
      std::erase_if(common, [&](const std::string& key) { return !keys.contains(key); });
  }
  return common;
}

/// Returns the JSON pointers of all keys within a value.
std::set<std::string> keysOf(const json& value, const std::string& path) {
  if (value.is_object()) return keysOfObject(value, path);
  if (value.is_array()) return keysOfArray(value, path);
  return {};
}

void requireAboveZero(const json& settings, const std::string& path) {
  const json::json_pointer pointer(path);
  const bool aboveZero = settings.contains(pointer) && settings.at(pointer).is_number() &&
                         settings.at(pointer).get<double>() > 0;
  if (!aboveZero) throw ConfigError("settings" + path + " is not a number above 0");
}

void requireText(const json& settings, const std::string& parent, const std::string& key) {
  const json::json_pointer pointer(parent + "/" + key);
  if (!settings.contains(pointer) || !settings.at(pointer).is_string())
    throw ConfigError("settings" + parent + " has no string " + key);
}

/// Checks the settings that the handling of every request needs. A file without them is rejected.
void checkSettings(const json& settings) {
  requireAboveZero(settings, "/permissions/attemptsCap");
  if (!settings.contains("profiles") || !settings["profiles"].is_array() || settings["profiles"].empty())
    throw ConfigError("settings/profiles is not a list with at least one profile");
  std::set<std::string> names;
  for (std::size_t i = 0; i < settings["profiles"].size(); ++i) {
    const std::string path = "/profiles/" + std::to_string(i);
    requireAboveZero(settings, path + "/deadline");
    requireText(settings, path, "name");
    requireText(settings, path, "repeat");
    if (!names.insert(settings["profiles"][i]["name"].get<std::string>()).second)
      throw ConfigError("settings" + path + " has the name of another profile");
  }
}

}  // namespace

json parseConfigObject(std::string_view text) {
  try {
    json file = json::parse(text);
    if (!file.is_object()) throw ConfigError("not a JSON object");
    return file;
  } catch (const json::exception& error) {
    throw IncompleteConfigError(std::string("not JSON: ") + error.what());
  }
}

Config configFromJson(const json& file) {
  Config out;
  out.name = readText(file, "name");
  out.listen = parseEndpoint(readText(file, "listen"));
  out.discovery = parseEndpoint(readText(file, "discovery"));
  if (file.contains("ops") && !file["ops"].is_null()) out.ops = parseEndpoint(readText(file, "ops"));
  if (file.contains("seed")) out.seed = parseSeed(readText(file, "seed"));
  out.maxFileDescriptors = readMaxFileDescriptors(file);
  out.memoryLimitMib = readMemoryLimitMib(file);
  if (file.contains("known")) out.initialEndpointList = file["known"].dump();
  if (!file.contains("settings") || !file["settings"].is_object())
    throw ConfigError("settings is missing or not an object");
  checkSettings(file["settings"]);
  out.coordination = readCoordination(file);
  out.replication = readReplication(file, out.name);
  const auto keys = keysOf(file, "");
  out.keys.assign(keys.begin(), keys.end());
  std::string lines;
  appendLines(file["settings"], "", lines);
  out.settings = settings::parseSettings(lines);
  out.host = settings::parseHostSettings(lines);
  return out;
}

}  // namespace wingslip
