/// Encodes calls to the coordination store as HTTP requests and parses its responses: the subset of Consul's
/// session and key-value API that the election uses. Performs no I/O.
#pragma once

#include <string>
#include <string_view>

#include "leader_election/election_types.hpp"

namespace wingslip::leader_election {

/// The variable parts of an HTTP request to the store.
struct HttpCall {
  bool isPut = false;  ///< PUT if true, else GET
  std::string target;
  std::string body;
};

/// Encodes a call.
[[nodiscard]] HttpCall httpCallOf(const StoreCall& call);

/// Parses the response to a call.
/// @param index  value of the header `X-Consul-Index`, empty if that is missing.
/// @throws std::runtime_error with a one-line message if this is not a valid response to the operation.
[[nodiscard]] StoreReply parseReply(StoreOperation operation, unsigned status, std::string_view index,
                                    const std::string& body);

}  // namespace wingslip::leader_election
