/// The operators' port: one call per connection, as a line of text. It is separate from the client-facing
/// server, so that client connections do not use up its connections or memory. The names of the operators'
/// calls are defined only in `OpsServer::responseTo`.
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

/// The result of a call that excludes or includes a worker.
struct ExclusionResult {
  enum class Status {
    done,             ///< in effect and persisted
    unknownWorker,    ///< no endpoint list has named the id; nothing has changed
    tooManyExcluded,  ///< the limit on excluded workers is reached; nothing has changed
    notPersisted,     ///< in effect, but not on disk yet; the write is retried
  };
  Status status = Status::done;
  std::error_code error{};  ///< of the write, if `notPersisted`

  /// Whether the worker is now in the requested state.
  bool isInEffect() const { return status == Status::done || status == Status::notPersisted; }
};

/// The calls that operators may make; implemented by the gatekeeper. Returned texts are complete
/// responses, including the last line.
class OperatorCalls {
 public:
  virtual ~OperatorCalls() = default;
  /// Whether the gatekeeper is ready to serve requests; the call `readyz`.
  virtual bool readyToServe() const = 0;
  /// The metrics; the call `telemetry`.
  virtual std::string telemetry() const = 0;
  /// Excludes a worker by its instance id. Idempotent.
  virtual ExclusionResult exclude(const std::string& workerId) = 0;
  /// Includes a worker that was excluded. Idempotent.
  virtual ExclusionResult include(const std::string& workerId) = 0;
  /// The tasks of leader election, for the call `duties`; `400 ...` if no store is configured.
  virtual std::string leaderTasks() const = 0;
  /// The membership record of leader election, for the call `roster`; `400 ...` if no store is configured.
  virtual std::string membershipRecord() const = 0;
  /// The members that replicate state, for the call `members`; `400 ...` if replication is not configured.
  virtual std::string replicationMembers() const = 0;
  /// The state of this replica, for the call `replica`; `400 ...` if replication is not configured.
  virtual std::string replicationState() const = 0;
};

/// Listens for operators and responds to their calls. Used from the event loop's thread only.
class OpsServer {
 public:
  /// Limits of the operators' connections.
  struct Limits {
    std::size_t connections = 16;  ///< maximum number open; one more closes the oldest
    std::size_t lineBytes = 512;   ///< maximum length of a call's line, including its line feed
    /// From accepting a connection to closing it.
    std::chrono::milliseconds callTimeout{5000};
  };

  /// @param calls carries out the calls; it and `overloadManager` must outlive this
  OpsServer(boost::asio::io_context& io, const Limits& limits, OperatorCalls& calls,
            OverloadManager& overloadManager);
  ~OpsServer();
  OpsServer(const OpsServer&) = delete;
  OpsServer& operator=(const OpsServer&) = delete;

  /// Listens at `listenAddress` and accepts connections.
  /// @throws std::runtime_error if it cannot listen
  void start(const boost::asio::ip::tcp::endpoint& listenAddress);
  /// The local address, with the port that was assigned if 0 was requested.
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class OperatorConnection;

  void accept();
  void onAccepted(boost::asio::ip::tcp::socket socket);
  void retryAccept();
  void remove(const std::shared_ptr<OperatorConnection>& connection);
  std::string responseTo(const std::string& line);

  const Limits limits_;
  OperatorCalls& calls_;
  OverloadManager& overloadManager_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptRetryTimer_;
  std::deque<std::shared_ptr<OperatorConnection>> connections_;  // the oldest first
};

}  // namespace wingslip
