#include "replication/replica_node.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "codec/socket_address.hpp"
#include "net/http.hpp"
#include "net/listener.hpp"
#include "replication/replica_report.hpp"

namespace wingslip::replication {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t kMaxInboundConnections = 32;
constexpr std::size_t kMaxConcurrentRequests = 16;  // outbound
constexpr int kListenBacklog = 128;
constexpr std::chrono::milliseconds kListenRetryPeriod = 250ms;
constexpr std::chrono::milliseconds kSnapshotPeriod = 5s;
constexpr std::int64_t kMaxSnapshotAgeMs = 3600 * 1000;  // most of an older copy is outdated

std::chrono::steady_clock::duration toDuration(Time ms) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

Message decodeBody(const std::string& body) {
  return decode(reinterpret_cast<const std::uint8_t*>(body.data()), body.size());
}

Timing timingOf(const ReplicationConfig& config) {
  Timing out;
  out.probePeriodMs = config.probeEveryMs;
  out.gossipPeriodMs = config.gossipEveryMs;
  out.antiEntropyPeriodMs = config.repairEveryMs;
  out.fanout = config.fanout;
  return out;
}

}  // namespace

ReplicaNode::ReplicaNode(asio::io_context& io, const ReplicationConfig& config, const std::string& name,
                         const std::string& stateDir, std::uint64_t seed, OverloadManager& overload,
                         RowCallback onRowChanged)
    : io_(io),
      config_(config),
      overload_(overload),
      rowCallback_(std::move(onRowChanged)),
      snapshotFile_(stateDir),
      client_(io, {kMaxConcurrentRequests, Message::kMaxBytes, kMemoryPerMessageByte}, overload,
              [this](std::uint64_t id, const HttpClient::Response* response, const std::string&) {
                onResponse(id, response);
              }),
      acceptor_(io),
      tickTimer_(io),
      listenTimer_(io),
      snapshotTimer_(io) {
  const std::optional<Snapshot> snapshot = readSnapshot();
  MemberRecord self{name, config.advertise, static_cast<std::uint64_t>(unixMs()), 0, MemberState::alive};
  // The generation must exceed that of the previous process even if the physical clock stepped back.
  if (snapshot) self.generation = std::max(self.generation, snapshot->generation + 1);
  replica_ = std::make_unique<Replica>(timingOf(config), config.fleet, self, config.peers,
                                       seed ^ self.generation, static_cast<Environment&>(*this));
  if (snapshot && isUsable(*snapshot)) replica_->restore(snapshot->members, snapshot->rows);
}

ReplicaNode::~ReplicaNode() {
  for (const auto& connection : connections_) connection->close();
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

// --- Inbound ---------------------------------------------------------------------------------------------

void ReplicaNode::start() { listen(); }

void ReplicaNode::listen() {
  if (const Error error = openAcceptor()) {
    log_.warn("cannot listen; retrying: " + error.message());
    Error ignored;
    acceptor_.close(ignored);
    listenTimer_.expires_after(kListenRetryPeriod);
    return listenTimer_.async_wait([this](const Error& timerError) {
      if (!timerError && !draining_) listen();
    });
  }
  reportAbortedConnections(acceptor_);
  accept();
  startedAt_ = now();
  replica_->start(startedAt_);
  tick();
  if (snapshotFile_.isEnabled()) scheduleSnapshotWrite();
}

Error ReplicaNode::openAcceptor() {
  Error error;
  acceptor_.open(config_.listen.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(config_.listen, error);
  if (!error) acceptor_.listen(kListenBacklog, error);
  return error;
}

void ReplicaNode::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (error) {
      listenTimer_.expires_after(kListenRetryPeriod);
      return listenTimer_.async_wait([this](const Error& timerError) {
        if (!timerError) accept();
      });
    }
    serve(std::move(socket));
    accept();
  });
}

// A rejected connection is closed; the other member retries later or contacts a different member.
void ReplicaNode::serve(tcp::socket socket) {
  if (connections_.size() >= kMaxInboundConnections) {
    ++transportCounts_.connectionsRejected;
    return;
  }
  const auto connection = std::make_shared<ReplicaConnection>(
      static_cast<ReplicaConnection::Owner&>(*this), std::move(socket), overload_.memory(), transportCounts_);
  if (connection->start())
    connections_.insert(connection);
  else
    ++transportCounts_.connectionsRejected;
}

void ReplicaNode::onConnectionEnded(const std::shared_ptr<ReplicaConnection>& connection) {
  connections_.erase(connection);
}

std::optional<std::string> ReplicaNode::onRequestBody(const std::string& body) {
  const std::optional<Message> response = replica_->onRequest(now(), decodeBody(body));
  tick();
  if (!response) return std::nullopt;
  const std::vector<std::uint8_t> bytes = encode(*response);
  return std::string(bytes.begin(), bytes.end());
}

