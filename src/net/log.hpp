/// The log of the process, written with spdlog to standard error: one line per event, formatted as
/// `TIME level=LEVEL event=NAME key=value ...`. Lines are written synchronously, so that none is lost when
/// the process ends.
#pragma once

#include <spdlog/spdlog.h>

namespace wingslip {

/// @return the logger of the process, created on the first call.
spdlog::logger& processLog();

}  // namespace wingslip
