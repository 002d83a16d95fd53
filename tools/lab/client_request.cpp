/// Builds the requests of the lab's clients.
#include "client_request.hpp"

#include <cstdio>
#include <string>

namespace wingslip::lab {
namespace http = boost::beast::http;

HttpRequest makeRequest(const Scenario& scenario, std::uint64_t id, int customer, bool edit) {
  char text[17], client[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(id));
  std::snprintf(client, sizeof client, "%016x", customer);
  HttpRequest out(edit ? http::verb::post : http::verb::get,
                  std::string(edit ? "/edit" : "/look") + "?client=" + client, 11);
  out.set(http::field::host, "backend.local");
  out.set("Req-Id", text);
  out.set("X-Tier", "large");
  out.set("Req-Deadline-Ms", std::to_string(static_cast<long>(scenario.deadlineMs)));
  out.set("X-Call-Terms", "units=1,spread=" + std::to_string(scenario.gatekeepers) + ",first=0");
  if (edit) {
    out.set("Idempotency-Key", std::string(text) + std::string(text));
    out.body() = "{\"edit\":" + std::to_string(customer) + "}";
    out.prepare_payload();
  }
  return out;
}

}  // namespace wingslip::lab
