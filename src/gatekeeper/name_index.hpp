/// Indexes of the names that settings list, by hash.
#pragma once

#include <limits>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace wingslip {

/// The index of each name in a list; of one that is there twice, the first. Holds copies of the names.
class NameIndex {
 public:
  /// Returned for a name that the list does not have.
  static constexpr unsigned kNone = std::numeric_limits<unsigned>::max();

  explicit NameIndex(const std::vector<std::string>& names) {
    for (unsigned i = 0; i < names.size(); ++i) indexes_.try_emplace(names[i], i);
  }

  unsigned of(const std::string& name) const {
    const auto found = indexes_.find(name);
    return found == indexes_.end() ? kNone : found->second;
  }

 private:
  std::unordered_map<std::string, unsigned> indexes_;
};

/// `names` followed by those of `added` that are not among them, each once.
inline std::vector<std::string> joinedNames(std::vector<std::string> names,
                                            const std::vector<std::string>& added) {
  std::unordered_set<std::string> known(names.begin(), names.end());
  for (const std::string& name : added)
    if (known.insert(name).second) names.push_back(name);
  return names;
}

}  // namespace wingslip
