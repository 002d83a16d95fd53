/// Timers on a run's clock.
#include "run_clock.hpp"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace wingslip::lab {

double RunClock::nowMs() const {
  return std::chrono::duration<double, std::milli>(Steady::now() - start_).count();
}

void RunClock::at(double seconds, std::function<void()> callback) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      io_, start_ + std::chrono::microseconds(static_cast<long>(seconds * 1e6)));
  timer->async_wait([timer, callback = std::move(callback)](const boost::system::error_code& error) {
    if (!error) callback();
  });
}

}  // namespace wingslip::lab
