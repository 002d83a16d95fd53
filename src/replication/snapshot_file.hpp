/// The snapshot's file: read once at the start, replaced by a thread of its own, since fsync blocks.
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>

#include "replication/snapshot.hpp"

namespace wingslip::replication {

/// All calls come from one thread. The destructor waits for the running write.
class SnapshotFile {
 public:
  /// `folder` empty: there is no file, nothing is read or written.
  explicit SnapshotFile(const std::string& folder);
  ~SnapshotFile();
  SnapshotFile(const SnapshotFile&) = delete;
  SnapshotFile& operator=(const SnapshotFile&) = delete;

  [[nodiscard]] bool isEnabled() const { return !path_.empty(); }
  /// Nothing: there is no file. @throws DecodeError where it cannot be used.
  [[nodiscard]] std::optional<Snapshot> read() const;
  /// Whether contents of this hash are still to be written, and no write is running.
  [[nodiscard]] bool isWriteDue(std::uint64_t contentHash) const;
  /// Starts a write; only where one is due.
  void write(const Snapshot& snapshot, std::uint64_t contentHash);

 private:
  const std::string path_;
  std::uint64_t writtenHash_ = 0;
  std::thread writer_;  // of one write
  std::atomic<bool> writing_ = false;
  std::atomic<bool> lastWriteFailed_ = false;
};

}  // namespace wingslip::replication
