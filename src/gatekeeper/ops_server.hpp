/// The operators' port: one call a line, one line a connection, apart from the clients' side, so that neither
/// load nor silent callers delay an answer. The operators' words are mapped here and nowhere else.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <system_error>

#include "net/overload_manager.hpp"

namespace wingslip {

/// How a call that excludes or includes a worker has ended.
struct ExclusionResult {
  enum class Status {
    done,             ///< in effect and persisted
    unknownWorker,    ///< no list has ever named the id; nothing has changed
    tooManyExcluded,  ///< nothing has changed
    notPersisted,     ///< in effect, but not written yet; it is tried again
  };
  Status status = Status::done;
  std::error_code error{};  ///< of `notPersisted`

  bool isInEffect() const { return status == Status::done || status == Status::notPersisted; }
};

/// What operators may call. Answers of many lines are complete texts.
class OperatorCalls {
 public:
  virtual ~OperatorCalls() = default;
  virtual bool readyToServe() const = 0;
  virtual std::string telemetry() const = 0;
  /// Repeating either changes nothing.
  virtual ExclusionResult exclude(const std::string& workerId) = 0;
  virtual ExclusionResult include(const std::string& workerId) = 0;
  /// Of leader election; `400 ...` if no store is configured.
  virtual std::string leaderTasks() const = 0;
  virtual std::string membershipRecord() const = 0;
  /// Of replication; `400 ...` if it is not configured.
  virtual std::string replicationMembers() const = 0;
  virtual std::string replicationState() const = 0;
};

/// Used from the event loop's thread only.
class OpsServer {
 public:
  struct Limits {
    std::size_t connections = 16;  ///< beyond it the oldest is closed
    std::size_t lineBytes = 512;   ///< of a call
    std::chrono::milliseconds callTimeout{5000};
  };

  /// @param calls and `overloadManager` must outlive this
  OpsServer(boost::asio::io_context& io, const Limits& limits, OperatorCalls& calls,
            OverloadManager& overloadManager);
  ~OpsServer();
  OpsServer(const OpsServer&) = delete;
  OpsServer& operator=(const OpsServer&) = delete;

  /// @throws std::runtime_error if it cannot listen.
  void start(const boost::asio::ip::tcp::endpoint& listenAddress);
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Caller;

  void accept();
  void onAccepted(boost::asio::ip::tcp::socket socket);
  void acceptAfterPause();
  void remove(const std::shared_ptr<Caller>& caller);
  std::string answerTo(const std::string& line);

  const Limits limits_;
  OperatorCalls& calls_;
  OverloadManager& overloadManager_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pauseTimer_;
  std::deque<std::shared_ptr<Caller>> callers_;  // the oldest first
};

}  // namespace wingslip
