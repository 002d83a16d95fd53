#include "duty/store_client.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "duty/base64.hpp"
#include "node/http.hpp"

namespace burlwind::duty {
namespace {

using asio::ip::tcp;
using nlohmann::json;

constexpr std::size_t kCall = 8 * 1024;  // what a call holds besides its answer's body
constexpr std::size_t kParsed = 8;       // bytes that a byte of an answer takes while it is read

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

// One call: connect, write, read the whole answer, close.
class StoreClient::Exchange : public std::enable_shared_from_this<Exchange> {
  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t n = 0) {
      if (!over_) handler(error, n);
    };
  }

 public:
  Exchange(StoreClient& client, const Ask& ask)
      : client_(client),
        id_(ask.id),
        call_(ask.call),
        room_(client.pressure_.ledger().open(Account::discovery)),
        socket_(client.io_),
        timer_(client.io_) {
    const HttpCall call = httpCallOf(ask);
    http::request<http::string_body> request(call.put ? http::verb::put : http::verb::get, call.target, 11);
    request.set(http::field::host, "store");
    request.set(http::field::connection, "close");
    request.body() = call.body;
    if (call.put) request.prepare_payload();
    append(out_, request);
    parser_.body_limit(kMostBody);
    parser_.header_limit(kMostHeader);
  }

  void start(Time within) {
    if (!room_.resize(kCall + out_.size())) return later("no memory for a call");
    timer_.expires_after(span(within));
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error) end({}, "no answer in time");
    }));
    socket_.async_connect(client_.store_, guard([this](const Error& error, std::size_t) {
                            if (error) return end({}, "cannot connect");
                            asio::async_write(socket_, asio::buffer(out_),
                                              guard([this](const Error& wrong, std::size_t) {
                                                if (wrong) return end({}, "broken");
                                                read();
                                              }));
                          }));
  }

  // Answered as failed by a handler of its own.
  void later(const char* why) {
    asio::post(client_.io_, [self = shared_from_this(), why] {
      if (!self->over_) self->end({}, why);
    });
  }

  void abandon() {
    over_ = true;
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
    room_.release();
  }

 private:
  void read() {
    http::async_read_some(socket_, in_, parser_, guard([this](const Error& error, std::size_t) {
                            if (error)
                              return end({},
                                         error == http::error::body_limit ? "too long an answer" : "broken");
                            if (parser_.is_done()) return take();
                            if (!room_.resize(kCall + parser_.get().body().size() * kParsed))
                              return end({}, "no memory for an answer");
                            read();
                          }));
  }

  void take() {
    const auto& answer = parser_.get();
    try {
      end(readReply(call_, answer.result_int(), view(answer["X-Consul-Index"]), answer.body()), "");
    } catch (const std::runtime_error& wrong) {
      end({}, wrong.what());
    }
  }

  void end(const Reply& reply, const std::string& error) {
    const auto self = shared_from_this();
    abandon();
    client_.calls_.erase(id_);
    client_.replied_(id_, reply, error);
  }

  StoreClient& client_;
  const std::uint64_t id_;
  const Call call_;
  Ledger::Charge room_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string out_;
  beast::flat_buffer in_;
  http::response_parser<http::string_body> parser_;
  bool over_ = false;
};

StoreClient::StoreClient(asio::io_context& io, const tcp::endpoint& store, BackPressure& pressure,
                         Replied replied)
    : io_(io), store_(store), pressure_(pressure), replied_(std::move(replied)) {}

StoreClient::~StoreClient() {
  for (const auto& [id, call] : calls_) call->abandon();
}

void StoreClient::ask(const Ask& ask) {
  const auto call = std::make_shared<Exchange>(*this, ask);
  const bool full = calls_.size() >= kMostCalls;
  calls_[ask.id] = call;
  if (full)
    call->later("too many calls at once");
  else
    call->start(ask.within);
}

void StoreClient::drop(std::uint64_t ask) {
  const auto found = calls_.find(ask);
  if (found == calls_.end()) return;
  found->second->abandon();
  calls_.erase(found);
}

}  // namespace burlwind::duty
