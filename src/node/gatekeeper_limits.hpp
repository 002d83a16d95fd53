/// What a gatekeeper may hold and how long it waits, from its configuration.
#pragma once

#include <chrono>
#include <string>

#include "irisring/decide.hpp"
#include "node/client_server.hpp"
#include "node/config.hpp"
#include "node/worker_pool.hpp"
#include "watch/watch.hpp"

namespace burlwind {

/// Milliseconds of the module's clock as a span of the steady one.
std::chrono::steady_clock::duration span(irisring::Time ms);

/// Connections to workers and of clients: their shares of the descriptors.
WorkerPool::Limits poolLimits(const Config& config);
ClientServer::Limits serverLimits(const Config& config);

/// Throws std::runtime_error where `limits.memory_mb` does not hold one process.
Ledger::Shares memoryOf(const Config& config);

Pressure::Limits pressureLimits(const Config& config);
Watch::Limits watchLimits(const Config& config);

/// The module's number of a worker: the same at every gatekeeper, whatever the address, since they all run
/// this program.
irisring::WorkerId numberOf(const std::string& instanceId);

}  // namespace burlwind
