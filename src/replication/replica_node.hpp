/// Drives a replica on the event loop: listens for other gatekeepers, sends requests to them, runs the
/// replica's timer and writes snapshots. Created only if the configuration contains `replica`.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "config/config.hpp"
#include "net/http_client.hpp"
#include "net/overload_manager.hpp"
#include "net/rate_limited_log.hpp"
#include "replication/replica.hpp"
#include "replication/replica_connection.hpp"
#include "replication/snapshot_file.hpp"
#include "replication/transport_counts.hpp"

namespace wingslip::replication {

/// All calls and callbacks are made on the event loop's thread.
class ReplicaNode : private Environment, private ReplicaConnection::Owner {
 public:
  /// Called with each new row that another gatekeeper wrote, and with the rows of the snapshot. The latter
  /// calls are made by the constructor.
  using RowCallback = std::function<void(const Row& row)>;

  /// @param name of this gatekeeper, unique in the fleet.
  /// @param stateDir directory of the snapshot; if empty, no snapshot is read or written.
  /// @param seed of the random number generator.
  /// @param overload outlives the node.
  ReplicaNode(boost::asio::io_context& io, const ReplicationConfig& config, const std::string& name,
              const std::string& stateDir, std::uint64_t seed, OverloadManager& overload,
              RowCallback onRowChanged);
  ~ReplicaNode() override;

  /// Starts listening and joins the fleet. If listening fails, for example because the other process of an
  /// upgrade still uses the address, both are retried periodically.
  void start();
  /// Announces the departure of this member, closes the listener and writes a last snapshot if one is due.
  void drain();

  /// Writes a row.
  void set(const std::string& table, const std::string& key, const std::string& value);
  /// Replaces a row by a tombstone.
  void remove(const std::string& table, const std::string& key);
  /// Returns the row, which is a tombstone if it was removed, or null if there is none.
  const Row* find(const std::string& table, const std::string& key) const {
    return replica_->find(table, key);
  }

  /// Metrics and operator responses; replica_report.hpp describes their texts.
  std::string telemetry() const;
  std::string membersResponse() const;
  std::string stateResponse() const;

 private:
  void send(const OutgoingRequest& request) override;
  void onRowChanged(const Row& row) override { rowCallback_(row); }
  void log(const std::string& line) override { log_.warn(line); }
  std::int64_t unixMs() const override;
  std::optional<std::string> onRequestBody(const std::string& body) override;
  void onMalformedRequest(const std::string& reason) override { log(reason); }
  void onConnectionEnded(const std::shared_ptr<ReplicaConnection>& connection) override;

  Time now() const;
  std::optional<Snapshot> readSnapshot();
  bool isUsable(const Snapshot& snapshot) const;
  void listen();
  boost::system::error_code openAcceptor();
  void accept();
  void serve(boost::asio::ip::tcp::socket socket);
  void onResponse(std::uint64_t id, const HttpClient::Response* response);
  void tick();
  void scheduleTick();
  void scheduleSnapshotWrite();
  void writeSnapshot();

  boost::asio::io_context& io_;
  const ReplicationConfig config_;
  OverloadManager& overload_;
  const RowCallback rowCallback_;
  SnapshotFile snapshotFile_;
  std::unique_ptr<Replica> replica_;
  HttpClient client_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer tickTimer_;
  boost::asio::steady_timer listenTimer_;
  boost::asio::steady_timer snapshotTimer_;
  std::unordered_set<std::shared_ptr<ReplicaConnection>> connections_;
  TransportCounts transportCounts_;
  Time startedAt_ = 0;
  Time caughtUpAt_ = -1;  // negative: not caught up yet
  bool draining_ = false;
  RateLimitedLog log_{"replica"};
};

}  // namespace wingslip::replication
