/// The gatekeeper program: one gatekeeper on one event loop; SIGHUP reloads, SIGTERM and SIGINT drain.
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

constexpr int kMaxReads = 3;  // of a file that is not valid JSON: it may be half written
constexpr auto kReadInterval = std::chrono::milliseconds(100);

// Reads the configuration again at SIGHUP. One that is invalid changes nothing.
class Reloader {
 public:
  Reloader(boost::asio::io_context& io, wingslip::Gatekeeper& gatekeeper)
      : gatekeeper_(gatekeeper), retryTimer_(io) {}

  void onSighup() {
    // The change before this one was never read.
    if (std::exchange(retryPending_, false)) gatekeeper_.reloadFailed();
    retryTimer_.cancel();
    reload(kMaxReads);
  }

 private:
  void reload(int readsLeft) {
    try {
      retryPending_ = false;
      gatekeeper_.reload(wingslip::rereadConfig(gatekeeper_.config()));
    } catch (const wingslip::IncompleteConfigError& wrong) {
      if (readsLeft > 1) return retryLater(readsLeft - 1);
      reject(wrong);
    } catch (const std::exception& wrong) {
      reject(wrong);
    }
  }

  void reject(const std::exception& wrong) {
    gatekeeper_.reloadFailed();
    wingslip::processLog().error("event=reload_failed text=\"kept as it was: {}\"", wrong.what());
  }

  void retryLater(int readsLeft) {
    retryPending_ = true;
    retryTimer_.expires_after(kReadInterval);
    retryTimer_.async_wait([this, readsLeft](const Error& error) {
      if (!error) reload(readsLeft);
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
