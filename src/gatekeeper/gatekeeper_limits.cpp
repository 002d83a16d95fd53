/// Resource limits and time limits of a gatekeeper. See gatekeeper_limits.hpp.
#include "gatekeeper/gatekeeper_limits.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <stdexcept>

namespace wingslip {
namespace {

// File descriptors reserved for the listener, discovery, timers and standard streams; and, if configured, for
// operators' calls, the coordination store and replication with the other gatekeepers.
constexpr unsigned kBaseDescriptors = 24;
constexpr unsigned kOpsDescriptors = 18;
constexpr unsigned kStoreDescriptors = 8;
constexpr unsigned kReplicaDescriptors = 50;
// Shares of all file descriptors that each of the two processes of an upgrade may use. Both processes
// together stay below the limit.
constexpr double kClientShare = 0.27;
constexpr double kWorkerShare = 0.13;
// Share of the workers' idle timeout, so that the gatekeeper closes an idle connection first.
constexpr double kIdleTimeoutShare = 0.8;
constexpr std::size_t kMinConnections = 8;

std::size_t maxConnectionsFor(const Config& config, double descriptorShare) {
  if (config.inheritedListenFd >= 0)
    return std::max<std::size_t>(kMinConnections,
                                 static_cast<std::size_t>(config.maxFileDescriptors * descriptorShare));
  const unsigned reserved = kBaseDescriptors + (config.ops ? kOpsDescriptors : 0) +
                            (config.coordination ? kStoreDescriptors : 0) +
                            (config.replication ? kReplicaDescriptors : 0);
  // Client and worker connections get half of the remaining descriptors each.
  return std::max<std::size_t>(
      kMinConnections, (config.maxFileDescriptors - std::min(config.maxFileDescriptors / 2, reserved)) / 2);
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
  out.maxConnections = maxConnectionsFor(config, kWorkerShare);
  return out;
}

ClientServer::Limits serverLimits(const Config& config) {
  ClientServer::Limits out;
  out.maxConnections = maxConnectionsFor(config, kClientShare);
  return out;
}

MemoryBudget::Shares memoryShares(const Config& config) {
  MemoryLimit limit;
  limit.bytes = static_cast<std::size_t>(config.memoryLimitMib * 1024 * 1024);
  limit.twoProcesses = config.inheritedListenFd >= 0;
  limit.stateFiles = !config.stateDir.empty();
  const MemoryBudget::Shares out = budgetSharesFor(limit);
  if (out.total > 0) return out;
  const std::size_t minBytes = minMemoryLimit(limit.twoProcesses, limit.stateFiles);
  throw std::runtime_error(
      "configuration: limits.memory_mb is too small: this configuration needs at least " +
      std::to_string((minBytes + 1024 * 1024 - 1) / (1024 * 1024)) + " MiB");
}

OverloadState::Limits overloadLimits(const Config& config) {
  decision::Time objectiveMs = 0;  // the shortest latency objective of all classes; 0: no class has one
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
