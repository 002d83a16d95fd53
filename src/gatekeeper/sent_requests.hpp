/// The ids of requests that have been sent to a worker and must not be repeated freely, so that an id that
/// comes again is recognised: after its client has left, or at the other process of an upgrade.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// The first attempt of a request that a worker may have run.
struct SentRequest {
  decision::Time sentAt = 0;  ///< when its first byte was sent, on the decision clock
  decision::WorkerId worker = 0;
};

/// A table of fixed size. The processes of an upgrade share it as a mapped file, and may use it at the same
/// time without locks. Of each group of slots the oldest entry gives way to a new one. Not thread-safe
/// otherwise.
class SentRequests {
 public:
  /// Number of ids that are kept.
  static constexpr std::size_t kSlots = 8192;

  /// @param stateDir directory of the shared file; empty: the table is private. It is also private if the
  /// file
  ///     cannot be mapped, which is logged.
  explicit SentRequests(const std::string& stateDir);
  ~SentRequests();
  SentRequests(const SentRequests&) = delete;
  SentRequests& operator=(const SentRequests&) = delete;

  /// Returns the entry of the id, `nullopt` if there is none.
  std::optional<SentRequest> find(std::uint64_t id) const;
  /// Adds an entry, unless the id has one: its first attempt counts.
  void add(std::uint64_t id, const SentRequest& sent);
  /// Removes the entry of an id that no worker can have run.
  void remove(std::uint64_t id);

 private:
  struct Slot {
    std::atomic<std::uint64_t> id;
    std::atomic<double> sentAt;  // 0: the slot is free
    std::atomic<decision::WorkerId> worker;
  };
  static_assert(std::atomic<double>::is_always_lock_free, "processes share the slots without locks");
  static_assert(std::atomic<std::uint64_t>::is_always_lock_free, "processes share the slots without locks");
  static constexpr std::size_t kBytes = kSlots * sizeof(Slot);

  std::span<Slot> groupOf(std::uint64_t id) const;
  Slot* slotOf(std::uint64_t id) const;

  Slot* slots_ = nullptr;  // mapped, zeroed memory
};

}  // namespace wingslip
