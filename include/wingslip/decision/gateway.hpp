/// The decision module's interface: events in, actions out.
///
/// A host feeds events to one Gateway per gateway and carries out the actions that it is handed. The module
/// reads no clock but the times it is given, has no source of randomness but its salt, does no I/O and has no
/// threads: the same events give the same actions. A Gateway is used by one thread at a time, and calls
/// `Actions` from within its own event methods.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "wingslip/decision/settings.hpp"
#include "wingslip/decision/types.hpp"

namespace wingslip::decision {

/// A worker as service discovery lists it.
struct Endpoint {
  WorkerId worker = 0;
  WorkerPhase phase = WorkerPhase::ready;
  unsigned zone = 0;
  unsigned machineType = 0;
  unsigned cell = 0;
  Time startedAt = 0;  ///< 0: long ago
};

/// A request of a client.
struct Request {
  RequestId id = 0;
  unsigned classIndex = 0;  ///< in Settings::classes
  unsigned planIndex = 0;   ///< in Settings::plans
  CustomerId customer = 0;
  Time expiresAt = 0;
  double units = 1;
  unsigned customerGateways = 1;  ///< gateways that this customer's requests come through
  double memoryBytes = 0;         ///< that the host holds for it
};

/// How the host is short of memory, descriptors or time.
struct OverloadSignal {
  bool active = false;
  bool memoryShort = false;  ///< nothing that holds much memory is begun
  double shedFraction = 0;   ///< of new requests that are too many
  double excessBytes = 0;    ///< that requests in flight have to give back now
  Time expectedMs = 0;       ///< how much longer this may go on
};

/// The end of an attempt.
struct AttemptOutcome {
  RequestId id = 0;
  AttemptResult result = AttemptResult::ok;
  unsigned attempt = 0;    ///< its number within the request, from 0
  double actualUnits = 0;  ///< what the request has used; 0: the answer does not say
  WorkerId worker = 0;
  int quotaUsePercent = -1;  ///< metered use of the customer's quota; negative: the answer does not say
  Time latencyMs = 0;
  bool requestFinished = false;    ///< nothing more is owed to the client
  std::vector<double> loadReport;  ///< in the order of Settings::loadReportFields
};

/// The workers as the module sees them.
struct WorkerCounts {
  std::size_t listed = 0;
  std::size_t avoided = 0;  ///< of these: excluded by hand, draining or ejected
};

/// Requests rejected since the start, by reason. Not counted here: rejections by a hard ceiling, by a cap on
/// concurrency, of malformed requests, and after an attempt that may not be retried.
struct RejectionCounts {
  std::uint64_t localQuota = 0;        ///< the customer's bucket at this gateway is empty
  std::uint64_t fleetQuota = 0;        ///< its quota over all gateways is estimated to be used up
  std::uint64_t unknownCustomer = 0;   ///< its use of the quota is unknown, and the request too large
  std::uint64_t noWorker = 0;          ///< no worker may be sent to
  std::uint64_t concurrencyLimit = 0;  ///< the gateway's own limit, at first attempts and retries
  std::uint64_t overload = 0;  ///< the host is short of memory, descriptors or time; also where the answer is
                               ///< a failure
};

/// What the module asks of its host. Called from within the events of Gateway.
class Actions {
 public:
  virtual ~Actions() = default;
  /// @param timeoutMs when the attempt is given up; 0: when the client gives up.
  virtual void startAttempt(RequestId id, WorkerId worker, Time timeoutMs) = 0;
  /// The final answer: it may be sent again after `retryAfterMs`, since it has not run or a repeat does no
  /// harm.
  virtual void reject(RequestId id, Time retryAfterMs) = 0;
  /// The final answer: whether it has run is not known.
  virtual void fail(RequestId id) = 0;
  /// Gateway::onTimer is to be called with `tag` in `waitMs`.
  virtual void setTimer(Time waitMs, std::uint64_t tag) = 0;
  /// The list of workers and its changes are to be asked for.
  virtual void pollEndpoints() = 0;
  virtual void log(const std::string& line) = 0;
};

/// All decisions of one gateway: admission, choice of worker, retries and quotas.
class Gateway {
 public:
  /// @throws std::invalid_argument on settings that make no sense.
  Gateway(const Settings& settings, std::uint64_t salt, Time now, Actions& actions);
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;

  /// A list of workers, changes to one, or the failure to get one. A worker whose start time differs from
  /// before counts as a new process.
  void onEndpoints(Time now, EndpointUpdate kind, const std::vector<Endpoint>& endpoints);
  /// A new request: starts its first attempt or rejects it. One whose id is in flight is ignored.
  void onRequest(Time now, const Request& request);
  /// The last byte of a request whose header came before: its time counts from now.
  void onRequestComplete(Time now, RequestId id, Time expiresAt);
  /// Ends an attempt; a second outcome of one is ignored. May start another attempt or give the final answer.
  void onAttemptOutcome(Time now, const AttemptOutcome& outcome);
  /// Nobody waits for the answer any more. An attempt in flight still gets its outcome.
  void onClientDisconnect(Time now, RequestId id);
  /// From now on the client gets the answer of the attempt in flight.
  void onResponseStarted(Time now, RequestId id);
  /// Holds until the next one; without it every action is as if there were no such event.
  void onOverload(Time now, const OverloadSignal& signal);
  /// A time set by Actions::setTimer has passed. One of a request that has ended is ignored.
  void onTimer(Time now, std::uint64_t tag);
  /// Changed settings, from the next request on: one in flight keeps its class, and may lose attempts but
  /// gain none.
  /// @throws std::invalid_argument as the constructor does, and then nothing has changed.
  void onSettings(Time now, const Settings& settings);

  /// Nothing new goes to this worker, listed or not, until `include`.
  void exclude(Time now, WorkerId worker);
  /// The worker is used again, from slow start.
  void include(Time now, WorkerId worker);

  /// Good answers per ms that a warm worker has lately given this gateway: what a worker in slow start is
  /// measured by.
  double warmWorkerRate(Time now) const;
  /// The same from the process that this one takes over from.
  void seedWarmWorkerRate(Time now, double ratePerMs);

  WorkerCounts workerCounts(Time now) const;
  RejectionCounts rejectionCounts() const;
  /// Customers whose quota this gateway tracks; bounded.
  std::size_t trackedCustomers() const;
  /// Admitted requests without a final answer.
  std::size_t requestsInFlight() const;

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace wingslip::decision
