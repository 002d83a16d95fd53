/// Handover to the next process of a hot restart: what it inherits, and when it begins to accept.
#include <cmath>

#include "gatekeeper/gatekeeper.hpp"
#include "gatekeeper/handover.hpp"

namespace wingslip {
namespace {

using decision::Time;
using namespace std::chrono_literals;

constexpr auto kHandoverInterval = 1s;      // between two writings
constexpr Time kMaxHandoverAgeMs = 30000;   // older: no process has served since
constexpr auto kReadyCheckInterval = 20ms;  // before connections are accepted

}  // namespace

// What the next process would have to learn again; until then workers in slow start would get almost nothing.
void Gatekeeper::handOverLater() {
  leave_.expires_after(kHandoverInterval);
  leave_.async_wait([this](const Error& error) {
    if (error || draining_) return;
    const Time now = clock_.now();
    wingslip::leave(config_.stateDir, {now, gateway_.warmWorkerRate(now), starts_.clockOffsetMs()});
    handOverLater();
  });
}

void Gatekeeper::takeHandover() {
  if (config_.acceptFd < 0) return;
  const Time now = clock_.now();
  const auto left = inherit(config_.stateDir);
  if (!left || std::abs(now - left->at) >= kMaxHandoverAgeMs) return;
  if (left->warmRate > 0) gateway_.seedWarmWorkerRate(now, left->warmRate);
  starts_ = StartTimes(left->clockOffset);
}

void Gatekeeper::acceptOnceReady() {
  if (draining_) return;
  if (readyToServe()) return server_.beginAccepting();
  accept_.expires_after(kReadyCheckInterval);
  accept_.async_wait([this](const Error& error) {
    if (!error) acceptOnceReady();
  });
}

}  // namespace wingslip
