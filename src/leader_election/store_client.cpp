#include "leader_election/store_client.hpp"

#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "leader_election/base64.hpp"
#include "net/http.hpp"

namespace wingslip::leader_election {
namespace {

using asio::ip::tcp;
using nlohmann::json;

std::string escaped(const std::string& key) {
  std::string out;
  for (const char c : key) {
    const auto u = static_cast<unsigned char>(c);
    if (std::isalnum(u) || std::string_view("-._~/").find(c) != std::string_view::npos) {
      out += c;
    } else {
      char hex[4];
      std::snprintf(hex, sizeof hex, "%%%02X", u);
      out += hex;
    }
  }
  return out;
}

std::string milliseconds(Time ms) { return std::to_string(std::lround(ms)) + "ms"; }

std::chrono::steady_clock::duration span(Time ms) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

Entry readEntry(const json& j) {
  Entry out;
  out.key = j.at("Key").get<std::string>();
  out.index = j.at("ModifyIndex").get<std::uint64_t>();
  if (j.contains("Session") && !j["Session"].is_null()) out.session = j["Session"].get<std::string>();
  const json& value = j.at("Value");
  if (value.is_null()) return out;
  auto bytes = fromBase64(value.get<std::string>());
  if (!bytes) throw std::runtime_error("store: a value that is not Base64");
  out.value = std::move(*bytes);
  return out;
}

}  // namespace

HttpCall httpCallOf(const Ask& ask) {
  const std::string kv = "/v1/kv/" + escaped(ask.key);
  switch (ask.call) {
    case Call::createSession:
      return {true, "/v1/session/create",
              json{{"Name", ask.value},
                   {"TTL", milliseconds(ask.ttl)},
                   {"LockDelay", milliseconds(ask.lockDelay)},
                   {"Behavior", "delete"}}
                  .dump(-1, ' ', false, json::error_handler_t::replace)};
    case Call::renewSession:
      return {true, "/v1/session/renew/" + escaped(ask.session), ""};
    case Call::destroySession:
      return {true, "/v1/session/destroy/" + escaped(ask.session), ""};
    case Call::acquire:
      return {true, kv + "?acquire=" + escaped(ask.session), ask.value};
    case Call::release:
      return {true, kv + "?release=" + escaped(ask.session), ask.value};
    case Call::compareAndSet:
      return {true, kv + "?cas=" + std::to_string(ask.index), ask.value};
    case Call::read:
      break;
  }
  // Consistent: what was answered before by any server of the store is seen.
  std::string target = kv + "?consistent";
  if (ask.recurse) target += "&recurse";
  if (ask.index > 0) target += "&index=" + std::to_string(ask.index) + "&wait=" + milliseconds(ask.blockFor);
  return {false, target, ""};
}

Reply readReply(Call call, unsigned status, std::string_view index, const std::string& body) {
  const auto odd = [&] { return std::runtime_error("store: status " + std::to_string(status)); };
  Reply out;
  out.ok = true;
  if (call == Call::renewSession && status == 404) return out;
  if (call == Call::read && status != 200 && status != 404) throw odd();
  if (call != Call::read && status != 200) throw odd();
  try {
    switch (call) {
      case Call::createSession:
        out.session = json::parse(body).at("ID").get<std::string>();
        if (out.session.empty() || out.session.size() > 128)
          throw std::runtime_error("store: a session's id that is empty or too long");
        break;
      case Call::renewSession:
        out.yes = json::parse(body).is_array();
        if (!out.yes) throw std::runtime_error("store: a renewal that is no list");
        break;
      case Call::destroySession:
      case Call::acquire:
      case Call::release:
      case Call::compareAndSet:
        out.yes = json::parse(body).get<bool>();
        break;
      case Call::read: {
        const auto [end, error] = std::from_chars(index.data(), index.data() + index.size(), out.index);
        if (error != std::errc() || end != index.data() + index.size() || out.index == 0)
          throw std::runtime_error("store: no X-Consul-Index");
        if (status == 200)
          for (const json& entry : json::parse(body)) out.entries.push_back(readEntry(entry));
        break;
      }
    }
  } catch (const json::exception& error) {
    throw std::runtime_error(std::string("store: ") + error.what());
  }
  return out;
}

StoreClient::StoreClient(asio::io_context& io, const tcp::endpoint& store, OverloadManager& pressure,
                         Replied replied)
    : store_(store),
      replied_(std::move(replied)),
      calls_(io, {kMostCalls, kMostBody}, pressure,
             [this](std::uint64_t id, const HttpClient::Response* response, const std::string& error) {
               ended(id, response, error);
             }) {}

void StoreClient::ask(const Ask& ask) {
  const HttpCall call = httpCallOf(ask);
  HttpClient::Request request(call.put ? http::verb::put : http::verb::get, call.target, 11);
  request.set(http::field::host, "store");
  request.body() = call.body;
  if (call.put) request.prepare_payload();
  kinds_[ask.id] = ask.call;
  calls_.call(ask.id, store_, std::move(request), span(ask.within));
}

void StoreClient::drop(std::uint64_t ask) {
  kinds_.erase(ask);
  calls_.drop(ask);
}

void StoreClient::ended(std::uint64_t id, const HttpClient::Response* response, const std::string& error) {
  const Call kind = kinds_.at(id);
  kinds_.erase(id);
  if (!response) return replied_(id, {}, error);
  Reply reply;
  std::string wrong;
  try {
    reply = readReply(kind, response->result_int(), view((*response)["X-Consul-Index"]), response->body());
  } catch (const std::runtime_error& caught) {
    wrong = caught.what();
  }
  replied_(id, reply, wrong);
}

}  // namespace wingslip::leader_election
