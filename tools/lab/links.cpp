/// Creation and selection of the fleet's links.
#include "links.hpp"

#include <map>

namespace wingslip::lab {

std::optional<LinkMode> linkModeOf(const std::string& kind) {
  static const std::map<std::string, LinkMode> kModes{
      {"cut", LinkMode::cut},     {"blackhole", LinkMode::blackhole}, {"oneway", LinkMode::oneway},
      {"delay", LinkMode::delay}, {"throttle", LinkMode::throttle},   {"heal", LinkMode::pass}};
  const auto found = kModes.find(kind);
  return found == kModes.end() ? std::nullopt : std::optional(found->second);
}

unsigned short Links::addToWorker(int gatekeeper, unsigned short workerPort) {
  return add(workers_, gatekeeper, workerPort);
}

unsigned short Links::addToAgent(int gatekeeper, unsigned short agentPort) {
  return add(agents_, gatekeeper, agentPort);
}

unsigned short Links::addToStore(int gatekeeper, unsigned short storePort) {
  return add(stores_, gatekeeper, storePort);
}

void Links::addBetweenPeers(const std::vector<unsigned short>& peerPorts) {
  for (int from = 0; from < scenario_.gatekeepers; ++from)
    for (int to = 0; to < scenario_.gatekeepers; ++to)
      if (from == to)
        peers_.push_back(nullptr);
      else
        add(peers_, from, peerPorts[to]);
}

unsigned short Links::add(Proxies& proxies, int gatekeeper, unsigned short upstreamPort) {
  proxies.push_back(std::make_unique<Proxy>(io_, gatekeeper, upstreamPort, origins_));
  return proxies.back()->port();
}

void Links::set(const Step& step, LinkMode mode) {
  if (step.link.empty()) return setToWorkers(step, mode);
  if (step.link == "peers") return setBetweenPeers(step, mode);
  setOfGatekeepers(step.link == "store" ? stores_ : agents_, step, mode);
}

void Links::setBetweenPeers(const Step& step, LinkMode mode) {
  for (int from = 0; from < scenario_.gatekeepers; ++from)
    for (int to = 0; to < scenario_.gatekeepers; ++to) {
      const bool isGatekeepers = step.gatekeeper && (*step.gatekeeper == from || *step.gatekeeper == to);
      const bool crossesPartition = step.below > 0 && (from < step.below) != (to < step.below);
      if (from != to && (isGatekeepers || crossesPartition))
        peers_[from * scenario_.gatekeepers + to]->set(mode, step.delayMs, step.bytesPerS);
    }
}

void Links::setToWorkers(const Step& step, LinkMode mode) {
  for (int worker = 0; worker < scenario_.workers; ++worker) {
    if (step.worker ? *step.worker != worker : scenario_.zones[scenario_.zoneOf(worker)] != *step.zone)
      continue;
    for (int gatekeeper = 0; gatekeeper < scenario_.gatekeepers; ++gatekeeper)
      if (!step.gatekeeper || *step.gatekeeper == gatekeeper)
        workers_[gatekeeper * scenario_.workers + worker]->set(mode, step.delayMs, step.bytesPerS);
  }
}

void Links::setOfGatekeepers(Proxies& proxies, const Step& step, LinkMode mode) const {
  for (int gatekeeper = 0; gatekeeper < scenario_.gatekeepers; ++gatekeeper)
    if (!step.gatekeeper || *step.gatekeeper == gatekeeper)
      proxies[gatekeeper]->set(mode, step.delayMs, step.bytesPerS);
}

}  // namespace wingslip::lab
