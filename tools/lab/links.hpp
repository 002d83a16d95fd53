/// The links of a fleet, from every gatekeeper to the workers, its discovery agent, the coordination store
/// and the other gatekeepers. Each link goes through a fault proxy.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fault_proxy.hpp"
#include "scenario.hpp"

namespace wingslip::lab {

/// The mode that a step of this kind sets on links; none if the step is not a link fault or repair.
std::optional<LinkMode> linkModeOf(const std::string& kind);

/// Owns the fault proxies. Links must be added in the order of the gatekeepers, and those to workers in the
/// order of the workers within a gatekeeper, since they are looked up by position. Each `addTo` function
/// takes the upstream port and returns the proxy's listening port, both on 127.0.0.1.
class Links {
 public:
  /// Keeps references: both arguments must outlive the object.
  Links(asio::io_context& io, const Scenario& scenario) : io_(io), scenario_(scenario) {}

  unsigned short addToWorker(int gatekeeper, unsigned short workerPort);
  unsigned short addToAgent(int gatekeeper, unsigned short agentPort);
  unsigned short addToStore(int gatekeeper, unsigned short storePort);

  /// Adds the links between all pairs of gatekeepers. `peerPorts` are the ports on which they listen for each
  /// other, by gatekeeper.
  void addBetweenPeers(const std::vector<unsigned short>& peerPorts);
  /// Listening port of the proxy on the link from one gatekeeper to another.
  unsigned short toPeer(int from, int to) const { return peers_[from * scenario_.gatekeepers + to]->port(); }

  /// Sets the mode of the links that the step selects.
  void set(const Step& step, LinkMode mode);

  /// Maps the proxies' upstream connections to the gatekeepers of their links.
  const LinkOrigins& origins() const { return origins_; }

 private:
  using Proxies = std::vector<std::unique_ptr<Proxy>>;

  unsigned short add(Proxies& proxies, int gatekeeper, unsigned short upstreamPort);
  void setBetweenPeers(const Step& step, LinkMode mode);
  void setToWorkers(const Step& step, LinkMode mode);
  void setOfGatekeepers(Proxies& proxies, const Step& step, LinkMode mode) const;

  asio::io_context& io_;
  const Scenario& scenario_;
  LinkOrigins origins_;
  Proxies workers_;  // [gatekeeper * workers + worker]
  Proxies agents_;   // [gatekeeper]
  Proxies stores_;   // [gatekeeper]
  Proxies peers_;    // [from * gatekeepers + to]; null where from == to
};

}  // namespace wingslip::lab
