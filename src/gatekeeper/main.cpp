/// The gatekeeper program: one gatekeeper on one event loop. SIGHUP reloads the configuration; SIGTERM and
/// SIGINT start a drain.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <exception>
#include <utility>

#include "gatekeeper/gatekeeper.hpp"
#include "gatekeeper/signal_watch.hpp"
#include "net/log.hpp"

namespace {

using Error = boost::system::error_code;

// A configuration file that is not valid JSON may be partially written: it is read up to this many times.
constexpr int kMaxReads = 3;
constexpr auto kReadInterval = std::chrono::milliseconds(100);

// Reloads the configuration on SIGHUP. An invalid configuration is logged and counted, and changes
// nothing else.
class Reloader {
 public:
  Reloader(boost::asio::io_context& io, wingslip::Gatekeeper& gatekeeper)
      : gatekeeper_(gatekeeper), retryTimer_(io) {}

  void onSighup() {
    // The configuration of the previous SIGHUP was never read completely; it counts as failed.
    if (std::exchange(retryPending_, false)) gatekeeper_.reloadFailed();
    retryTimer_.cancel();
    reload(kMaxReads);
  }

 private:
  void reload(int remainingReads) {
    try {
      retryPending_ = false;
      gatekeeper_.reload(wingslip::rereadConfig(gatekeeper_.config()));
    } catch (const wingslip::IncompleteConfigError& error) {
      if (remainingReads > 1) return retryLater(remainingReads - 1);
      reject(error);
    } catch (const std::exception& error) {
      reject(error);
    }
  }

  void reject(const std::exception& error) {
    gatekeeper_.reloadFailed();
    wingslip::processLog().error(
        "event=reload_failed text=\"configuration not reloaded, the previous one stays in effect: {}\"",
        error.what());
  }

  void retryLater(int remainingReads) {
    retryPending_ = true;
    retryTimer_.expires_after(kReadInterval);
    retryTimer_.async_wait([this, remainingReads](const Error& error) {
      if (!error) reload(remainingReads);
    });
  }

  wingslip::Gatekeeper& gatekeeper_;
  boost::asio::steady_timer retryTimer_;
  bool retryPending_ = false;
};

int run() {
  const wingslip::Config config = wingslip::readConfig();
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context io(1);
  wingslip::Gatekeeper gatekeeper(io, config);
  Reloader reloader(io, gatekeeper);
  bool draining = false;
  const wingslip::SignalWatch signals(io, {SIGTERM, SIGINT, SIGHUP}, [&](int number) {
    if (number == SIGHUP) return reloader.onSighup();
    if (!std::exchange(draining, true)) gatekeeper.drain([&] { io.stop(); });
  });
  gatekeeper.start();
  io.run();
  return 0;
}

}  // namespace

int main() {
  try {
    return run();
  } catch (const std::exception& error) {
    wingslip::processLog().critical("event=ended text=\"{}\"", error.what());
    return 1;
  }
}
