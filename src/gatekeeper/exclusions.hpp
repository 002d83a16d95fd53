/// The workers excluded by operators, persisted in a file of the state directory.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <system_error>

namespace wingslip {

/// The set of excluded workers and its file. A change takes effect immediately. It counts as persisted only
/// when the file and its directory have been flushed to disk; until then `sync` retries the write, and the
/// change overrides the contents of the file. Both processes of an upgrade share the file. Blocks on disk
/// I/O. Used from the event loop's thread only.
class Exclusions {
 public:
  /// Maximum number of workers that are excluded at the same time.
  static constexpr std::size_t kMaxExcluded = 4096;

  /// Reads the file.
  /// @param directory the directory of the file; empty: nothing is persisted
  explicit Exclusions(const std::string& directory);

  /// The ids of the excluded workers, pending changes included.
  const std::set<std::string>& ids() const { return ids_; }
  /// False while every read of the file has failed with an I/O error, so that the excluded workers are not
  /// known. A missing, malformed or too large file counts as read.
  bool isLoaded() const { return loaded_; }
  /// Whether excluding the worker would stay within `kMaxExcluded`.
  bool canExclude(const std::string& id) const { return ids_.size() < kMaxExcluded || ids_.contains(id); }

  /// Excludes or includes a worker, and writes the file.
  /// @return an error if the change has taken effect, but is not persisted yet
  std::error_code set(const std::string& id, bool excluded);
  /// Excludes or includes a worker; the next `sync` writes the file.
  void setWithoutWriting(const std::string& id, bool excluded);
  /// Writes the pending changes, or, if there are none, reads the changes that another process has written.
  /// @return whether the excluded workers have changed
  bool sync();

 private:
  std::error_code writeFileLocked();
  std::error_code writeIfChanged();
  std::error_code readFileIfChanged();
  void updateIds();

  const std::string path_;
  std::set<std::string> ids_;                   // `persistedIds_` with the pending changes applied
  std::set<std::string> persistedIds_;          // the excluded ids in the file, as last read or written
  std::map<std::string, bool> pendingChanges_;  // not persisted yet; the value: is excluded
  std::string fileText_;                        // the file as last read or written
  bool loaded_ = true;
  bool mayBeUnsynced_ = false;  // the file may have been replaced without being flushed to disk
};

}  // namespace wingslip
