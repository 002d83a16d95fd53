// The ids of the workers that operators have put out, kept in a file for the process that an upgrade starts.
#pragma once

#include <set>
#include <string>

namespace burlwind {

class Exclusions {
 public:
  static constexpr std::size_t kMost = 4096;

  // `folder`: where the file lies, shared by both processes of an upgrade; empty: nothing is kept.
  explicit Exclusions(const std::string& folder);

  const std::set<std::string>& ids() const { return ids_; }
  // Both write the file where they change anything.
  bool add(const std::string& id);  // false if there is no room for more
  void remove(const std::string& id);
  // Takes over what another process has written since; true if that changed anything. A file that cannot be
  // read changes nothing.
  bool refresh();

 private:
  void save();

  const std::string path_;
  std::set<std::string> ids_;
  std::string seen_;  // the file's text as last written or read
};

}  // namespace burlwind
