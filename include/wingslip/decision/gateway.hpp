/// The decision module's interface: events in, actions out.
///
/// The host passes events to one Gateway object per gateway and executes the actions that it requests. The
/// module is deterministic: it takes the time only from its events and randomness only from its random seed,
/// does no I/O and has no threads, so the same events result in the same actions. A Gateway object must be
/// used by one thread at a time; it calls `Actions` only from within its constructor and its event methods.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wingslip/decision/settings.hpp"
#include "wingslip/decision/types.hpp"

namespace wingslip::decision {

/// A worker as reported by service discovery.
struct Endpoint {
  WorkerId worker = 0;
  WorkerPhase phase = WorkerPhase::ready;
  unsigned zone = 0;         ///< index of its zone, see Settings::zone
  unsigned machineType = 0;  ///< index of its machine type
  unsigned cell = 0;         ///< number of its cell, see DeduplicationScope
  Time startedAt = 0;        ///< start of the worker process; 0: unknown, treated as long ago
};

/// An attempt of a request that has come before under the same id, as far as a worker may have run it.
struct EarlierAttempt {
  Time sentAt = 0;  ///< when the first of these attempts was sent
  WorkerId worker = 0;
  bool isInFlight = false;  ///< the earlier request has no final answer yet
};

/// A client's request.
struct Request {
  RequestId id = 0;
  unsigned classIndex = 0;  ///< index in Settings::classes
  unsigned planIndex = 0;   ///< index in Settings::plans
  CustomerId customer = 0;
  Time expiresAt = 0;                       ///< the client's deadline
  double units = 1;                         ///< quota units; an estimate if Settings::correctsUnits
  unsigned customerGatewayCount = 1;        ///< number of gateways that receive this customer's requests
  double memoryBytes = 0;                   ///< memory that the host uses for the request
  std::optional<EarlierAttempt> earlier{};  ///< set if the id has come before and may have run
};

/// Overload of the host: it is short of memory, file descriptors or processing time.
struct OverloadSignal {
  bool active = false;
  bool isMemoryOverloaded = false;  ///< new requests that use more than 16 KiB must be rejected
  double shedFraction = 0;          ///< share of new requests to shed, from 0 to 1
  double excessBytes = 0;           ///< bytes to release now by ending requests in flight
  Time expectedDurationMs = 0;      ///< expected remaining duration of the overload
};

/// The outcome of an attempt.
struct AttemptOutcome {
  RequestId id = 0;
  AttemptResult result = AttemptResult::ok;
  unsigned attempt = 0;    ///< number of the attempt within the request, from 0
  double actualUnits = 0;  ///< units that the request used; 0: not in the answer
  WorkerId worker = 0;
  /// Quota reading: metered usage in percent of the plan's rate, or, for a plan without a rate, metered peak
  /// of attempts in flight in percent of the cap. Can exceed 100; negative: not in the answer.
  int quotaUsePercent = -1;
  Time latencyMs = 0;              ///< duration of the attempt as measured by the host
  bool requestFinished = false;    ///< the request has ended for the client: no retry, no final answer
  std::vector<double> loadReport;  ///< values in the order of Settings::loadReportFields
};

/// Numbers of workers by their state in the module.
struct WorkerCounts {
  std::size_t listed = 0;
  std::size_t unavailable = 0;  ///< of the listed: excluded by an operator, draining or ejected
};

/// Requests rejected since the start, by reason; the reasons can overlap. The counts exclude rejections by a
/// hard ceiling or a concurrency cap, rejections of malformed requests, and rejections after the first
/// attempt other than those by the concurrency limit and under overload.
struct RejectionCounts {
  std::uint64_t localQuota = 0;  ///< too few tokens in the customer's bucket at this gateway
  std::uint64_t fleetQuota = 0;  ///< the customer's quota over all gateways is estimated to be used up
  /// The customer's usage of its fleet-wide quota is unknown. The rejection is random; a larger request is
  /// more likely to be rejected.
  std::uint64_t unknownCustomer = 0;
  std::uint64_t noWorker = 0;  ///< no worker for the first attempt; includes those of concurrencyLimit
  std::uint64_t concurrencyLimit = 0;  ///< first attempts and retries prevented by the gateway's limit
  std::uint64_t overload = 0;          ///< the host is overloaded; includes requests that ended as failures
};

/// Actions that the host must execute. The methods are called from within the constructor and
/// the event methods of Gateway.
class Actions {
 public:
  virtual ~Actions() = default;
  /// Sends the request to `worker`. The host reports the outcome with Gateway::onAttemptOutcome.
  /// @param timeoutMs timeout of the attempt; 0: none before the request's deadline.
  virtual void startAttempt(RequestId id, WorkerId worker, Time timeoutMs) = 0;
  /// Sends the final answer that the client may resend the request after `retryAfterMs`. This is safe,
  /// because the request has not run or running it again has no further effect.
  virtual void reject(RequestId id, Time retryAfterMs) = 0;
  /// Sends the final answer that the request failed and may have run. If its response has started, the host
  /// must abort the response instead.
  virtual void fail(RequestId id) = 0;
  /// Calls Gateway::onTimer with `tag` after `waitMs`.
  virtual void setTimer(Time waitMs, std::uint64_t tag) = 0;
  /// Requests the endpoint list and its later changes; the result is reported with Gateway::onEndpoints.
  virtual void pollEndpoints() = 0;
  /// Writes a log line.
  virtual void log(const std::string& line) = 0;
};

/// All decisions of one gateway: admission, load balancing, retries and quotas.
class Gateway {
 public:
  /// @param randomSeed seed of all random choices.
  /// @param actions must outlive the object.
  /// @throws std::invalid_argument if a setting is invalid.
  Gateway(const Settings& settings, std::uint64_t randomSeed, Time now, Actions& actions);
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;

