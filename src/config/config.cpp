#include "config/config.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "codec/socket_address.hpp"

namespace wingslip {
namespace {

using nlohmann::json;

constexpr unsigned kLeastSockets = 64;
constexpr std::size_t kMostPrefix = 128;
constexpr double kMostMemoryMb = 1024 * 1024;  // a larger limit is taken for this one: no cap comes near it

[[noreturn]] void bad(const std::string& what) { throw std::runtime_error("configuration: " + what); }

std::string plain(const json& value) {
  std::string out = value.is_string() ? value.get<std::string>() : value.dump();
  std::replace_if(
      out.begin(), out.end(), [](char c) { return c == ' ' || c == ',' || c == '\n' || c == '\r'; }, '_');
  return out;
}

// Nested JSON as the `path=value` lines that parseSettings reads.
void flatten(const json& value, const std::string& path, std::string& out) {
  const std::string at = path.empty() ? path : path + ".";
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) flatten(item, at + key, out);
  } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
    out += path + ".count=" + std::to_string(value.size()) + "\n";
    for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], at + std::to_string(i), out);
  } else if (value.is_array()) {
    out += path + "=";
    for (std::size_t i = 0; i < value.size(); ++i) out += (i > 0 ? "," : "") + plain(value[i]);
    out += "\n";
  } else if (!value.is_null()) {
    out += path + "=" + plain(value) + "\n";
  }
}

std::uint64_t parseSeed(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size()) bad("seed is not a hexadecimal number");
  return seed;
}

json parseFile(std::string_view text) {
  try {
    json file = json::parse(text);
    if (!file.is_object()) bad("not a JSON object");
    return file;
  } catch (const json::exception& error) {
    throw HalfWritten(std::string("configuration: not JSON: ") + error.what());
  }
}

std::string textOf(const json& file, const char* key) {
  const auto found = file.find(key);
  if (found == file.end() || !found->is_string()) bad(std::string(key) + " is missing");
  return found->get<std::string>();
}

unsigned readSockets(const json& file) {
  const json::json_pointer at("/limits/sockets");
  if (!file.contains(at)) return Config{}.sockets;
  const json& value = file.at(at);
  if (!value.is_number() || value.get<double>() < kLeastSockets)
    bad("limits.sockets is not a number of at least " + std::to_string(kLeastSockets));
  return static_cast<unsigned>(std::min(value.get<double>(), 1e6));
}

// What is too small for the process is found at its start, where it is known who shares the limit.
double readMemory(const json& file) {
  const json::json_pointer at("/limits/memory_mb");
  if (!file.contains(at)) return Config{}.memoryMb;
  const json& value = file.at(at);
  if (!value.is_number() || !(value.get<double>() > 0)) bad("limits.memory_mb is not a number above 0");
  return std::min(value.get<double>(), kMostMemoryMb);
}

// The paths of all keys. Objects in an array are alike: it has the keys that all of them have.
std::set<std::string> keysOf(const json& value, const std::string& at = "") {
  std::set<std::string> out;
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) {
      const std::string path = at + "/" + key;
      if (item.is_null()) continue;
      if (path == "/coordination" || path == "/replica") continue;  // may be switched on and off
      out.insert(path);
      if (path != "/known") out.merge(keysOf(item, path));
    }
  } else if (value.is_array()) {
    for (const json& item : value) {
      std::set<std::string> keys = keysOf(item, at + "/*");
      if (&item == &value.front())
        out = std::move(keys);
      else
        std::erase_if(out, [&](const std::string& key) { return !keys.contains(key); });
    }
  }
  return out;
}

void requireAboveZero(const json& settings, const std::string& at) {
  const json::json_pointer pointer(at);
  if (!settings.contains(pointer) || !settings.at(pointer).is_number() ||
      !(settings.at(pointer).get<double>() > 0))
    bad("settings" + at + " is not a number above 0");
}

