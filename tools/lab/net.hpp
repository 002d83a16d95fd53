// The lab's stand-ins on one Asio loop: workers after the protocol page, a discovery agent for each
// gatekeeper, and a fault proxy on each link from a gatekeeper to a worker.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "judge.hpp"

namespace wingslip::lab {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

// A listener on 127.0.0.1; port 0: any free one.
tcp::acceptor listenAt(asio::io_context& io, unsigned short port = 0);

// Which gatekeeper's link a connection to a worker came over: by the worker's port and the local port of the
// proxy's upstream socket. Connections to two workers may have the same local port.
using LinkOf = std::map<std::pair<unsigned short, unsigned short>, int>;

struct WorkerMode {
  bool silent = false;    // takes requests, says nothing
  bool draining = false;  // turns new ones away with Srv-Declined
};

// A stand-in worker: 200 with a body of its own for the request, after a seeded log-normal service time; past
// `Scenario::workerInFlight` requests or while draining, 503 with `Srv-Declined: 1`; no Req-Id, 404.
class Worker {
 public:
  Worker(asio::io_context& io, int index, const Scenario& s, Judge& judge, const LinkOf& links,
         std::function<double()> nowMs, std::uint64_t seed);
  unsigned short port() const { return port_; }
  long accepted() const { return accepted_; }  // connections since the run began
  bool strikes(double share);                  // by chance, for a share of the exchanges
  void restart();  // as a new process under the same address: all connections reset, cold again
  WorkerMode mode;
  int inFlight = 0;

 private:
  void accept();
  friend class WorkerSession;
  asio::io_context& io_;
  int index_;
  const Scenario& s_;
  Judge& judge_;
  const LinkOf& links_;
  std::function<double()> nowMs_;
  std::mt19937_64 random_;
  std::unique_ptr<tcp::acceptor> acceptor_;
  unsigned short port_ = 0;
  double startedMs_ = 0;
  long accepted_ = 0;
  std::set<std::shared_ptr<tcp::socket>> open_;
};

// The discovery agent on one gatekeeper's machine: `GET /registry/instances` and its watch.
class Agent {
 public:
  struct Entry {
    std::string id, hostPort, zone, lifecycle = "Ready";
    double startedAtMs = 0;
  };
  Agent(asio::io_context& io, int gatekeeper, std::vector<Entry> list, Judge& judge,
        std::function<double()> nowMs);
  unsigned short port() const { return port_; }
  // A worker changes; watches are told at once (unless the agent is down), and drains go to the judge.
  void change(std::size_t worker, const std::string& lifecycle, double startedAtMs);
  void setDown(bool down);
  // Ends all open watches; they may be opened anew.
  void endWatches();
  // All open watches fall silent; others may be opened. What they miss counts as told kSilentToldMs later.
  void silenceWatches();
  // While crowded every call is answered 503; what changes until a watch is open again counts as told
  // kSilentToldMs after discovery could be reached.
  void setCrowded(bool crowded);
  // In discovery's form: the whole list, or these entries of it.
  std::string listJson(bool reset, const std::vector<std::size_t>& only) const;
  // Its gatekeeper starts anew. While the agent is silent nothing tells a new process what the agent has
  // (docs/open.md): that counts as told when it speaks again.
  void gatekeeperStarts();
  long bytesSaid() const { return bytesSaid_; }
  // Whether its gatekeeper can reach it now. What it has counts as told from then on, whether or not a watch
  // is open.
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

enum class LinkMode { pass, cut, blackhole, oneway, delay, throttle };

// A fault proxy between one gatekeeper and one port: a worker, its discovery agent or the store.
class Proxy {
 public:
  Proxy(asio::io_context& io, int gatekeeper, unsigned short towards, LinkOf& links);
  unsigned short port() const { return port_; }
  // A link that has dropped bytes is reset when it heals, since TCP never leaves a hole in a stream.
  // delay: `delayMs` is added to each piece, each way. throttle: at most `bytesPerS` each way.
  void set(LinkMode mode, double delayMs = 0, double bytesPerS = 0);

 private:
  struct Pair;
  void accept();
  asio::io_context& io_;
  int gatekeeper_;
  unsigned short towards_;
  LinkOf& links_;
  tcp::acceptor acceptor_;
  unsigned short port_;
  LinkMode mode_ = LinkMode::pass;
  double delayMs_ = 0, bytesPerS_ = 0;
  std::set<std::shared_ptr<Pair>> pairs_;
};

}  // namespace wingslip::lab
