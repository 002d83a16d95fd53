/// Typed and validated access to the tables of a scenario file.
#pragma once

#include <toml++/toml.h>

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "scenario.hpp"

namespace wingslip::lab {

/// Reads values from the tables of one file. Every error message names file, line and column.
class TableReader {
 public:
  explicit TableReader(std::string path) : path_(std::move(path)) {}

  /// @throws InvalidScenario always, with the region's position and the message.
  [[noreturn]] void fail(const toml::source_region& region, const std::string& message) const {
    std::ostringstream out;
    out << path_ << ":" << region.begin.line << ":" << region.begin.column << ": " << message;
    throw InvalidScenario(out.str());
  }

  /// The number under `key`, which must be within [min, max]; `fallback` if the key is absent.
  template <typename T>
  T number(const toml::table& table, const char* key, T fallback, double min, double max) const {
    const toml::node* node = table.get(key);
    if (!node) return fallback;
    std::optional<double> value = node->value<double>();
    if (!value) fail(node->source(), std::string(key) + " is not a number");
    if (*value < min || *value > max)
      fail(node->source(), std::string(key) + " is " + std::to_string(*value) + ", not within " +
                               std::to_string(min) + " to " + std::to_string(max));
    return static_cast<T>(*value);
  }

  /// The index under `key` of one of `count` targets, from 0; none if the key is absent. `kind` names the
  /// targets in the error message.
  std::optional<int> index(const toml::table& table, const char* key, int count, const char* kind) const {
    const toml::node* node = table.get(key);
    if (!node) return std::nullopt;
    const std::optional<std::int64_t> value = node->value<std::int64_t>();
    if (!value || *value < 0 || *value >= count)
      fail(node->source(), std::string(kind) + " " + (value ? std::to_string(*value) : "?") +
                               " does not exist (there are " + std::to_string(count) + ")");
    return static_cast<int>(*value);
  }

  /// The value of the key `zone`, which must be in `zones`; none if the key is absent.
  std::optional<std::string> zone(const toml::table& table, const std::vector<std::string>& zones) const {
    const toml::node* node = table.get("zone");
    if (!node) return std::nullopt;
    const std::optional<std::string> name = node->value<std::string>();
    if (!name || std::find(zones.begin(), zones.end(), *name) == zones.end())
      fail(node->source(), "zone is not in fleet.zones");
    return name;
  }

  /// The string under `key`, which must be in `names`; empty if the key is absent.
  std::string oneOf(const toml::table& table, const char* key, const std::set<std::string>& names) const {
    const toml::node* node = table.get(key);
    if (!node) return "";
    const std::string name = node->value<std::string>().value_or("?");
    if (names.contains(name)) return name;
    std::string list;
    for (const std::string& allowed : names) list += (list.empty() ? "" : ", ") + allowed;
    fail(node->source(), std::string(key) + " must be one of " + list);
  }

  /// The text under `key`, which must be a JSON object; empty if the key is absent.
  std::string jsonObject(const toml::table& table, const char* key) const {
    const toml::node* node = table.get(key);
    if (!node) return "";
    const std::string text = node->value<std::string>().value_or("?");
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) fail(node->source(), std::string(key) + " is not a JSON object");
    return text;
  }

  /// The boolean under `key`; `fallback` if the key is absent.
  bool boolean(const toml::table& table, const char* key, bool fallback) const {
    const toml::node* node = table.get(key);
    if (!node) return fallback;
    if (!node->is_boolean()) fail(node->source(), std::string(key) + " must be true or false");
    return *node->value<bool>();
  }

  /// Rejects the table if it has a key that is not in `keys`.
  /// @throws InvalidScenario with the position of the first unknown key.
  void onlyKeys(const toml::table& table, const std::set<std::string>& keys) const {
    for (const auto& [key, node] : table)
      if (!keys.contains(std::string(key.str())))
        fail(node.source(), "unknown key " + std::string(key.str()));
  }

 private:
  std::string path_;
};

}  // namespace wingslip::lab
