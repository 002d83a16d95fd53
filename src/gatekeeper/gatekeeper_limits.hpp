/// Resource limits and time limits of a gatekeeper, derived from its configuration.
#pragma once

#include <chrono>
#include <string>

#include "config/config.hpp"
#include "endpoint_watch/endpoint_watch.hpp"
#include "gatekeeper/client_server.hpp"
#include "gatekeeper/upstream_pool.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// Converts milliseconds of the decision module's clock to a duration of the steady clock.
std::chrono::steady_clock::duration toDuration(decision::Time ms);

/// Time limits of connections to workers, and how many of the process's file descriptors they may use.
UpstreamPool::Limits poolLimits(const Config& config);
/// Limits of the client server: the default time limits, and how many of the process's file descriptors
/// client connections may use.
ClientServer::Limits serverLimits(const Config& config);

/// How the memory limit is divided, in bytes.
/// @throws std::runtime_error if `limits.memory_mb` is too small for one process.
MemoryBudget::Shares memoryShares(const Config& config);

/// Thresholds of overload control, from the shortest latency objective of all request classes.
OverloadState::Limits overloadLimits(const Config& config);
/// Time limits of the watch on the endpoint list, from the drain grace period and the number of gatekeepers.
EndpointWatch::Limits watchLimits(const Config& config);

/// The decision module's id of a worker. It depends only on the instance id, not on the address, and is the
/// same at every gatekeeper, since all run this program.
decision::WorkerId workerIdOf(const std::string& instanceId);

}  // namespace wingslip
