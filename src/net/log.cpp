#include "net/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

#include <memory>

namespace wingslip {

spdlog::logger& processLog() {
  static const std::shared_ptr<spdlog::logger> logger = [] {
    auto out = std::make_shared<spdlog::logger>("wingslip-gatekeeper",
                                                std::make_shared<spdlog::sinks::stderr_sink_mt>());
    out->set_pattern("%Y-%m-%dT%H:%M:%S.%e level=%l %v");
    return out;
  }();
  return *logger;
}

}  // namespace wingslip
