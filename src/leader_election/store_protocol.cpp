#include "leader_election/store_protocol.hpp"

#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "leader_election/base64.hpp"

namespace wingslip::leader_election {
namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr std::size_t kMaxSessionIdBytes = 128;

std::string percentEncoded(const std::string& key) {
  std::string out;
  for (const char c : key) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) || std::string_view("-._~/").find(c) != std::string_view::npos) {
      out += c;
    } else {
      char hex[4];
      std::snprintf(hex, sizeof hex, "%%%02X", byte);
      out += hex;
    }
  }
  return out;
}

std::string durationText(Time ms) { return std::to_string(std::lround(ms)) + "ms"; }

std::string sessionBody(const StoreCall& call) {
  return json{{"Name", call.value},
              {"TTL", durationText(call.ttlMs)},
              {"LockDelay", durationText(call.lockDelayMs)},
              {"Behavior", "delete"}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string readTarget(const StoreCall& call, const std::string& keyTarget) {
  // Consistent mode: the read reflects every write that any server of the store has confirmed before.
  std::string target = keyTarget + "?consistent";
  if (call.recurse) target += "&recurse";
  if (call.index > 0)
    target += "&index=" + std::to_string(call.index) + "&wait=" + durationText(call.blockingReadMs);
  return target;
}

StoreEntry parseEntry(const json& fields) {
  StoreEntry out;
  out.key = fields.at("Key").get<std::string>();
  out.modifyIndex = fields.at("ModifyIndex").get<std::uint64_t>();
  if (fields.contains("Session") && !fields["Session"].is_null())
    out.session = fields["Session"].get<std::string>();
  const json& value = fields.at("Value");
  if (value.is_null()) return out;
  auto bytes = fromBase64(value.get<std::string>());
  if (!bytes) throw std::runtime_error("invalid response of the store: a value is not Base64");
  out.value = std::move(*bytes);
  return out;
}

std::uint64_t parseIndex(std::string_view text) {
  std::uint64_t out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (error != std::errc() || end != text.data() + text.size() || out == 0)
    throw std::runtime_error(
        "invalid response of the store: header X-Consul-Index is missing or not a positive number");
  return out;
}

std::string parseSessionId(const std::string& body) {
  std::string out = json::parse(body).at("ID").get<std::string>();
  if (out.empty() || out.size() > kMaxSessionIdBytes)
    throw std::runtime_error("invalid response of the store: the session id is empty or too long");
  return out;
}

bool isExpectedStatus(StoreOperation operation, unsigned status) {
  if (status == kOk) return true;
  // Status 404 reports a session that has ended or a key that does not exist.
  const bool mayBeMissing = operation == StoreOperation::renewSession || operation == StoreOperation::read;
  return status == kNotFound && mayBeMissing;
}

}  // namespace

HttpCall httpCallOf(const StoreCall& call) {
  const std::string keyTarget = "/v1/kv/" + percentEncoded(call.key);
  const std::string session = percentEncoded(call.session);
  switch (call.operation) {
    case StoreOperation::createSession:
      return {true, "/v1/session/create", sessionBody(call)};
    case StoreOperation::renewSession:
      return {true, "/v1/session/renew/" + session, ""};
    case StoreOperation::destroySession:
      return {true, "/v1/session/destroy/" + session, ""};
    case StoreOperation::acquire:
      return {true, keyTarget + "?acquire=" + session, call.value};
    case StoreOperation::release:
      return {true, keyTarget + "?release=" + session, call.value};
    case StoreOperation::compareAndSet:
      return {true, keyTarget + "?cas=" + std::to_string(call.index), call.value};
    case StoreOperation::read:
      break;
  }
  return {false, readTarget(call, keyTarget), ""};
}

StoreReply parseReply(StoreOperation operation, unsigned status, std::string_view index,
                      const std::string& body) {
  if (!isExpectedStatus(operation, status))
    throw std::runtime_error("unexpected response of the store: HTTP status " + std::to_string(status));
  StoreReply out;
  out.answered = true;
  if (operation == StoreOperation::renewSession && status == kNotFound) return out;
  try {
    switch (operation) {
      case StoreOperation::createSession:
        out.session = parseSessionId(body);
        break;
      case StoreOperation::renewSession:
        out.succeeded = json::parse(body).is_array();
        if (!out.succeeded)
          throw std::runtime_error("invalid response of the store: the renewal is not a JSON array");
        break;
      case StoreOperation::destroySession:
      case StoreOperation::acquire:
      case StoreOperation::release:
      case StoreOperation::compareAndSet:
        out.succeeded = json::parse(body).get<bool>();
        break;
      case StoreOperation::read:
        out.index = parseIndex(index);
        if (status == kOk)
          for (const json& entry : json::parse(body)) out.entries.push_back(parseEntry(entry));
        break;
    }
  } catch (const json::exception& error) {
    throw std::runtime_error(std::string("invalid response of the store: ") + error.what());
  }
  return out;
}

}  // namespace wingslip::leader_election
