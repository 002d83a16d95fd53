/// What one gatekeeper shares with the others of its fleet: the coordination store and the replicated state.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "config/config.hpp"
#include "leader_election/coordinator.hpp"
#include "net/overload_manager.hpp"
#include "replication/replica_node.hpp"

namespace wingslip {

/// Owns the coordinator and the replica, each of which is there only where it is configured. Everything is
/// called on the one event loop.
class FleetServices {
 public:
  using RowChanged = std::function<void(const replication::Row&)>;

  /// `config` is read at each (re)start and outlives this, as does `overload`.
  FleetServices(boost::asio::io_context& io, const Config& config, OverloadManager& overload,
                RowChanged rowChanged);

  void startCoordinator();
  void startReplica();
  /// The configured store has changed: leadership in the earlier one is given back.
  void restartCoordinator();
  /// The configured replica has changed: the earlier one tells its members that it leaves.
  void restartReplica();

  /// SIGTERM: leadership is given back and the members are told.
  void drain();
  /// After `drain`: ends the session with the store, then calls `done`.
  void leave(const std::function<void()>& done);

  /// Writes a row for all gatekeepers; nothing where no replica is configured.
  void setRow(const std::string& table, const std::string& key, const std::string& value);
  void removeRow(const std::string& table, const std::string& key);

  std::string telemetry() const;  ///< `svc.` lines
  /// Operators' answers; `400 ...` where the service is not configured.
  std::string duties() const;
  std::string roster() const;
  std::string sharers() const;
  std::string replica() const;

 private:
  boost::asio::io_context& io_;
  const Config& config_;
  OverloadManager& overload_;
  const RowChanged rowChanged_;
  std::unique_ptr<replication::ReplicaNode> replica_;
  std::unique_ptr<replication::ReplicaNode> leavingReplica_;
  std::unique_ptr<leader_election::Coordinator> coordinator_;
  std::unique_ptr<leader_election::Coordinator> leavingCoordinator_;
};

}  // namespace wingslip
