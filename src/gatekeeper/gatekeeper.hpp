/// One gatekeeper: connects the decision module with clients, workers and discovery. Turns socket events into
/// the module's events and the module's actions into socket operations, and decides nothing itself, but for
/// three things: whether an attempt may still be sent (`refusalOf`), the answer at the deadline, and the
/// answers before it serves.
#pragma once

#include <chrono>
#include <functional>
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
#include "gatekeeper/service_report.hpp"
#include "gatekeeper/upstream_pool.hpp"
#include "invariant/monitor.hpp"
#include "net/overload_manager.hpp"
#include "replication/replica_node.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// Owns all parts of a gatekeeper. Everything runs on the one event loop, which outlives it.
class Gatekeeper : private decision::Actions, private RequestHandler, private OperatorCalls {
 public:
  /// Throws std::runtime_error where the configured memory does not hold one process.
  Gatekeeper(boost::asio::io_context& io, const Config& config);
  ~Gatekeeper() override;

  /// Listens and starts the timers. Throws std::runtime_error if it cannot listen.
  void start();
  /// Takes over what may change while the process runs: the settings, keys, and the addresses of discovery,
  /// the coordination store and the replica. The rest stays as it was at the start. Throws, with nothing
  /// changed, if the decision module cannot take the settings.
  void reload(const Config& config);
  const Config& config() const { return config_; }
  /// A changed configuration was not taken over: counts it.
  void reloadFailed() { ++metrics_.reloadsFailed; }
  /// SIGTERM: accepts a little longer, finishes the requests in flight, then calls `done`, maybe twice.
  void drain(std::function<void()> done);

  boost::asio::ip::tcp::endpoint address() const { return server_.address(); }
  boost::asio::ip::tcp::endpoint opsAddress() const { return ops_->address(); }
  /// A worker is known and requests are served.
  bool ready() const override { return workersKnown_ && serving_; }
  std::size_t requestsInFlight() const { return requests_.size(); }
  OverloadManager& pressure() { return pressure_; }

 private:
  using SteadyTime = std::chrono::steady_clock::time_point;

  // RequestHandler
  decision::RequestId nextRequestId() override { return ++lastRequestId_; }
  void onRequest(decision::RequestId id, const ParsedRequest& parsed, ClientMessage&& message,
                 const std::shared_ptr<Responder>& responder) override;
  void onClientDisconnect(decision::RequestId id) override;
  void onRequestRejected(unsigned classIndex) override;
  void onClosedUnanswered(CloseReason reason) override;

  // OperatorCalls
  bool readyToServe() const override;
  std::string telemetry() const override;
  ExclusionResult exclude(const std::string& id) override;
  ExclusionResult include(const std::string& id) override;
  std::string leaderTasks() const override { return fleet_.duties(); }
  std::string membershipRecord() const override { return fleet_.roster(); }
  std::string replicationMembers() const override { return fleet_.sharers(); }
  std::string replicationState() const override { return fleet_.replica(); }

  // decision::Actions
  void startAttempt(decision::RequestId id, decision::WorkerId worker, decision::Time timeout) override;
  void reject(decision::RequestId id, decision::Time retryAfter) override;
  void fail(decision::RequestId id) override;
  void setTimer(decision::Time wait, std::uint64_t tag) override;
  void pollEndpoints() override {}  // the watch is always open
  void log(const std::string& line) override;

  // Start and handover from the process before (gatekeeper.cpp)
  void onEndpointsKnown();
  void startServing();
  void acceptOnceReady();
  void applyHandover();
  std::optional<Handover> currentHandover() const;

  // Reload (gatekeeper.cpp)
  settings::HostSettings mergedHostSettings(const Config& config) const;
  std::vector<decision::Request> remappedEarlyRequests(const settings::HostSettings& host) const;
  bool remap(decision::Request& request, const NameIndex& classes, const NameIndex& plans) const;
  void reloadFleetServices(const Config& config);

