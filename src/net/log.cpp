// Creation of the process's logger.
#include "net/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

#include <memory>

namespace wingslip {

spdlog::logger& processLog() {
  static const std::shared_ptr<spdlog::logger> logger = [] {
    auto newLogger = std::make_shared<spdlog::logger>("wingslip-gatekeeper",
                                                      std::make_shared<spdlog::sinks::stderr_sink_mt>());
    newLogger->set_pattern("%Y-%m-%dT%H:%M:%S.%e level=%l %v");
    return newLogger;
  }();
  return *logger;
}

}  // namespace wingslip
