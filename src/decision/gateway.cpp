/// The decision module: events in, actions out. Its interface is include/wingslip/decision/gateway.hpp.
///
/// Core implements the life cycle of a request and delegates each decision to a module: admission,
/// load_shedding, concurrency_limit and load_balancer before the first attempt, worker_feedback and
/// customer_quota at the outcome of an attempt, retry_policy for a retry or the final answer.
#include "wingslip/decision/gateway.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <utility>

#include "decision/admission.hpp"
#include "decision/concurrency_limit.hpp"
#include "decision/customer_quota.hpp"
#include "decision/customer_registry.hpp"
#include "decision/decision_log.hpp"
#include "decision/load_balancer.hpp"
#include "decision/load_report.hpp"
#include "decision/load_shedding.hpp"
#include "decision/outlier_detection.hpp"
#include "decision/random.hpp"
#include "decision/request_class.hpp"
#include "decision/request_table.hpp"
#include "decision/retry_policy.hpp"
#include "decision/settings_check.hpp"
#include "decision/slow_start.hpp"
#include "decision/unknown_customers.hpp"
#include "decision/worker_feedback.hpp"
#include "decision/worker_table.hpp"

namespace wingslip::decision {
namespace {

constexpr Time kRetryAfterMs = 250;    // retry delay of a rejection without a better estimate
constexpr Time kPollRetryMs = 250;     // delay before requesting the endpoint list again after a failure
constexpr Time kWorkerRecheckMs = 40;  // interval between searches for a worker that may run the retry
constexpr std::uint64_t kPollTimerTag = ~std::uint64_t{0};  // all other tags are request ids

const Settings& validated(const Settings& settings) {
  checkSettings(settings);
  return settings;
}

}  // namespace

class Gateway::Core {
 public:
  Core(const Settings& settings, std::uint64_t randomSeed, Time now, Actions& actions)
      : settings_(validated(settings)),
        actions_(actions),
        random_(randomSeed),
        classes_(settings_.classes, now),
        quota_(settings_),
        customers_(settings_, quota_, random_, now),
        unknownCustomers_(settings_, customers_.meanRequestSize()),
        admission_(settings_, quota_.fleet(), unknownCustomers_, random_),
        workers_(settings_, random_),
        outliers_(classes_),
        slowStart_(settings_),
        loadReports_(settings_),
        loadBalancer_(settings_, random_, workers_, outliers_, slowStart_, loadReports_),
        workerFeedback_(classes_, workers_, outliers_, slowStart_, loadReports_, concurrencyLimit_),
        loadShedding_(random_),
        log_(actions, now) {
    if (settings_.pollsEndpoints) actions_.pollEndpoints();
  }
  // Not copyable: the modules reference each other.
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  void onRequest(Time now, const Request& request) {
    if (requests_.find(request.id)) return;
    if (!isWellFormed(request)) return actions_.reject(request.id, kRetryAfterMs);
    PendingRequest pending = makePendingRequest(now, request);
    if (!mayRepeatEarlier(pending, now)) return rejectOrFail(pending);
    Customer& customer = customers_.findOrAdd(now, request);
    logSummary(now);
    if (const auto rejection = checkAdmission(customer, request)) return rejectNew(pending, *rejection);
    UpstreamWorker* worker = chooseWorker(now, pending);
    admission_.recordWorkerChoice(now, worker != nullptr);
    if (!worker) return rejectNew(pending, {RejectionReason::noWorker, kRetryAfterMs});
    CustomerQuota::debit(customer, request.units);
    startAttempt(now, requests_.add(std::move(pending)), *worker);
  }

