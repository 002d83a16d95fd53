/// Which control replicas a subscriber asks, in which order: those of its zone, then of its region, then any.
/// Among equals a rendezvous hash decides, so that the subscribers of a lost replica spread evenly.
#pragma once

#include <string>
#include <vector>

namespace wingslip::distribution {

struct Location {
  std::string region;
  std::string zone;
};

struct ReplicaAddress {
  std::string name;
  Location location;
};

std::vector<std::string> orderReplicas(const std::string& subscriber, const Location& location,
                                       const std::vector<ReplicaAddress>& replicas);

}  // namespace wingslip::distribution
