/// The process's log: a line an event on standard error, `TIME level=LEVEL event=NAME key=value ...`, through
/// spdlog. Written in the calling thread, so that what a process said before its end is there.
#pragma once

#include <spdlog/spdlog.h>

namespace wingslip {

/// The one logger of the process.
spdlog::logger& processLog();

}  // namespace wingslip
