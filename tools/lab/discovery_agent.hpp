/// The stand-in discovery agent of one gatekeeper.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "judge.hpp"
#include "loopback_listener.hpp"

namespace wingslip::lab {

/// The discovery agent on one gatekeeper's machine: `GET /registry/instances` and its watch.
class Agent {
 public:
  struct Entry {
    std::string id, hostPort, zone, lifecycle = "Ready";
    double startedAtMs = 0;
  };
  Agent(asio::io_context& io, int gatekeeper, std::vector<Entry> list, Judge& judge,
        std::function<double()> nowMs);
  unsigned short port() const { return port_; }
  /// A worker changes; watches are told at once (unless the agent is down), and drains go to the judge.
  void change(std::size_t worker, const std::string& lifecycle, double startedAtMs);
  void setDown(bool down);
  /// Ends all open watches; they may be opened anew.
  void endWatches();
  /// All open watches fall silent; others may be opened. What they miss counts as told kSilentToldMs later.
  void silenceWatches();
  /// While crowded every call is answered 503; what changes until a watch is open again counts as told
  /// kSilentToldMs after discovery could be reached.
  void setCrowded(bool crowded);
  /// In discovery's form: the whole list, or these entries of it.
  std::string listJson(bool reset, const std::vector<std::size_t>& only) const;
  /// Its gatekeeper starts anew. While the agent is silent nothing tells a new process what the agent has
  /// (docs/open.md): that counts as told when it speaks again.
  void gatekeeperStarts();
  long bytesSaid() const { return bytesSaid_; }
  /// Whether its gatekeeper can reach it now. What it has counts as told from then on, whether or not a watch
  /// is open.
  void setHeard(bool heard);

 private:
  struct Watch;
  void toldOf(std::size_t worker);
  void accept();
  void tell(const std::vector<std::size_t>& changed);
  asio::io_context& io_;
  int gatekeeper_;
  std::vector<Entry> list_;
  Judge& judge_;
  std::function<double()> nowMs_;
  tcp::acceptor acceptor_;
  unsigned short port_;
  long generation_ = 1;
  long bytesSaid_ = 0;
  bool down_ = false, heard_ = true, crowded_ = false;
  double crowdedUntil_ = -1e9;         // ms; no watch has been opened since
  bool untoldToNew_ = false;           // its gatekeeper has started while it was silent
  std::optional<double> silentSince_;  // until a watch is opened anew
  std::vector<std::size_t> untold_;
  std::set<std::shared_ptr<Watch>> watches_, mute_;
  asio::steady_timer beat_;
};

}  // namespace wingslip::lab
