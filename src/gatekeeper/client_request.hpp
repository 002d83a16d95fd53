/// A client's request, parsed and checked: what the decision module is asked, and what a worker is sent.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "config/config.hpp"
#include "net/http.hpp"

namespace wingslip {

using ClientMessage = http::request<WindowBody>;

/// What a request states of itself.
struct ParsedRequest {
  unsigned classIndex = 0;  ///< in HostSettings::classes
  unsigned planIndex = 0;   ///< in HostSettings::plans
  decision::CustomerId customer = 0;
  decision::Time clientWaitMs = 0;  ///< how long the client waits from when it sent the request
  double units = 1;
  unsigned customerGateways = 1;               ///< gateways that this customer's requests come through
  bool bodyComplete = true;                    ///< else its rest is read by Responder::readBody
  std::size_t memoryBytes = 0;                 ///< that the request holds, or may come to hold
  std::optional<std::uint64_t> contentLength;  ///< of an incomplete body, where the client states it
};

/// An answer that a request gets without reaching a worker.
struct ImmediateResponse {
  http::status status = http::status::bad_request;
  std::string_view message;
};

/// The path and query of a request target; a target in absolute form (`http://host/path`) loses its host.
std::string_view originForm(std::string_view target);
/// The request, or why it is malformed. `message` is complete but for the body.
std::variant<ParsedRequest, ImmediateResponse> parseClientRequest(const ClientMessage& message,
                                                                  const Config& config);

}  // namespace wingslip
