#include "replication/replica_node.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

#include "net/answer_lines.hpp"
#include "net/durable_file.hpp"
#include "net/guarded_connection.hpp"
#include "net/http.hpp"
#include "net/listener.hpp"
#include "net/socket_io.hpp"

namespace wingslip::replication {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t kMostSessions = 32, kMostCalls = 16;
constexpr std::size_t kSession = 24 * 1024;
constexpr std::size_t kParsed = 8;  // bytes that a byte of a message takes while it is read
constexpr std::chrono::milliseconds kSessionWithin = 2s, kListenAgain = 250ms, kSaveEvery = 5s;
constexpr std::int64_t kSnapshotHolds = 3600 * 1000;  // ms: an older one tells more wrong than right
constexpr const char* kFile = "/burlwind-replica.cbor";
constexpr const char* kTarget = "/replica";

std::chrono::steady_clock::duration span(Time ms) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

// One message of another gatekeeper and its answer.
class ReplicaNode::Session : public GuardedConnection<Session> {
 public:
  Session(ReplicaNode& node, tcp::socket socket)
      : node_(node),
        room_(node.pressure_.ledger().open(Account::discovery)),
        socket_(std::move(socket)),
        timer_(node.io_, kSessionWithin) {
    parser_.body_limit(Message::kMostBytes);
    parser_.header_limit(4096);
  }

  bool start() {
    if (!room_.resize(kSession)) return false;
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error) end();
    }));
    read();
    return true;
  }

  void abandon() {
    markEnded();
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
    room_.release();
  }

 private:
  void read() {
    http::async_read_some(socket_, in_, parser_, guard([this](const Error& error, std::size_t) {
                            if (error == http::error::body_limit)
                              return refuse(http::status::payload_too_large);
                            if (isTransient(error)) return read();
                            if (error) return ++node_.malformed_, end();
                            if (!room_.resize(kSession + parser_.get().body().size() * kParsed))
                              return refuse(http::status::service_unavailable);
                            if (!parser_.is_done()) return read();
                            serve();
                          }));
  }

  void serve() {
    const auto& request = parser_.get();
    if (request.method() != http::verb::post || view(request.target()) != kTarget)
      return refuse(http::status::not_found);
    node_.bytesIn_ += request.body().size();
    try {
      const auto answer = node_.hear(request.body());
      if (!answer) return say(http::status::conflict, "");
      const std::vector<std::uint8_t> bytes = encode(*answer);
      say(http::status::ok, std::string(bytes.begin(), bytes.end()));
    } catch (const std::runtime_error& wrong) {
      node_.told(wrong.what());
      refuse(http::status::bad_request);
    }
  }

  void refuse(http::status status) {
    ++node_.malformed_;
    say(status, "");
  }

  void say(http::status status, std::string body) {
    http::response<http::string_body> reply(status, 11);
    reply.set(http::field::connection, "close");
    reply.body() = std::move(body);
    reply.prepare_payload();
    node_.bytesOut_ += reply.body().size();
    out_.clear();
    append(out_, reply);
    asyncWriteAll(
        socket_, asio::buffer(out_), [self = shared_from_this()] { return !self->ended(); },
        [self = shared_from_this(), this](const Error&) {
          Error ignored;
          socket_.shutdown(tcp::socket::shutdown_send, ignored);
          end();
        });
  }

  void end() {
    const auto self = shared_from_this();
    abandon();
    node_.sessions_.erase(self);
  }

  ReplicaNode& node_;
  MemoryBudget::Charge room_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer in_;
  http::request_parser<http::string_body> parser_;
  std::string out_;
};

ReplicaNode::ReplicaNode(asio::io_context& io, const Replication& where, const std::string& name,
                         const std::string& stateDir, std::uint64_t seed, OverloadManager& pressure,
                         Changed changed)
    : io_(io),
      where_(where),
      file_(stateDir.empty() ? "" : stateDir + kFile),
      pressure_(pressure),
      changed_(std::move(changed)),
      calls_(io, {kMostCalls, Message::kMostBytes, kParsed}, pressure,
             [this](std::uint64_t id, const HttpClient::Response* response, const std::string& error) {
               ended(id, response, error);
             }),
      acceptor_(io),
      timer_(io),
      listen_(io),
      save_(io) {
  std::optional<Snapshot> left;
  if (std::ifstream in{file_, std::ios::binary}; !file_.empty() && in) {
    try {
      left = decodeSnapshot(std::string(std::istreambuf_iterator<char>(in), {}));
    } catch (const std::runtime_error& wrong) {
      told(std::string(wrong.what()) + "; started without one");
    }
  }
  MemberRow self{name, where.advertise, static_cast<std::uint64_t>(unixMs()), 0, Health::alive};
  if (left) self.generation = std::max(self.generation, left->generation + 1);
  Timing timing;
  timing.probeEvery = where.probeEveryMs, timing.gossipEvery = where.gossipEveryMs;
  timing.repairEvery = where.repairEveryMs, timing.fanout = where.fanout;
  core_ = std::make_unique<Replica>(timing, where.fleet, self, where.peers, seed ^ self.generation,
                                    static_cast<Replica::Outside&>(*this));
  if (left && unixMs() - left->atMs <= kSnapshotHolds && left->atMs <= unixMs() + Replica::kMostAhead)
    core_->restore(left->members, left->rows);
}