  /// Applies an endpoint list or its changes. A worker whose start time has changed is treated as a new
  /// process. If the request for the list failed, sets a timer to repeat it.
  void onEndpoints(Time now, EndpointUpdate kind, const std::vector<Endpoint>& endpoints);
  /// Starts the first attempt of a new request, or rejects it. Ignored if a request with this id is in
  /// flight.
  void onRequest(Time now, const Request& request);
  /// The body of a request that was started on its header is complete. Its latency objective counts from now,
  /// its deadline becomes `expiresAt`, and the idempotency window of the attempt in flight counts from now.
  void onRequestComplete(Time now, RequestId id, Time expiresAt);
  /// The deadline of a request in flight becomes `expiresAt`, although its body is incomplete.
  void onDeadlineChange(RequestId id, Time expiresAt);
  /// Ends an attempt; a second outcome of the same attempt is ignored. May start a retry or send the final
  /// answer.
  void onAttemptOutcome(Time now, const AttemptOutcome& outcome);
  /// Whether the request's attempt in flight, of which the worker does not have the last byte yet, may still
  /// be sent. Time may have passed since Actions::startAttempt: the idempotency window may be over, or
  /// changed settings may permit fewer attempts.
  [[nodiscard]] bool maySend(Time now, RequestId id) const;
  /// The client disconnected. An attempt in flight must still be reported with onAttemptOutcome.
  void onClientDisconnect(Time now, RequestId id);
  /// The response of the attempt in flight is being sent to the client.
  void onResponseStarted(Time now, RequestId id);
  /// Sets the overload state, which applies until the next call, and ends requests in flight until the
  /// memory of the ended requests is at least `signal.excessBytes`. Initially the host is not overloaded.
  void onOverload(Time now, const OverloadSignal& signal);
  /// A timer set by Actions::setTimer has expired: retries the request, or requests the endpoint list again.
  /// Ignored if the request has ended or has an attempt in flight.
  void onTimer(Time now, std::uint64_t tag);
  /// Applies changed settings immediately. A request in flight retains its class and its plan; its maximum
  /// number of attempts can decrease but not increase.
  /// @throws std::invalid_argument if a setting is invalid; the previous settings then remain.
  void onSettings(Time now, const Settings& settings);

  /// Excludes a worker, listed or not, from new attempts until `include`.
  void exclude(Time now, WorkerId worker);
  /// Ends the exclusion of a worker, which then goes through slow start.
  void include(Time now, WorkerId worker);

  /// Average rate of successful answers from one warm worker to this gateway, in answers per ms. Slow start
  /// limits warming workers relative to it.
  double warmWorkerRate(Time now) const;
  /// Sets the initial warmWorkerRate to that of the previous process in a handover. A negative or non-finite
  /// rate is ignored.
  void seedWarmWorkerRate(Time now, double ratePerMs);

  /// Current numbers of workers.
  WorkerCounts workerCounts(Time now) const;
  /// Rejections since the start.
  RejectionCounts rejectionCounts() const;
  /// Number of customers whose quota this gateway tracks; at most 4,096.
  std::size_t trackedCustomers() const;
  /// Number of admitted requests without a final answer.
  std::size_t requestsInFlight() const;

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace wingslip::decision
