/// The endpoint list: which workers there are, as service discovery sends it. Parsing and merging; no I/O.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "wingslip/decision/gateway.hpp"

namespace wingslip {

/// One worker of an endpoint list.
struct EndpointEntry {
  std::string id;
  boost::asio::ip::tcp::endpoint address;  ///< may be unset for a removed worker
  std::string zone;
  std::string machineType;
  unsigned cell = 0;
  decision::WorkerPhase phase = decision::WorkerPhase::ready;
  double startedAtMs = 0;  ///< start of the worker's process, Unix time in ms; 0: long ago
};

/// One message of service discovery.
struct EndpointList {
  long long generation = -1;  ///< version of the list; below 0: there is no list
  bool isSnapshot = false;    ///< all workers; otherwise only those that changed
  std::vector<EndpointEntry> entries;
};

/// A message that is not an endpoint list; `what()` is one line.
struct EndpointListError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// @throws EndpointListError if the text is no JSON, has wrong types, an unknown lifecycle or an address that
/// cannot be read, or names a worker twice.
EndpointList parseEndpointList(std::string_view json);

/// What two successive lists amount to: the later state of each worker. It is a snapshot if either is one.
[[nodiscard]] EndpointList mergeEndpointLists(EndpointList earlier, EndpointList later);

}  // namespace wingslip
