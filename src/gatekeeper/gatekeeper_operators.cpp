/// Operators' calls, but for exclusions.
#include "gatekeeper/gatekeeper.hpp"

namespace wingslip {

bool Gatekeeper::readyToServe() const { return ready() && !draining_; }

std::string Gatekeeper::telemetry() const {
  const decision::WorkerCounts workers = gateway_.workerCounts(clock_.now());
  Metrics figures = metrics_;
  figures.attempts = pool_.attemptsWritten();
  figures.shortHere = pool_.shortHere();
  figures.refusals = gateway_.rejectionCounts();
  return telemetryText(figures, {held_.size(), workers.listed, workers.avoided},
                       monitor_.telemetry() + server_.closes().telemetry("close") +
                           sendRefusals_.telemetry("not_sent", 1) + pressure_.telemetry() +
                           (coordinator_ ? coordinator_->telemetry() : "") +
                           (replica_ ? replica_->telemetry() : ""));
}

std::string Gatekeeper::replicationMembers() const {
  return replica_ ? replica_->members() : "400 no replica is configured\n";
}

std::string Gatekeeper::replicationState() const {
  return replica_ ? replica_->state() : "400 no replica is configured\n";
}

std::string Gatekeeper::leaderTasks() const {
  return coordinator_ ? coordinator_->dutiesAnswer() : "400 no store is configured\n";
}

std::string Gatekeeper::membershipRecord() const {
  return coordinator_ ? coordinator_->rosterAnswer() : "400 no store is configured\n";
}

}  // namespace wingslip
