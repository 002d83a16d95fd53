/// Connections to all workers: which are busy, which are idle, how many there may be, and what a worker's
/// removal or restart does to them.
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

/// Owns the connections. Everything is called on the one event loop. An attempt's end is reported exactly
/// once by the `AttemptDone` callback, unless `cancelAttempt` has returned it.
class UpstreamPool : private UpstreamConnectionOwner {
 public:
  using Clock = std::chrono::steady_clock;
  using Limits = UpstreamLimits;
  using Stats = UpstreamStats;
  using AttemptDone = std::function<void(AttemptEnd&&)>;

  /// `reportFields`: the fields of workers' load reports, in the settings' order. `overload` outlives the
  /// pool.
  UpstreamPool(boost::asio::io_context& io, const Limits& limits, std::vector<std::string> reportFields,
               OverloadManager& overload, AttemptDone attemptDone);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /// Who receives responses that are streamed. Set before the first attempt.
  void setStreamHandlers(UpstreamStreams streams) { context_.streams = std::move(streams); }
  /// Changed settings, from the next connection or response on.
  void updateSettings(const Limits& limits, std::vector<std::string> reportFields);

  /// Adds a worker, or moves it. Idle connections to an earlier address or process are closed. Attempts end
  /// as resets if they went to an earlier process, and as connectFailed if they were not sent to an earlier
  /// address yet.
  void setWorkerAddress(decision::WorkerId worker, const WorkerAddress& address);
  /// No attempt is started there any more, and `stopSendingTo` takes effect. Attempts that are out go on.
  void retireWorker(decision::WorkerId worker);
  /// Closes the worker's idle connections; attempts of which nothing has been sent end as connectFailed.
  void stopSendingTo(decision::WorkerId worker);

  /// Starts one attempt. `AttemptDone` is called once for it, never from within this call. Without a free
  /// connection, descriptor or memory in this process the result is notSent.
  void startAttempt(decision::RequestId id, unsigned attempt, decision::WorkerId worker,
                    AttemptRequest request, std::optional<Clock::duration> timeout);
  /// Ends the request's attempt and closes its connection. `nullopt`: there is none. `AttemptDone` is not
  /// called for it.
  std::optional<AttemptEnd> cancelAttempt(decision::RequestId id, decision::AttemptResult result);
  /// The consumer of the request's streamed response takes the next piece.
  void resumeResponse(decision::RequestId id);

  /// Attempts that were not started for want of descriptors or memory in this process, since the start.
  std::uint64_t localShortages() const { return localShortages_; }
  /// Requests of which the kernel has the last byte, since the start.
  std::uint64_t attemptsWritten() const { return context_.attemptsWritten; }
  std::size_t connections() const { return connectionCount_; }
  /// Busy connections as a share (0 to 1) of the most that there may be.
  double busyShare() const {
    return static_cast<double>(busy_.size()) /
           static_cast<double>(std::max<std::size_t>(1, context_.limits.maxConnections));
  }
  Stats takeStats() { return std::exchange(context_.stats, {}); }

 private:
  using ConnectionPtr = std::shared_ptr<UpstreamConnection>;
  struct Worker {
    WorkerAddress address;
    bool removed = false;
    std::vector<ConnectionPtr> idle;  // the most recently used last
    std::vector<ConnectionPtr> busy;
  };

  // UpstreamConnectionOwner
  void onReusable(const ConnectionPtr& connection) override;
  void closeConnection(UpstreamConnection& connection) override;
  void onAttemptDone(UpstreamConnection& connection, AttemptEnd&& end) override;

  void addBusy(decision::RequestId id, const ConnectionPtr& connection);
  void removeBusy(decision::RequestId id);
  bool isReachable(decision::WorkerId worker) const;
  ConnectionPtr connectionTo(decision::WorkerId worker);
  ConnectionPtr takeIdle(Worker& worker);
  bool reserveMemory(UpstreamConnection& connection, const AttemptRequest& request);
  bool evictIfFull();
  bool closeOldestIdle();
  void reportLater(decision::AttemptOutcome outcome);
  void closeIdle(Worker& worker);
  void endAttempts(const Worker& worker, const std::function<bool(const UpstreamConnection&)>& matches);

  UpstreamContext context_;
  const AttemptDone attemptDone_;
  std::unordered_map<decision::WorkerId, Worker> workers_;
  std::unordered_map<decision::RequestId, ConnectionPtr> busy_;
  UpstreamConnection::IdleList idle_;  // of all workers, the least recently used first
  std::size_t connectionCount_ = 0;
  std::uint64_t localShortages_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for posted handlers
};

}  // namespace wingslip
