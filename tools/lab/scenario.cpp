#include "scenario.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>

namespace wingslip::lab {
namespace {

const std::set<std::string> kGatekeeperFaults{
    "kill",  "stop",       "cont",      "term",         "restart",           "upgrade",
    "hup",   "agent_down", "agent_up",  "invalidate",   "exclude",           "include",
    "pause", "finish",     "watch_end", "watch_silent", "discovery_crowded", "discovery_ok"};
const std::set<std::string> kStoreFaults{"store_stop",   "store_start", "store_wipe",
                                         "store_save",   "store_old",   "store_silent",
                                         "store_errors", "store_lose",  "store_ok"};
const std::set<std::string> kLinkFaults{"cut", "blackhole", "oneway", "delay", "throttle", "heal"};
const std::set<std::string> kLinks{"discovery", "store", "peers"};
const std::set<std::string> kWorkerFaults{"drain", "silent", "revive", "restart_worker"};
const std::set<std::string> kSystemFaults{"calls", "clock_step", "disk"};
const std::set<std::string> kFates{"served",      "refused",        "failed",        "closed",
                                   "unreachable", "lost",           "wrong",         "attempts",
                                   "upgrades",    "claims",         "roster_here",   "roster_draining",
                                   "roster_left", "roster_missing", "roster_agreed", "copies_equal",
                                   "idle_opened", "idle_closed",    "idle_refused",  "figure"};
constexpr double kMostArrivals = 200000;  // of a scenario's requests, and of its idle clients' connections

class Reader {
 public:
  explicit Reader(std::string path) : path_(std::move(path)) {}

  [[noreturn]] void bad(const toml::source_region& at, const std::string& what) const {
    std::ostringstream out;
    out << path_ << ":" << at.begin.line << ":" << at.begin.column << ": " << what;
    throw BadScenario(out.str());
  }

  // A number of the table, within [least, most]; `fallback` where it is missing.
  template <typename T>
  T number(const toml::table& table, const char* key, T fallback, double least, double most) const {
    const toml::node* node = table.get(key);
    if (!node) return fallback;
    std::optional<double> value = node->value<double>();
    if (!value) bad(node->source(), std::string(key) + " is not a number");
    if (*value < least || *value > most)
      bad(node->source(), std::string(key) + " is " + std::to_string(*value) + ", not within " +
                              std::to_string(least) + " to " + std::to_string(most));
    return static_cast<T>(*value);
  }

  std::optional<int> index(const toml::table& table, const char* key, int count, const char* of) const {
    const toml::node* node = table.get(key);
    if (!node) return std::nullopt;
    const std::optional<std::int64_t> value = node->value<std::int64_t>();
    if (!value || *value < 0 || *value >= count)
      bad(node->source(), std::string(of) + " " + (value ? std::to_string(*value) : "?") +
                              " does not exist (there are " + std::to_string(count) + ")");
    return static_cast<int>(*value);
  }

  // The table's `zone`, one of `zones`; none where it is missing.
  std::optional<std::string> zone(const toml::table& table, const std::vector<std::string>& zones) const {
    const toml::node* node = table.get("zone");
    if (!node) return std::nullopt;
    const std::optional<std::string> name = node->value<std::string>();
    if (!name || std::find(zones.begin(), zones.end(), *name) == zones.end())
      bad(node->source(), "no such zone");
    return name;
  }

  // A string of the table, one of `names`; empty where it is missing.
  std::string oneOf(const toml::table& table, const char* key, const std::set<std::string>& names) const {
    const toml::node* node = table.get(key);
    if (!node) return "";
    const std::string name = node->value<std::string>().value_or("?");
    if (names.contains(name)) return name;
    std::string list;
    for (const std::string& one : names) list += (list.empty() ? "" : ", ") + one;
    bad(node->source(), std::string(key) + " is one of " + list);
  }

  // The text of a JSON object; empty where it is missing.
  std::string jsonObject(const toml::table& table, const char* key) const {
    const toml::node* node = table.get(key);
    if (!node) return "";
    const std::string text = node->value<std::string>().value_or("?");
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) bad(node->source(), std::string(key) + " is no JSON object");
    return text;
  }

