/// HTTP server of the stand-in coordination store.
#include "store.hpp"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

#include "leader_election/base64.hpp"
#include "loopback_listener.hpp"

namespace wingslip::lab {
namespace beast = boost::beast;
namespace http = beast::http;
using Error = boost::system::error_code;
using nlohmann::json;

namespace {

constexpr auto kExpiryPeriod = std::chrono::milliseconds(20);  // between checks for expired sessions
constexpr std::size_t kMaxCountedSeconds = 3600;               // later calls count only in the total

// Decodes percent-encoding.
std::string unescaped(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

// Parses a duration in Go's format, limited to the forms in use: "1500ms", "10s", "5m".
double milliseconds(const std::string& text) {
  std::size_t end = 0;
  const double n = std::stod(text, &end);
  const std::string unit = text.substr(end);
  return n * (unit == "ms" ? 1 : unit == "s" ? 1000 : 60000);
}

}  // namespace

struct Store::Target {
  std::string path;
  std::map<std::string, std::string> query;

  std::optional<std::string> parameter(const std::string& name) const {
    const auto found = query.find(name);
    return found == query.end() ? std::optional<std::string>() : found->second;
  }
};

Store::Target Store::parseTarget(const std::string& text) {
  Target out;
  const auto question = text.find('?');
  out.path = text.substr(0, question);
  if (question == std::string::npos) return out;
  std::string rest = text.substr(question + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const std::string parameter = rest.substr(0, end);
    const auto equals = parameter.find('=');
    out.query[parameter.substr(0, equals)] =
        equals == std::string::npos ? "" : unescaped(parameter.substr(equals + 1));
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
  }
  return out;
}

struct Store::Client {
  explicit Client(tcp::socket s) : socket(std::move(s)) {}
  tcp::socket socket;
  beast::flat_buffer in;
  http::request<http::string_body> request;
  http::response<http::string_body> reply;
};

Store::Store(asio::io_context& io, std::function<double()> nowMs)
    : io_(io),
      nowMs_(std::move(nowMs)),
      acceptor_(std::make_unique<tcp::acceptor>(listenAt(io))),
      expiryTimer_(io) {
  port_ = acceptor_->local_endpoint().port();
  registerCallbacks();
  accept();
  expireSessions();
}

void Store::registerCallbacks() {
  state_.onChange = [this](const std::string& key) { changed(key); };
  state_.onSet = [this](const std::string& key, const std::string& value) {
    std::vector<std::string> members;
    const auto duties = key.find("/duties/");
    for (const auto& [name, v] : state_.read(key.substr(0, duties) + "/members/", true))
      members.push_back(name);
    if (onSet) onSet(key, value, members);
  };
}

void Store::expireSessions() {
  state_.expire(nowMs_());
  expiryTimer_.expires_after(kExpiryPeriod);
  expiryTimer_.async_wait([this](const Error& error) {
    if (!error) expireSessions();
  });
}

void Store::accept() {
  acceptor_->async_accept([this](const Error& error, tcp::socket socket) {
    if (error) return;
    auto client = std::make_shared<Client>(std::move(socket));
    clients_.insert(client);
    http::async_read(client->socket, client->in, client->request,
                     [this, client](const Error& e, std::size_t) {
                       if (e) return void(clients_.erase(client));
                       serve(client);
                     });
    accept();
  });
}

void Store::countCall() {
  ++calls_;
  const auto second = static_cast<std::size_t>(std::max(0.0, nowMs_() / 1000));
  if (second >= kMaxCountedSeconds) return;
  if (bySecond_.size() <= second) bySecond_.resize(second + 1);
  ++bySecond_[second];
}

void Store::serve(const std::shared_ptr<Client>& client) {
  countCall();
  if (mode_ == Mode::silent) return;  // the connection stays open without an answer
  if (mode_ == Mode::errors) return answer(client, 500, "rpc error: no leader");
  const Target target = parseTarget(std::string(client->request.target()));
  const auto after = [&](const std::string& prefix) -> std::optional<std::string> {
    if (target.path.rfind(prefix, 0) != 0) return std::nullopt;
    return unescaped(target.path.substr(prefix.size()));
  };
  if (target.path == "/v1/session/create") return createSession(client);
  if (const auto id = after("/v1/session/renew/")) return renewSession(client, *id);
  if (const auto id = after("/v1/session/destroy/")) {
    state_.destroy(nowMs_(), *id);
    return answer(client, 200, "true");
  }
  const auto key = after("/v1/kv/");
  if (!key) return answer(client, 404, "");
  if (client->request.method() == http::verb::put) return put(client, target, *key);
  read(client, target, *key);
}

void Store::createSession(const std::shared_ptr<Client>& client) {
  const json request = json::parse(client->request.body(), nullptr, false);
  if (!request.is_object()) return answer(client, 400, "Request decode failed");
  const std::string id =
      state_.createSession(nowMs_(), request.value("Name", ""), milliseconds(request.value("TTL", "10s")),
                           milliseconds(request.value("LockDelay", "15s")));
  answer(client, 200, json{{"ID", id}}.dump());
}

void Store::renewSession(const std::shared_ptr<Client>& client, const std::string& id) {
  if (!state_.renew(nowMs_(), id)) return answer(client, 404, "Session id not found");
  answer(client, 200, json::array({{{"ID", id}}}).dump());
}

void Store::put(const std::shared_ptr<Client>& client, const Target& target, const std::string& key) {
  const std::string& body = client->request.body();
  const auto answerDone = [&](std::optional<bool> done) {
    if (!done) return answer(client, 500, "rpc error: invalid session");
    answer(client, 200, *done ? "true" : "false");
  };
  if (const auto session = target.parameter("acquire"))
    return answerDone(state_.acquire(nowMs_(), key, *session, body));
  if (const auto session = target.parameter("release"))
    return answerDone(state_.release(nowMs_(), key, *session));
  if (const auto index = target.parameter("cas"))
    return answerDone(state_.compareAndSet(nowMs_(), key, std::strtoull(index->c_str(), nullptr, 10), body));
  answer(client, 400, "");
}

void Store::read(const std::shared_ptr<Client>& client, const Target& target, const std::string& key) {
  const bool recurse = target.parameter("recurse").has_value();
  const std::uint64_t index = std::strtoull(target.parameter("index").value_or("0").c_str(), nullptr, 10);
  if (index == 0 || state_.changedAt(key, recurse) != index) return answerRead(client, key, recurse);
  const double waitMs = milliseconds(target.parameter("wait").value_or("5m"));
  auto timer =
      std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(static_cast<long>(waitMs)));
  waiting_.push_back({client, key, recurse, index, timer});
  timer->async_wait([this, client](const Error& error) {
    if (!error) endWait(client);
  });
}

void Store::endWait(const std::shared_ptr<Client>& client) {
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(), [&](const Waiting& w) { return w.client == client; });
  if (found == waiting_.end()) return;
  const Waiting waiting = *found;
  waiting_.erase(found);
  answerRead(client, waiting.key, waiting.recurse);
}

