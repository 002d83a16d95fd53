/// Admitted requests without a final answer, and their attempts in flight.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>

#include "decision/pending_request.hpp"

namespace wingslip::decision {

/// An attempt without an outcome. It outlives its request if the client disconnects or the request is
/// released under overload.
struct AttemptInFlight {
  CustomerId customer = 0;
  RequestClassPtr requestClass;
};

/// Owns the requests and attempts. A reference to a request is valid until the request is erased.
class RequestTable {
 public:
  using Requests = std::unordered_map<RequestId, PendingRequest>;

  /// Returns null if there is no such request.
  PendingRequest* find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  const PendingRequest* find(RequestId id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  PendingRequest& add(PendingRequest&& pending) {
    const RequestId id = pending.request.id;
    return requests_.emplace(id, std::move(pending)).first->second;
  }
  void erase(RequestId id) { requests_.erase(id); }
  Requests& all() { return requests_; }
  const Requests& all() const { return requests_; }
  std::size_t size() const { return requests_.size(); }

  void addAttempt(RequestId id, unsigned number, AttemptInFlight attempt) {
    attempts_[attemptKey(id, number)] = std::move(attempt);
  }
  /// Removes and returns the attempt that an outcome belongs to; empty if the attempt is unknown or already
  /// has an outcome.
  [[nodiscard]] std::optional<AttemptInFlight> takeAttempt(RequestId id, unsigned number) {
    const auto found = attempts_.find(attemptKey(id, number));
    if (found == attempts_.end()) return std::nullopt;
    std::optional<AttemptInFlight> attempt(std::move(found->second));
    attempts_.erase(found);
    return attempt;
  }

 private:
  static std::uint64_t attemptKey(RequestId id, unsigned number) {
    return std::uint64_t{id} << 16 | (number & 0xffff);
  }

  Requests requests_;
  std::unordered_map<std::uint64_t, AttemptInFlight> attempts_;
};

}  // namespace wingslip::decision
