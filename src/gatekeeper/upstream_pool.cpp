/// The pool of connections to all workers.
#include "gatekeeper/upstream_pool.hpp"

#include <boost/asio/post.hpp>

namespace wingslip {

using decision::AttemptOutcome;
using decision::AttemptResult;
using decision::RequestId;
using decision::WorkerId;

UpstreamPool::UpstreamPool(asio::io_context& io, const Limits& limits, std::vector<std::string> reportFields,
                           OverloadManager& overload, AttemptDone attemptDone)
    : context_{io, overload, limits, std::move(reportFields), {}, {}, 0},
      attemptDone_(std::move(attemptDone)) {}

UpstreamPool::~UpstreamPool() {
  *alive_ = false;
  for (auto& [id, connection] : busy_) connection->close();
  for (auto& [id, worker] : workers_)
    for (auto& connection : worker.idle) connection->close();
}

void UpstreamPool::updateSettings(const Limits& limits, std::vector<std::string> reportFields) {
  context_.limits = limits;
  context_.reportFields = std::move(reportFields);
}

// --- Workers -----------------------------------------------------------------------------------------------

void UpstreamPool::setWorkerAddress(WorkerId id, const WorkerAddress& address) {
  Worker& worker = workers_[id];
  const bool restarted = address.processStartedAt > worker.address.processStartedAt;
  const bool moved = address.endpoint != worker.address.endpoint;
  if (restarted || moved) closeIdle(worker);
  // Another process may now listen on the worker's previous address.
  if (moved)
    endAttempts(worker, [&](const UpstreamConnection& connection) {
      return connection.nothingSent() && connection.endpoint() != address.endpoint;
    });
  worker.address = address;
  worker.retired = false;
  if (!restarted) return;
  // The process that received these attempts has ended, even if the kernel has not yet reported the close. A
  // connection that was active since leads to the new process, which may have started earlier than is told.
  endAttempts(worker, [&](const UpstreamConnection& connection) {
    return connection.lastActiveAt() < address.processStartedAt;
  });
}

void UpstreamPool::retireWorker(WorkerId id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) return;
  found->second.retired = true;
  stopSendingTo(id);
}

void UpstreamPool::stopSendingTo(WorkerId id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) return;
  closeIdle(found->second);
  // Otherwise a connection established later would still send its request to this worker.
  endAttempts(found->second, [](const UpstreamConnection& connection) { return connection.nothingSent(); });
}

// Each matching attempt ends as a reset, or as connectFailed if its last byte was not written (see
// `stopAttempt`).
void UpstreamPool::endAttempts(const Worker& worker,
                               const std::function<bool(const UpstreamConnection&)>& matches) {
  std::vector<ConnectionPtr> matching;
  for (const ConnectionPtr& connection : worker.busy)
    if (matches(*connection)) matching.push_back(connection);
  for (const ConnectionPtr& connection : matching) {
    postAttemptEnd(connection->stopAttempt(AttemptResult::reset));
    removeBusy(connection->requestId());
    closeConnection(*connection);
  }
}

// --- Attempts ----------------------------------------------------------------------------------------------

void UpstreamPool::startAttempt(RequestId id, unsigned attempt, WorkerId worker, AttemptRequest request,
                                std::optional<Clock::duration> timeout) {
  const bool reachable = isReachable(worker);
  const ConnectionPtr connection = reachable ? acquireConnection(worker) : nullptr;
  if (connection && reserveMemory(*connection, request)) {
    addBusy(id, connection);
    return connection->startAttempt(id, attempt, std::move(request), timeout);
  }
  if (connection) closeConnection(*connection);
  AttemptOutcome outcome;
  outcome.id = id;
  outcome.attempt = attempt;
  outcome.worker = worker;
  outcome.result = AttemptResult::connectFailed;
  // A shortage in this process must not count against the worker. An attempt at another worker would fail as
  // well, because all idle connections have already been closed to free resources.
  if (reachable) {
    outcome.result = AttemptResult::notSent;
    ++localResourceShortages_;
    context_.overload.waitQueues().countRejection(WaitQueue::awaitingResponse);
  }
  context_.stats.count(outcome.result);
  postAttemptEnd(std::move(outcome));
}

std::optional<AttemptEnd> UpstreamPool::cancelAttempt(RequestId id, AttemptResult result) {
  const auto found = busy_.find(id);
  if (found == busy_.end()) return std::nullopt;
  const ConnectionPtr connection = found->second;
  removeBusy(id);
  AttemptEnd end;
  end.outcome = connection->stopAttempt(result);
  closeConnection(*connection);
  return end;
}

void UpstreamPool::resumeResponse(RequestId id) {
  const auto found = busy_.find(id);
  if (found == busy_.end()) return;
  const ConnectionPtr connection = found->second;
  connection->resumeResponse();
}

bool UpstreamPool::streamUnfinishedResponse(RequestId id) {
  const auto found = busy_.find(id);
  if (found == busy_.end()) return false;
  const ConnectionPtr connection = found->second;
  return connection->streamUnfinishedResponse();
}

