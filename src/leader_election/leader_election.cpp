#include "leader_election/leader_election.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace wingslip::leader_election {

LeaderElection::LeaderElection(const Timing& timing, const ProcessIdentity& self, std::uint64_t seed,
                               ElectionHost& host)
    : context_(timing, self, seed, host) {}

void LeaderElection::addTask(const std::string& name, LeaderTask& task) {
  candidacies_.emplace_back(context_, candidacies_.size(), name, task);
}

void LeaderElection::start(Time now) {
  started_ = true;
  const Time firstCallAt = context_.session.start(now);
  for (Candidacy& candidacy : candidacies_) candidacy.start(now, firstCallAt);
  runDue(now);
}

void LeaderElection::onReply(Time now, std::uint64_t callId, const StoreReply& reply) {
  const std::optional<PendingCall> call = context_.calls.take(callId);
  if (!call) return;
  if (!reply.answered) ++context_.counts.callsFailed;
  switch (call->purpose) {
    case CallPurpose::session:
      onSessionReply(now, reply, call->sentAt);
      break;
    case CallPurpose::registration:
      context_.session.onRegistrationReply(now, reply);
      break;
    case CallPurpose::lockWatch:
    case CallPurpose::step:
    case CallPurpose::registrations:
      candidacies_[call->taskIndex].onReply(now, callId, *call, reply);
      break;
    case CallPurpose::endSession:
      break;
  }
  runDue(now);
}

void LeaderElection::onSessionReply(Time now, const StoreReply& reply, Time sentAt) {
  switch (context_.session.onSessionReply(now, reply, sentAt)) {
    case StoreSession::Change::none:
      return;
    case StoreSession::Change::createdOrRenewed:
      for (Candidacy& candidacy : candidacies_) candidacy.onSessionCreatedOrRenewed(now);
      return;
    case StoreSession::Change::lost:
      for (Candidacy& candidacy : candidacies_) candidacy.onSessionLost(now);
      return;
  }
}

Registration LeaderElection::registration() const {
  const ProcessIdentity& self = context_.self;
  Registration out{self.name, self.instance, self.build, self.startedUnixS, context_.draining, {}};
  for (const Candidacy& candidacy : candidacies_)
    if (candidacy.highestSeenToken() > 0)
      out.highestSeenTokens[candidacy.taskName()] = candidacy.highestSeenToken();
  return out;
}

bool LeaderElection::isLeaderWithValidLease(Time now, const std::string& taskName) const {
  return std::any_of(candidacies_.begin(), candidacies_.end(), [&](const Candidacy& candidacy) {
    return candidacy.taskName() == taskName && candidacy.isLeaderWithValidLease(now);
  });
}

bool LeaderElection::writeRecord(Time now, const std::string& taskName, const std::string& data) {
  for (Candidacy& candidacy : candidacies_) {
    if (candidacy.taskName() != taskName || !candidacy.writeRecord(now, data)) continue;
    runDue(now);
    return true;
  }
  return false;
}

void LeaderElection::stepDown(Time now, const std::string& taskName, const std::string& reason) {
  for (Candidacy& candidacy : candidacies_)
    if (candidacy.taskName() == taskName) candidacy.stepDown(now, reason);
}

void LeaderElection::drain(Time now) {
  if (!started_ || std::exchange(context_.draining, true)) return;
  context_.session.scheduleRegistration(now);
  for (Candidacy& candidacy : candidacies_) candidacy.drain(now);
  runDue(now);
}

void LeaderElection::endSession(Time now) {
  if (!started_ || std::exchange(ended_, true) || !context_.session.isLive()) return;
  context_.session.end(now);
}

bool LeaderElection::isDrained() const {
  return std::all_of(candidacies_.begin(), candidacies_.end(),
                     [](const Candidacy& candidacy) { return candidacy.state() == State::coolingDown; }) &&
         context_.session.isRegistrationSettled();
}

void LeaderElection::runDue(Time now) {
  if (!isRunning()) return;
  context_.session.runDue(now, context_.draining);
  if (context_.session.isRegistrationDue(now)) context_.session.sendRegistration(now, registration());
  for (Candidacy& candidacy : candidacies_) candidacy.runDue(now);
}

Time LeaderElection::nextDueAt() const {
  if (!isRunning()) return std::numeric_limits<Time>::infinity();
  Time at = context_.session.nextDueAt(context_.draining);
  for (const Candidacy& candidacy : candidacies_) at = std::min(at, candidacy.nextDueAt());
  return at;
}

std::vector<TaskStatus> LeaderElection::status() const {
  std::vector<TaskStatus> out;
  for (const Candidacy& candidacy : candidacies_) out.push_back(candidacy.status());
  return out;
}

}  // namespace wingslip::leader_election
