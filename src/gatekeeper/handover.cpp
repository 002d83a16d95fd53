#include "gatekeeper/handover.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

#include "net/durable_file.hpp"

namespace wingslip {
namespace {

using nlohmann::json;

constexpr std::size_t kMostBytes = 512;

std::string pathIn(const std::string& folder) { return folder + "/burlwind-handover.json"; }

std::optional<double> numberIn(const json& file, const char* key) {
  const auto found = file.find(key);
  if (found == file.end() || !found->is_number() || !std::isfinite(found->get<double>())) return std::nullopt;
  return found->get<double>();
}

}  // namespace

void leave(const std::string& folder, const Handover& handover) {
  if (folder.empty()) return;
  const json file{
      {"at", handover.at}, {"warmRate", handover.warmRate}, {"clockOffset", handover.clockOffset}};
  // Written every second and of use for some seconds: not worth waiting for the disk.
  replaceFile(pathIn(folder), file.dump(), Durability::in_kernel);
}

std::optional<Handover> inherit(const std::string& folder) {
  std::string text;
  if (folder.empty() || readFile(pathIn(folder), kMostBytes, text)) return std::nullopt;
  const json file = json::parse(text, nullptr, false);
  if (!file.is_object()) return std::nullopt;
  const auto at = numberIn(file, "at"), warmRate = numberIn(file, "warmRate");
  const auto clockOffset = numberIn(file, "clockOffset");
  if (!at || !warmRate || !clockOffset || *at < 0 || *warmRate < 0) return std::nullopt;
  return Handover{*at, *warmRate, *clockOffset};
}

}  // namespace wingslip
