/// The endpoint list: the workers of the fleet, as service discovery reports them. Parses and merges lists;
/// performs no I/O.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// The entry of a worker in an endpoint list.
struct EndpointEntry {
  std::string id;                          ///< instance id, unique within a list
  boost::asio::ip::tcp::endpoint address;  ///< unset for a removed worker whose entry gives none
  std::string zone;
  std::string machineType;
  unsigned cell = 0;
  decision::WorkerPhase phase = decision::WorkerPhase::ready;
  double startedAtMs = 0;  ///< start of the worker's process, Unix time in ms; 0: long ago, or not given
};

/// A message of service discovery: a snapshot of the list or its changes.
struct EndpointList {
  long long generation = -1;  ///< version of the list; below 0: no list has been received
  bool isSnapshot = false;    ///< true: all workers; false: only those that have changed
  std::vector<EndpointEntry> entries;
};

/// Thrown for a message that is not an endpoint list; `what()` is one line.
struct EndpointListError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Parses a message of service discovery.
/// @throws EndpointListError if the text is not JSON, a field is missing or has the wrong type, a lifecycle
/// is unknown, an address is malformed, or an instance id occurs twice
EndpointList parseEndpointList(std::string_view json);

/// Merges two successive lists into one with the same effect: the latest entry of each worker, and the later
/// generation. The result is a snapshot if either list is one.
[[nodiscard]] EndpointList mergeEndpointLists(EndpointList earlier, EndpointList later);

}  // namespace wingslip
