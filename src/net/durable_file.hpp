/// Atomic replacement of the files in the state directory, which persist across restarts of the process.
///
/// A reader finds either the complete old or the complete new content, even if the process is killed or power
/// is lost during a replacement. Every error is returned; retrying a failed write is up to the caller.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

namespace wingslip {

/// The failures that a replacement survives once `replaceFile` has returned without an error.
enum class Durability {
  onDisk,     ///< file and directory are synced: survives a power failure
  pageCache,  ///< not synced: survives the end of the process only
};

/// Writes `bytes` to a temporary file and renames it to `path`. Blocks for as long as the disk takes
/// to write.
/// @param path must contain a directory for `Durability::onDisk`
/// @return the system's error, or none on success
std::error_code replaceFile(const std::string& path, std::string_view bytes, Durability durability);

/// Reads the file at `path` into `bytes`.
/// @return `file_too_large` if the file is longer than `maxBytes`, `no_such_file_or_directory` if it does not
/// exist, any other error of the system, or none on success
std::error_code readFile(const std::string& path, std::size_t maxBytes, std::string& bytes);

/// An exclusive lock between the processes that share a directory, held while one of them reads and replaces
/// a file. Released on destruction. The constructor blocks for at most about 20 ms, because the process that
/// has the lock may be stopped.
class FileLock {
 public:
  /// @param path the lock file, created if it does not exist; not the file to be replaced
  explicit FileLock(const std::string& path);
  ~FileLock();
  FileLock(const FileLock&) = delete;
  FileLock& operator=(const FileLock&) = delete;

  /// @return why the lock could not be acquired, or no error if it was.
  const std::error_code& error() const { return error_; }

 private:
  int descriptor_ = -1;
  std::error_code error_;
};

}  // namespace wingslip
