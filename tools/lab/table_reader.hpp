/// Reads the tables of a scenario file.
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

/// Typed access to the tables of one file; every error names file, line and column.
class TableReader {
 public:
  explicit TableReader(std::string path) : path_(std::move(path)) {}

  /// @throws BadScenario always.
  [[noreturn]] void fail(const toml::source_region& region, const std::string& what) const {
    std::ostringstream out;
    out << path_ << ":" << region.begin.line << ":" << region.begin.column << ": " << what;
    throw BadScenario(out.str());
  }

  /// A number of the table, within [least, most]; `fallback` where it is missing.
  template <typename T>
  T number(const toml::table& table, const char* key, T fallback, double least, double most) const {
    const toml::node* node = table.get(key);
    if (!node) return fallback;
    std::optional<double> value = node->value<double>();
    if (!value) fail(node->source(), std::string(key) + " is not a number");
    if (*value < least || *value > most)
      fail(node->source(), std::string(key) + " is " + std::to_string(*value) + ", not within " +
                               std::to_string(least) + " to " + std::to_string(most));
    return static_cast<T>(*value);
  }

  /// The number, from 0, of one of `count` targets; none where it is missing.
  std::optional<int> index(const toml::table& table, const char* key, int count, const char* of) const {
    const toml::node* node = table.get(key);
    if (!node) return std::nullopt;
    const std::optional<std::int64_t> value = node->value<std::int64_t>();
    if (!value || *value < 0 || *value >= count)
      fail(node->source(), std::string(of) + " " + (value ? std::to_string(*value) : "?") +
                               " does not exist (there are " + std::to_string(count) + ")");
    return static_cast<int>(*value);
  }

  /// The table's `zone`, one of `zones`; none where it is missing.
  std::optional<std::string> zone(const toml::table& table, const std::vector<std::string>& zones) const {
    const toml::node* node = table.get("zone");
    if (!node) return std::nullopt;
    const std::optional<std::string> name = node->value<std::string>();
    if (!name || std::find(zones.begin(), zones.end(), *name) == zones.end())
      fail(node->source(), "no such zone");
    return name;
  }

  /// A string of the table, one of `names`; empty where it is missing.
  std::string oneOf(const toml::table& table, const char* key, const std::set<std::string>& names) const {
    const toml::node* node = table.get(key);
    if (!node) return "";
    const std::string name = node->value<std::string>().value_or("?");
    if (names.contains(name)) return name;
    std::string list;
    for (const std::string& one : names) list += (list.empty() ? "" : ", ") + one;
    fail(node->source(), std::string(key) + " is one of " + list);
  }

  /// The text of a JSON object; empty where it is missing.
  std::string jsonObject(const toml::table& table, const char* key) const {
    const toml::node* node = table.get(key);
    if (!node) return "";
    const std::string text = node->value<std::string>().value_or("?");
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) fail(node->source(), std::string(key) + " is no JSON object");
    return text;
  }

  /// A boolean of the table; `fallback` where it is missing.
  bool boolean(const toml::table& table, const char* key, bool fallback) const {
    const toml::node* node = table.get(key);
    if (!node) return fallback;
    if (!node->is_boolean()) fail(node->source(), std::string(key) + " is true or false");
    return *node->value<bool>();
  }

  void onlyKeys(const toml::table& table, const std::set<std::string>& keys) const {
    for (const auto& [key, node] : table)
      if (!keys.contains(std::string(key.str())))
        fail(node.source(), "unknown key " + std::string(key.str()));
  }

 private:
  std::string path_;
};

}  // namespace wingslip::lab
