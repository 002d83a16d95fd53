/// What the lab tells the preloaded fault library of one gatekeeper: a file that both sides map.
///
/// The lab writes, the library reads at each call; `injected` goes the other way. Every field is a lock-free
/// atomic, so that a value written in one process is seen whole in the other.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace wingslip::lab {

/// The kinds of failing call. Linux documents each of them; none of them ends the process.
enum class CallFault : std::uint8_t {
  interrupted,     ///< EINTR from a read, a write or a wait
  short_transfer,  ///< a read or a write takes fewer bytes than it could
  accept,          ///< accept fails: ECONNABORTED, EINTR, ENFILE, ENOBUFS, EPROTO, ENETUNREACH
  accept_full,     ///< accept fails with EMFILE or ENFILE alone
  socket,          ///< socket fails: ENFILE, ENOBUFS, ENOMEM
  connect,         ///< connect fails: EADDRNOTAVAIL, ENETUNREACH, ECONNREFUSED, ETIMEDOUT
  broken,          ///< a connection to a peer breaks: a read or a write fails with ETIMEDOUT or EHOSTUNREACH
  memory,          ///< ENOBUFS or ENOMEM from a read or a write
  aborted,         ///< the peer aborts a connection while it waits to be accepted: ECONNABORTED
};
constexpr std::size_t kCallFaults = 9;

/// The name of each kind in scenario files, in the order of CallFault.
constexpr std::array<const char*, kCallFaults> kCallFaultNames{
    "interrupted", "short", "accept", "accept_full", "socket", "connect", "broken", "memory", "aborted"};

constexpr std::uint32_t kFaultControlVersion = 1;
constexpr std::uint32_t kCertain = 1000000;  // a share of one

/// The mapped file.
struct FaultControl {
  std::atomic<std::uint32_t> version;
  std::array<std::atomic<std::uint32_t>, kCallFaults> sharePerMillion;  // of the calls of that kind that fail
  std::atomic<std::int64_t> wallOffsetMs;  // added to every reading of the wall clock
  std::atomic<std::int32_t> diskError;     // errno of writes, syncs and renames of files; 0: they succeed
  std::array<std::atomic<std::uint64_t>, kCallFaults> injected;  // calls failed so far
  std::atomic<std::uint64_t> diskFailed;
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free &&
              std::atomic<std::int64_t>::is_always_lock_free);

/// The environment of a process that loads the library: the file's path, and the seed of its choices.
constexpr const char* kFaultFileVariable = "WINGSLIP_FAULTS";
constexpr const char* kFaultSeedVariable = "WINGSLIP_FAULT_SEED";

}  // namespace wingslip::lab
