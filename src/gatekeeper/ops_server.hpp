// Where operators call: a line a connection, apart from the clients' side, so that neither load nor callers
// that stay silent delay an answer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <system_error>

#include "net/overload_manager.hpp"

namespace wingslip {

// What carries the calls out.
/// How a call that puts a worker out, or lets it in again, has ended.
struct ByHand {
  enum class State {
    done,            ///< in force, and kept over any end of this process
    unknown_worker,  ///< no list has ever named the id; nothing has changed
    too_many,        ///< as many are out as may be; nothing has changed
    not_kept,        ///< in force, but the state folder does not take it yet; it is tried again
  };
  State state = State::done;
  std::error_code error{};  ///< of `not_kept`
};

class Operated {
 public:
  virtual ~Operated() = default;
  virtual bool readyToServe() const = 0;
  virtual std::string telemetry() const = 0;
  /// Repeating either changes nothing.
  virtual ByHand exclude(const std::string& id) = 0;
  virtual ByHand include(const std::string& id) = 0;
  // Of duties that one process of the fleet holds; `400 ...` where no store is configured.
  virtual std::string duties() const = 0;
  virtual std::string roster() const = 0;
  // Of the state that gatekeepers share; `400 ...` where none is configured.
  virtual std::string sharers() const = 0;
  virtual std::string replica() const = 0;
};

class OpsServer {
 public:
  struct Limits {
    std::size_t connections = 16;  // the oldest gives way
    std::size_t line = 512;        // bytes of a call
    std::chrono::milliseconds callWithin{5000};
  };

  OpsServer(boost::asio::io_context& io, const Limits& limits, Operated& operated, OverloadManager& pressure);
  ~OpsServer();
  OpsServer(const OpsServer&) = delete;
  OpsServer& operator=(const OpsServer&) = delete;

  void start(const boost::asio::ip::tcp::endpoint& at);  // throws std::runtime_error if it cannot listen
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Caller;

  void accept();
  void remove(const std::shared_ptr<Caller>& caller);
  std::string answerTo(const std::string& line);

  const Limits limits_;
  Operated& operated_;
  OverloadManager& pressure_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  std::deque<std::shared_ptr<Caller>> callers_;  // the oldest first
};

}  // namespace wingslip