  void onAttemptOutcome(Time now, const AttemptOutcome& outcome) {
    const auto attempt = requests_.takeAttempt(outcome.id, outcome.attempt);
    if (!attempt) return;
    PendingRequest* pending = requests_.find(outcome.id);
    UpstreamWorker* worker = workers_.find(outcome.worker);
    Customer* customer = customers_.find(attempt->customer);
    if (customer) quota_.recordAttemptEnded(*customer, now);
    if (worker && workerFeedback_.processOutcome(*worker, now, *attempt->requestClass, outcome))
      log_.logEvent(now, "worker ejected: too many consecutive failed attempts");
    retryPolicy_.recordResult(outcome.result);
    if (customer) handleQuotaReading(*customer, now, pending, outcome.quotaUsePercent);
    if (!pending) return;
    pending->hasAttemptInFlight = false;
    if (settings_.correctsUnits && outcome.result == AttemptResult::ok && customer && outcome.actualUnits > 0)
      quota_.correctUnits(*customer, now, pending->request.units - outcome.actualUnits);
    if (outcome.requestFinished || outcome.result == AttemptResult::ok) return requests_.erase(outcome.id);
    if (!provesNotRun(outcome.result)) recordPossibleRun(*pending, worker);
    if (outcome.result == AttemptResult::notSent || now >= pending->request.expiresAt)
      return rejectOrFail(*pending);
    retryOrEnd(now, *pending);
  }

  void onRequestComplete(Time now, RequestId id, Time expiresAt) {
    PendingRequest* pending = requests_.find(id);
    if (!pending) return;
    pending->request.expiresAt = expiresAt;
    pending->arrivedAt = now;
    pending->lastAttemptAt = now;
    if (!pending->hasAttemptInFlight) return;
    // The worker could not answer an incomplete request, so its response time counts from the completion.
    if (UpstreamWorker* worker = workers_.find(pending->triedWorkers.back())) worker->lastResponseAt = now;
  }

  void onDeadlineChange(RequestId id, Time expiresAt) {
    if (PendingRequest* pending = requests_.find(id)) pending->request.expiresAt = expiresAt;
  }

  bool maySend(Time now, RequestId id) const {
    const PendingRequest* pending = requests_.find(id);
    return pending && pending->hasAttemptInFlight && RetryPolicy::maySend(*pending, now);
  }

  void onClientDisconnect(RequestId id) { requests_.erase(id); }

  void onResponseStarted(RequestId id) {
    if (PendingRequest* pending = requests_.find(id)) pending->responseStarted = true;
  }

  // Ends requests in flight until their memory covers `signal.excessBytes`.
  void onOverload(const OverloadSignal& signal) {
    loadShedding_.onSignal(signal);
    double excessBytes = signal.excessBytes;
    if (!(excessBytes > 0)) return;
    const auto isOverQuota = [this](const PendingRequest& pending) {
      const Customer* customer = customers_.find(pending.request.customer);
      return customer && pending.plan.rate > 0 && customer->fleetTokens < 0;
    };
    for (const ReleaseCandidate& candidate : LoadShedding::releaseOrder(requests_, isOverQuota)) {
      if (excessBytes <= 0) return;
      PendingRequest* pending = requests_.find(candidate.id);
      if (!pending) continue;
      excessBytes -= pending->request.memoryBytes;
      releaseForOverload(*pending);
    }
  }

  void onTimer(Time now, std::uint64_t tag) {
    if (tag == kPollTimerTag) return actions_.pollEndpoints();
    PendingRequest* pending = requests_.find(static_cast<RequestId>(tag));
    if (!pending || pending->hasAttemptInFlight) return;
    retryOrEnd(now, *pending);
  }

  void onEndpoints(Time now, EndpointUpdate kind, const std::vector<Endpoint>& list) {
    if (kind == EndpointUpdate::failed) return actions_.setTimer(kPollRetryMs, kPollTimerTag);
    workers_.applyUpdate(now, kind, list);
    concurrencyLimit_.initialize(workers_.size(), settings_.gatewayCount);
    workers_.eraseRemoved();
    loadBalancer_.assignSubset();
  }

