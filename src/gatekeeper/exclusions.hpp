/// The workers that operators have excluded, kept in a file of the state directory.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <system_error>

namespace wingslip {

/// A change takes effect at once. It is persisted only when the file and its directory are on disk; until
/// then it is written again by `sync`, and overrides what the file says. Both processes of a hot restart
/// share the file. Blocks on the disk. Used from the event loop's thread only.
class Exclusions {
 public:
  static constexpr std::size_t kMaxExcluded = 4096;

  /// @param directory where the file is; empty: nothing is persisted
  explicit Exclusions(const std::string& directory);

  /// The excluded workers, by id.
  const std::set<std::string>& ids() const { return ids_; }
  /// False: there is a file that could not be read so far, so it is not known who is excluded.
  bool isLoaded() const { return loaded_; }
  bool canExclude(const std::string& id) const { return ids_.size() < kMaxExcluded || ids_.contains(id); }

  /// Excludes or includes a worker and writes the file.
  /// @return an error: the change has taken effect, but is not persisted yet.
  std::error_code set(const std::string& id, bool excluded);
  /// The same without writing: the next `sync` does.
  void setWithoutWriting(const std::string& id, bool excluded);
  /// Reads what another process has written, and writes what is not persisted yet.
  /// @return whether the excluded workers have changed
  bool sync();

 private:
  std::error_code writeFileLocked();
  std::error_code writeIfChanged();
  std::error_code readFileIfChanged();
  void updateIds();

  const std::string path_;
  std::set<std::string> ids_;                   // the file's with the pending changes
  std::set<std::string> persistedIds_;          // the file's
  std::map<std::string, bool> pendingChanges_;  // that the file lacks: whether excluded
  std::string fileText_;                        // as last read or written
  bool loaded_ = true;
  bool mayBeUnsynced_ = false;  // the file may have been replaced without being on disk
};

}  // namespace wingslip
