// Implementation of the parsing and merging of endpoint lists.
#include "endpoint_watch/endpoint_list.hpp"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "codec/socket_address.hpp"

namespace wingslip {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxExcerptLength = 40;  // bytes of the input that an error message quotes

std::string excerpt(const std::string& text) { return text.substr(0, kMaxExcerptLength); }

decision::WorkerPhase phaseOf(const std::string& lifecycle) {
  if (lifecycle == "Ready") return decision::WorkerPhase::ready;
  if (lifecycle == "Terminating") return decision::WorkerPhase::draining;
  if (lifecycle == "Gone") return decision::WorkerPhase::removed;
  throw std::runtime_error("unknown lifecycle " + excerpt(lifecycle));
}

EndpointEntry parseEntry(const json& object) {
  EndpointEntry entry;
  entry.id = object.at("instanceId").get<std::string>();
  entry.phase = phaseOf(object.at("lifecycle").get<std::string>());
  const std::string address = object.value("hostPort", "");
  const bool addressOptional = entry.phase == decision::WorkerPhase::removed;
  if (!addressOptional || !address.empty()) entry.address = parseEndpoint(address);
  entry.zone = object.value("zone", "");
  entry.machineType = object.value("machineType", "");
  entry.cell = object.value("cell", 0u);
  entry.startedAtMs = object.value("startedAtMs", 0.0);
  return entry;
}

EndpointList parseList(const json& object) {
  EndpointList list;
  list.generation = object.at("generation").get<long long>();
  list.isSnapshot = object.value("reset", false);
  std::unordered_set<std::string> ids;
  for (const json& item : object.at("instances")) {
    EndpointEntry entry = parseEntry(item);
    if (!ids.insert(entry.id).second) throw std::runtime_error("duplicate instanceId " + excerpt(entry.id));
    list.entries.push_back(std::move(entry));
  }
  return list;
}

}  // namespace

EndpointList parseEndpointList(std::string_view text) {
  try {
    return parseList(json::parse(text));
  } catch (const json::exception& error) {
    throw EndpointListError(std::string("list: ") + error.what());
  } catch (const std::runtime_error& error) {
    throw EndpointListError(std::string("list: ") + error.what());
  }
}

EndpointList mergeEndpointLists(EndpointList earlier, EndpointList later) {
  if (later.isSnapshot) return later;
  EndpointList merged = std::move(earlier);
  merged.generation = later.generation;
  std::unordered_map<std::string, std::size_t> indexById;
  for (std::size_t i = 0; i < merged.entries.size(); ++i) indexById[merged.entries[i].id] = i;
  for (EndpointEntry& entry : later.entries) {
    const auto [found, isNew] = indexById.try_emplace(entry.id, merged.entries.size());
    if (isNew)
      merged.entries.push_back(std::move(entry));
    else
      merged.entries[found->second] = std::move(entry);
  }
  return merged;
}

}  // namespace wingslip
