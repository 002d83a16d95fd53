#include "node/exclusions.hpp"

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace burlwind {
namespace {

using nlohmann::json;

constexpr std::size_t kMostBytes = std::size_t{1} << 20;

// Nothing if there is no file, or one that is no longer ours.
std::optional<std::string> readFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::string text;
  for (char piece[4096]; in.read(piece, sizeof piece), in.gcount() > 0 && text.size() <= kMostBytes;)
    text.append(piece, static_cast<std::size_t>(in.gcount()));
  if (text.size() > kMostBytes) return std::nullopt;
  return text;
}

std::optional<std::set<std::string>> parse(const std::string& text) {
  const json file = json::parse(text, nullptr, false);
  if (!file.is_object() || !file.contains("excluded") || !file["excluded"].is_array()) return std::nullopt;
  std::set<std::string> out;
  for (const json& id : file["excluded"]) {
    if (!id.is_string()) return std::nullopt;
    if (out.size() < Exclusions::kMost) out.insert(id.get<std::string>());
  }
  return out;
}

}  // namespace

Exclusions::Exclusions(const std::string& folder)
    : path_(folder.empty() ? "" : folder + "/burlwind-excluded.json") {
  refresh();
}

bool Exclusions::add(const std::string& id) {
  refresh();
  if (ids_.size() >= kMost && !ids_.contains(id)) return false;
  if (ids_.insert(id).second) save();
  return true;
}

void Exclusions::remove(const std::string& id) {
  refresh();
  if (ids_.erase(id) > 0) save();
}

bool Exclusions::refresh() {
  if (path_.empty()) return false;
  const auto text = readFile(path_);
  if (!text || *text == seen_) return false;
  seen_ = *text;
  auto read = parse(*text);
  if (!read) {
    std::fprintf(stderr, "burlwind: damaged, not taken over: %s\n", path_.c_str());
    return false;
  }
  ids_.swap(*read);
  return ids_ != *read;
}

// Written aside and renamed, so that the other process never sees half of it.
void Exclusions::save() {
  if (path_.empty()) return;
  seen_ = json{{"excluded", ids_}}.dump(-1, ' ', true, json::error_handler_t::replace);
  const std::string aside = path_ + "." + std::to_string(getpid());
  std::ofstream out(aside, std::ios::binary | std::ios::trunc);
  out << seen_;
  out.close();
  if (!out || std::rename(aside.c_str(), path_.c_str()) != 0) {
    std::fprintf(stderr, "burlwind: cannot keep what is excluded in %s\n", path_.c_str());
    std::remove(aside.c_str());
  }
}

}  // namespace burlwind
