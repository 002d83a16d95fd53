// One gatekeeper: the decision module between the clients' side, the workers' side and discovery. It turns
// socket events into the module's events and the module's actions into socket work, and decides nothing.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "config/config.hpp"
#include "endpoint_watch/start_times.hpp"
#include "gatekeeper/client_server.hpp"
#include "gatekeeper/decision_clock.hpp"
#include "gatekeeper/discovery.hpp"
#include "gatekeeper/exclusions.hpp"
#include "gatekeeper/metrics.hpp"
#include "gatekeeper/name_index.hpp"
#include "gatekeeper/ops_server.hpp"
#include "gatekeeper/send_guard.hpp"
#include "gatekeeper/upstream_pool.hpp"
#include "invariant/monitor.hpp"
#include "leader_election/coordinator.hpp"
#include "net/overload_manager.hpp"
#include "replication/replica_node.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

class Gatekeeper : private decision::Actions, private RequestHandler, private Operated {
 public:
  Gatekeeper(boost::asio::io_context& io, const Config& config);
  ~Gatekeeper() override;

  void start();
  // Takes over what may change while the program runs: the settings and the address of discovery. The rest
  // stays as it was at the start; the counter, whose address may change too, is not used. Throws, and then
  // nothing has changed, if the module cannot take the settings.
  void reload(const Config& config);
  const Config& config() const { return config_; }
  // A changed configuration could not be taken: all stays as it was.
  void reloadFailed() { ++metrics_.reconfigFailed; }
  // Goes on for a while, finishes what is held, then calls `done`.
  void drain(std::function<void()> done);

  boost::asio::ip::tcp::endpoint address() const { return server_.address(); }
  boost::asio::ip::tcp::endpoint opsAddress() const { return ops_->address(); }
  bool ready() const override { return ready_ && settled_; }
  std::size_t held() const { return held_.size(); }
  OverloadManager& pressure() { return pressure_; }

 private:
  struct Held {
    Held(boost::asio::io_context& io) : deadline(io) {}
    ClientMessage message;
    std::shared_ptr<Responder> responder;
    decision::Time expires = 0;
    boost::asio::steady_timer deadline;
    unsigned attempts = 0;
    ClassCounts* counts = nullptr;
    decision::Time patience = 0;
    std::optional<std::uint64_t> length;  // stated, of a body that is not held whole
    bool streamed = false;                // the body is not held whole
    bool pulled = false;                  // and what is held is no more its beginning and all that has come
    bool answering = false;               // the answer has begun to be passed on
    decision::AttemptResult lastResult = decision::AttemptResult::ok;  // of its last attempt
    decision::Time attemptUntil = 0;  // when the attempt that is out is given up
    invariant::RequestTrace trace;
  };

  // RequestHandler
  decision::RequestId nextId() override { return ++lastId_; }
  void take(decision::RequestId id, const Call& call, ClientMessage&& message,
            const std::shared_ptr<Responder>& responder) override;
  void left(decision::RequestId id) override;
  void turnedAway(unsigned klass) override;
  void closedUnanswered(CloseReason reason) override;

  // Operated
  bool readyToServe() const override;
  std::string telemetry() const override;
  ByHand exclude(const std::string& id) override;
  ByHand include(const std::string& id) override;
  std::string duties() const override;
  std::string roster() const override;
  std::string sharers() const override;
  std::string replica() const override;

  // Actions
  void startAttempt(decision::RequestId id, decision::WorkerId worker, decision::Time timeout) override;
  void reject(decision::RequestId id, decision::Time retryAfter) override;
  void fail(decision::RequestId id) override;
  void setTimer(decision::Time wait, std::uint64_t tag) override;
  void pollEndpoints() override {}  // the watch is always open
  void log(const std::string& line) override;

  void told(const Roster& roster, decision::EndpointUpdate kind);
  void leave(decision::WorkerId worker, decision::WorkerPhase phase, decision::Time now);
  void settle();
  void settleOnce();
  bool renumber(decision::Request& request, const NameIndex& classes, const NameIndex& plans) const;
  decision::Endpoint memberOf(const Instance& instance, const WorkerStart& start, const NameIndex& zones,
                              const NameIndex& kinds) const;
  void ended(AttemptEnd&& end);
  void expire(decision::RequestId id);
  void giveUpAll();
  void reportMoot(decision::RequestId id, unsigned attempt, decision::WorkerId worker);
  void answer(decision::RequestId id, Answer&& answer);
  ClassCounts& countsOf(unsigned klass);
  void pressed(double excess);
  void dropAttempt(decision::RequestId id);
  void acceptOnceReady();
  void followExclusions();
  void coordinate();
  void share();
  void replicated(const replication::Row& row);
  ByHand setByHand(const std::string& id, bool excluded);
  void applyExclusions(const std::set<std::string>& before);
  void noteNamed(const std::string& id);
  void handOverLater();
  void takeHandover();
  void reportLater();
  void report();
  AttemptRequest attemptRequest(decision::RequestId id, const Held& held, decision::WorkerId worker);
  static std::string attemptBytes(const Held& held, decision::Time passedOn);
  std::optional<std::string> compose(decision::RequestId id, decision::WorkerId worker);
  SendRefusal refusalOf(decision::RequestId id, decision::WorkerId worker, decision::Time now) const;
  std::shared_ptr<Responder> conclude(decision::RequestId id, invariant::RequestState how);
  void noteEnd(const decision::AttemptOutcome& outcome);
  void finishDrain(const std::function<void()>& done);
  void pull(decision::RequestId id, AttemptRequest::BodyPieceHandler take);
  void becameWhole(decision::RequestId id, Held& held);
  void setDeadline(decision::RequestId id, Held& held);
  void began(decision::RequestId id, const std::string& contentType, std::optional<std::uint64_t> length);
  void passOn(decision::RequestId id, std::string&& piece);
  void finishStream(AttemptEnd& end);

  boost::asio::io_context& io_;
  Config config_;
  const DecisionClock clock_{};
  StartTimes starts_{clock_.wallOffset()};
  OverloadManager pressure_;
  UpstreamPool pool_;
  ClientServer server_;
  std::unordered_set<decision::WorkerId> listed_;
  std::unordered_map<decision::RequestId, Held> held_;
  decision::RequestId lastId_ = 0;
  decision::Gateway gateway_;
  invariant::Monitor monitor_;
  SendRefusals sendRefusals_;
  std::unordered_set<decision::WorkerId> excluded_;  // by hand
  std::unique_ptr<Discovery> discovery_;
  Metrics metrics_;
  ClassCounts uncounted_;  // of classes past the most that are counted
  Exclusions exclusions_;
  std::unordered_set<std::string> named_;  // ids that lists have named, of which operators may speak
  std::optional<OpsServer> ops_;
  std::unique_ptr<replication::ReplicaNode> replica_, retiredReplica_;
  std::unique_ptr<leader_election::Coordinator> coordinator_, retired_;  // retired_: gives back what it held
  std::vector<decision::Request> early_;  // came before the first list; a request that has gone is skipped
  boost::asio::steady_timer settle_, drain_, report_, follow_, accept_, leave_;
  unsigned served_ = 0, refused_ = 0, failed_ = 0;  // final answers since the last report
  bool ready_ = false;
  const std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
  bool listTold_ = false;  // discovery has told, or is not there
  bool settled_ = false;   // so it has, and it is known who is excluded by hand
  bool draining_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what is posted
};

}  // namespace wingslip
