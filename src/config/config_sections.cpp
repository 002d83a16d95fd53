// Implementation of reading the optional sections of the configuration file.
#include "config/config_sections.hpp"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <set>

#include "codec/socket_address.hpp"

namespace wingslip {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 128;

/// Inclusive range of a number.
struct Bounds {
  double min = 0;
  double max = 0;
};

constexpr Bounds kSessionTtlMs{1000, 86400000};
constexpr Bounds kLockDelayMs{0, 60000};
constexpr Bounds kProbeEveryMs{100, 60000};
constexpr Bounds kGossipEveryMs{20, 60000};
constexpr Bounds kRepairEveryMs{100, 3600000};
constexpr Bounds kFanout{1, 16};

/// Reads a section of the file; exceptions name the section and the key.
class Section {
 public:
  Section(const json& values, std::string name) : values_(values), name_(std::move(name)) {
    if (!values_.is_object()) throw ConfigError(name_ + " is not an object");
  }

  void requireKnownKeys(const std::set<std::string>& known) const {
    constexpr std::size_t kMaxQuotedBytes = 40;
    for (const auto& [key, value] : values_.items())
      if (!known.contains(key))
        throw ConfigError(name_ + " has an unknown key " + key.substr(0, kMaxQuotedBytes));
  }

  double number(const char* key, double fallback, Bounds bounds) const {
    const auto found = values_.find(key);
    if (found == values_.end()) return fallback;
    const bool inBounds =
        found->is_number() && found->get<double>() >= bounds.min && found->get<double>() <= bounds.max;
    if (!inBounds)
      throw ConfigError(name_ + "." + key + " is not a number in the range " +
                        std::to_string(std::lround(bounds.min)) + " to " +
                        std::to_string(std::lround(bounds.max)));
    return found->get<double>();
  }

  std::string text(const std::string& key, const std::string& fallback) const {
    const auto found = values_.find(key);
    if (found == values_.end()) return fallback;
    const std::string value = found->is_string() ? found->get<std::string>() : std::string();
    if (value.empty() || value.size() > kMaxNameBytes)
      throw ConfigError(name_ + "." + key + " is not a string of 1 to 128 characters");
    return value;
  }

 private:
  const json& values_;
  const std::string name_;
};

bool isKeyPrefix(const std::string& text) {
  const bool allowedCharacters = std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == '/';
  });
  return allowedCharacters && !text.empty() && text.size() <= kMaxNameBytes && text.front() != '/' &&
         text.back() != '/' && text.find("//") == std::string::npos;
}

std::string readPrefix(const json& section) {
  const json prefix = section.value("prefix", json("wingslip"));
  const std::string text = prefix.is_string() ? prefix.get<std::string>() : std::string();
  if (!isKeyPrefix(text))
    throw ConfigError(
        "coordination.prefix is not a path of letters, digits, '-', '_' and '.', within 128 characters");
  return text;
}

void requirePort(const std::string& address) {
  if (parseEndpoint(address).port() == 0) throw ConfigError("replica: no port in address " + address);
}

std::map<std::string, std::string> readPeers(const json& section, const std::string& gatekeeperName) {
  const ConfigError malformed("replica.peers is not an object of names and addresses");
  const auto found = section.find("peers");
  if (found == section.end() || !found->is_object()) throw malformed;
  std::map<std::string, std::string> peers;
  for (const auto& [name, address] : found->items()) {
    if (name == gatekeeperName) throw ConfigError("replica.peers names this gatekeeper itself");
    if (name.empty() || name.size() > kMaxNameBytes || !address.is_string()) throw malformed;
    requirePort(address.get<std::string>());
    peers[name] = address.get<std::string>();
  }
  return peers;
}

}  // namespace

std::optional<CoordinationConfig> readCoordination(const json& file) {
  const auto found = file.find("coordination");
  if (found == file.end() || found->is_null()) return std::nullopt;
  const Section section(*found, "coordination");
  section.requireKnownKeys({"store", "prefix", "ttl_ms", "lock_delay_ms"});
  CoordinationConfig out;
  const auto store = found->find("store");
  if (store == found->end() || !store->is_string())
    throw ConfigError("coordination.store is missing or not a string");
  out.store = parseEndpoint(store->get<std::string>());
  if (out.store.port() == 0) throw ConfigError("coordination.store has no port");
  out.prefix = readPrefix(*found);
  out.ttlMs = section.number("ttl_ms", out.ttlMs, kSessionTtlMs);
  out.lockDelayMs = section.number("lock_delay_ms", out.lockDelayMs, kLockDelayMs);
  return out;
}

std::optional<ReplicationConfig> readReplication(const json& file, const std::string& gatekeeperName) {
  const auto found = file.find("replica");
  if (found == file.end() || found->is_null()) return std::nullopt;
  const Section section(*found, "replica");
  section.requireKnownKeys({"listen", "advertise", "fleet", "peers", "probe_every_ms", "gossip_every_ms",
                            "repair_every_ms", "fanout"});
  ReplicationConfig out;
  const std::string listen = section.text("listen", "");
  if (listen.empty()) throw ConfigError("replica.listen is missing");
  out.listen = parseEndpoint(listen);
  out.advertise = section.text("advertise", listen);
  requirePort(out.advertise);
  out.fleet = section.text("fleet", out.fleet);
  out.peers = readPeers(*found, gatekeeperName);
  out.probeEveryMs = section.number("probe_every_ms", out.probeEveryMs, kProbeEveryMs);
  out.gossipEveryMs = section.number("gossip_every_ms", out.gossipEveryMs, kGossipEveryMs);
  out.repairEveryMs = section.number("repair_every_ms", out.repairEveryMs, kRepairEveryMs);
  out.fanout = static_cast<unsigned>(section.number("fanout", out.fanout, kFanout));
  return out;
}

}  // namespace wingslip
