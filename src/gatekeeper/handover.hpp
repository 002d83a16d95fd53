/// Handover in an upgrade: a file in the state directory by which a process passes values to the process that
/// the upgrade starts. The values take long to learn or are known only to the older process.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// The handed-over values. Times are valid in both processes, since both read the machine's monotonic clock
/// (`DecisionClock`), which steps of the wall clock do not affect.
struct Handover {
  decision::Time writtenAt = 0;      ///< when it was written, ms of `DecisionClock`
  double warmWorkerRatePerMs = 0;    ///< successful responses per ms of one warm worker
  decision::Time clockOffsetMs = 0;  ///< `DecisionClock` minus the true Unix time, in ms (`StartTimes`)
};

/// Replaces the file atomically. Does nothing if `stateDir` is empty. An error in writing is ignored: the
/// next process then finds the previous file or none.
void writeHandover(const std::string& stateDir, const Handover& handover);
/// Returns `nullopt` if `stateDir` is empty, or if the file cannot be read or is invalid.
std::optional<Handover> readHandover(const std::string& stateDir);

/// Writes the handover every second on the event loop, until it is destroyed or there is no handover to
/// write.
class HandoverWriter {
 public:
  /// @param stateDir empty: nothing is written
  HandoverWriter(boost::asio::io_context& io, const std::string& stateDir);
  /// @param currentHandover called before each write; `nullopt` ends the writing
  void start(std::function<std::optional<Handover>()> currentHandover);

 private:
  void scheduleNext();

  const std::string stateDir_;
  std::function<std::optional<Handover>()> currentHandover_;
  boost::asio::steady_timer timer_;
};

}  // namespace wingslip