  void onlyKeys(const toml::table& table, const std::set<std::string>& keys) const {
    for (const auto& [key, node] : table)
      if (!keys.contains(std::string(key.str()))) bad(node.source(), "unknown key " + std::string(key.str()));
  }

 private:
  std::string path_;
};

RoughLoad readRoughLoad(const Reader& r, const toml::table& table) {
  r.onlyKeys(table, {"clients", "think_ms", "leave", "pipeline", "stop", "slow", "malformed"});
  RoughLoad out;
  out.clients = r.number(table, "clients", out.clients, 1, 10000);
  out.thinkMs = r.number(table, "think_ms", out.thinkMs, 1, 60000);
  out.leave = r.number(table, "leave", out.leave, 0, 1);
  out.pipeline = r.number(table, "pipeline", out.pipeline, 0, 1);
  out.stop = r.number(table, "stop", out.stop, 0, 1);
  out.slow = r.number(table, "slow", out.slow, 0, 1);
  out.malformed = r.number(table, "malformed", out.malformed, 0, 1);
  if (out.leave + out.pipeline + out.stop + out.slow + out.malformed > 1)
    r.bad(table.source(), "the shares are more than 1 together");
  return out;
}

RoughWorkers readRoughWorkers(const Reader& r, const toml::table& table) {
  r.onlyKeys(table, {"twice", "unframed", "broken", "reset", "hang", "error", "closes"});
  RoughWorkers out;
  out.twice = r.number(table, "twice", out.twice, 0, 1);
  out.unframed = r.number(table, "unframed", out.unframed, 0, 1);
  out.broken = r.number(table, "broken", out.broken, 0, 1);
  out.reset = r.number(table, "reset", out.reset, 0, 1);
  out.hang = r.number(table, "hang", out.hang, 0, 1);
  out.error = r.number(table, "error", out.error, 0, 1);
  out.closes = r.number(table, "closes", out.closes, 0, 1);
  return out;
}

SystemFaults readSystemFaults(const Reader& r, const toml::table& table) {
  std::set<std::string> keys(kCallFaultNames.begin(), kCallFaultNames.end());
  keys.insert("wall_offset_ms");
  r.onlyKeys(table, keys);
  SystemFaults out;
  for (std::size_t i = 0; i < kCallFaults; ++i)
    if (table.get(kCallFaultNames[i]))
      out.shares[static_cast<CallFault>(i)] = r.number(table, kCallFaultNames[i], 0.0, 0, 1);
  out.wallOffsetMs = r.number(table, "wall_offset_ms", 0.0, -1e9, 1e9);
  return out;
}

// The fields of a step that changes a gatekeeper's system.
void readSystemStep(const Reader& r, const toml::table& table, Step& step) {
  if (step.what == "calls") {
    const std::string name = table["call"].value_or(std::string());
    step.call = callFaultOf(name);
    if (!step.call) r.bad(table.source(), "calls needs call = the kind that fails, not " + name);
    step.share = r.number(table, "share", 0.0, 0, 1);
  }
  step.stepMs = r.number(table, "step_ms", 0.0, -1e9, 1e9);
  if (step.what != "disk") return;
  const std::optional<int> error = diskErrorOf(table["error"].value_or(std::string()));
  if (!error) r.bad(table.source(), "disk needs error = none, ENOSPC or EIO");
  step.diskError = *error;
}

const std::map<std::string, std::string> kUndo{
    {"kill", "restart"},   {"term", "restart"},  {"stop", "cont"},          {"cut", "heal"},
    {"blackhole", "heal"}, {"oneway", "heal"},   {"delay", "heal"},         {"drain", "revive"},
    {"throttle", "heal"},  {"silent", "revive"}, {"agent_down", "agent_up"}};

IdleLoad readIdleLoad(const Reader& r, const toml::table& table, const Scenario& s) {
  r.onlyKeys(table,
             {"each", "gatekeeper", "from_s", "until_s", "connects_per_s", "request_share", "part_share"});
  IdleLoad out;
  if (!table.get("each")) r.bad(table.source(), "idle_clients needs each = a number of clients");
  out.each = r.number(table, "each", out.each, 1, 16384);
  out.gatekeeper = r.index(table, "gatekeeper", s.gatekeepers, "gatekeeper");
  const int crowded = out.gatekeeper ? 1 : s.gatekeepers;
  out.fromS = r.number(table, "from_s", out.fromS, 0, s.lengthS);
  out.untilS = r.number(table, "until_s", s.lengthS, out.fromS, s.lengthS);
  out.connectsPerS = r.number(table, "connects_per_s", out.connectsPerS, 1, 20000);
  out.requestShare = r.number(table, "request_share", out.requestShare, 0, 1);
  out.partShare = r.number(table, "part_share", out.partShare, 0, 1);
  if (out.requestShare + out.partShare > 1)
    r.bad(table.source(), "request_share and part_share are more than 1 together");
  if (out.connectsPerS * (out.untilS - out.fromS) * crowded > kMostArrivals)
    r.bad(table.source(), "more than 200,000 connections: lower connects_per_s or until_s");
  return out;
}

struct RandomFaults {
  double rate = 0, healAfterS = 0, fromS = 0, untilS = 0;
  std::vector<std::string> faults;
};

void addRandomFaults(Scenario& s, const RandomFaults& f, std::uint64_t seed) {
  std::mt19937_64 random(seed ^ 0x9e3779b97f4a7c15ULL);
  std::exponential_distribution<double> gap(f.rate > 0 ? f.rate : 1);
  std::map<std::pair<bool, int>, double> heldUntil;  // (a gatekeeper?, index) -> when its fault is undone
  for (double at = f.fromS + gap(random); f.rate > 0 && at < f.untilS; at += gap(random)) {
    const std::string& what = f.faults[random() % f.faults.size()];
    const bool onGatekeeper = kGatekeeperFaults.contains(what);
    const int target =
        static_cast<int>(random() % static_cast<std::uint64_t>(onGatekeeper ? s.gatekeepers : s.workers));
    double& until = heldUntil[{onGatekeeper, target}];
    if (until > at) continue;  // that one is in a fault already
    const double undoAt = std::min(at + f.healAfterS, s.lengthS);
    until = undoAt;
    Step step, undo;
    step.atS = at, undo.atS = undoAt;
    step.what = what, undo.what = kUndo.at(what);
    for (Step* one : {&step, &undo}) (onGatekeeper ? one->gatekeeper : one->worker) = target;
    if (what == "delay") step.delayMs = 300;
    if (what == "throttle") step.bytesPerS = 2000;
    s.steps.push_back(step), s.steps.push_back(undo);
  }
  std::stable_sort(s.steps.begin(), s.steps.end(),
                   [](const Step& a, const Step& b) { return a.atS < b.atS; });
}

}  // namespace

