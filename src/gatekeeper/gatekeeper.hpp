/// The gatekeeper: connects the decision module with clients, workers and discovery. Translates socket events
/// into the module's events and the module's actions into socket operations. It makes only a few decisions of
/// its own: whether an attempt may still be sent (`refusalOf`), the response at a request's deadline, the
/// responses before it starts serving, the failure of the requests that remain at the end of a drain, and the
/// closing of idle connections under overload. `ClientServer` rejects requests for which it has no capacity.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/config.hpp"
#include "endpoint_watch/start_times.hpp"
#include "gatekeeper/client_server.hpp"
#include "gatekeeper/decision_clock.hpp"
#include "gatekeeper/discovery_client.hpp"
#include "gatekeeper/exclusion_control.hpp"
#include "gatekeeper/fleet_services.hpp"
#include "gatekeeper/handover.hpp"
#include "gatekeeper/metrics.hpp"
#include "gatekeeper/name_index.hpp"
#include "gatekeeper/ops_server.hpp"
#include "gatekeeper/request_in_flight.hpp"
#include "gatekeeper/send_guard.hpp"
#include "gatekeeper/sent_requests.hpp"
#include "gatekeeper/service_report.hpp"
#include "gatekeeper/upstream_pool.hpp"
#include "invariant/monitor.hpp"
#include "net/overload_manager.hpp"
#include "net/rate_limited_log.hpp"
#include "replication/replica_node.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// Owns all components of a gatekeeper. All calls and callbacks run on one event loop, which must outlive it.
class Gatekeeper : private decision::Actions, private RequestHandler, private OperatorCalls {
 public:
  /// @throws std::runtime_error if the configured memory limit is too small for one process.
  Gatekeeper(boost::asio::io_context& io, const Config& config);
  ~Gatekeeper() override;

  /// Starts to listen and starts the timers.
  /// @throws std::runtime_error if it cannot listen.
  void start();
  /// Applies the settings, the set of configuration keys, and the addresses of discovery, the coordination
  /// store and the replica. All other values remain as they were when the process started.
  /// @throws std::invalid_argument if the decision module rejects the settings; nothing has changed then.
  void reload(const Config& config);
  /// The configuration in effect.
  const Config& config() const { return config_; }
  /// Counts a changed configuration that could not be applied.
  void reloadFailed() { ++metrics_.reloadsFailed; }
  /// Drains, on SIGTERM or SIGINT: accepts connections for a short time, unless the platform owns the
  /// listening socket; finishes the requests in flight, then calls `done`, possibly twice.
  void drain(std::function<void()> done);

  /// The address to which clients connect.
  boost::asio::ip::tcp::endpoint address() const { return server_.address(); }
  /// The address to which operators connect; requires that `Config::ops` is set.
  boost::asio::ip::tcp::endpoint opsAddress() const { return ops_->address(); }
  /// Whether a list has named a ready worker and requests are served.
  bool ready() const override { return workersKnown_ && serving_; }
  /// Requests without a final response, including those received before serving started.
  std::size_t requestsInFlight() const { return requests_.size(); }
  /// The overload control of this process; valid while the gatekeeper exists.
  OverloadManager& overloadManager() { return overloadManager_; }

 private:
  using RequestTable = std::unordered_map<decision::RequestId, RequestInFlight>;
  using SteadyTime = std::chrono::steady_clock::time_point;

  // RequestHandler
  decision::RequestId nextRequestId() override { return ++lastRequestId_; }
  void onRequest(decision::RequestId id, const ParsedRequest& parsed, ClientMessage&& message,
                 const std::shared_ptr<Responder>& responder) override;
  void onRequestEnded(decision::RequestId id, RequestEnd end) override;
  void onRequestRejected(unsigned classIndex) override;
  void onClosedUnanswered(CloseReason reason) override;

  // OperatorCalls
  bool readyToServe() const override;
  std::string telemetry() const override;
  ExclusionResult exclude(const std::string& id) override;
  ExclusionResult include(const std::string& id) override;
  std::string leaderTasks() const override { return fleet_.leaderTasks(); }
  std::string membershipRecord() const override { return fleet_.membershipRecord(); }
  std::string replicationMembers() const override { return fleet_.replicationMembers(); }
  std::string replicationState() const override { return fleet_.replicationState(); }

  // decision::Actions
  void startAttempt(decision::RequestId id, decision::WorkerId worker, decision::Time timeout) override;
  void reject(decision::RequestId id, decision::Time retryAfter) override;
  void fail(decision::RequestId id) override;
  void setTimer(decision::Time wait, std::uint64_t tag) override;
  void pollEndpoints() override {}  // `discovery_` watches the list instead
  void log(const std::string& line) override;

  // Start, and handover from the previous process (gatekeeper.cpp)
  void onFirstListWaitOver();
  void startServing();
  void acceptOnceReady();
  void applyHandover();
  std::optional<Handover> currentHandover() const;

  // Reload (gatekeeper.cpp)
  settings::HostSettings mergedHostSettings(const Config& config) const;
  std::map<decision::RequestId, decision::Request> remappedEarlyRequests(
      const settings::HostSettings& host) const;
  bool remap(decision::Request& request, const NameIndex& classes, const NameIndex& plans) const;
  void reloadFleetServices(const Config& config);

