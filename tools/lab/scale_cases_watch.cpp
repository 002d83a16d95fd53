/// Scale case of the watch on the list of workers: its state machine in virtual time.
#include <vector>

#include "endpoint_watch/endpoint_watch.hpp"
#include "probe.hpp"
#include "scale_cases.hpp"

namespace wingslip::lab {
namespace {

using wingslip::EndpointWatch;

constexpr double kStopSendingWithinMs = 2000;
constexpr double kOutageMs = 60000;
constexpr double kRejectionDelayMs = 5;  // from a call until discovery rejects it

// Returns the number of calls of one watch during an outage in which discovery rejects every call.
std::uint64_t callsWhileRejected(unsigned gatekeepers, std::uint64_t seed) {
  EndpointWatch watch(EndpointWatch::limitsFor(kStopSendingWithinMs, gatekeepers), seed);
  double now = 0;
  EndpointWatch::Action action = watch.start(now);
  while (now < kOutageMs) {
    if (action == EndpointWatch::Action::connect) {
      now += kRejectionDelayMs;
      watch.onConnected(now);
      action = watch.onRejected(now);
    } else {
      now = watch.nextCheckAt();
      action = watch.checkTime(now);
    }
  }
  return watch.connectCount();
}

// All gatekeepers call one shared discovery, which rejects every call.
std::vector<Figure> measureRejectedCalls(std::size_t gatekeepers, const CaseLimits&) {
  double calls = 0;
  const double start = processorSeconds();
  for (std::size_t i = 0; i < gatekeepers; ++i)
    calls += static_cast<double>(callsWhileRejected(static_cast<unsigned>(gatekeepers), i + 1));
  const double seconds = kOutageMs / 1000;
  return {{"calls", "calls/s", calls / seconds},
          {"calls_each", "calls/s", calls / seconds / static_cast<double>(gatekeepers)},
          {"processor", "s/s", (processorSeconds() - start) / seconds / static_cast<double>(gatekeepers)}};
}

}  // namespace

std::vector<ScaleCase> watchCases() {
  return {{"watch",
           "gatekeepers",
           RunKind::core,
           {500, 1000, 2000, 4000},
           {500, 1000, 2000, 4000, 8400},
           {500, 1000, 2000, 4000, 8400},
           measureRejectedCalls}};
}

}  // namespace wingslip::lab
