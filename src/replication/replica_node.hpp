/// The replica's driver on sockets: a listener for the other gatekeepers, requests to them, one timer on the
/// program's loop and the snapshot. Made only where the configuration has `replica`.
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

/// All calls and callbacks are on the loop's thread.
class ReplicaNode : private Environment, private ReplicaConnection::Owner {
 public:
  /// Called with rows that other gatekeepers wrote, and with those of the snapshot, the latter while
  /// constructed.
  using RowCallback = std::function<void(const Row& row)>;

  /// @param stateDir the snapshot's folder; empty: there is none.
  ReplicaNode(boost::asio::io_context& io, const Replication& config, const std::string& name,
              const std::string& stateDir, std::uint64_t seed, OverloadManager& overload,
              RowCallback onRowChanged);
  ~ReplicaNode() override;

  /// Listens, at once or as soon as the other process of an upgrade lets go of the address.
  void start();
  /// Announces that this member leaves, and closes the listener.
  void drain();

  void set(const std::string& table, const std::string& key, const std::string& value);
  void remove(const std::string& table, const std::string& key);
  /// Null: no such row. A removed one is found as a tombstone.
  const Row* find(const std::string& table, const std::string& key) const {
    return replica_->find(table, key);
  }

  /// The texts of replica_report.hpp.
  std::string telemetry() const;
  std::string members() const;
  std::string state() const;

 private:
  void send(const OutgoingRequest& request) override;
  void onRowChanged(const Row& row) override { rowCallback_(row); }
  void log(const std::string& line) override { log_.say(line); }
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
  void scheduleSnapshot();
  void writeSnapshot();

  boost::asio::io_context& io_;
  const Replication config_;
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
  TransportCounts transport_;
  Time startedAt_ = 0;
  Time caughtUpAt_ = -1;  // negative: not yet
  bool draining_ = false;
  RateLimitedLog log_{"replica"};
};

}  // namespace wingslip::replication
