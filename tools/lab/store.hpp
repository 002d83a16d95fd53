/// A stand-in coordination store on the lab's event loop: the parts of Consul's HTTP API that the project
/// uses, with faults that a scenario can inject.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "store_state.hpp"

namespace wingslip::lab {

/// Listens on 127.0.0.1. Runs on the given loop, which must outlive it; not thread-safe.
class Store {
 public:
  /// silent: calls have no effect and no answer; errors: calls have no effect and are answered 500;
  /// losesAnswers: calls take effect, and the connection is closed without an answer.
  enum class Mode { normal, silent, errors, losesAnswers };

  /// `nowMs` gives the time in ms from which session expiry and `callsBySecond` are counted.
  Store(boost::asio::io_context& io, std::function<double()> nowMs);
  unsigned short port() const { return port_; }

  void set(Mode mode) { mode_ = mode; }
  /// Simulates a machine that is down: resets open connections and refuses new ones. Sessions still expire.
  void stop();
  /// Accepts connections again after `stop`.
  void resume();
  /// Simulates a restart with the loss of all state.
  void wipe();
  /// Saves a copy of the state for `restore`.
  void save();
  /// Simulates a restart from the saved state, including the index and the sessions.
  void restore();
  /// Ends all sessions of that name, as an operator can.
  void invalidate(const std::string& name);

  /// Called after each compare-and-set that took effect. `members`: the keys of the registrations at that
  /// time.
  std::function<void(const std::string& key, const std::string& value,
                     const std::vector<std::string>& members)>
      onSet;
  /// Number of HTTP requests received, also those without an answer.
  long calls() const { return calls_; }
  /// Number of HTTP requests received, by second of the store's time.
  const std::vector<long>& callsBySecond() const { return bySecond_; }

 private:
  struct Client;
  struct Target;  ///< a request's path and query
  /// A blocking query that waits for a change or its timeout.
  struct Waiting {
    std::shared_ptr<Client> client;
    std::string key;
    bool recurse;
    std::uint64_t index;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };
  void registerCallbacks();
  void expireSessions();
  void accept();
  void countCall();
  static Target parseTarget(const std::string& text);
  void serve(const std::shared_ptr<Client>& client);
  void createSession(const std::shared_ptr<Client>& client);
  void renewSession(const std::shared_ptr<Client>& client, const std::string& id);
  void put(const std::shared_ptr<Client>& client, const Target& target, const std::string& key);
  /// Reads keys. With the query parameter `index`, a blocking query: the answer waits for a later change.
  void read(const std::shared_ptr<Client>& client, const Target& target, const std::string& key);
  void endWait(const std::shared_ptr<Client>& client);
  void answer(const std::shared_ptr<Client>& client, unsigned status, const std::string& body,
              std::uint64_t index = 0);
  void answerRead(const std::shared_ptr<Client>& client, const std::string& key, bool recurse);
  /// Answers the blocking queries for the changed key.
  void changed(const std::string& key);

  boost::asio::io_context& io_;
  std::function<double()> nowMs_;
  StoreState state_, saved_;
  Mode mode_ = Mode::normal;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  unsigned short port_ = 0;
  boost::asio::steady_timer expiryTimer_;
  std::set<std::shared_ptr<Client>> clients_;
  std::list<Waiting> waiting_;
  long calls_ = 0;
  std::vector<long> bySecond_;
};

}  // namespace wingslip::lab
