#include "leader_election/store_calls.hpp"

#include <utility>

namespace wingslip::leader_election {
namespace {

// The store extends the wait of a blocking read by up to a sixteenth; the timeout allows for a tenth.
constexpr double kBlockingReadTimeoutFactor = 1.1;

}  // namespace

std::uint64_t StoreCalls::send(Time now, StoreCall call, CallPurpose purpose, std::size_t taskIndex) {
  call.id = ++lastCallId_;
  call.timeoutMs = timing_.callTimeoutMs;
  if (call.operation == StoreOperation::read && call.index > 0) {
    call.blockingReadMs = timing_.blockingReadMs;
    call.timeoutMs += timing_.blockingReadMs * kBlockingReadTimeoutFactor;
  }
  pending_[call.id] = {purpose, taskIndex, now};
  host_.callStore(call);
  return call.id;
}

void StoreCalls::cancel(std::uint64_t callId) {
  if (callId == 0) return;
  pending_.erase(callId);
  host_.cancelCall(callId);
}

std::optional<PendingCall> StoreCalls::take(std::uint64_t callId) {
  const auto found = pending_.find(callId);
  if (found == pending_.end()) return std::nullopt;
  const PendingCall pending = found->second;
  pending_.erase(found);
  return pending;
}

}  // namespace wingslip::leader_election
