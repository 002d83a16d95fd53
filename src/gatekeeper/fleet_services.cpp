#include "gatekeeper/fleet_services.hpp"

#include <utility>

namespace wingslip {
namespace {

constexpr decision::Time kLeaveStoreTimeoutMs = 1000;  // for leadership in a store that is used no more

}  // namespace

FleetServices::FleetServices(boost::asio::io_context& io, const Config& config, OverloadManager& overload,
                             RowChanged rowChanged)
    : io_(io), config_(config), overload_(overload), rowChanged_(std::move(rowChanged)) {}

void FleetServices::startCoordinator() {
  if (!config_.coordination) return;
  coordinator_ = std::make_unique<leader_election::Coordinator>(
      io_, *config_.coordination, config_.name, config_.settings.gatewayCount, config_.seed, overload_);
  coordinator_->start();
}

void FleetServices::startReplica() {
  if (!config_.replication) return;
  replica_ = std::make_unique<replication::ReplicaNode>(
      io_, *config_.replication, config_.name, config_.stateDir, config_.seed, overload_,
      [this](const replication::Row& row) { rowChanged_(row); });
  replica_->start();
}

void FleetServices::restartCoordinator() {
  if (coordinator_) coordinator_->drain();
  leavingCoordinator_ = std::move(coordinator_);
  if (leavingCoordinator_) leavingCoordinator_->leave(kLeaveStoreTimeoutMs, [] {});
  startCoordinator();
}

void FleetServices::restartReplica() {
  if (replica_) replica_->drain();
  leavingReplica_ = std::move(replica_);
  startReplica();
}

void FleetServices::drain() {
  if (replica_) replica_->drain();
  if (coordinator_) coordinator_->drain();
}

void FleetServices::leave(const std::function<void()>& done) {
  if (!coordinator_) return done();
  coordinator_->leave(0, done);
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

std::string FleetServices::duties() const {
  return coordinator_ ? coordinator_->dutiesAnswer() : "400 no store is configured\n";
}

std::string FleetServices::roster() const {
  return coordinator_ ? coordinator_->rosterAnswer() : "400 no store is configured\n";
}

std::string FleetServices::sharers() const {
  return replica_ ? replica_->members() : "400 no replica is configured\n";
}

std::string FleetServices::replica() const {
  return replica_ ? replica_->state() : "400 no replica is configured\n";
}

}  // namespace wingslip
