#include "leader_election/registration.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace wingslip::leader_election {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 128;

// Replaces invalid UTF-8, for which `dump` would throw: a name must not prevent the text from being written.
std::string textOf(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

}  // namespace

std::string registrationText(const Registration& registration) {
  return textOf(json{{"name", registration.name},
                     {"instance", registration.instance},
                     {"build", registration.build},
                     {"started", registration.startedUnixS},
                     {"draining", registration.draining},
                     {"seen", registration.highestSeenTokens}});
}

Registration parseRegistration(const std::string& text) {
  try {
    const json fields = json::parse(text);
    Registration out;
    out.name = fields.at("name").get<std::string>();
    out.instance = fields.at("instance").get<std::string>();
    out.build = fields.value("build", "");
    out.startedUnixS = fields.value("started", std::int64_t{0});
    out.draining = fields.at("draining").get<bool>();
    out.highestSeenTokens = fields.value("seen", std::map<std::string, FencingToken>{});
    if (out.name.empty() || out.name.size() > kMaxNameBytes || out.instance.size() > kMaxNameBytes ||
        out.build.size() > kMaxNameBytes)
      throw std::runtime_error(
          "invalid registration: the name is empty, or the name, instance or build is too long");
    return out;
  } catch (const json::exception& error) {
    throw std::runtime_error(std::string("invalid registration: ") + error.what());
  }
}

std::string leaderRecordText(FencingToken token, const std::string& leaderInstance, const std::string& data) {
  return textOf(json{{"token", token}, {"holder", leaderInstance}, {"data", data}});
}

LeaderRecord parseLeaderRecord(const StoreEntry& entry) {
  LeaderRecord out;
  out.exists = true;
  out.modifyIndex = entry.modifyIndex;
  try {
    const json fields = json::parse(entry.value);
    out.token = fields.at("token").get<FencingToken>();
    out.leaderInstance = fields.at("holder").get<std::string>();
    out.data = fields.at("data").get<std::string>();
    out.readable = true;
  } catch (const json::exception&) {
    out.token = 0;
  }
  return out;
}

std::string registrationsKey(const ProcessIdentity& self) { return self.keyPrefix + "/members/"; }

std::string registrationKey(const ProcessIdentity& self) {
  return registrationsKey(self) + self.name + "/" + self.instance;
}

std::string taskKey(const ProcessIdentity& self, const std::string& task, const char* part) {
  return self.keyPrefix + "/duties/" + task + "/" + part;
}

}  // namespace wingslip::leader_election