// What the rules rest on.
void checkSettings(const json& settings) {
  requireAboveZero(settings, "/permissions/attemptsCap");
  if (!settings.contains("profiles") || !settings["profiles"].is_array() || settings["profiles"].empty())
    bad("settings/profiles is missing");
  std::set<std::string> names;
  for (std::size_t i = 0; i < settings["profiles"].size(); ++i) {
    const std::string at = "/profiles/" + std::to_string(i);
    requireAboveZero(settings, at + "/deadline");
    for (const char* key : {"name", "repeat"}) {
      const json::json_pointer pointer(at + "/" + key);
      if (!settings.contains(pointer) || !settings.at(pointer).is_string())
        bad("settings" + at + " has no " + key);
    }
    if (!names.insert(settings["profiles"][i]["name"].get<std::string>()).second)
      bad("settings" + at + " has another's name");
  }
}

void onlyKeys(const json& table, const char* of, const std::set<std::string>& keys) {
  for (const auto& [key, value] : table.items())
    if (!keys.contains(key)) bad(std::string(of) + " has an unknown key " + key.substr(0, 40));
}

double spanOf(const json& table, const char* of, const char* key, double fallback, double least,
              double most) {
  const auto found = table.find(key);
  if (found == table.end()) return fallback;
  if (!found->is_number() || !(found->get<double>() >= least) || !(found->get<double>() <= most))
    bad(std::string(of) + "." + key + " is not a number within " + std::to_string(std::lround(least)) +
        " to " + std::to_string(std::lround(most)));
  return found->get<double>();
}

std::optional<Coordination> readCoordination(const json& file) {
  const auto found = file.find("coordination");
  if (found == file.end() || found->is_null()) return std::nullopt;
  if (!found->is_object()) bad("coordination is not an object");
  onlyKeys(*found, "coordination", {"store", "prefix", "ttl_ms", "lock_delay_ms"});
  Coordination out;
  if (!found->contains("store") || !(*found)["store"].is_string()) bad("coordination.store is missing");
  out.store = parseEndpoint((*found)["store"].get<std::string>());
  if (out.store.port() == 0) bad("coordination.store has no port");
  out.prefix = found->value("prefix", json("wingslip")).is_string()
                   ? found->value("prefix", std::string("wingslip"))
                   : std::string();
  const bool plainName = std::all_of(out.prefix.begin(), out.prefix.end(), [](unsigned char c) {
    return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '/';
  });
  if (!plainName || out.prefix.empty() || out.prefix.size() > kMostPrefix || out.prefix.front() == '/' ||
      out.prefix.back() == '/' || out.prefix.find("//") != std::string::npos)
    bad("coordination.prefix is not a path of letters, digits, '-', '_' and '.', within 128 characters");
  out.ttlMs = spanOf(*found, "coordination", "ttl_ms", out.ttlMs, 1000, 86400000);
  out.lockDelayMs = spanOf(*found, "coordination", "lock_delay_ms", out.lockDelayMs, 0, 60000);
  return out;
}

std::optional<Replication> readReplication(const json& file, const std::string& self) {
  const auto found = file.find("replica");
  if (found == file.end() || found->is_null()) return std::nullopt;
  if (!found->is_object()) bad("replica is not an object");
  const json& j = *found;
  onlyKeys(j, "replica",
           {"listen", "advertise", "fleet", "peers", "probe_every_ms", "gossip_every_ms", "repair_every_ms",
            "fanout"});
  const auto textIn = [&](const char* key, const std::string& fallback) {
    if (!j.contains(key)) return fallback;
    if (!j[key].is_string() || j[key].get<std::string>().empty() ||
        j[key].get<std::string>().size() > kMostPrefix)
      bad("replica." + std::string(key) + " is no name within 128 characters");
    return j[key].get<std::string>();
  };
  Replication out;
  const std::string listen = textIn("listen", "");
  if (listen.empty()) bad("replica.listen is missing");
  out.listen = parseEndpoint(listen);
  out.advertise = textIn("advertise", listen);
  const auto reachable = [](const std::string& at) {
    if (parseEndpoint(at).port() == 0) bad("replica: no port in " + at);
  };
  reachable(out.advertise);
  out.fleet = textIn("fleet", out.fleet);
  if (!j.contains("peers") || !j["peers"].is_object())
    bad("replica.peers is no object of names and addresses");
  for (const auto& [name, at] : j["peers"].items()) {
    if (name == self) bad("replica.peers names this gatekeeper itself");
    if (name.empty() || name.size() > kMostPrefix || !at.is_string())
      bad("replica.peers is no object of names and addresses");
    reachable(at.get<std::string>());
    out.peers[name] = at.get<std::string>();
  }
  out.probeEveryMs = spanOf(j, "replica", "probe_every_ms", out.probeEveryMs, 100, 60000);
  out.gossipEveryMs = spanOf(j, "replica", "gossip_every_ms", out.gossipEveryMs, 20, 60000);
  out.repairEveryMs = spanOf(j, "replica", "repair_every_ms", out.repairEveryMs, 100, 3600000);
  out.fanout = static_cast<unsigned>(spanOf(j, "replica", "fanout", out.fanout, 1, 16));
  return out;
}