void Store::changed(const std::string& key) {
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    const bool watchesKey = at->recurse ? key.rfind(at->key, 0) == 0 : key == at->key;
    if (!watchesKey) {
      ++at;
      continue;
    }
    const Waiting w = *at;
    at = waiting_.erase(at);
    w.timer->cancel();
    // Posted, so that the answer is built after the change is complete.
    asio::post(io_, [this, w] { answerRead(w.client, w.key, w.recurse); });
  }
}

void Store::answerRead(const std::shared_ptr<Client>& client, const std::string& key, bool recurse) {
  json out = json::array();
  for (const auto& [name, v] : state_.read(key, recurse)) {
    json entry{{"Key", name},
               {"Value", wingslip::leader_election::toBase64(v.value)},
               {"Flags", 0},
               {"LockIndex", v.lockIndex},
               {"CreateIndex", v.createIndex},
               {"ModifyIndex", v.modifyIndex}};
    if (!v.session.empty()) entry["Session"] = v.session;
    out.push_back(entry);
  }
  answer(client, out.empty() ? 404 : 200, out.empty() ? "" : out.dump(), state_.changedAt(key, recurse));
}

void Store::answer(const std::shared_ptr<Client>& client, unsigned status, const std::string& body,
                   std::uint64_t index) {
  if (mode_ == Mode::silent) return;
  Error ignored;
  if (mode_ == Mode::losesAnswers) {
    client->socket.close(ignored);
    clients_.erase(client);
    return;
  }
  client->reply.result(status);
  client->reply.version(11);
  client->reply.set(http::field::connection, "close");
  if (index > 0) client->reply.set("X-Consul-Index", std::to_string(index));
  client->reply.body() = body;
  client->reply.prepare_payload();
  http::async_write(client->socket, client->reply, [this, client](const Error&, std::size_t) {
    Error wrong;
    client->socket.shutdown(tcp::socket::shutdown_send, wrong);
    clients_.erase(client);
  });
}

void Store::stop() {
  Error ignored;
  acceptor_->close(ignored);
  for (const Waiting& w : waiting_) w.timer->cancel();
  waiting_.clear();
  for (const auto& client : clients_) {
    client->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    client->socket.close(ignored);
  }
  clients_.clear();
}

void Store::resume() {
  if (acceptor_->is_open()) return;
  acceptor_ = std::make_unique<tcp::acceptor>(listenAt(io_, port_));
  accept();
}

void Store::wipe() {
  stop();
  state_ = StoreState();
  registerCallbacks();
  resume();
}

void Store::save() { saved_ = state_; }

void Store::restore() {
  stop();
  state_ = saved_;
  registerCallbacks();
  resume();
}

void Store::invalidate(const std::string& name) {
  for (const std::string& id : state_.sessionsOf(name)) state_.destroy(nowMs_(), id);
}

}  // namespace wingslip::lab
