/// The snapshot file: read once at start-up and replaced on a separate thread, because fsync blocks.
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>

#include "replication/snapshot.hpp"

namespace wingslip::replication {

/// All calls must come from one thread. The destructor waits for a write in progress.
class SnapshotFile {
 public:
  /// @param directory of the file; if empty, no snapshot is read or written.
  explicit SnapshotFile(const std::string& directory);
  ~SnapshotFile();
  SnapshotFile(const SnapshotFile&) = delete;
  SnapshotFile& operator=(const SnapshotFile&) = delete;

  /// Whether a directory is configured.
  [[nodiscard]] bool isEnabled() const { return !path_.empty(); }
  /// Returns the snapshot, or nullopt if the file cannot be opened or snapshots are disabled.
  /// @throws DecodeError if the file is not a valid snapshot.
  [[nodiscard]] std::optional<Snapshot> read() const;
  /// Whether no write is in progress and contents with this hash are not yet written, or their write failed.
  [[nodiscard]] bool isWriteDue(std::uint64_t contentHash) const;
  /// Starts a write in the background. Call it only if `isWriteDue`.
  void write(const Snapshot& snapshot, std::uint64_t contentHash);

 private:
  const std::string path_;
  std::uint64_t lastWriteHash_ = 0;  // of the contents of the last write started
  std::thread writer_;               // runs a single write
  std::atomic<bool> writing_ = false;
  std::atomic<bool> lastWriteFailed_ = false;
};

}  // namespace wingslip::replication