  void onSettings(Time now, const Settings& next) {
    checkSettings(next);
    classes_.replace(next.classes, now);
    for (auto& [id, pending] : requests_.all())
      pending.maxAttempts = std::min(pending.maxAttempts, next.maxAttempts);
    customers_.applySettings(now, next);
    settings_ = next;
    loadBalancer_.assignSubset();  // the gateway's index or the gateway count may have changed
  }

  void exclude(Time now, WorkerId worker) { workers_.exclude(now, worker); }
  void include(Time now, WorkerId worker) { workers_.include(now, worker); }

  double warmWorkerRate(Time now) const { return slowStart_.warmWorkerRate(now); }
  void seedWarmWorkerRate(Time now, double ratePerMs) { slowStart_.seedWarmWorkerRate(now, ratePerMs); }
  WorkerCounts workerCounts(Time now) const { return workers_.counts(now); }
  const RejectionCounts& rejectionCounts() const { return rejections_; }
  std::size_t trackedCustomers() const { return customers_.size(); }
  std::size_t requestsInFlight() const { return requests_.size(); }

 private:
  bool isWellFormed(const Request& request) const {
    return request.classIndex < classes_.size() && request.planIndex < settings_.plans.size() &&
           std::isfinite(request.units) && std::isfinite(request.expiresAt);
  }

  // Checks the customer's quota first, then the overload of the host.
  std::optional<Rejection> checkAdmission(Customer& customer, const Request& request) {
    const Time usualLatencyMs = classes_[request.classIndex]->usualLatencyMs();
    if (auto rejection = admission_.decide(customer, request, usualLatencyMs, loadShedding_.signal().active))
      return rejection;
    if (loadShedding_.shouldReject(request, classes_[request.classIndex]->settings,
                                   settings_.plans[request.planIndex]))
      return Rejection{RejectionReason::overload, loadShedding_.signal().expectedDurationMs};
    return std::nullopt;
  }

  PendingRequest makePendingRequest(Time now, const Request& request) {
    PendingRequest pending;
    pending.request = request;
    pending.requestClass = classes_[request.classIndex];
    pending.plan = settings_.plans[request.planIndex];
    pending.maxAttempts = settings_.maxAttempts;
    pending.arrivedAt = now;
    if (!request.earlier) return pending;
    pending.lastAttemptAt = request.earlier->sentAt;
    recordPossibleRun(pending, workers_.find(request.earlier->worker));
    return pending;
  }

  // Whether a request whose id has come before may be sent. A worker that is not listed any more does not
  // tell which others recognise the idempotency key.
  bool mayRepeatEarlier(const PendingRequest& pending, Time now) {
    const auto& earlier = pending.request.earlier;
    if (!earlier) return true;
    if (earlier->isInFlight || !RetryPolicy::maySend(pending, now)) return false;
    return workers_.find(earlier->worker) || isSafeToReject(pending);
  }

  // A request that may have run is exempt from the gateway's concurrency limit, because without a retry its
  // final answer might be a failure.
  UpstreamWorker* chooseWorker(Time now, const PendingRequest& pending) {
    if (!pending.mayHaveRun && !concurrencyLimit_.hasCapacity(random_)) {
      ++rejections_.concurrencyLimit;
      return nullptr;
    }
    return loadBalancer_.pick(now, pending);
  }

  void startAttempt(Time now, PendingRequest& pending, UpstreamWorker& worker) {
    const Time timeoutMs = retryPolicy_.attemptTimeoutMs(pending, now);
    const Request& request = pending.request;
    pending.lastAttemptAt = now;
    pending.hasAttemptInFlight = true;
    pending.triedWorkers.push_back(worker.endpoint.worker);
    requests_.addAttempt(request.id, pending.attempts, {request.customer, pending.requestClass});
    ++pending.attempts;
    concurrencyLimit_.recordAttemptStarted(now);
    if (++worker.inFlight == 1) worker.lastResponseAt = now;
    SlowStart::consumeToken(worker);
    if (Customer* customer = customers_.find(request.customer)) quota_.recordAttemptStarted(*customer, now);
    actions_.startAttempt(request.id, worker.endpoint.worker, timeoutMs);
  }

