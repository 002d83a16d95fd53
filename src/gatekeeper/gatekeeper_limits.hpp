/// What a gatekeeper may hold and how long it waits, from its configuration.
#pragma once

#include <chrono>
#include <string>

#include "config/config.hpp"
#include "endpoint_watch/endpoint_watch.hpp"
#include "gatekeeper/client_server.hpp"
#include "gatekeeper/upstream_pool.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// Milliseconds of the module's clock as a span of the steady one.
std::chrono::steady_clock::duration toDuration(decision::Time ms);

/// Connections to workers and of clients: their shares of the descriptors.
UpstreamPool::Limits poolLimits(const Config& config);
ClientServer::Limits serverLimits(const Config& config);

/// Throws std::runtime_error where `limits.memory_mb` does not hold one process.
MemoryBudget::Shares memoryShares(const Config& config);

OverloadState::Limits pressureLimits(const Config& config);
EndpointWatch::Limits watchLimits(const Config& config);

/// The module's number of a worker: the same at every gatekeeper, whatever the address, since they all run
/// this program.
decision::WorkerId workerIdOf(const std::string& instanceId);

}  // namespace wingslip
