#include "gatekeeper/gatekeeper_limits.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <stdexcept>

namespace wingslip {
namespace {

constexpr unsigned kSparedSockets = 24;   // descriptors for the listener, discovery, timers, standard streams
constexpr unsigned kOpsSockets = 18;      // and for operators: their listener and callers
constexpr unsigned kStoreSockets = 8;     // and for the coordination store
constexpr unsigned kReplicaSockets = 50;  // and for the other gatekeepers
// Shares of all descriptors in either process of an upgrade: clients hold at most a third of them, and the
// two together stay under the limit.
constexpr double kClientShare = 0.27, kWorkerShare = 0.13;
constexpr double kIdleShare = 0.8;  // of the time that a worker keeps an idle connection

std::size_t shareOfSockets(const Config& config, double inUpgrade) {
  if (config.acceptFd >= 0)
    return std::max<std::size_t>(8, static_cast<std::size_t>(config.sockets * inUpgrade));
  const unsigned spared = kSparedSockets + (config.ops ? kOpsSockets : 0) +
                          (config.coordination ? kStoreSockets : 0) +
                          (config.replication ? kReplicaSockets : 0);
  return std::max<std::size_t>(8, (config.sockets - std::min(config.sockets / 2, spared)) / 2);
}

}  // namespace

std::chrono::steady_clock::duration span(decision::Time ms) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

UpstreamPool::Limits poolLimits(const Config& config) {
  UpstreamPool::Limits out;
  out.connectTimeout = std::chrono::milliseconds(std::lround(std::max(1.0, config.host.connectTimeout)));
  out.idleTimeout = std::chrono::milliseconds(std::lround(kIdleShare * config.host.idleTimeout));
  out.maxConnections = shareOfSockets(config, kWorkerShare);
  return out;
}

ClientServer::Limits serverLimits(const Config& config) {
  ClientServer::Limits out;
  out.connections = shareOfSockets(config, kClientShare);
  return out;
}

MemoryBudget::Shares memoryOf(const Config& config) {
  Room room;
  room.limit = static_cast<std::size_t>(config.memoryMb * 1024 * 1024);
  room.twoProcesses = config.acceptFd >= 0;
  room.files = !config.stateDir.empty();
  const MemoryBudget::Shares out = sharesOf(room);
  if (out.total > 0) return out;
  const std::size_t least = leastLimit(room.twoProcesses, room.files);
  throw std::runtime_error("configuration: limits.memory_mb is too small: it takes " +
                           std::to_string((least + 1024 * 1024 - 1) / (1024 * 1024)) + " at least here");
}

Pressure::Limits pressureLimits(const Config& config) {
  decision::Time aim = 0;
  for (const auto& klass : config.settings.classes)
    if (klass.latencyObjectiveMs > 0)
      aim = aim > 0 ? std::min(aim, klass.latencyObjectiveMs) : klass.latencyObjectiveMs;
  return Pressure::limitsFor(aim);
}

Watch::Limits watchLimits(const Config& config) {
  return Watch::limitsFor(config.settings.drainGraceMs, config.settings.gatewayCount);
}

decision::WorkerId numberOf(const std::string& instanceId) { return std::hash<std::string>{}(instanceId); }

}  // namespace wingslip
