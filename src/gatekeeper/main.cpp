// gatekeeper: one gatekeeper on real sockets.
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

constexpr int kReadsOfAChange = 3;  // of a file that is no JSON yet: it may be half written
constexpr auto kBetweenReads = std::chrono::milliseconds(100);

// SIGHUP reads the configuration again. One that cannot be read changes nothing and ends nothing.
class Reloader {
 public:
  Reloader(boost::asio::io_context& io, wingslip::Gatekeeper& gatekeeper)
      : gatekeeper_(gatekeeper), pause_(io) {}

  void changed() {
    // The next change has come before the one before it could be read.
    if (std::exchange(unread_, false)) gatekeeper_.reloadFailed();
    pause_.cancel();
    reload(kReadsOfAChange);
  }

 private:
  void reload(int reads) {
    try {
      unread_ = false;
      gatekeeper_.reload(wingslip::rereadConfig(gatekeeper_.config()));
    } catch (const wingslip::IncompleteConfigError& wrong) {
      if (reads > 1) return again(reads - 1);
      turnDown(wrong);
    } catch (const std::exception& wrong) {
      turnDown(wrong);
    }
  }

  void turnDown(const std::exception& wrong) {
    gatekeeper_.reloadFailed();
    wingslip::processLog().error("event=reload_failed text=\"kept as it was: {}\"", wrong.what());
  }

  void again(int reads) {
    unread_ = true;
    pause_.expires_after(kBetweenReads);
    pause_.async_wait([this, reads](const Error& error) {
      if (!error) reload(reads);
    });
  }

  wingslip::Gatekeeper& gatekeeper_;
  boost::asio::steady_timer pause_;
  bool unread_ = false;  // a change that may be half written
};

int run() {
  const wingslip::Config config = wingslip::readConfig();
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context io(1);
  wingslip::Gatekeeper gatekeeper(io, config);
  Reloader reloader(io, gatekeeper);
  bool draining = false;
  const wingslip::SignalWatch signals(io, {SIGTERM, SIGINT, SIGHUP}, [&](int number) {
    if (number == SIGHUP) return reloader.changed();
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
