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

#include "loopback_listener.hpp"
#include "run_verifier.hpp"

namespace wingslip::lab {

/// The discovery agent on one gatekeeper's machine: serves `GET /registry/instances` and its watch, and
/// reports to the run's verifier when the gatekeeper must know of a draining worker. Runs on the given loop;
/// not thread-safe.
class Agent {
 public:
  /// An entry of the endpoint list.
  struct Entry {
    std::string id, hostPort, zone, lifecycle = "Ready";
    double startedAtMs = 0;  ///< ms since the Unix epoch
  };
  /// `io` and `verifier` must outlive the agent. `nowMs` gives the run's time.
  Agent(asio::io_context& io, int gatekeeper, std::vector<Entry> list, RunVerifier& verifier,
        std::function<double()> nowMs);
  unsigned short port() const { return port_; }
  /// Changes a worker's entry. `startedAtMs` 0 keeps the old start time. The change is sent to the watches
  /// and reported to the verifier immediately, or when the agent is up again.
  void change(std::size_t worker, const std::string& lifecycle, double startedAtMs);
  /// While down, the agent accepts connections but answers no request. Open watches are silenced for good.
  void setDown(bool down);
  /// Closes all open watches; the gatekeeper may open new ones.
  void endWatches();
  /// Stops sending on all open watches without closing them; the gatekeeper may open new ones. A change
  /// before the next watch opens counts as delivered kSilentWatchMs after this call, or at its own time if
  /// later.
  void silenceWatches();
  /// While rejecting, the agent answers every call with 503. A change before the next watch opens counts as
  /// delivered kSilentWatchMs after the end of the rejections.
  void setRejecting(bool rejecting);
  /// The list in discovery's JSON format: all entries if `resetAll`, else only those with the given indexes.
  std::string listJson(bool resetAll, const std::vector<std::size_t>& only) const;
  /// Must be called when the gatekeeper's process starts. A process that starts while the agent is down
  /// cannot get the current list (docs/open.md), so the list counts as delivered only when the agent is up
  /// again.
  void onGatekeeperStart();
  /// Bytes written to the gatekeeper, without the 503 answers while rejecting.
  long bytesSent() const { return bytesSent_; }
  /// Sets whether the gatekeeper can reach the agent. Once it can, the list counts as delivered, whether or
  /// not a watch is open.
  void setReachable(bool reachable);

 private:
  struct Watch;
  /// Reports to the verifier the time from which the gatekeeper must know that the worker drains, or that the
  /// worker is ready again.
  void recordDelivery(std::size_t worker);
  void accept();
  /// Writes the queued data of each watch. With `changed`, first queues a line with these entries and records
  /// their delivery.
  void send(const std::vector<std::size_t>& changed);
  asio::io_context& io_;
  int gatekeeper_;
  std::vector<Entry> list_;
  RunVerifier& verifier_;
  std::function<double()> nowMs_;
  tcp::acceptor acceptor_;
  unsigned short port_;
  long generation_ = 1;
  long bytesSent_ = 0;
  bool down_ = false, reachable_ = true, rejecting_ = false;
  double rejectingUntil_ = -1e9;       // ms of the run; reset when a watch opens
  bool startedWhileDown_ = false;      // the gatekeeper's process started while the agent was down
  std::optional<double> silentSince_;  // ms of the run; reset when a watch opens
  std::vector<std::size_t> unsent_;    // changed entries not yet sent to any watch
  std::set<std::shared_ptr<Watch>> watches_, silencedWatches_;
  asio::steady_timer heartbeat_;
};

}  // namespace wingslip::lab
