/// HTTP requests of the lab's clients, in the form that the protocol page specifies.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>

#include "scenario.hpp"

namespace wingslip::lab {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// Builds a request with this id for this customer: a POST with an idempotency key and a
/// body if `edit`, else a GET without either.
HttpRequest makeRequest(const Scenario& scenario, std::uint64_t id, int customer, bool edit);

}  // namespace wingslip::lab
