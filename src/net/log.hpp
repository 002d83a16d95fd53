/// The process's log: one line an event on standard error, `TIME level=LEVEL event=NAME key=value ...`,
/// through spdlog. Written in the calling thread, so that no line is lost when the process ends.
#pragma once

#include <spdlog/spdlog.h>

namespace wingslip {

/// The one logger of the process.
spdlog::logger& processLog();

}  // namespace wingslip
