/// The pool of connections to all workers: busy and idle connections, the connection limit, and the handling
/// of retired or restarted workers.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gatekeeper/upstream_attempt.hpp"
#include "gatekeeper/upstream_connection.hpp"
#include "net/overload_manager.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// Owns the connections to the workers. All calls are made on the event loop. The end of each attempt is
/// reported exactly once through the `AttemptDone` callback, unless `cancelAttempt` has returned it.
class UpstreamPool : private UpstreamConnectionOwner {
 public:
  using Clock = std::chrono::steady_clock;
  using Limits = UpstreamLimits;
  using Stats = UpstreamStats;
  using AttemptDone = std::function<void(AttemptEnd&&)>;

  /// `reportFields`: names of the fields of the workers' load reports, in the order of the settings.
  /// `overload` must outlive the pool.
  UpstreamPool(boost::asio::io_context& io, const Limits& limits, std::vector<std::string> reportFields,
               OverloadManager& overload, AttemptDone attemptDone);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /// Sets the receivers of streamed responses. Must be called before the first attempt.
  void setStreamHandlers(UpstreamStreams streams) { context_.streams = std::move(streams); }
  /// Applies changed settings, which take effect with the next connection or response.
  void updateSettings(const Limits& limits, std::vector<std::string> reportFields);

  /// Adds a worker or updates its address, and ends its retirement. Closes idle connections to its previous
  /// address or process. Attempts at the previous process end as resets, or as connectFailed if their last
  /// byte was not written; attempts at the previous address of which nothing has been sent end as
  /// connectFailed.
  void setWorkerAddress(decision::WorkerId worker, const WorkerAddress& address);
  /// Marks the worker as retired: it receives no further attempts, and `stopSendingTo` is applied. Attempts
  /// already sent continue.
  void retireWorker(decision::WorkerId worker);
  /// Closes the worker's idle connections. Attempts of which nothing has been sent end as connectFailed.
  void stopSendingTo(decision::WorkerId worker);

  /// Starts an attempt. Calls `AttemptDone` once for it, never from within this call. The result is
  /// connectFailed if the worker is unknown or retired, and notSent if the connection limit is reached or the
  /// memory budget is exhausted and no idle connection is left to close. `timeout`: see
  /// `UpstreamConnection::startAttempt`.
  void startAttempt(decision::RequestId id, unsigned attempt, decision::WorkerId worker,
                    AttemptRequest request, std::optional<Clock::duration> timeout);
  /// Ends the request's attempt, closes its connection and returns the outcome, for which `AttemptDone` is
  /// not called. Returns `nullopt` if the request has no attempt in flight.
  std::optional<AttemptEnd> cancelAttempt(decision::RequestId id, decision::AttemptResult result);
  /// Resumes reading the request's streamed response when its consumer is ready for the next piece.
  void resumeResponse(decision::RequestId id);
  /// See `UpstreamConnection::streamUnfinishedResponse`. False if the request has no attempt in flight.
  [[nodiscard]] bool streamUnfinishedResponse(decision::RequestId id);
  /// See `UpstreamConnection::endShortResponse`. Calls `AttemptDone` if it ends the attempt.
  [[nodiscard]] bool endShortResponse(decision::RequestId id);

  /// Attempts not started because of the connection limit or the memory budget, since the start.
  std::uint64_t localResourceShortages() const { return localResourceShortages_; }
  /// Requests whose last byte the kernel has accepted, since the start.
  std::uint64_t attemptsWritten() const { return context_.attemptsWritten; }
  /// Number of open connections, busy or idle.
  std::size_t connections() const { return connectionCount_; }
  /// Busy connections as a fraction (0 to 1) of the connection limit.
  double busyFraction() const {
    return static_cast<double>(busy_.size()) /
           static_cast<double>(std::max<std::size_t>(1, context_.limits.maxConnections));
  }
  /// Returns the statistics since the previous call, and resets them.
  Stats takeStats() { return std::exchange(context_.stats, {}); }

 private:
  using ConnectionPtr = std::shared_ptr<UpstreamConnection>;
  struct Worker {
    WorkerAddress address;
    bool retired = false;
    std::vector<ConnectionPtr> idle;  // the most recently used at the back
    std::vector<ConnectionPtr> busy;
  };

  // UpstreamConnectionOwner
  void onReusable(const ConnectionPtr& connection) override;
  void closeConnection(UpstreamConnection& connection) override;
  void onAttemptDone(UpstreamConnection& connection, AttemptEnd&& end) override;

  void addBusy(decision::RequestId id, const ConnectionPtr& connection);
  void removeBusy(decision::RequestId id);
  bool isReachable(decision::WorkerId worker) const;
  ConnectionPtr acquireConnection(decision::WorkerId worker);
  ConnectionPtr takeIdle(Worker& worker);
  bool reserveMemory(UpstreamConnection& connection, const AttemptRequest& request);
  bool evictIfFull();
  bool closeOldestIdle();
  void postAttemptEnd(decision::AttemptOutcome outcome);
  void closeIdle(Worker& worker);
  void endAttempts(const Worker& worker, const std::function<bool(const UpstreamConnection&)>& matches);

  UpstreamContext context_;
  const AttemptDone attemptDone_;
  std::unordered_map<decision::WorkerId, Worker> workers_;
  std::unordered_map<decision::RequestId, ConnectionPtr> busy_;
  UpstreamConnection::IdleList idle_;  // of all workers, the least recently used at the front
  std::size_t connectionCount_ = 0;
  std::uint64_t localResourceShortages_ = 0;
  // False once the pool is destroyed; checked by posted handlers.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wingslip