ReplicaNode::~ReplicaNode() {
  for (const auto& session : sessions_) session->abandon();
  if (saver_.joinable()) saver_.join();
}

Time ReplicaNode::now() const {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::int64_t ReplicaNode::unixMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void ReplicaNode::start() { listen(); }

void ReplicaNode::listen() {
  Error error;
  acceptor_.open(where_.listen.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(where_.listen, error);
  if (!error) acceptor_.listen(128, error);
  if (error) {
    log_.say("cannot listen yet: " + error.message());
    Error ignored;
    acceptor_.close(ignored);
    listen_.expires_after(kListenAgain);
    return listen_.async_wait([this](const Error& stopped) {
      if (!stopped && !draining_) listen();
    });
  }
  reportAbortedConnections(acceptor_);
  accept();
  startedAt_ = now();
  core_->start(startedAt_);
  turn();
  if (!file_.empty()) saveLater();
}

void ReplicaNode::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (error) {
      listen_.expires_after(kListenAgain);
      return listen_.async_wait([this](const Error& stopped) {
        if (!stopped) accept();
      });
    }
    if (sessions_.size() < kMostSessions) {
      const auto session = std::make_shared<Session>(*this, std::move(socket));
      if (session->start())
        sessions_.insert(session);
      else
        ++turnedAway_;
    } else {
      ++turnedAway_;  // closed: the caller tries another time, or another member
    }
    accept();
  });
}

std::optional<Message> ReplicaNode::hear(const std::string& body) {
  const Message message = decode(reinterpret_cast<const std::uint8_t*>(body.data()), body.size());
  auto answer = core_->received(now(), message);
  turn();
  return answer;
}

void ReplicaNode::send(const Replica::Send& one) {
  const std::vector<std::uint8_t> bytes = encode(one.message);
  HttpClient::Request request(http::verb::post, kTarget, 11);
  request.set(http::field::host, one.name);
  request.set(http::field::content_type, "application/cbor");
  request.body().assign(bytes.begin(), bytes.end());
  request.prepare_payload();
  bytesOut_ += bytes.size();
  tcp::endpoint to;
  try {
    to = parseEndpoint(one.address);
  } catch (const std::runtime_error&) {
    to = {asio::ip::address_v4::loopback(), 0};  // fails to connect, and is answered so
  }
  calls_.call(one.id, to, std::move(request), span(one.within));
}

void ReplicaNode::ended(std::uint64_t id, const HttpClient::Response* response, const std::string&) {
  std::optional<Message> answer;
  if (response && response->result() == http::status::ok) {
    const std::string& body = response->body();
    bytesIn_ += body.size();
    try {
      answer = decode(reinterpret_cast<const std::uint8_t*>(body.data()), body.size());
    } catch (const std::runtime_error& wrong) {
      ++malformed_;
      told(wrong.what());
    }
  }
  core_->answered(now(), id, answer);
  turn();
}

void ReplicaNode::turn() {
  core_->tick(now());
  if (core_->caughtUp() && caughtUpAt_ < 0) {
    caughtUpAt_ = now();
    log_.say("caught up after " + std::to_string(static_cast<long>(caughtUpAt_ - startedAt_)) + " ms");
  }
  const Time at = core_->nextAt();
  if (!std::isfinite(at)) return void(timer_.cancel());
  timer_.expires_after(span(std::max(0.0, at - now())) + 1us);
  timer_.async_wait([this](const Error& error) {
    if (!error) turn();
  });
}

void ReplicaNode::drain() {
  if (std::exchange(draining_, true)) return;
  core_->leave(now());
  timer_.cancel();
  listen_.cancel();
  Error ignored;
  acceptor_.close(ignored);
  if (!file_.empty()) save();
}

