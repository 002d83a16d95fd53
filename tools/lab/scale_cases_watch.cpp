// Scale cases of the watch on the list of workers: its core in virtual time.
#include <vector>

#include "endpoint_watch/endpoint_watch.hpp"
#include "probe.hpp"
#include "scale_cases.hpp"

namespace wingslip::lab {
namespace {

using wingslip::EndpointWatch;

constexpr double kStopWithinMs = 2000;
constexpr double kOutageMs = 60000;
constexpr double kAnswerMs = 5;  // until discovery turns a call away

// Calls that one watch makes while discovery turns each of them away.
std::uint64_t callsTurnedAway(unsigned gatekeepers, std::uint64_t seed) {
  EndpointWatch watch(EndpointWatch::limitsFor(kStopWithinMs, gatekeepers), seed);
  double now = 0;
  EndpointWatch::Action act = watch.start(now);
  while (now < kOutageMs) {
    if (act == EndpointWatch::Action::connect) {
      now += kAnswerMs;
      watch.onConnected(now);
      act = watch.onRejected(now);
    } else {
      now = watch.nextCheckAt();
      act = watch.checkTime(now);
    }
  }
  return watch.connectCount();
}

// A discovery of all gatekeepers' own that has no room for any of them.
std::vector<Figure> measureTurnedAway(std::size_t gatekeepers, const CaseLimits&) {
  double calls = 0;
  const double start = processorSeconds();
  for (std::size_t i = 0; i < gatekeepers; ++i)
    calls += static_cast<double>(callsTurnedAway(static_cast<unsigned>(gatekeepers), i + 1));
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
           measureTurnedAway}};
}

}  // namespace wingslip::lab
