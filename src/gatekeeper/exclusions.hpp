/// The ids of the workers that operators have put out, kept in a file of the state folder for the process
/// that an upgrade or a restart brings.
///
/// A change is in force at once. It is kept only when the file and its folder are on disk; until then it is
/// written again by `retry`, and goes before what the file says.
#pragma once

#include <map>
#include <set>
#include <string>
#include <system_error>

namespace wingslip {

class Exclusions {
 public:
  static constexpr std::size_t kMost = 4096;

  /// `folder`: where the file lies, shared by both processes of an upgrade; empty: nothing is kept.
  explicit Exclusions(const std::string& folder);

  /// Those in force.
  const std::set<std::string>& ids() const { return ids_; }
  /// False: the file is there and could not be read so far, so that nobody knows who is excluded.
  bool known() const { return known_; }
  /// Whether there is room for one more, or it is excluded already.
  bool hasRoomFor(const std::string& id) const { return ids_.size() < kMost || ids_.contains(id); }

  /// Puts a worker out, or lets it in again, and writes the file. An error: the change is in force here, but
  /// not kept yet.
  std::error_code set(const std::string& id, bool excluded);
  /// The same without writing: the next `retry` does.
  void note(const std::string& id, bool excluded);
  /// Takes over what another process has written since, and writes what is not kept yet. True: what is in
  /// force has changed.
  bool retry();

 private:
  std::error_code save();
  std::error_code read();
  void merge();

  const std::string path_;
  std::set<std::string> ids_;           // in force: the file's with what is not kept yet
  std::set<std::string> kept_;          // the file's
  std::map<std::string, bool> unkept_;  // changes that the file lacks: whether excluded
  std::string seen_;                    // the file's text as last read or written
  bool known_ = true;
  bool unsynced_ = false;  // the file may have been replaced without being on disk
};

}  // namespace wingslip