Scenario readScenario(const std::string& path, int gatekeepers, int workers, std::uint64_t seed) {
  toml::table file;
  try {
    file = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    std::ostringstream out;
    out << path << ":" << error.source().begin.line << ":" << error.source().begin.column
        << ": not TOML: " << error.description();
    throw BadScenario(out.str());
  }
  const Reader r(path);
  r.onlyKeys(file, {"name", "length_s", "fleet", "load", "idle_clients", "worker", "store", "replica",
                    "rough_clients", "rough_workers", "system", "step", "expect", "random"});
  Scenario s;
  s.name = file["name"].value_or(std::string("unnamed"));
  s.lengthS = r.number(file, "length_s", s.lengthS, 1, 3600);
  if (const toml::table* fleet = file["fleet"].as_table()) {
    r.onlyKeys(*fleet, {"gatekeepers", "workers", "zones", "attempts_cap", "held_sockets", "direct_workers",
                        "settings_for", "config_patch"});
    s.gatekeepers = r.number(*fleet, "gatekeepers", s.gatekeepers, 1, 1024);
    s.workers = r.number(*fleet, "workers", s.workers, 1, 1024);
    s.settingsFor = r.number(*fleet, "settings_for", s.settingsFor, 1, 1024);
    s.attemptsCap = r.number(*fleet, "attempts_cap", s.attemptsCap, 1, 10);
    s.configPatch = r.jsonObject(*fleet, "config_patch");
    if (const toml::node* direct = fleet->get("direct_workers")) {
      if (!direct->is_boolean()) r.bad(direct->source(), "direct_workers is true or false");
      s.directWorkers = *direct->value<bool>();
    }
    if (const toml::node* held = fleet->get("held_sockets")) {
      if (!held->is_boolean()) r.bad(held->source(), "held_sockets is true or false");
      s.heldSockets = *held->value<bool>();
    }
    if (const toml::array* zones = (*fleet)["zones"].as_array()) {
      s.zones.clear();
      for (const toml::node& zone : *zones) {
        if (!zone.is_string()) r.bad(zone.source(), "a zone is named by a string");
        s.zones.push_back(*zone.value<std::string>());
      }
      if (s.zones.empty()) r.bad(fleet->source(), "zones is empty");
    }
  }
  if (gatekeepers > 0) s.gatekeepers = gatekeepers;
  if (workers > 0) s.workers = workers;
  s.settingsFor = std::max(s.settingsFor, s.gatekeepers);
  if (const toml::table* load = file["load"].as_table()) {
    r.onlyKeys(*load, {"rate", "deadline_ms", "customers", "edit_share", "most_in_flight"});
    s.rate = r.number(*load, "rate", s.rate, 0, 20000);
    s.deadlineMs = r.number(*load, "deadline_ms", s.deadlineMs, 50, 60000);
    s.customers = r.number(*load, "customers", s.customers, 1, 1e6);
    s.editShare = r.number(*load, "edit_share", s.editShare, 0, 1);
    s.mostInFlight = r.number(*load, "most_in_flight", s.mostInFlight, 1, 100000);
  }
  if (s.rate * s.lengthS > kMostArrivals)
    r.bad(file.source(), "more than 200,000 requests: lower load.rate or length_s");
  if (const toml::table* idle = file["idle_clients"].as_table()) s.idle = readIdleLoad(r, *idle, s);
  if (const toml::table* worker = file["worker"].as_table()) {
    r.onlyKeys(*worker, {"service_ms", "spread", "most_in_flight", "cold_s"});
    s.serviceMs = r.number(*worker, "service_ms", s.serviceMs, 0, 60000);
    s.spread = r.number(*worker, "spread", s.spread, 0, 3);
    s.workerInFlight = r.number(*worker, "most_in_flight", s.workerInFlight, 1, 100000);
    s.coldS = r.number(*worker, "cold_s", s.coldS, 0, 600);
  }
  if (const toml::table* store = file["store"].as_table()) {
    r.onlyKeys(*store, {"ttl_ms", "lock_delay_ms"});
    s.store = true;
    s.storeTtlMs = r.number(*store, "ttl_ms", s.storeTtlMs, 1000, 86400000);
    s.storeLockDelayMs = r.number(*store, "lock_delay_ms", s.storeLockDelayMs, 0, 60000);
  }
  if (const toml::table* replica = file["replica"].as_table()) {
    r.onlyKeys(*replica, {"probe_every_ms", "gossip_every_ms", "repair_every_ms"});
    s.replica = true;
    s.probeEveryMs = r.number(*replica, "probe_every_ms", s.probeEveryMs, 100, 60000);
    s.gossipEveryMs = r.number(*replica, "gossip_every_ms", s.gossipEveryMs, 20, 60000);
    s.repairEveryMs = r.number(*replica, "repair_every_ms", s.repairEveryMs, 100, 3600000);
  }
  if (const toml::table* rough = file["rough_clients"].as_table()) s.rough = readRoughLoad(r, *rough);
  if (const toml::table* rough = file["rough_workers"].as_table())
    s.roughWorkers = readRoughWorkers(r, *rough);
  if (const toml::table* system = file["system"].as_table()) {
    s.faultLibrary = true;
    s.system = readSystemFaults(r, *system);
  }
  double last = 0;
  if (const toml::array* steps = file["step"].as_array()) {
    for (const toml::node& node : *steps) {
      const toml::table* table = node.as_table();
      if (!table) r.bad(node.source(), "a step is a table: [[step]]");
      r.onlyKeys(*table, {"at_s", "do", "gatekeeper", "worker", "zone", "link", "below", "delay_ms",
                          "bytes_per_s", "patch", "call", "share", "step_ms", "error", "for_ms"});
      Step step;
      step.line = static_cast<int>(table->source().begin.line);
      if (!table->get("at_s")) r.bad(table->source(), "a step has no at_s");
      step.atS = r.number(*table, "at_s", 0.0, -1e9, 1e9);
      if (step.atS < last)
        r.bad(table->get("at_s")->source(),
              "at_s " + std::to_string(step.atS) + " is before the step ahead of it");
      if (step.atS > s.lengthS) r.bad(table->get("at_s")->source(), "at_s is after the end of the run");
      last = step.atS;
      const toml::node* what = table->get("do");
      if (!what || !what->is_string()) r.bad(table->source(), "a step has no do = \"...\"");
      step.what = *what->value<std::string>();
      const toml::node* target = table->get("gatekeeper");
      if (s.store && target && target->is_string()) {
        step.role = r.oneOf(*table, "gatekeeper", {"holder", "former"});
        step.gatekeeper = 0;
      } else {
        step.gatekeeper = r.index(*table, "gatekeeper", s.gatekeepers, "gatekeeper");
      }
      step.worker = r.index(*table, "worker", s.workers, "worker");
      step.zone = r.zone(*table, s.zones);
      step.delayMs = r.number(*table, "delay_ms", 0.0, 0, 60000);
      step.bytesPerS = r.number(*table, "bytes_per_s", 0.0, 1, 1e9);
      step.link = r.oneOf(*table, "link", kLinks);
      step.patch = r.jsonObject(*table, "patch");
      if (!step.patch.empty() && step.what != "hup") r.bad(what->source(), "only hup takes a patch");
      const bool onWorkers = step.worker || step.zone;
      if (onWorkers && !step.link.empty()) r.bad(what->source(), "a link to a worker or by name, not both");
      step.below = r.number(*table, "below", 0, 1, s.gatekeepers - 1);
      if (step.link == "peers" && (!s.replica || (!step.gatekeeper && step.below == 0)))
        r.bad(what->source(), "peers' links need a [replica] and a gatekeeper or below");
      const bool byHand = step.what == "exclude" || step.what == "include";
      if (byHand && !step.worker) r.bad(what->source(), step.what + " needs a worker");
      const bool ofStore =
          kStoreFaults.contains(step.what) || step.what == "invalidate" || step.link == "store";
      if (ofStore && !s.store) r.bad(what->source(), step.what + " needs a [store]");
      if (kStoreFaults.contains(step.what)) {
        if (step.gatekeeper || onWorkers) r.bad(what->source(), step.what + " is the store's alone");
      } else if (kGatekeeperFaults.contains(step.what)) {
        if (!step.gatekeeper) r.bad(what->source(), step.what + " needs a gatekeeper");
        step.forMs = r.number(*table, "for_ms", 100.0, 1, 60000);
        if (step.what == "upgrade" && !s.heldSockets)
          r.bad(what->source(), "upgrade needs fleet.held_sockets = true");
      } else if (kSystemFaults.contains(step.what)) {
        if (onWorkers) r.bad(what->source(), step.what + " is a gatekeeper's: it takes no worker");
        s.faultLibrary = true;
        readSystemStep(r, *table, step);
      } else if (kLinkFaults.contains(step.what) && !step.link.empty()) {
        // all gatekeepers' links of that name, or one's
      } else if (kLinkFaults.contains(step.what) || kWorkerFaults.contains(step.what)) {
        if (kLinkFaults.contains(step.what) && s.directWorkers)
          r.bad(what->source(), step.what + " needs proxies: fleet.direct_workers is true");
        if (!onWorkers) r.bad(what->source(), step.what + " needs a worker or a zone");
        if (kWorkerFaults.contains(step.what) && step.gatekeeper)
          r.bad(what->source(), step.what + " is a worker's: it takes no gatekeeper");
      } else {
        r.bad(what->source(), "unknown fault " + step.what);
      }
      if (step.what == "throttle" && !(step.bytesPerS > 0))
        r.bad(what->source(), "throttle needs bytes_per_s");
      if (step.what == "delay" && !(step.delayMs > 0)) r.bad(what->source(), "delay needs delay_ms above 0");
      s.steps.push_back(step);
    }
  }
  if (const toml::array* expects = file["expect"].as_array()) {
    for (const toml::node& node : *expects) {
      const toml::table* table = node.as_table();
      if (!table) r.bad(node.source(), "an expectation is a table: [[expect]]");
      r.onlyKeys(*table,
                 {"fate", "figure", "gatekeeper", "worker", "zone", "after_s", "before_s", "min", "max"});
      Expect e;
      e.line = static_cast<int>(table->source().begin.line);
      const toml::node* fate = table->get("fate");
      if (!fate || !fate->is_string() || !kFates.contains(*fate->value<std::string>()))
        r.bad(fate ? fate->source() : table->source(),
              "fate is one of served, refused, failed, closed, unreachable, lost, wrong, attempts, upgrades, "
              "claims, roster_*, copies_equal, idle_*, figure");
      e.fate = *fate->value<std::string>();
      e.figure = (*table)["figure"].value_or(std::string());
      if (e.figure.empty() == (e.fate == "figure"))
        r.bad(table->source(), "a figure is named by figure = \"...\", and only it");
      if (e.fate.starts_with("idle_") && s.idle.each == 0)
        r.bad(fate->source(), e.fate + " needs [idle_clients]");
      e.gatekeeper = r.index(*table, "gatekeeper", s.gatekeepers, "gatekeeper");
      e.worker = r.index(*table, "worker", s.workers, "worker");
      e.zone = r.zone(*table, s.zones);
      if ((e.worker || e.zone) != (e.fate == "attempts"))
        r.bad(table->source(), "attempts are counted at a worker or a zone, and only they");
      e.afterS = r.number(*table, "after_s", 0.0, 0, 1e9);
      e.beforeS = r.number(*table, "before_s", 1e9, 0, 1e9);
      if (table->get("min")) e.min = r.number(*table, "min", 0L, 0, 1e9);
      if (table->get("max")) e.max = r.number(*table, "max", 0L, 0, 1e9);
      if (!e.min && !e.max) r.bad(table->source(), "an expectation needs min or max");
      s.expects.push_back(e);
    }
  }
  if (const toml::table* random = file["random"].as_table()) {
    r.onlyKeys(*random, {"rate_per_s", "faults", "heal_after_s", "from_s", "until_s"});
    RandomFaults f;
    f.rate = r.number(*random, "rate_per_s", 0.5, 0, 100);
    f.healAfterS = r.number(*random, "heal_after_s", 2.0, 0.1, 3600);
    f.fromS = r.number(*random, "from_s", 1.0, 0, s.lengthS);
    f.untilS = r.number(*random, "until_s", s.lengthS, f.fromS, s.lengthS);
    const toml::array* faults = (*random)["faults"].as_array();
    if (!faults || faults->empty()) r.bad(random->source(), "random needs faults = [\"kill\", ...]");
    for (const toml::node& fault : *faults) {
      const std::optional<std::string> name = fault.value<std::string>();
      if (!name || !kUndo.contains(*name))
        r.bad(fault.source(), "no random fault " + name.value_or("?") +
                                  " (one of kill, term, stop, cut, blackhole, oneway, delay, throttle, "
                                  "drain, silent, agent_down)");
      f.faults.push_back(*name);
    }
    addRandomFaults(s, f, seed);
  }
  return s;
}

}  // namespace wingslip::lab
