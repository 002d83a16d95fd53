/// The services that connect a gatekeeper with the other gatekeepers of its fleet: leader election through
/// the coordination store, and replicated state.
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

/// Owns the coordinator and the replica; each exists only if it is configured. All calls are made on one
/// event loop.
class FleetServices {
 public:
  /// Called with each row that another gatekeeper wrote or that was read from the snapshot.
  using RowCallback = std::function<void(const replication::Row&)>;

  /// @param config read at each start and restart; must outlive this, as must `io` and `overloadManager`
  FleetServices(boost::asio::io_context& io, const Config& config, OverloadManager& overloadManager,
                RowCallback onRowChanged);

  /// Starts leader election, if a coordination store is configured.
  void startCoordinator();
  /// Starts replication, if it is configured.
  void startReplica();
  /// Switches to another coordination store: releases leadership in the previous store.
  void restartCoordinator();
  /// Switches to another replication configuration: the previous replica announces its departure.
  void restartReplica();

  /// On SIGTERM or SIGINT: releases leadership and announces this member's departure.
  void drain();
  /// After `drain`: ends the session with the coordination store, then calls `done`. Without a coordinator
  /// `done` is called before this returns.
  void endStoreSession(const std::function<void()>& done);

  /// Writes a replicated row; no effect if no replica is configured.
  void setRow(const std::string& table, const std::string& key, const std::string& value);
  /// Removes a replicated row; no effect if no replica is configured.
  void removeRow(const std::string& table, const std::string& key);

  std::string telemetry() const;  ///< `svc.` lines of both services
  /// Complete responses to operators' calls; `400 ...` if the service is not configured.
  std::string leaderTasks() const;
  std::string membershipRecord() const;
  std::string replicationMembers() const;
  std::string replicationState() const;

 private:
  boost::asio::io_context& io_;
  const Config& config_;
  OverloadManager& overloadManager_;
  const RowCallback onRowChanged_;
  std::unique_ptr<replication::ReplicaNode> replica_;
  std::unique_ptr<replication::ReplicaNode> previousReplica_;  // draining since the last `restartReplica`
  std::unique_ptr<leader_election::Coordinator> coordinator_;
  std::unique_ptr<leader_election::Coordinator> previousCoordinator_;  // shut down by `restartCoordinator`
};

}  // namespace wingslip
