/// Hot restart: what a process writes to a file of the state folder for the process that an upgrade starts:
/// what takes long to learn, or what only the older process can know.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// Both processes read one monotonic clock (`DecisionClock`), whatever is done to the wall clock between
/// them.
struct Handover {
  decision::Time at = 0;           ///< of the writing, on the monotonic clock
  double warmRate = 0;             ///< good answers a ms of a warm worker
  decision::Time clockOffset = 0;  ///< the monotonic clock less the true Unix time, in ms (`StartTimes`)
};

/// Does nothing where no folder is given. The file is replaced whole; one that cannot be written is not
/// there.
void writeHandover(const std::string& folder, const Handover& handover);
/// None where the file cannot be read or makes no sense.
std::optional<Handover> readHandover(const std::string& folder);

/// Writes the handover every second on the event loop, for as long as it lives.
class HandoverWriter {
 public:
  HandoverWriter(boost::asio::io_context& io, const std::string& folder);
  /// `current` is asked before each writing; `nullopt` ends them.
  void start(std::function<std::optional<Handover>()> current);

 private:
  void scheduleNext();

  const std::string folder_;
  std::function<std::optional<Handover>()> current_;
  boost::asio::steady_timer timer_;
};

}  // namespace wingslip