Config fromJson(const json& file) {
  Config out;
  out.name = textOf(file, "name");
  out.listen = parseEndpoint(textOf(file, "listen"));
  out.discovery = parseEndpoint(textOf(file, "discovery"));
  if (file.contains("ops") && !file["ops"].is_null()) out.ops = parseEndpoint(textOf(file, "ops"));
  if (file.contains("seed")) out.seed = parseSeed(textOf(file, "seed"));
  out.sockets = readSockets(file);
  out.memoryMb = readMemory(file);
  if (file.contains("known")) out.known = file["known"].dump();
  if (!file.contains("settings") || !file["settings"].is_object()) bad("settings is missing");
  checkSettings(file["settings"]);
  out.coordination = readCoordination(file);
  out.replication = readReplication(file, out.name);
  const auto keys = keysOf(file);
  out.keys.assign(keys.begin(), keys.end());
  std::string lines;
  flatten(file["settings"], "", lines);
  out.settings = settings::parseSettings(lines);
  out.host = settings::parseHostSettings(lines);
  return out;
}

// What only the environment tells.
void addSurroundings(Config& config) {
  if (const char* folder = std::getenv("TMPDIR")) config.stateDir = folder;
  const char* inherited = std::getenv("BALANCER_ACCEPT_FD");
  if (!inherited) return;
  const std::string_view digits = inherited;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), config.acceptFd);
  if (error != std::errc() || end != digits.data() + digits.size() || config.acceptFd < 0)
    bad("BALANCER_ACCEPT_FD is not a descriptor");
}

void fromEnvironment(const char* variable, const char* key, json& file) {
  if (const char* value = std::getenv(variable)) file[key] = value;
}

}  // namespace

Config parseConfig(std::string_view text) { return fromJson(parseFile(text)); }

namespace {

json configFile() {
  const char* path = std::getenv("BALANCER_CONFIG");
  if (!path) bad("BALANCER_CONFIG is not set");
  std::ifstream in(path);
  if (!in) bad(std::string("cannot read ") + path);
  return parseFile(std::string(std::istreambuf_iterator<char>(in), {}));
}

}  // namespace

Config readConfig() {
  json file = configFile();
  fromEnvironment("BALANCER_NAME", "name", file);
  fromEnvironment("BALANCER_LISTEN", "listen", file);
  fromEnvironment("BALANCER_DISCOVERY", "discovery", file);
  fromEnvironment("BALANCER_OPS", "ops", file);
  Config out = fromJson(file);
  addSurroundings(out);
  return out;
}

void checkChange(const Config& before, const Config& after) {
  for (const std::string& key : before.keys)
    if (!std::binary_search(after.keys.begin(), after.keys.end(), key)) bad(key.substr(1) + " is missing");
}

Config rereadConfig(const Config& before) {
  json file = configFile();
  fromEnvironment("BALANCER_NAME", "name", file);
  fromEnvironment("BALANCER_LISTEN", "listen", file);
  fromEnvironment("BALANCER_OPS", "ops", file);
  Config out = fromJson(file);
  checkChange(before, out);
  return out;
}

}  // namespace wingslip
