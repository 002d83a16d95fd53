/// Start, restart and end of leader election and replication. See fleet_services.hpp.
#include "gatekeeper/fleet_services.hpp"

#include <utility>

namespace wingslip {
namespace {

// Longest wait for the release of leadership in a store that is no longer configured.
constexpr decision::Time kReleaseTimeoutMs = 1000;

}  // namespace

FleetServices::FleetServices(boost::asio::io_context& io, const Config& config,
                             OverloadManager& overloadManager, RowCallback onRowChanged)
    : io_(io), config_(config), overloadManager_(overloadManager), onRowChanged_(std::move(onRowChanged)) {}

void FleetServices::startCoordinator() {
  if (!config_.coordination) return;
  coordinator_ = std::make_unique<leader_election::Coordinator>(io_, *config_.coordination, config_.name,
                                                                config_.settings.gatewayCount, config_.seed,
                                                                overloadManager_);
  coordinator_->start();
}

void FleetServices::startReplica() {
  if (!config_.replication) return;
  replica_ = std::make_unique<replication::ReplicaNode>(
      io_, *config_.replication, config_.name, config_.stateDir, config_.seed, overloadManager_,
      [this](const replication::Row& row) { onRowChanged_(row); });
  replica_->start();
}

void FleetServices::restartCoordinator() {
  if (coordinator_) coordinator_->drain();
  previousCoordinator_ = std::move(coordinator_);
  if (previousCoordinator_) previousCoordinator_->shutDown(kReleaseTimeoutMs, [] {});
  startCoordinator();
}

void FleetServices::restartReplica() {
  if (replica_) replica_->drain();
  previousReplica_ = std::move(replica_);
  startReplica();
}

void FleetServices::drain() {
  if (replica_) replica_->drain();
  if (coordinator_) coordinator_->drain();
}

void FleetServices::endStoreSession(const std::function<void()>& done) {
  if (!coordinator_) return done();
  coordinator_->shutDown(0, done);
}

void FleetServices::setRow(const std::string& table, const std::string& key, const std::string& value) {
  if (replica_) replica_->set(table, key, value);
}

void FleetServices::removeRow(const std::string& table, const std::string& key) {
  if (replica_) replica_->remove(table, key);
}

std::string FleetServices::telemetry() const {
  return (coordinator_ ? coordinator_->telemetry() : "") + (replica_ ? replica_->telemetry() : "");
}

std::string FleetServices::leaderTasks() const {
  return coordinator_ ? coordinator_->dutiesResponse() : "400 no store is configured\n";
}

std::string FleetServices::membershipRecord() const {
  return coordinator_ ? coordinator_->rosterResponse() : "400 no store is configured\n";
}

std::string FleetServices::replicationMembers() const {
  return replica_ ? replica_->membersResponse() : "400 no replica is configured\n";
}

std::string FleetServices::replicationState() const {
  return replica_ ? replica_->stateResponse() : "400 no replica is configured\n";
}

}  // namespace wingslip
