// The links of a fleet, each with a fault proxy on it: from every gatekeeper to the workers, its discovery
// agent, the coordination store and the other gatekeepers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fault_proxy.hpp"
#include "scenario.hpp"

namespace wingslip::lab {

/// The mode that a step of this name puts links into; none: it is no link fault or repair.
std::optional<LinkMode> linkModeOf(const std::string& step);

/// Links are added in the order of the gatekeepers, those to workers also in the order of the workers. Each
/// `add` takes the port that the link leads to and returns the port where it begins, on 127.0.0.1.
class Links {
 public:
  /// Both must outlive it.
  Links(asio::io_context& io, const Scenario& scenario) : io_(io), scenario_(scenario) {}

  unsigned short addToWorker(int gatekeeper, unsigned short worker);
  unsigned short addToAgent(int gatekeeper, unsigned short agent);
  unsigned short addToStore(int gatekeeper, unsigned short store);

  /// Adds the links between all gatekeepers, from their ports for each other.
  void addBetweenPeers(const std::vector<unsigned short>& peers);
  /// Where the link from one gatekeeper to another begins.
  unsigned short toPeer(int from, int to) const { return peers_[from * scenario_.gatekeepers + to]->port(); }

  /// Puts the links that the step means into this mode.
  void set(const Step& step, LinkMode mode);

  /// Whose links the workers' connections come over.
  const LinkOf& origins() const { return origins_; }

 private:
  using Proxies = std::vector<std::unique_ptr<Proxy>>;

  unsigned short add(Proxies& proxies, int gatekeeper, unsigned short towards);
  void setBetweenPeers(const Step& step, LinkMode mode);
  void setToWorkers(const Step& step, LinkMode mode);
  void setOfGatekeepers(Proxies& proxies, const Step& step, LinkMode mode) const;

  asio::io_context& io_;
  const Scenario& scenario_;
  LinkOf origins_;
  Proxies workers_;  // [gatekeeper * workers + worker]
  Proxies agents_;   // [gatekeeper]
  Proxies stores_;   // [gatekeeper]
  Proxies peers_;    // [from * gatekeepers + to]; none to itself
};

}  // namespace wingslip::lab