  // Drain (gatekeeper.cpp)
  void drainStepAt(SteadyTime at, std::function<void()> step);
  void closeIdleClients(const std::function<void()>& done);
  void answerRemaining();
  void failRemaining();
  void finishDrain(const std::function<void()>& done);

  // Workers and overload (gatekeeper.cpp)
  void onEndpointList(const EndpointList& list, decision::EndpointUpdate kind);
  void onWorkerRetired(decision::WorkerId worker, decision::WorkerPhase phase, decision::Time now);
  decision::Endpoint endpointOf(const EndpointEntry& entry, const WorkerStart& start, const NameIndex& zones,
                                const NameIndex& machineTypes) const;
  void onOverload(double excess);

  // Operators (gatekeeper_operators.cpp)
  void onExclusionsChanged(const ExclusionChange& change);
  void onReplicatedRow(const replication::Row& row);
  void report();

  // Requests and their attempts (gatekeeper_requests.cpp)
  ClassCounts& countsOf(unsigned classIndex);
  decision::Time remainingMs(const RequestInFlight& request) const;
  void startDeadlineTimer(decision::RequestId id, RequestInFlight& request);
  void onDeadlineTimer(decision::RequestId id);
  void setDeadline(RequestInFlight& request, decision::Time responseDueAt);
  void updateTraceDeadline(RequestInFlight& request) const;
  void onDeadline(decision::RequestId id);
  void readBody(decision::RequestId id, AttemptRequest::BodyPieceHandler onPiece);
  void onRequestComplete(decision::RequestId id, RequestInFlight& request);
  AttemptRequest attemptRequest(decision::RequestId id, const RequestInFlight& request,
                                decision::WorkerId worker);
  std::optional<std::string> authorizeSend(decision::RequestId id, decision::WorkerId worker);
  SendRefusal refusalOf(decision::RequestId id, decision::WorkerId worker) const;
  void logRequest(const RequestInFlight& request, const std::string& event);
  void onAttemptDone(AttemptEnd&& end);
  void recordAttemptEnd(const decision::AttemptOutcome& outcome);
  void recordRejection(const RequestInFlight& request);
  std::optional<decision::EarlierAttempt> earlierAttemptOf(decision::RequestId id, RequestInFlight& request);
  void recordSend(RequestInFlight& request, decision::WorkerId worker);
  void releaseRequest(RequestTable::iterator request);
  void reportNotSent(decision::RequestId id, unsigned attempt, decision::WorkerId worker);
  void cancelAttempt(decision::RequestId id);
  void onResponseHeader(decision::RequestId id);
  void onResponseStart(decision::RequestId id, const std::string& contentType,
                       std::optional<std::uint64_t> length);
  void endShortResponse(decision::RequestId id);
  void startShortResponseTimer(decision::RequestId id, RequestInFlight& request);
  void endShortResponseAfter(decision::Time waitMs, decision::RequestId id, RequestInFlight& request);
  void forwardPiece(decision::RequestId id, std::string&& piece);
  void finishStreamedResponse(AttemptEnd& end);
  void respond(decision::RequestId id, ClientResponse&& response);
  std::shared_ptr<Responder> conclude(decision::RequestId id, invariant::RequestState finalState);

  boost::asio::io_context& io_;
  Config config_;
  const DecisionClock clock_{};
  StartTimes startTimes_{clock_.offsetFromWallClock()};
  OverloadManager overloadManager_;
  UpstreamPool pool_;
  ClientServer server_;
  std::unordered_set<decision::WorkerId> readyWorkers_;  // ready on the current endpoint list
  RequestTable requests_;
  decision::RequestId lastRequestId_ = 0;
  decision::Gateway gateway_;
  invariant::Monitor monitor_;
  SendRefusals sendRefusals_;
  RateLimitedLog requestLog_{"request"};
  RateLimitedLog rejectionLog_{"request"};  // of its own, so that rejections do not suppress other lines
  SentRequests sentRequests_;
  std::unordered_map<std::uint64_t, decision::RequestId> recordedIds_;  // of requests in flight, by `Req-Id`
  std::unordered_set<decision::WorkerId> excluded_;                     // by an operator
  std::unique_ptr<DiscoveryClient> discovery_;
  Metrics metrics_;
  ClassCounts overflowClassCounts_;  // of classes without counts of their own; not reported
  ExclusionControl exclusions_;
  std::optional<OpsServer> ops_;
  FleetServices fleet_;
  std::map<decision::RequestId, decision::Request> earlyRequests_;  // in flight, received before serving
  boost::asio::steady_timer startTimer_;  // limits the wait for the first list, then the exclusions
  boost::asio::steady_timer drainTimer_;
  boost::asio::steady_timer acceptTimer_;
  ReportTimer reportTimer_;
  HandoverWriter handoverWriter_;
  FinalResponseCounts finalResponses_;
  bool workersKnown_ = false;  // an endpoint list has named a ready worker
  const SteadyTime startedAt_ = std::chrono::steady_clock::now();
  bool firstListWaitOver_ = false;  // discovery has sent a list, or the wait for the first one timed out
  bool serving_ = false;  // firstListWaitOver_, and the exclusions are loaded or their wait timed out
  bool draining_ = false;
  // A posted handler that has a weak_ptr to `alive_` does nothing once that has expired.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wingslip
