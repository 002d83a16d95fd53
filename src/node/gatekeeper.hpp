// One gatekeeper: the decision module between the clients' side, the workers' side and discovery. It turns
// socket events into the module's events and the module's actions into socket work, and decides nothing.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "duty/coordinator.hpp"
#include "invariant/monitor.hpp"
#include "irisring/decide.hpp"
#include "node/back_pressure.hpp"
#include "node/client_server.hpp"
#include "node/config.hpp"
#include "node/discovery.hpp"
#include "node/exclusions.hpp"
#include "node/metrics.hpp"
#include "node/module_clock.hpp"
#include "node/name_index.hpp"
#include "node/ops_server.hpp"
#include "node/send_guard.hpp"
#include "node/worker_pool.hpp"
#include "replica/replica_node.hpp"
#include "watch/start_times.hpp"

namespace burlwind {

class Gatekeeper : private irisring::Actions, private RequestHandler, private Operated {
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
  BackPressure& pressure() { return pressure_; }

 private:
  struct Held {
    Held(boost::asio::io_context& io) : deadline(io) {}
    ClientMessage message;
    std::shared_ptr<Responder> responder;
    irisring::Time expires = 0;
    boost::asio::steady_timer deadline;
    unsigned attempts = 0;
    ClassCounts* counts = nullptr;
    irisring::Time patience = 0;
    std::optional<std::uint64_t> length;  // stated, of a body that is not held whole
    bool streamed = false;                // the body is not held whole
    bool pulled = false;                  // and what is held is no more its beginning and all that has come
    bool answering = false;               // the answer has begun to be passed on
    irisring::Result lastResult = irisring::Result::ok;  // of its last attempt
    irisring::Time attemptUntil = 0;                     // when the attempt that is out is given up
    invariant::RequestTrace trace;
  };

  // RequestHandler
  irisring::RequestId nextId() override { return ++lastId_; }
  void take(irisring::RequestId id, const Call& call, ClientMessage&& message,
            const std::shared_ptr<Responder>& responder) override;
  void left(irisring::RequestId id) override;
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
  void send(irisring::RequestId id, irisring::WorkerId worker, irisring::Time timeout) override;
  void refuse(irisring::RequestId id, irisring::Time retryAfter) override;
  void fail(irisring::RequestId id) override;
  void setTimer(irisring::Time wait, std::uint64_t tag) override;
  void subscribe() override {}  // the watch is always open
  void log(const std::string& line) override;

  void told(const Roster& roster, irisring::ListKind kind);
  void leave(irisring::WorkerId worker, irisring::Phase phase, irisring::Time now);
  void settle();
  void settleOnce();
  bool renumber(irisring::Request& request, const NameIndex& classes, const NameIndex& plans) const;
  irisring::Member memberOf(const Instance& instance, const WorkerStart& start, const NameIndex& zones,
                            const NameIndex& kinds) const;
  void ended(AttemptEnd&& end);
  void expire(irisring::RequestId id);
  void giveUpAll();
  void reportMoot(irisring::RequestId id, unsigned attempt, irisring::WorkerId worker);
  void answer(irisring::RequestId id, Answer&& answer);
  ClassCounts& countsOf(unsigned klass);
  void pressed(double excess);
  void dropAttempt(irisring::RequestId id);
  void acceptOnceReady();
  void followExclusions();
  void coordinate();
  void share();
  void replicated(const replica::Row& row);
  ByHand setByHand(const std::string& id, bool excluded);
  void applyExclusions(const std::set<std::string>& before);
  void noteNamed(const std::string& id);
  void handOverLater();
  void takeHandover();
  void reportLater();
  void report();
  AttemptRequest attemptRequest(irisring::RequestId id, const Held& held, irisring::WorkerId worker);
  static std::string attemptBytes(const Held& held, irisring::Time passedOn);
  std::optional<std::string> compose(irisring::RequestId id, irisring::WorkerId worker);
  SendRefusal refusalOf(irisring::RequestId id, irisring::WorkerId worker, irisring::Time now) const;
  std::shared_ptr<Responder> conclude(irisring::RequestId id, invariant::RequestState how);
  void noteEnd(const irisring::Outcome& outcome);
  void finishDrain(const std::function<void()>& done);
  void pull(irisring::RequestId id, AttemptRequest::Take take);
  void becameWhole(irisring::RequestId id, Held& held);
  void setDeadline(irisring::RequestId id, Held& held);
  void began(irisring::RequestId id, const std::string& contentType, std::optional<std::uint64_t> length);
  void passOn(irisring::RequestId id, std::string&& piece);
  void finishStream(AttemptEnd& end);

  boost::asio::io_context& io_;
  Config config_;
  const ModuleClock clock_{};
  StartTimes starts_{clock_.wallOffset()};
  BackPressure pressure_;
  WorkerPool pool_;
  ClientServer server_;
  std::unordered_set<irisring::WorkerId> listed_;
  std::unordered_map<irisring::RequestId, Held> held_;
  irisring::RequestId lastId_ = 0;
  irisring::Gateway gateway_;
  invariant::Monitor monitor_;
  SendRefusals sendRefusals_;
  std::unordered_set<irisring::WorkerId> excluded_;  // by hand
  std::unique_ptr<Discovery> discovery_;
  Metrics metrics_;
  ClassCounts uncounted_;  // of classes past the most that are counted
  Exclusions exclusions_;
  std::unordered_set<std::string> named_;  // ids that lists have named, of which operators may speak
  std::optional<OpsServer> ops_;
  std::unique_ptr<replica::ReplicaNode> replica_, retiredReplica_;
  std::unique_ptr<duty::Coordinator> coordinator_, retired_;  // retired_: gives back what it held
  std::vector<irisring::Request> early_;  // came before the first list; a request that has gone is skipped
  boost::asio::steady_timer settle_, drain_, report_, follow_, accept_, leave_;
  unsigned served_ = 0, refused_ = 0, failed_ = 0;  // final answers since the last report
  bool ready_ = false;
  const std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
  bool listTold_ = false;  // discovery has told, or is not there
  bool settled_ = false;   // so it has, and it is known who is excluded by hand
  bool draining_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what is posted
};

}  // namespace burlwind