// --- Outbound --------------------------------------------------------------------------------------------

void ReplicaNode::send(const OutgoingRequest& request) {
  const std::vector<std::uint8_t> bytes = encode(request.message);
  HttpClient::Request httpRequest(http::verb::post, kRequestPath, 11);
  httpRequest.set(http::field::host, request.recipient);
  httpRequest.set(http::field::content_type, "application/cbor");
  httpRequest.body().assign(bytes.begin(), bytes.end());
  httpRequest.prepare_payload();
  transportCounts_.bytesOut += bytes.size();
  tcp::endpoint endpoint;
  try {
    endpoint = parseEndpoint(request.address);
  } catch (const std::runtime_error&) {
    // The address is invalid. A connection to port 0 fails, which completes the request asynchronously.
    endpoint = {asio::ip::address_v4::loopback(), 0};
  }
  client_.call(request.id, endpoint, std::move(httpRequest), toDuration(request.timeoutMs));
}

void ReplicaNode::onResponse(std::uint64_t id, const HttpClient::Response* response) {
  std::optional<Message> message;
  if (response && response->result() == http::status::ok) {
    transportCounts_.bytesIn += response->body().size();
    try {
      message = decodeBody(response->body());
    } catch (const DecodeError& error) {
      ++transportCounts_.malformed;
      log(error.what());
    }
  }
  replica_->onResponse(now(), id, message);
  tick();
}

// --- Time and rows ---------------------------------------------------------------------------------------

void ReplicaNode::tick() {
  replica_->tick(now());
  if (replica_->caughtUp() && caughtUpAt_ < 0) {
    caughtUpAt_ = now();
    log_.warn("copy caught up with another member after " +
              std::to_string(static_cast<long>(caughtUpAt_ - startedAt_)) + " ms");
  }
  scheduleTick();
}

void ReplicaNode::scheduleTick() {
  const Time nextAt = replica_->nextTickAt();
  if (!std::isfinite(nextAt)) return void(tickTimer_.cancel());
  tickTimer_.expires_after(toDuration(std::max(0.0, nextAt - now())) + 1us);
  tickTimer_.async_wait([this](const Error& error) {
    if (!error) tick();
  });
}

void ReplicaNode::drain() {
  if (std::exchange(draining_, true)) return;
  replica_->leave();
  tickTimer_.cancel();
  listenTimer_.cancel();
  Error ignored;
  acceptor_.close(ignored);
  if (snapshotFile_.isEnabled()) writeSnapshot();
}

void ReplicaNode::set(const std::string& table, const std::string& key, const std::string& value) {
  replica_->set(now(), table, key, value);
  tick();
}

void ReplicaNode::remove(const std::string& table, const std::string& key) {
  replica_->remove(now(), table, key);
  tick();
}

// --- Snapshot --------------------------------------------------------------------------------------------

std::optional<Snapshot> ReplicaNode::readSnapshot() {
  try {
    return snapshotFile_.read();
  } catch (const DecodeError& error) {
    log(std::string(error.what()) + "; starting without a snapshot");
    return std::nullopt;
  }
}

bool ReplicaNode::isUsable(const Snapshot& snapshot) const {
  return unixMs() - snapshot.writtenAtUnixMs <= kMaxSnapshotAgeMs &&
         snapshot.writtenAtUnixMs <= unixMs() + ReplicatedTable::kMaxClockSkewMs;
}

void ReplicaNode::scheduleSnapshotWrite() {
  snapshotTimer_.expires_after(kSnapshotPeriod);
  snapshotTimer_.async_wait([this](const Error& error) {
    if (error || draining_) return;
    writeSnapshot();
    scheduleSnapshotWrite();
  });
}

void ReplicaNode::writeSnapshot() {
  const Digest digest = replica_->digest();
  const std::uint64_t contentHash = rowsHash(digest) * 31 + digest.back();
  if (!snapshotFile_.isWriteDue(contentHash)) return;
  Snapshot snapshot{unixMs(), replica_->self().generation, {}, replica_->rows()};
  for (const auto& [name, member] : replica_->members()) snapshot.members.push_back(member.record);
  snapshotFile_.write(snapshot, contentHash);
}

// --- Operators -------------------------------------------------------------------------------------------

std::string ReplicaNode::telemetry() const {
  return telemetryText({*replica_, transportCounts_, now(), startedAt_, caughtUpAt_});
}

std::string ReplicaNode::membersResponse() const {
  return membersText({*replica_, transportCounts_, now(), startedAt_, caughtUpAt_});
}

std::string ReplicaNode::stateResponse() const { return stateText(*replica_); }

}  // namespace wingslip::replication
