/// Serves the endpoint list and its watches, and reports drains to the verifier.
#include "discovery_agent.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <nlohmann/json.hpp>

namespace wingslip::lab {
namespace beast = boost::beast;
namespace http = beast::http;
using Error = boost::system::error_code;

namespace {

constexpr auto kHeartbeatPeriod = std::chrono::seconds(2);  // PROTOCOL: an empty line on each watch
constexpr double kSilentWatchMs = 6000;  // STANDING: time limit for a gatekeeper to detect a silent watch
constexpr double kNever = 1e9;           // ms, later than the end of any run

}  // namespace

struct Agent::Watch {
  explicit Watch(tcp::socket s) : socket(std::move(s)) {}
  tcp::socket socket;
  std::deque<std::string> out;
  bool writing = false;
};

Agent::Agent(asio::io_context& io, int gatekeeper, std::vector<Entry> list, RunVerifier& verifier,
             std::function<double()> nowMs)
    : io_(io),
      gatekeeper_(gatekeeper),
      list_(std::move(list)),
      verifier_(verifier),
      nowMs_(std::move(nowMs)),
      acceptor_(listenAt(io)),
      port_(acceptor_.local_endpoint().port()),
      heartbeat_(io) {
  accept();
  struct Heartbeat {
    Agent* agent;
    void operator()(const Error& error) const {
      if (error) return;
      if (!agent->down_) {
        for (const auto& watch : agent->watches_) watch->out.emplace_back("1\r\n\n\r\n");
        agent->send({});
      }
      agent->heartbeat_.expires_after(kHeartbeatPeriod);
      agent->heartbeat_.async_wait(*this);
    }
  };
  heartbeat_.expires_after(kHeartbeatPeriod);
  heartbeat_.async_wait(Heartbeat{this});
}

std::string Agent::listJson(bool resetAll, const std::vector<std::size_t>& only) const {
  nlohmann::json instances = nlohmann::json::array();
  auto add = [&](const Entry& e) {
    instances.push_back({{"instanceId", e.id},
                         {"hostPort", e.hostPort},
                         {"zone", e.zone},
                         {"machineType", "m"},
                         {"cell", 0},
                         {"lifecycle", e.lifecycle},
                         {"weight", 1.0},
                         {"startedAtMs", e.startedAtMs}});
  };
  if (resetAll)
    for (const Entry& e : list_) add(e);
  else
    for (const std::size_t i : only) add(list_[i]);
  return nlohmann::json{{"generation", generation_}, {"reset", resetAll}, {"instances", instances}}.dump();
}

void Agent::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error) return;
    accept();
    if (down_) {  // the connection stays open without an answer until the gatekeeper sends or closes
      auto unanswered = std::make_shared<tcp::socket>(std::move(socket));
      auto chunk = std::make_shared<std::array<char, 512>>();
      unanswered->async_read_some(asio::buffer(*chunk), [unanswered, chunk](const Error&, std::size_t) {});
      return;
    }
    auto watch = std::make_shared<Watch>(std::move(socket));
    if (rejecting_) {
      auto busy = std::make_shared<std::string>(
          "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
      asio::async_write(watch->socket, asio::buffer(*busy), [watch, busy](const Error&, std::size_t) {});
      return;
    }
    auto buffer = std::make_shared<beast::flat_buffer>();
    auto request = std::make_shared<http::request<http::empty_body>>();
    http::async_read(
        watch->socket, *buffer, *request, [this, watch, buffer, request](const Error& e, std::size_t) {
          if (e) return;
          const std::string target(request->target());
          if (target.rfind("/registry/instances", 0) != 0) {
            watch->out.emplace_back("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
          } else if (target.find("watch=1") != std::string::npos) {
            std::string line = listJson(true, {}) + "\n";
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", line.size());
            watch->out.push_back(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
                std::string(size) + line + "\r\n");
            silentSince_.reset();
            rejectingUntil_ = -kNever;
            for (std::size_t w = 0; w < list_.size(); ++w) recordDelivery(w);
          } else {
            const std::string body = listJson(true, {});
            watch->out.push_back("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" + body);
          }
          watches_.insert(watch);
          send({});
        });
  });
}

void Agent::change(std::size_t worker, const std::string& lifecycle, double startedAtMs) {
  list_[worker].lifecycle = lifecycle;
  if (startedAtMs > 0) list_[worker].startedAtMs = startedAtMs;
  ++generation_;
  unsent_.push_back(worker);
  if (!down_) send(unsent_);
}

void Agent::setDown(bool down) {
  down_ = down;
  // A silenced watch stays silent; the gatekeeper has to open a new one.
  if (down_) silencedWatches_.insert(watches_.begin(), watches_.end()), watches_.clear();
  if (!down_ && std::exchange(startedWhileDown_, false))
    for (std::size_t w = 0; w < list_.size(); ++w) recordDelivery(w);
  if (!down_ && !unsent_.empty()) send(unsent_);
}

void Agent::setRejecting(bool rejecting) {
  rejecting_ = rejecting;
  rejectingUntil_ = rejecting ? kNever : nowMs_();
}

void Agent::endWatches() {
  for (const auto& watch : std::set(watches_)) {
    Error ignored;
    watch->socket.shutdown(tcp::socket::shutdown_both, ignored);
  }
  watches_.clear();
}

void Agent::silenceWatches() {
  silencedWatches_.insert(watches_.begin(), watches_.end());
  watches_.clear();
  silentSince_ = nowMs_();
}

void Agent::onGatekeeperStart() {
  if (!down_) return;
  startedWhileDown_ = true;
  for (std::size_t w = 0; w < list_.size(); ++w)
    verifier_.drainReportDiscarded(gatekeeper_, static_cast<int>(w));
}

void Agent::setReachable(bool reachable) {
  reachable_ = reachable;
  if (!reachable_ || down_) return;
  for (std::size_t w = 0; w < list_.size(); ++w) recordDelivery(w);
}

void Agent::recordDelivery(std::size_t worker) {
  if (list_[worker].lifecycle == "Ready")
    verifier_.drainReportDiscarded(gatekeeper_, static_cast<int>(worker));
  else if (reachable_)
    verifier_.drainReported(gatekeeper_, static_cast<int>(worker),
                            std::max({nowMs_(), silentSince_ ? *silentSince_ + kSilentWatchMs : 0.0,
                                      rejectingUntil_ + kSilentWatchMs}));
}

void Agent::send(const std::vector<std::size_t>& changed) {
  if (!changed.empty()) {
    std::string line = listJson(false, changed) + "\n";
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    for (const auto& watch : watches_) watch->out.push_back(std::string(size) + line + "\r\n");
    for (const std::size_t w : changed) recordDelivery(w);
    unsent_.clear();
  }
  for (const auto& watch : std::set(watches_)) {
    if (watch->writing || watch->out.empty()) continue;
    watch->writing = true;
    bytesSent_ += static_cast<long>(watch->out.front().size());
    auto text = std::make_shared<std::string>(std::move(watch->out.front()));
    watch->out.pop_front();
    asio::async_write(watch->socket, asio::buffer(*text),
                      [this, watch, text](const Error& error, std::size_t) {
                        watch->writing = false;
                        if (error) return void(watches_.erase(watch));
                        send({});
                      });
  }
}

}  // namespace wingslip::lab
