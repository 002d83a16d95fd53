/// The control file of the preloaded fault library of one gatekeeper, which the lab and the library both map.
///
/// The lab writes it, and the library reads it at each system call; the library writes only the counters
/// `injected` and `diskFailed`. Every field is a lock-free atomic, so that neither process reads a partly
/// written value.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace wingslip::lab {

/// The kinds of system call failure. Linux documents each of them, and none of them terminates the process.
enum class CallFault : std::uint8_t {
  interrupted,     ///< EINTR from a read, a write or a wait
  short_transfer,  ///< a read or a write transfers fewer bytes than it could
  accept,          ///< accept fails: ECONNABORTED, EINTR, ENFILE, ENOBUFS, EPROTO, ENETUNREACH
  accept_full,     ///< accept fails with EMFILE or ENFILE only
  socket,          ///< socket fails: ENFILE, ENOBUFS, ENOMEM
  connect,         ///< connect fails: EADDRNOTAVAIL, ENETUNREACH, ECONNREFUSED, ETIMEDOUT
  broken,          ///< an outgoing connection breaks: a read or a write fails with ETIMEDOUT or EHOSTUNREACH
  memory,          ///< ENOBUFS or ENOMEM from a read or a write
  aborted,         ///< the client aborts a connection before it is accepted: accept fails with ECONNABORTED
};
constexpr std::size_t kCallFaultCount = 9;

/// The name of each kind in scenario files, in the order of CallFault.
constexpr std::array<const char*, kCallFaultCount> kCallFaultNames{
    "interrupted", "short", "accept", "accept_full", "socket", "connect", "broken", "memory", "aborted"};

constexpr std::uint32_t kFaultControlVersion = 1;    // layout version; others are ignored
constexpr std::uint32_t kPartsPerMillion = 1000000;  // sharePerMillion at which every call fails

/// The layout of the mapped file.
struct FaultControl {
  std::atomic<std::uint32_t> version;
  /// The share of calls that fail, by kind.
  std::array<std::atomic<std::uint32_t>, kCallFaultCount> sharePerMillion;
  std::atomic<std::int64_t> wallOffsetMs;  // added to each reading of the wall clock
  /// The errno for writes, syncs and renames of files, and for reads if EIO; 0: they succeed.
  std::atomic<std::int32_t> diskError;
  std::array<std::atomic<std::uint64_t>, kCallFaultCount> injected;  // calls failed so far, by kind
  std::atomic<std::uint64_t> diskFailed;                             // calls failed with diskError so far
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free &&
              std::atomic<std::int64_t>::is_always_lock_free);

/// Environment variables of a process that loads the library: the path of the control file, and the random
/// seed.
constexpr const char* kFaultFileVariable = "WINGSLIP_FAULTS";
constexpr const char* kFaultSeedVariable = "WINGSLIP_FAULT_SEED";

}  // namespace wingslip::lab
