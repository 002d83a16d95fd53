/// The HTTP form of calls to the coordination store and of its answers: the parts used of Consul's session
/// and key-value API. Pure.
#pragma once

#include <string>
#include <string_view>

#include "leader_election/election_types.hpp"

namespace wingslip::leader_election {

struct HttpCall {
  bool isPut = false;  ///< else GET
  std::string target;
  std::string body;
};

[[nodiscard]] HttpCall httpCallOf(const StoreCall& call);

/// Reads an answer.
/// @param index  of the header `X-Consul-Index`; empty where that is missing.
/// @throws std::runtime_error with one line on anything that is not an answer to this operation.
[[nodiscard]] StoreReply parseReply(StoreOperation operation, unsigned status, std::string_view index,
                                    const std::string& body);

}  // namespace wingslip::leader_election
