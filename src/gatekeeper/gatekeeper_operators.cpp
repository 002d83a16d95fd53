// What operators ask and tell: figures, the log's report, workers out by hand, and what the next process is
// left.
#include <cmath>

#include "gatekeeper/gatekeeper.hpp"
#include "gatekeeper/gatekeeper_limits.hpp"
#include "gatekeeper/handover.hpp"
#include "net/log.hpp"

namespace wingslip {
namespace {

using decision::AttemptResult;
using decision::RequestId;
using decision::Time;
using decision::WorkerId;
using namespace std::chrono_literals;

constexpr auto kReportEvery = 5s;       // between two lines on what was done
constexpr auto kFollowEvery = 250ms;    // between looks at what the other process of an upgrade has excluded
constexpr auto kLeaveEvery = 1s;        // between two writings of what the next process inherits
constexpr Time kHandoverHolds = 30000;  // ms; older: nobody has served since
constexpr auto kLookEvery = 20ms;       // for the first list, before connections are accepted
constexpr const char* kExcluded = "excluded";  // the replicated table of workers out by hand
constexpr std::size_t kMostNamed = 8192;
}  // namespace

// What another gatekeeper, or this one before its restart, was told.
void Gatekeeper::replicated(const replication::Row& row) {
  if (row.table != kExcluded || row.key.empty()) return;
  const bool excluded = exclusions_.ids().contains(row.key);
  if (row.gone != excluded || !exclusions_.hasRoomFor(row.key)) return;
  const auto before = exclusions_.ids();
  exclusions_.note(row.key, !row.gone);  // many come together: written once for all of them
  applyExclusions(before);
}

// The list is known, and no change of it is on its way; what was excluded was read before.
bool Gatekeeper::readyToServe() const { return ready() && !draining_; }

std::string Gatekeeper::telemetry() const {
  const decision::WorkerCounts census = gateway_.workerCounts(clock_.now());
  Metrics figures = metrics_;
  figures.attempts = pool_.attemptsWritten();
  figures.shortHere = pool_.localShortages();
  figures.refusals = gateway_.rejectionCounts();
  return telemetryText(figures, {held_.size(), census.listed, census.avoided},
                       monitor_.telemetry() + server_.closes().telemetry("close") +
                           sendRefusals_.telemetry("not_sent", 1) + pressure_.telemetry() +
                           (coordinator_ ? coordinator_->telemetry() : "") +
                           (replica_ ? replica_->telemetry() : ""));
}

std::string Gatekeeper::sharers() const {
  return replica_ ? replica_->members() : "400 no replica is configured\n";
}

std::string Gatekeeper::replica() const {
  return replica_ ? replica_->state() : "400 no replica is configured\n";
}

std::string Gatekeeper::duties() const {
  return coordinator_ ? coordinator_->duties() : "400 no store is configured\n";
}

std::string Gatekeeper::roster() const {
  return coordinator_ ? coordinator_->roster() : "400 no store is configured\n";
}

ByHand Gatekeeper::exclude(const std::string& id) {
  const ByHand out = setByHand(id, true);
  const bool inForce = out.state == ByHand::State::done || out.state == ByHand::State::not_kept;
  if (replica_ && inForce) replica_->set(kExcluded, id, "1");
  return out;
}

ByHand Gatekeeper::include(const std::string& id) {
  const ByHand out = setByHand(id, false);
  const bool inForce = out.state == ByHand::State::done || out.state == ByHand::State::not_kept;
  if (replica_ && inForce) replica_->remove(kExcluded, id);
  return out;
}

ByHand Gatekeeper::setByHand(const std::string& id, bool excluded) {
  if (!named_.contains(id) && !exclusions_.ids().contains(id)) return {ByHand::State::unknown_worker};
  if (excluded && !exclusions_.hasRoomFor(id)) return {ByHand::State::too_many};
  const auto before = exclusions_.ids();
  const std::error_code error = exclusions_.set(id, excluded);
  applyExclusions(before);
  processLog().info("event={} worker={} kept={}", excluded ? "excluded" : "included", id, !error);
  if (!error) return {};
  return {ByHand::State::not_kept, error};
}

void Gatekeeper::applyExclusions(const std::set<std::string>& before) {
  const Time now = clock_.now();
  for (const std::string& id : exclusions_.ids()) {
    if (before.contains(id)) continue;
    const WorkerId worker = numberOf(id);
    gateway_.exclude(now, worker);
    pool_.stopSendingTo(worker);
    excluded_.insert(worker);
    monitor_.workerExcluded(worker, now);
  }
  for (const std::string& id : before) {
    if (exclusions_.ids().contains(id)) continue;
    const WorkerId worker = numberOf(id);
    excluded_.erase(worker);
    monitor_.workerIncluded(worker);
    gateway_.include(now, worker);
  }
}

// The other process of an upgrade may be the one that operators call; and what could not be kept is tried
// again.
void Gatekeeper::followExclusions() {
  follow_.expires_after(kFollowEvery);
  follow_.async_wait([this](const Error& error) {
    if (error) return;
    const auto before = exclusions_.ids();
    if (exclusions_.retry()) applyExclusions(before);
    if (exclusions_.known()) settleOnce();
    followExclusions();
  });
}

void Gatekeeper::noteNamed(const std::string& id) {
  if (named_.size() < kMostNamed || named_.contains(id)) named_.insert(id);
}

// What the next process would have to learn anew, while cold workers get next to nothing.
void Gatekeeper::handOverLater() {
  leave_.expires_after(kLeaveEvery);
  leave_.async_wait([this](const Error& error) {
    if (error || draining_) return;
    const Time now = clock_.now();
    wingslip::leave(config_.stateDir, {now, gateway_.warmWorkerRate(now), starts_.offset()});
    handOverLater();
  });
}

void Gatekeeper::takeHandover() {
  if (config_.acceptFd < 0) return;
  const Time now = clock_.now();
  const auto left = inherit(config_.stateDir);
  if (!left || std::abs(now - left->at) >= kHandoverHolds) return;
  if (left->warmRate > 0) gateway_.seedWarmWorkerRate(now, left->warmRate);
  starts_ = StartTimes(left->clockOffset);
}

void Gatekeeper::acceptOnceReady() {
  if (draining_) return;
  if (readyToServe()) return server_.beginAccepting();
  accept_.expires_after(kLookEvery);
  accept_.async_wait([this](const Error& error) {
    if (!error) acceptOnceReady();
  });
}

// One line every few seconds with what on-call needs to tell causes apart: final answers, how attempts ended,
// connections, and the largest buffers.
void Gatekeeper::reportLater() {
  report_.expires_after(kReportEvery);
  report_.async_wait([this](const Error& error) {
    if (error) return;
    report();
    reportLater();
  });
}

void Gatekeeper::report() {
  const UpstreamPool::Stats pool = pool_.takeStats();
  const ClientServer::Stats server = server_.takeStats();
  const Discovery::Stats discovery = discovery_->takeStats();
  const auto ended = [&](AttemptResult result) { return pool.results[static_cast<std::size_t>(result)]; };
  processLog().info(
      "event=requests served={} refused={} failed={} rejected={} held={} client_connections={} "
      "most_buffered_client={} most_waited_ms={:.0f}",
      served_, refused_, failed_, server.rejected, held_.size(), server_.connections(), server.mostBuffered,
      server.mostWaited);
  processLog().info(
      "event=attempts ok={} error={} unreadable={} full={} timeout={} unconnected={} reset={} "
      "reset_reused={} reset_in_answer={} cancelled={} worker_connections={} most_buffered_worker={}",
      ended(AttemptResult::ok), ended(AttemptResult::error), pool.malformedResponses,
      ended(AttemptResult::overloaded), ended(AttemptResult::timeout), ended(AttemptResult::connectFailed),
      ended(AttemptResult::reset), pool.resetReused, pool.resetInResponse, ended(AttemptResult::cancelled),
      pool_.connections(), pool.maxBufferedBytes);
  processLog().info("event=lists read={} longest_line={} lists={} calls={} invariants_broken={}",
                    discovery.read, discovery.longestLine, discovery.lists, discovery.calls,
                    monitor_.total());
  served_ = refused_ = failed_ = 0;
  pressure_.report();
}

}  // namespace wingslip
