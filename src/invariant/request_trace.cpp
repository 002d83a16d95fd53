// Implementation of the record of a request and of its text.
#include "invariant/request_trace.hpp"

#include <cstdio>

namespace wingslip::invariant {
namespace {

constexpr std::size_t kStates = static_cast<std::size_t>(RequestState::clientClosed) + 1;

constexpr std::array<std::string_view, kStates> kStateNames{"taken",
                                                            "connecting",
                                                            "sent",
                                                            "ended_ok",
                                                            "ended_error",
                                                            "ended_declined",
                                                            "ended_timeout",
                                                            "ended_unconnected",
                                                            "ended_reset",
                                                            "ended_cancelled",
                                                            "ended_never_sent",
                                                            "answer_begun",
                                                            "streaming",
                                                            "answered",
                                                            "refused",
                                                            "failed",
                                                            "cut",
                                                            "client_left"};

}  // namespace

std::string_view nameOf(RequestState state) { return kStateNames[static_cast<std::size_t>(state)]; }

void RequestTrace::add(Time at, RequestState state, decision::WorkerId worker) {
  steps_[stepCount_ % kMaxSteps] = {at, state, worker};
  ++stepCount_;
}

std::string RequestTrace::text(Time now) const {
  std::string out = "request=" + (requestId.empty() ? "-" : requestId) + " states=";
  const std::size_t first = stepCount_ > kMaxSteps ? stepCount_ - kMaxSteps : 0;
  for (std::size_t i = first; i < stepCount_; ++i) {
    const Step& step = steps_[i % kMaxSteps];
    char part[96];
    std::snprintf(part, sizeof part, "%s%s@%.1f", i > first ? "," : "",
                  std::string(invariant::nameOf(step.state)).c_str(), step.at - now);
    out += part;
    if (step.worker == 0) continue;
    std::snprintf(part, sizeof part, "/%016llx", static_cast<unsigned long long>(step.worker));
    out += part;
  }
  return out;
}

}  // namespace wingslip::invariant
