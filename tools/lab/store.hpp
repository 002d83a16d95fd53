// The stand-in coordination store on the lab's loop: Consul's HTTP API as far as it is used, with faults that
// a scenario can order.
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

class Store {
 public:
  enum class Mode { well, silent, errors, losesAnswers };  // losesAnswers: what was asked takes effect

  Store(boost::asio::io_context& io, std::function<double()> nowMs);
  unsigned short port() const { return port_; }

  void set(Mode mode) { mode_ = mode; }
  void stop();  // as a machine that is down: connections are reset and refused; time goes on for sessions
  void startAgain();
  void wipe();                               // from now on as after a restart without its state
  void save();                               // the state as it is, for `restore`
  void restore();                            // back to it, index and sessions too
  void invalidate(const std::string& name);  // the sessions of that name, as by hand

  // After each compare-and-set that took effect; `members`: the registrations' keys at that moment.
  std::function<void(const std::string& key, const std::string& value,
                     const std::vector<std::string>& members)>
      onSet;
  long calls() const { return calls_; }
  const std::vector<long>& callsBySecond() const { return bySecond_; }

 private:
  struct Client;
  struct Target;  ///< a request's path and query
  struct Waiting {
    std::shared_ptr<Client> client;
    std::string key;
    bool recurse;
    std::uint64_t index;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };
  void wire();
  void beat();
  void accept();
  void countCall();
  static Target parseTarget(const std::string& text);
  void serve(const std::shared_ptr<Client>& client);
  void createSession(const std::shared_ptr<Client>& client);
  void renewSession(const std::shared_ptr<Client>& client, const std::string& id);
  void put(const std::shared_ptr<Client>& client, const Target& target, const std::string& key);
  /// With an index, the answer waits for a change past it.
  void read(const std::shared_ptr<Client>& client, const Target& target, const std::string& key);
  void endWait(const std::shared_ptr<Client>& client);
  void answer(const std::shared_ptr<Client>& client, unsigned status, const std::string& body,
              std::uint64_t index = 0);
  void answerRead(const std::shared_ptr<Client>& client, const std::string& key, bool recurse);
  void changed(const std::string& key);

  boost::asio::io_context& io_;
  std::function<double()> nowMs_;
  StoreState state_, saved_;
  Mode mode_ = Mode::well;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  unsigned short port_ = 0;
  boost::asio::steady_timer beat_;
  std::set<std::shared_ptr<Client>> clients_;
  std::list<Waiting> waiting_;
  long calls_ = 0;
  std::vector<long> bySecond_;
};

}  // namespace wingslip::lab
