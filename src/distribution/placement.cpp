#include "distribution/placement.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "codec/hash.hpp"

namespace wingslip::distribution {
namespace {

// In order of preference.
enum class Distance : unsigned { sameZone, sameRegion, otherRegion };

Distance distanceOf(const Location& a, const Location& b) {
  if (a.region != b.region) return Distance::otherRegion;
  return a.zone == b.zone ? Distance::sameZone : Distance::sameRegion;
}

std::uint64_t weightOf(const std::string& subscriber, const std::string& replica) {
  return hash64(replica, hash64(subscriber));
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
