#include "distribution/placement.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace wingslip::distribution {
namespace {

enum class Distance : unsigned { same_zone, same_region, elsewhere };

Distance distanceOf(const Location& a, const Location& b) {
  if (a.region != b.region) return Distance::elsewhere;
  return a.zone == b.zone ? Distance::same_zone : Distance::same_region;
}

std::uint64_t weightOf(const std::string& subscriber, const std::string& replica) {
  const std::uint64_t seed = XXH64(subscriber.data(), subscriber.size(), 0);
  return XXH64(replica.data(), replica.size(), seed);
}

}  // namespace

std::vector<std::string> orderReplicas(const std::string& subscriber, const Location& location,
                                       const std::vector<ReplicaAddress>& replicas) {
  std::vector<std::tuple<Distance, std::uint64_t, std::string>> ranked;
  for (const ReplicaAddress& replica : replicas) {
    const Distance distance = distanceOf(location, replica.location);
    ranked.emplace_back(distance, weightOf(subscriber, replica.name), replica.name);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (const auto& candidate : ranked) names.push_back(std::get<2>(candidate));
  return names;
}

}  // namespace wingslip::distribution
