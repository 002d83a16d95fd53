#include "node/legacy.hpp"

#include <unistd.h>

#include <cmath>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace burlwind {
namespace {

using nlohmann::json;

std::string pathIn(const std::string& folder) { return folder + "/burlwind-legacy.json"; }

}  // namespace

// Written aside and renamed, so that nobody reads half of it.
void leave(const std::string& folder, const Legacy& legacy) {
  if (folder.empty()) return;
  const std::string aside = pathIn(folder) + "." + std::to_string(getpid());
  std::ofstream out(aside, std::ios::binary | std::ios::trunc);
  out << json{{"atMs", legacy.atMs}, {"warmRate", legacy.warmRate}}.dump();
  out.close();
  if (!out || std::rename(aside.c_str(), pathIn(folder).c_str()) != 0) std::remove(aside.c_str());
}

std::optional<Legacy> inherit(const std::string& folder) {
  if (folder.empty()) return std::nullopt;
  std::ifstream in(pathIn(folder), std::ios::binary);
  char text[512];
  in.read(text, sizeof text);
  const json file = json::parse(text, text + in.gcount(), nullptr, false);
  if (!file.is_object()) return std::nullopt;
  Legacy out;
  for (const auto& [key, target] : {std::pair{"atMs", &out.atMs}, std::pair{"warmRate", &out.warmRate}}) {
    if (!file.contains(key) || !file[key].is_number()) return std::nullopt;
    *target = file[key].get<double>();
    if (!std::isfinite(*target) || *target < 0) return std::nullopt;
  }
  return out;
}

}  // namespace burlwind
