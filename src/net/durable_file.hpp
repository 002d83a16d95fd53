/// Files of the state folder, which outlive the process: read whole, and replaced whole.
///
/// A reader finds the old bytes or the new ones, at whatever moment the process is killed or loses power.
/// Every error is returned; the caller has to retry what could not be written.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

namespace wingslip {

/// How far a replacement has gone when `replaceFile` returns without an error.
enum class Durability {
  onDisk,    ///< file and folder are synced: it survives a power cut
  inKernel,  ///< it survives the process alone
};

/// Writes `bytes` to a temporary file and renames it to `path`. Blocks for as long as the disk takes.
std::error_code replaceFile(const std::string& path, std::string_view bytes, Durability durability);

/// Reads at most `maxBytes` bytes; a longer file is `file_too_large`, one that is not there
/// `no_such_file_or_directory`.
std::error_code readFile(const std::string& path, std::size_t maxBytes, std::string& bytes);

/// An exclusive lock between the processes that share a folder, while one of them reads and replaces a file.
/// Gives up after some 20 ms: the other process may be stopped.
class FileLock {
 public:
  explicit FileLock(const std::string& path);
  ~FileLock();
  FileLock(const FileLock&) = delete;
  FileLock& operator=(const FileLock&) = delete;

  /// Why it is not held; no error: it is.
  const std::error_code& error() const { return error_; }

 private:
  int descriptor_ = -1;
  std::error_code error_;
};

}  // namespace wingslip