bool UpstreamPool::endShortResponse(RequestId id) {
  const auto found = busy_.find(id);
  if (found == busy_.end()) return false;
  const ConnectionPtr connection = found->second;
  return connection->endShortResponse();
}

void UpstreamPool::onAttemptDone(UpstreamConnection& connection, AttemptEnd&& end) {
  const auto found = busy_.find(end.outcome.id);
  if (found != busy_.end() && found->second.get() == &connection) removeBusy(end.outcome.id);
  attemptDone_(std::move(end));
}

// Calls `AttemptDone` from a posted handler, because the decision module must not be re-entered while it
// executes an action.
void UpstreamPool::postAttemptEnd(AttemptOutcome outcome) {
  asio::post(context_.io, [this, alive = alive_, outcome = std::move(outcome)]() mutable {
    if (!*alive) return;
    AttemptEnd end;
    end.outcome = std::move(outcome);
    attemptDone_(std::move(end));
  });
}

void UpstreamPool::addBusy(RequestId id, const ConnectionPtr& connection) {
  removeBusy(id);
  busy_[id] = connection;
  workers_.at(connection->worker()).busy.push_back(connection);
}

void UpstreamPool::removeBusy(RequestId id) {
  const auto found = busy_.find(id);
  if (found == busy_.end()) return;
  std::erase(workers_.at(found->second->worker()).busy, found->second);
  busy_.erase(found);
}

// --- Connections -------------------------------------------------------------------------------------------

bool UpstreamPool::isReachable(WorkerId worker) const {
  const auto found = workers_.find(worker);
  return found != workers_.end() && !found->second.retired;
}

// Returns an idle connection or a new one; null if the connection limit is reached and no connection is idle.
UpstreamPool::ConnectionPtr UpstreamPool::acquireConnection(WorkerId id) {
  Worker& worker = workers_.at(id);
  if (ConnectionPtr idle = takeIdle(worker)) return idle;
  if (!evictIfFull()) return nullptr;
  auto connection = std::make_shared<UpstreamConnection>(
      context_, static_cast<UpstreamConnectionOwner&>(*this), id, worker.address.endpoint);
  ++connectionCount_;
  return connection;
}

// Reserves memory for the attempt, and closes idle connections, least recently used first, until the
// reservation succeeds.
bool UpstreamPool::reserveMemory(UpstreamConnection& connection, const AttemptRequest& request) {
  bool reserved = connection.reserveMemory(request);
  while (!reserved && closeOldestIdle()) reserved = connection.reserveMemory(request);
  return reserved;
}

// Returns the most recently used idle connection past its quarantine, so that surplus connections stay unused
// until their idle timeout; if there is none, the connection whose quarantine ends first; null if none is
// idle.
UpstreamPool::ConnectionPtr UpstreamPool::takeIdle(Worker& worker) {
  auto& idle = worker.idle;
  while (!idle.empty()) {
    const auto found = std::find_if(idle.rbegin(), idle.rend(), [](const ConnectionPtr& connection) {
      return connection->quarantineOver();
    });
    const ConnectionPtr connection = found == idle.rend() ? idle.front() : *found;
    if (!connection->isStale()) {
      std::erase(idle, connection);
      idle_.erase(*std::exchange(connection->idlePosition, std::nullopt));
      return connection;
    }
    closeConnection(*connection);
  }
  return nullptr;
}

// At the connection limit, closes the least recently used idle connection of any worker. Returns whether a
// new connection may be opened.
bool UpstreamPool::evictIfFull() {
  return connectionCount_ < context_.limits.maxConnections || closeOldestIdle();
}

bool UpstreamPool::closeOldestIdle() {
  if (idle_.empty()) return false;
  const ConnectionPtr oldest = idle_.front();
  closeConnection(*oldest);
  return true;
}

void UpstreamPool::onReusable(const ConnectionPtr& connection) {
  const auto found = workers_.find(connection->worker());
  const bool reusable = found != workers_.end() && !found->second.retired &&
                        found->second.address.endpoint == connection->endpoint() &&
                        found->second.address.processStartedAt <= connection->openedAt() &&
                        found->second.idle.size() < context_.limits.maxIdlePerWorker;
  if (!reusable) return closeConnection(*connection);
  found->second.idle.push_back(connection);
  connection->idlePosition = idle_.insert(idle_.end(), connection);
  connection->becomeIdle();
}

void UpstreamPool::closeConnection(UpstreamConnection& connection) {
  const ConnectionPtr self = connection.shared_from_this();  // the lists may have the last references
  connection.close();
  --connectionCount_;
  if (connection.idlePosition) idle_.erase(*std::exchange(connection.idlePosition, std::nullopt));
  const auto found = workers_.find(connection.worker());
  if (found != workers_.end())
    std::erase_if(found->second.idle, [&](const ConnectionPtr& other) { return other.get() == &connection; });
}

void UpstreamPool::closeIdle(Worker& worker) {
  const auto idle = std::move(worker.idle);
  worker.idle.clear();
  for (const ConnectionPtr& connection : idle) closeConnection(*connection);
}

}  // namespace wingslip
