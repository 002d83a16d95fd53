/// Reads and validates a scenario file's sections: fleet, load, stand-ins and their misbehaviour.
#include "scenario_sections.hpp"

#include <set>

namespace wingslip::lab {
namespace {

/// Limit for a scenario's number of requests, and for its idle clients' number of connections.
constexpr double kMaxArrivals = 200000;

std::vector<std::string> readZones(const TableReader& reader, const toml::table& fleet,
                                   const std::vector<std::string>& fallback) {
  const toml::array* names = fleet["zones"].as_array();
  if (!names) return fallback;
  std::vector<std::string> zones;
  for (const toml::node& name : *names) {
    if (!name.is_string()) reader.fail(name.source(), "a zone's name must be a string");
    zones.push_back(*name.value<std::string>());
  }
  if (zones.empty()) reader.fail(fleet.source(), "zones is empty");
  return zones;
}

void readFleet(const TableReader& reader, const toml::table& table, Scenario& scenario) {
  reader.onlyKeys(table, {"gatekeepers", "workers", "zones", "attempts_cap", "held_sockets", "direct_workers",
                          "settings_for", "config_patch"});
  scenario.gatekeepers = reader.number(table, "gatekeepers", scenario.gatekeepers, 1, 1024);
  scenario.workers = reader.number(table, "workers", scenario.workers, 1, 1024);
  scenario.configuredGatekeepers =
      reader.number(table, "settings_for", scenario.configuredGatekeepers, 1, 1024);
  scenario.attemptsCap = reader.number(table, "attempts_cap", scenario.attemptsCap, 1, 10);
  scenario.configPatch = reader.jsonObject(table, "config_patch");
  scenario.directWorkers = reader.boolean(table, "direct_workers", scenario.directWorkers);
  scenario.inheritedSockets = reader.boolean(table, "held_sockets", scenario.inheritedSockets);
  scenario.zones = readZones(reader, table, scenario.zones);
}

void readLoad(const TableReader& reader, const toml::table& table, Scenario& scenario) {
  reader.onlyKeys(table, {"rate", "deadline_ms", "customers", "edit_share", "most_in_flight"});
  scenario.rate = reader.number(table, "rate", scenario.rate, 0, 20000);
  scenario.deadlineMs = reader.number(table, "deadline_ms", scenario.deadlineMs, 50, 60000);
  scenario.customers = reader.number(table, "customers", scenario.customers, 1, 1e6);
  scenario.editShare = reader.number(table, "edit_share", scenario.editShare, 0, 1);
  scenario.mostInFlight = reader.number(table, "most_in_flight", scenario.mostInFlight, 1, 100000);
}

void readWorker(const TableReader& reader, const toml::table& table, Scenario& scenario) {
  reader.onlyKeys(table, {"service_ms", "spread", "most_in_flight", "cold_s"});
  scenario.serviceMs = reader.number(table, "service_ms", scenario.serviceMs, 0, 60000);
  scenario.spread = reader.number(table, "spread", scenario.spread, 0, 3);
  scenario.workerInFlight = reader.number(table, "most_in_flight", scenario.workerInFlight, 1, 100000);
  scenario.coldS = reader.number(table, "cold_s", scenario.coldS, 0, 600);
}

void readStore(const TableReader& reader, const toml::table& table, Scenario& scenario) {
  reader.onlyKeys(table, {"ttl_ms", "lock_delay_ms"});
  scenario.store = true;
  scenario.storeTtlMs = reader.number(table, "ttl_ms", scenario.storeTtlMs, 1000, 86400000);
  scenario.storeLockDelayMs = reader.number(table, "lock_delay_ms", scenario.storeLockDelayMs, 0, 60000);
}

void readReplica(const TableReader& reader, const toml::table& table, Scenario& scenario) {
  reader.onlyKeys(table, {"probe_every_ms", "gossip_every_ms", "repair_every_ms"});
  scenario.replica = true;
  scenario.probeEveryMs = reader.number(table, "probe_every_ms", scenario.probeEveryMs, 100, 60000);
  scenario.gossipEveryMs = reader.number(table, "gossip_every_ms", scenario.gossipEveryMs, 20, 60000);
  scenario.repairEveryMs = reader.number(table, "repair_every_ms", scenario.repairEveryMs, 100, 3600000);
}

IdleLoad readIdleLoad(const TableReader& reader, const toml::table& table, const Scenario& scenario) {
  reader.onlyKeys(
      table, {"each", "gatekeeper", "from_s", "until_s", "connects_per_s", "request_share", "part_share"});
  IdleLoad out;
  if (!table.get("each")) reader.fail(table.source(), "idle_clients needs each = a number of clients");
  out.each = reader.number(table, "each", out.each, 1, 16384);
  out.gatekeeper = reader.index(table, "gatekeeper", scenario.gatekeepers, "gatekeeper");
  const int loadedGatekeepers = out.gatekeeper ? 1 : scenario.gatekeepers;
  out.fromS = reader.number(table, "from_s", out.fromS, 0, scenario.lengthS);
  out.untilS = reader.number(table, "until_s", scenario.lengthS, out.fromS, scenario.lengthS);
  out.connectsPerS = reader.number(table, "connects_per_s", out.connectsPerS, 1, 20000);
  out.requestShare = reader.number(table, "request_share", out.requestShare, 0, 1);
  out.partShare = reader.number(table, "part_share", out.partShare, 0, 1);
  if (out.requestShare + out.partShare > 1)
    reader.fail(table.source(), "the sum of request_share and part_share is above 1");
  if (out.connectsPerS * (out.untilS - out.fromS) * loadedGatekeepers > kMaxArrivals)
    reader.fail(table.source(), "more than 200,000 connections: lower connects_per_s or until_s");
  return out;
}

MisbehavingLoad readMisbehavingLoad(const TableReader& reader, const toml::table& table) {
  reader.onlyKeys(table, {"clients", "think_ms", "leave", "pipeline", "stop", "slow", "malformed"});
  MisbehavingLoad out;
  out.clients = reader.number(table, "clients", out.clients, 1, 10000);
  out.thinkMs = reader.number(table, "think_ms", out.thinkMs, 1, 60000);
  out.leave = reader.number(table, "leave", out.leave, 0, 1);
  out.pipeline = reader.number(table, "pipeline", out.pipeline, 0, 1);
  out.stop = reader.number(table, "stop", out.stop, 0, 1);
  out.slow = reader.number(table, "slow", out.slow, 0, 1);
  out.malformed = reader.number(table, "malformed", out.malformed, 0, 1);
  if (out.leave + out.pipeline + out.stop + out.slow + out.malformed > 1)
    reader.fail(table.source(), "the sum of the shares is above 1");
  return out;
}

MisbehavingWorkers readMisbehavingWorkers(const TableReader& reader, const toml::table& table) {
  reader.onlyKeys(table, {"twice", "unframed", "broken", "reset", "hang", "error", "closes"});
  MisbehavingWorkers out;
  out.twice = reader.number(table, "twice", out.twice, 0, 1);
  out.unframed = reader.number(table, "unframed", out.unframed, 0, 1);
  out.broken = reader.number(table, "broken", out.broken, 0, 1);
  out.reset = reader.number(table, "reset", out.reset, 0, 1);
  out.hang = reader.number(table, "hang", out.hang, 0, 1);
  out.error = reader.number(table, "error", out.error, 0, 1);
  out.closes = reader.number(table, "closes", out.closes, 0, 1);
  return out;
}

SystemFaults readSystemFaults(const TableReader& reader, const toml::table& table) {
  std::set<std::string> keys(kCallFaultNames.begin(), kCallFaultNames.end());
  keys.insert("wall_offset_ms");
  reader.onlyKeys(table, keys);
  SystemFaults out;
  for (std::size_t i = 0; i < kCallFaultCount; ++i)
    if (table.get(kCallFaultNames[i]))
      out.shares[static_cast<CallFault>(i)] = reader.number(table, kCallFaultNames[i], 0.0, 0, 1);
  out.wallOffsetMs = reader.number(table, "wall_offset_ms", 0.0, -1e9, 1e9);
  return out;
}

}  // namespace

void readSections(const TableReader& reader, const toml::table& file, FleetSize size, Scenario& scenario) {
  if (const toml::table* fleet = file["fleet"].as_table()) readFleet(reader, *fleet, scenario);
  if (size.gatekeepers > 0) scenario.gatekeepers = size.gatekeepers;
  if (size.workers > 0) scenario.workers = size.workers;
  scenario.configuredGatekeepers = std::max(scenario.configuredGatekeepers, scenario.gatekeepers);
  if (const toml::table* load = file["load"].as_table()) readLoad(reader, *load, scenario);
  if (scenario.rate * scenario.lengthS > kMaxArrivals)
    reader.fail(file.source(), "more than 200,000 requests: lower load.rate or length_s");
  if (const toml::table* idle = file["idle_clients"].as_table())
    scenario.idle = readIdleLoad(reader, *idle, scenario);
  if (const toml::table* worker = file["worker"].as_table()) readWorker(reader, *worker, scenario);
  if (const toml::table* store = file["store"].as_table()) readStore(reader, *store, scenario);
  if (const toml::table* replica = file["replica"].as_table()) readReplica(reader, *replica, scenario);
  if (const toml::table* clients = file["rough_clients"].as_table())
    scenario.misbehavingLoad = readMisbehavingLoad(reader, *clients);
  if (const toml::table* workers = file["rough_workers"].as_table())
    scenario.misbehavingWorkers = readMisbehavingWorkers(reader, *workers);
  if (const toml::table* system = file["system"].as_table()) {
    scenario.faultLibrary = true;
    scenario.system = readSystemFaults(reader, *system);
  }
}

}  // namespace wingslip::lab