void ReplicaNode::set(const std::string& table, const std::string& key, const std::string& value) {
  core_->set(now(), table, key, value);
  turn();
}

void ReplicaNode::remove(const std::string& table, const std::string& key) {
  core_->remove(now(), table, key);
  turn();
}

std::uint64_t ReplicaNode::copyHash() const {
  std::uint64_t out = 0;
  const auto ranges = core_->digest();
  for (std::size_t i = 0; i < Replica::kRanges; ++i) out = out * 31 + ranges[i];
  return out;
}

void ReplicaNode::saveLater() {
  save_.expires_after(kSaveEvery);
  save_.async_wait([this](const Error& error) {
    if (error || draining_) return;
    save();
    saveLater();
  });
}

void ReplicaNode::save() {
  const std::uint64_t hash = copyHash() * 31 + core_->digest().back();
  if (saving_->load() || (hash == savedHash_ && !saveFailed_->load())) return;
  savedHash_ = hash;
  Snapshot snapshot{unixMs(), core_->self().generation, {}, core_->rows()};
  for (const auto& [name, m] : core_->members()) snapshot.members.push_back(m.row);
  if (saver_.joinable()) saver_.join();  // it has ended
  saving_->store(true);
  saver_ =
      std::thread([path = file_, bytes = encodeSnapshot(snapshot), saving = saving_, failed = saveFailed_] {
        failed->store(static_cast<bool>(replaceFile(path, bytes, Durability::onDisk)));
        saving->store(false);
      });
}

// --- What operators ask ----------------------------------------------------------------------------------

std::string ReplicaNode::telemetry() const {
  std::string out;
  const auto line = [&](const std::string& name, std::uint64_t value, const char* kind) {
    out += "svc.replica." + name + ":" + std::to_string(value) + "|" + kind + "\n";
  };
  std::array<std::uint64_t, 4> byHealth{};
  for (const auto& [name, m] : core_->members()) ++byHealth[static_cast<std::size_t>(m.row.health)];
  for (const Health health : {Health::alive, Health::suspect, Health::dead, Health::left})
    line(std::string("members_") + nameOf(health), byHealth[static_cast<std::size_t>(health)], "g");
  line("rows", core_->rows().size(), "g");
  line("caught_up", core_->caughtUp(), "g");
  line("caught_up_ms", static_cast<std::uint64_t>(caughtUpAt_ < 0 ? 0 : caughtUpAt_ - startedAt_), "g");
  line("since_repair_ms",
       static_cast<std::uint64_t>(core_->lastRepair() < 0 ? 0 : std::max(0.0, now() - core_->lastRepair())),
       "g");
  const Replica::Counts& c = core_->counts();
  line("sent", c.sent, "c");
  line("received", c.received, "c");
  line("failed", c.failed, "c");
  line("bytes_in", bytesIn_, "c");
  line("bytes_out", bytesOut_, "c");
  line("merged", c.merged, "c");
  line("repaired", c.repaired, "c");
  line("suspicions", c.suspicions, "c");
  line("refuted", c.refuted, "c");
  line("deaths", c.deaths, "c");
  line("refused_old", c.refusedOld, "c");
  line("refused_other", c.refusedOther, "c");
  line("refused_rows", c.refusedRows, "c");
  line("malformed", malformed_, "c");
  line("turned_away", turnedAway_, "c");
  return out;
}

std::string ReplicaNode::members() const {
  OperatorResponse out("200 alive=" + std::to_string(core_->alive()) + " self=" + core_->self().name +
                       " generation=" + std::to_string(core_->self().generation) +
                       " incarnation=" + std::to_string(core_->self().incarnation));
  for (const Health health : {Health::suspect, Health::dead, Health::left, Health::alive})
    for (const auto& [name, m] : core_->members())
      if (m.row.health == health)
        out.add(name + " " + nameOf(health) + " address=" + m.row.address +
                " generation=" + std::to_string(m.row.generation) +
                " since_s=" + std::to_string(static_cast<long>((now() - m.since) / 1000)));
  return out.end();
}

std::string ReplicaNode::state() const {
  char hash[20];
  std::snprintf(hash, sizeof hash, "%016llx", static_cast<unsigned long long>(copyHash()));
  return std::string("200 copy=") + hash + " rows=" + std::to_string(core_->rows().size()) +
         " caught_up=" + (core_->caughtUp() ? "1" : "0") + " alive=" + std::to_string(core_->alive()) +
         "\nEOF\n";
}

}  // namespace wingslip::replication