  // `pending` is null if the request ended before its attempt.
  void handleQuotaReading(Customer& customer, Time now, const PendingRequest* pending, int percent) {
    if (percent < 0) return;
    if (pending && unknownCustomers_.canOverrunQuota(customer))
      unknownCustomers_.recordReading(pending->request, pending->plan,
                                      pending->classSettings().priorityWeight, percent);
    quota_.recordReading(customer, now, percent);
  }

  // The first attempt that may have run determines which workers may run a retry, and until when.
  static void recordPossibleRun(PendingRequest& pending, const UpstreamWorker* worker) {
    if (pending.mayHaveRun) return;
    pending.mayHaveRun = true;
    pending.firstRunAt = pending.lastAttemptAt;
    if (!worker) return;
    pending.firstRunZone = worker->endpoint.zone;
    pending.firstRunCell = worker->endpoint.cell;
  }

  void retryOrEnd(Time now, PendingRequest& pending) {
    if (!retryPolicy_.mayRetry(pending, now)) return rejectOrFail(pending);
    if (UpstreamWorker* worker = chooseWorker(now, pending)) return startAttempt(now, pending, *worker);
    // A request that has not run can be rejected immediately. A request that may have run waits until a
    // worker in its deduplication scope is eligible, because without a retry its final answer might be a
    // failure.
    if (!pending.mayHaveRun || now + kWorkerRecheckMs >= pending.request.expiresAt)
      return rejectOrFail(pending);
    actions_.setTimer(kWorkerRecheckMs, pending.request.id);
  }

  // A rejection means that the client can resend safely; if that is not known, the final answer is a failure.
  void rejectOrFail(const PendingRequest& pending) {
    const RequestId id = pending.request.id;
    const bool canResendSafely = isSafeToReject(pending);
    requests_.erase(id);
    if (canResendSafely)
      sendRejection(id, kRetryAfterMs);
    else
      actions_.fail(id);
  }

  void rejectNew(const PendingRequest& pending, const Rejection& rejection) {
    if (!isSafeToReject(pending)) return actions_.fail(pending.request.id);
    reject(pending.request.id, rejection);
  }

  void reject(RequestId id, const Rejection& rejection) {
    countRejection(rejections_, rejection.reason);
    sendRejection(id, rejection.retryAfterMs);
  }

  // The retry delay is at least 1 ms and at most maxRetryAfterMs. Under overload it is first raised to the
  // expected duration of the overload and, once bounded, multiplied by a random factor in (0.5, 1], so that
  // clients do not all retry at the same time.
  void sendRejection(RequestId id, Time retryAfterMs) {
    const OverloadSignal& overload = loadShedding_.signal();
    if (overload.active) retryAfterMs = std::max(retryAfterMs, overload.expectedDurationMs);
    const Time maxMs = settings_.maxRetryAfterMs > 0 ? settings_.maxRetryAfterMs : retryAfterMs;
    retryAfterMs = std::clamp(retryAfterMs, 1.0, std::max(1.0, maxMs));
    actions_.reject(id, overload.active ? retryAfterMs * (1 - random_.next() / 2) : retryAfterMs);
  }

  // Ends a request, with or without an attempt in flight, to relieve the overloaded host.
  void releaseForOverload(PendingRequest& pending) {
    countRejection(rejections_, RejectionReason::overload);
    if (pending.responseStarted) {
      const RequestId id = pending.request.id;
      requests_.erase(id);
      return actions_.fail(id);
    }
    pending.mayHaveRun = pending.mayHaveRun || pending.hasAttemptInFlight;
    rejectOrFail(pending);
  }

