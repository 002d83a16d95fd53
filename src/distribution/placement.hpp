/// Order in which a subscriber tries the control replicas: those of its zone first, then those of its region,
/// then the others. Rendezvous hashing orders the replicas at equal distance, so that the subscribers of a
/// failed replica are spread evenly over the others.
#pragma once

#include <string>
#include <vector>

namespace wingslip::distribution {

/// Location of a replica or subscriber.
struct Location {
  std::string region;
  std::string zone;
};

/// A control replica that subscribers can connect to.
struct ReplicaAddress {
  std::string name;
  Location location;
};

/// Names of all replicas in the order in which `subscriber` tries them.
std::vector<std::string> orderReplicas(const std::string& subscriber, const Location& location,
                                       const std::vector<ReplicaAddress>& replicas);

}  // namespace wingslip::distribution
