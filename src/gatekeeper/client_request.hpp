// A client's request, read and checked: what the module is asked, and what goes on to a worker.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "config/config.hpp"
#include "net/http.hpp"

namespace wingslip {

using ClientMessage = http::request<WindowBody>;

struct Call {
  unsigned klass = 0;
  unsigned plan = 0;
  decision::CustomerId customer = 0;
  decision::Time patience = 0;  // how long the client waits from when it sent the request
  double units = 1;
  unsigned setSize = 1;
  bool whole = true;                    // the body is all there; else its rest is pulled from the responder
  std::size_t holds = 0;                // bytes of memory, with what it may come to hold
  std::optional<std::uint64_t> length;  // of a body that is not, where the client has stated it
};

struct Rejection {
  http::status status = http::status::bad_request;
  std::string_view why;
};

std::string_view originForm(std::string_view target);
std::variant<Call, Rejection> readCall(const ClientMessage& message, const Config& config);

}  // namespace wingslip