  void logSummary(Time now) {
    if (!log_.isSummaryDue(now)) return;
    DecisionGauges gauges;
    gauges.assumedBurstShare = unknownCustomers_.assumedBurstShare();
    gauges.concurrencyLimit = concurrencyLimit_.limit();
    gauges.attemptsInFlight = concurrencyLimit_.inFlight();
    gauges.workerShortage = admission_.workerShortage();
    gauges.workers = readyWorkerCounts(now);
    log_.summarize(now, rejections_, gauges);
  }

  ReadyWorkerCounts readyWorkerCounts(Time now) const {
    ReadyWorkerCounts counts;
    for (const UpstreamWorker& worker : workers_.all()) {
      if (!worker.isReady()) continue;
      ++counts.ready;
      if (worker.isEjected(now)) ++counts.ejected;
      if (!slowStart_.isWarm(worker, now)) ++counts.warmingUp;
      if (isPaused(worker, now)) ++counts.overloaded;
    }
    return counts;
  }

  Settings settings_;
  Actions& actions_;
  Random random_;
  RequestClasses classes_;
  CustomerQuota quota_;
  CustomerRegistry customers_;
  UnknownCustomers unknownCustomers_;
  Admission admission_;
  WorkerTable workers_;
  OutlierDetection outliers_;
  SlowStart slowStart_;
  LoadReports loadReports_;
  LoadBalancer loadBalancer_;
  GatewayConcurrencyLimit concurrencyLimit_;
  WorkerFeedback workerFeedback_;
  RetryPolicy retryPolicy_;
  RequestTable requests_;
  LoadShedding loadShedding_;
  DecisionLog log_;
  RejectionCounts rejections_;
};

Gateway::Gateway(const Settings& settings, std::uint64_t randomSeed, Time now, Actions& actions)
    : core_(std::make_unique<Core>(settings, randomSeed, now, actions)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;
void Gateway::onEndpoints(Time now, EndpointUpdate kind, const std::vector<Endpoint>& list) {
  core_->onEndpoints(now, kind, list);
}
void Gateway::onRequest(Time now, const Request& request) { core_->onRequest(now, request); }
void Gateway::onAttemptOutcome(Time now, const AttemptOutcome& outcome) {
  core_->onAttemptOutcome(now, outcome);
}
void Gateway::onRequestComplete(Time now, RequestId id, Time expiresAt) {
  core_->onRequestComplete(now, id, expiresAt);
}
void Gateway::onDeadlineChange(RequestId id, Time expiresAt) { core_->onDeadlineChange(id, expiresAt); }
bool Gateway::maySend(Time now, RequestId id) const { return core_->maySend(now, id); }
void Gateway::onClientDisconnect(Time, RequestId id) { core_->onClientDisconnect(id); }
void Gateway::onResponseStarted(Time, RequestId id) { core_->onResponseStarted(id); }
void Gateway::onOverload(Time, const OverloadSignal& signal) { core_->onOverload(signal); }
void Gateway::onTimer(Time now, std::uint64_t tag) { core_->onTimer(now, tag); }
void Gateway::exclude(Time now, WorkerId worker) { core_->exclude(now, worker); }
void Gateway::include(Time now, WorkerId worker) { core_->include(now, worker); }
void Gateway::onSettings(Time now, const Settings& settings) { core_->onSettings(now, settings); }
double Gateway::warmWorkerRate(Time now) const { return core_->warmWorkerRate(now); }
void Gateway::seedWarmWorkerRate(Time now, double ratePerMs) { core_->seedWarmWorkerRate(now, ratePerMs); }
WorkerCounts Gateway::workerCounts(Time now) const { return core_->workerCounts(now); }
RejectionCounts Gateway::rejectionCounts() const { return core_->rejectionCounts(); }
std::size_t Gateway::trackedCustomers() const { return core_->trackedCustomers(); }
std::size_t Gateway::requestsInFlight() const { return core_->requestsInFlight(); }

}  // namespace wingslip::decision
