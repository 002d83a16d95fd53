#include "gatekeeper/gatekeeper_limits.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <stdexcept>

namespace wingslip {
namespace {

// Descriptors that are reserved: for the listener, discovery, timers and standard streams; and, where they
// are configured, for operators' calls, the coordination store and the other gatekeepers.
constexpr unsigned kReservedSockets = 24;
constexpr unsigned kOpsSockets = 18;
constexpr unsigned kStoreSockets = 8;
constexpr unsigned kReplicaSockets = 50;
// Shares of all descriptors for either process of an upgrade; both processes fit under the limit.
constexpr double kClientShare = 0.27;
constexpr double kWorkerShare = 0.13;
constexpr double kIdleTimeoutShare = 0.8;  // of the worker's own idle time-out
constexpr std::size_t kMinConnections = 8;

std::size_t shareOfSockets(const Config& config, double shareInUpgrade) {
  if (config.acceptFd >= 0)
    return std::max<std::size_t>(kMinConnections, static_cast<std::size_t>(config.sockets * shareInUpgrade));
  const unsigned reserved = kReservedSockets + (config.ops ? kOpsSockets : 0) +
                            (config.coordination ? kStoreSockets : 0) +
                            (config.replication ? kReplicaSockets : 0);
  return std::max<std::size_t>(kMinConnections,
                               (config.sockets - std::min(config.sockets / 2, reserved)) / 2);
}

}  // namespace

std::chrono::steady_clock::duration toDuration(decision::Time ms) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

UpstreamPool::Limits poolLimits(const Config& config) {
  UpstreamPool::Limits out;
  out.connectTimeout = std::chrono::milliseconds(std::lround(std::max(1.0, config.host.connectTimeoutMs)));
  out.idleTimeout =
      std::chrono::milliseconds(std::lround(kIdleTimeoutShare * config.host.workerIdleTimeoutMs));
  out.maxConnections = shareOfSockets(config, kWorkerShare);
  return out;
}

ClientServer::Limits serverLimits(const Config& config) {
  ClientServer::Limits out;
  out.maxConnections = shareOfSockets(config, kClientShare);
  return out;
}

MemoryBudget::Shares memoryShares(const Config& config) {
  MemoryLimit room;
  room.bytes = static_cast<std::size_t>(config.memoryMb * 1024 * 1024);
  room.twoProcesses = config.acceptFd >= 0;
  room.stateFiles = !config.stateDir.empty();
  const MemoryBudget::Shares out = sharesOf(room);
  if (out.total > 0) return out;
  const std::size_t least = minMemoryLimit(room.twoProcesses, room.stateFiles);
  throw std::runtime_error("configuration: limits.memory_mb is too small: it takes " +
                           std::to_string((least + 1024 * 1024 - 1) / (1024 * 1024)) + " at least here");
}

OverloadState::Limits pressureLimits(const Config& config) {
  decision::Time objectiveMs = 0;  // the shortest of all classes; 0: none has one
  for (const auto& requestClass : config.settings.classes)
    if (requestClass.latencyObjectiveMs > 0)
      objectiveMs = objectiveMs > 0 ? std::min(objectiveMs, requestClass.latencyObjectiveMs)
                                    : requestClass.latencyObjectiveMs;
  return OverloadState::limitsFor(objectiveMs);
}

EndpointWatch::Limits watchLimits(const Config& config) {
  return EndpointWatch::limitsFor(config.settings.drainGraceMs, config.settings.gatewayCount);
}

decision::WorkerId workerIdOf(const std::string& instanceId) { return std::hash<std::string>{}(instanceId); }

}  // namespace wingslip