  // Drain (gatekeeper.cpp)
  void drainStepAt(SteadyTime at, std::function<void()> step);
  void closeIdleClients(const std::function<void()>& done);
  void failRemaining();
  void finishDrain(const std::function<void()>& done);

  // Workers and overload (gatekeeper.cpp)
  void onEndpointList(const EndpointList& roster, decision::EndpointUpdate kind);
  void onWorkerRetired(decision::WorkerId worker, decision::WorkerPhase phase, decision::Time now);
  decision::Endpoint endpointOf(const EndpointEntry& instance, const WorkerStart& start,
                                const NameIndex& zones, const NameIndex& kinds) const;
  void onOverload(double excess);

  // Operators (gatekeeper_operators.cpp)
  void onExclusionsChanged(const ExclusionChange& change);
  void onReplicatedRow(const replication::Row& row);
  void report();

  // A request and its attempts (gatekeeper_requests.cpp)
  ClassCounts& countsOf(unsigned classIndex);
  void startDeadlineTimer(decision::RequestId id, RequestInFlight& request);
  void onDeadline(decision::RequestId id);
  void readBody(decision::RequestId id, AttemptRequest::BodyPieceHandler onPiece);
  void onRequestComplete(decision::RequestId id, RequestInFlight& request);
  AttemptRequest attemptRequest(decision::RequestId id, const RequestInFlight& request,
                                decision::WorkerId worker);
  std::optional<std::string> authorizeSend(decision::RequestId id, decision::WorkerId worker);
  SendRefusal refusalOf(decision::RequestId id, decision::WorkerId worker, decision::Time now) const;
  void onAttemptDone(AttemptEnd&& end);
  void recordAttemptEnd(const decision::AttemptOutcome& outcome);
  void reportNotSent(decision::RequestId id, unsigned attempt, decision::WorkerId worker);
  void cancelAttempt(decision::RequestId id);
  void onResponseStart(decision::RequestId id, const std::string& contentType,
                       std::optional<std::uint64_t> length);
  void forwardPiece(decision::RequestId id, std::string&& piece);
  void finishStreamedResponse(AttemptEnd& end);
  void respond(decision::RequestId id, ClientResponse&& response);
  std::shared_ptr<Responder> conclude(decision::RequestId id, invariant::RequestState how);

  boost::asio::io_context& io_;
  Config config_;
  const DecisionClock clock_{};
  StartTimes starts_{clock_.wallOffset()};
  OverloadManager pressure_;
  UpstreamPool pool_;
  ClientServer server_;
  std::unordered_set<decision::WorkerId> listed_;  // named as ready by the present list
  std::unordered_map<decision::RequestId, RequestInFlight> requests_;
  decision::RequestId lastRequestId_ = 0;
  decision::Gateway gateway_;
  invariant::Monitor monitor_;
  SendRefusals sendRefusals_;
  std::unordered_set<decision::WorkerId> excluded_;  // by hand
  std::unique_ptr<DiscoveryClient> discovery_;
  Metrics metrics_;
  ClassCounts uncounted_;  // of classes past the most that are counted
  ExclusionControl exclusions_;
  std::optional<OpsServer> ops_;
  FleetServices fleet_;
  std::vector<decision::Request> earlyRequests_;  // came before serving; one that has ended is skipped
  boost::asio::steady_timer startTimer_;          // for the first list, then for the exclusions
  boost::asio::steady_timer drainTimer_;
  boost::asio::steady_timer acceptTimer_;
  ReportTimer reportTimer_;
  HandoverWriter handoverWriter_;
  FinalAnswerCounts finalAnswers_;
  bool workersKnown_ = false;
  const SteadyTime startedAt_ = std::chrono::steady_clock::now();
  bool endpointsKnown_ = false;  // discovery has sent a list, or is not there
  bool serving_ = false;         // so it has, and it is known who is excluded by hand
  bool draining_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for posted handlers
};

}  // namespace wingslip
