/// Operators' calls, metrics, application of exclusions, and the periodic report.
#include "gatekeeper/gatekeeper.hpp"
#include "gatekeeper/gatekeeper_limits.hpp"

namespace wingslip {
namespace {

using decision::Time;
using decision::WorkerId;

constexpr const char* kExcludedTable = "excluded";  // replicated table of workers excluded by operators
constexpr const char* kExcludedValue = "1";

// Whether the change has taken effect and must be replicated to the other gatekeepers.
bool isInEffect(const ExclusionResult& result) {
  return result.status == ExclusionResult::Status::done ||
         result.status == ExclusionResult::Status::notPersisted;
}

}  // namespace

// Applies an exclusion or inclusion by another gatekeeper, or by this one before its restart.
void Gatekeeper::onReplicatedRow(const replication::Row& row) {
  if (row.table != kExcludedTable || row.key.empty()) return;
  exclusions_.onReplicated(row.key, !row.tombstone);
}

// Answers the operators' call `readyz`: a worker is known, requests are served, and the process is not
// draining.
bool Gatekeeper::readyToServe() const { return ready() && !draining_; }

std::string Gatekeeper::telemetry() const {
  const decision::WorkerCounts workers = gateway_.workerCounts(clock_.now());
  Metrics metrics = metrics_;
  metrics.attemptsWritten = pool_.attemptsWritten();
  metrics.localResourceShortages = pool_.localResourceShortages();
  metrics.rejections = gateway_.rejectionCounts();
  return telemetryText(metrics, {requests_.size(), workers.listed, workers.unavailable},
                       monitor_.telemetry() + server_.closes().telemetry("close") +
                           sendRefusals_.telemetry("not_sent", 1) + overloadManager_.telemetry() +
                           fleet_.telemetry());
}

ExclusionResult Gatekeeper::exclude(const std::string& id) {
  const ExclusionResult out = exclusions_.setExcluded(id, true);
  if (isInEffect(out)) fleet_.setRow(kExcludedTable, id, kExcludedValue);
  return out;
}

ExclusionResult Gatekeeper::include(const std::string& id) {
  const ExclusionResult out = exclusions_.setExcluded(id, false);
  if (isInEffect(out)) fleet_.removeRow(kExcludedTable, id);
  return out;
}

void Gatekeeper::onExclusionsChanged(const ExclusionChange& change) {
  const Time now = clock_.now();
  for (const std::string& id : change.excluded) {
    const WorkerId worker = workerIdOf(id);
    gateway_.exclude(now, worker);
    pool_.stopSendingTo(worker);
    excluded_.insert(worker);
    monitor_.workerExcluded(worker, now);
  }
  for (const std::string& id : change.included) {
    const WorkerId worker = workerIdOf(id);
    excluded_.erase(worker);
    monitor_.workerIncluded(worker);
    gateway_.include(now, worker);
  }
}

void Gatekeeper::report() {
  ServiceSample sample;
  sample.upstream = pool_.takeStats();
  sample.clients = server_.takeStats();
  sample.discovery = discovery_->takeStats();
  sample.responses = std::exchange(finalResponses_, {});
  sample.requestsInFlight = requests_.size();
  sample.clientConnections = server_.connections();
  sample.workerConnections = pool_.connections();
  sample.invariantsBroken = monitor_.total();
  logServiceReport(sample);
  overloadManager_.logStatus();
}

}  // namespace wingslip
