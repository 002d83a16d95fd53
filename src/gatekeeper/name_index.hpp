/// Lookup of names that the settings list, such as zones and machine types.
#pragma once

#include <limits>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wingslip {

/// Hash table from each name of a list to its index, the first one if a name is listed twice. Copies the
/// names.
class NameIndex {
 public:
  /// The index of a name that is not in the list.
  static constexpr unsigned kNone = std::numeric_limits<unsigned>::max();

  explicit NameIndex(const std::vector<std::string>& names) {
    for (unsigned i = 0; i < names.size(); ++i) indexes_.try_emplace(names[i], i);
  }

  unsigned indexOf(const std::string& name) const {
    const auto found = indexes_.find(name);
    return found == indexes_.end() ? kNone : found->second;
  }

 private:
  std::unordered_map<std::string, unsigned> indexes_;
};

/// Returns `names` followed by the names of `added` that are not in `names`, each once.
inline std::vector<std::string> mergedNames(std::vector<std::string> names,
                                            const std::vector<std::string>& added) {
  std::unordered_set<std::string> present(names.begin(), names.end());
  for (const std::string& name : added)
    if (present.insert(name).second) names.push_back(name);
  return names;
}

}  // namespace wingslip
