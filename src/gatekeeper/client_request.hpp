/// Parsing and validation of client requests.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "config/config.hpp"
#include "net/http.hpp"

namespace wingslip {

/// The HTTP message of a request; the body may be incomplete.
using ClientMessage = http::request<WindowBody>;

/// The validated attributes of a request.
struct ParsedRequest {
  unsigned classIndex = 0;            ///< request class, index in HostSettings::classes
  unsigned planIndex = 0;             ///< customer plan, index in HostSettings::plans
  decision::CustomerId customer = 0;  ///< from the query parameter `client`
  decision::Time clientWaitMs = 0;    ///< how long the client waits after sending the request, ms
  double units = 1;                   ///< cost of the request, above 0
  unsigned customerGatewayCount = 1;  ///< number of gateways that receive this customer's requests
  bool bodyComplete = true;           ///< if false, the remaining body is read with Responder::readBody
  std::size_t memoryBytes = 0;        ///< upper bound of the memory that the request uses on the connection
  std::optional<std::uint64_t> contentLength;  ///< Content-Length, bytes; set only if the body is incomplete
};

/// A response that is sent without calling a worker.
struct ImmediateResponse {
  http::status status = http::status::bad_request;
  std::string_view message;  ///< refers to static text
};

/// Returns the path and query of a request target, without the scheme and host of a target in absolute form
/// (`http://host/path`).
std::string_view originForm(std::string_view target);
/// Parses a request. `message` must be complete except for its body.
/// @param hasBody whether the request has a body, of which `message` may not hold a byte yet
/// @return the request, or the error response if it is malformed
std::variant<ParsedRequest, ImmediateResponse> parseClientRequest(const ClientMessage& message, bool hasBody,
                                                                  const Config& config);

}  // namespace wingslip
