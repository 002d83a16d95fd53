/// Parsing and validation of client requests: path, headers and customer key.
#include "gatekeeper/client_request.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace wingslip {
namespace {

constexpr decision::CustomerId kCustomerCount = decision::CustomerId{1} << 33;
constexpr double kMaxClientWaitMs = 10 * 60 * 1000;

// Parses `text` as a number; `nullopt` unless all of it is one.
template <class T, class... Base>
std::optional<T> parseNumber(std::string_view text, Base... base) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base...);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::string_view header(const ClientMessage& message, const char* name) {
  return toStringView(message[name]);
}

// Returns the part of `text` before the first `separator` and removes it and the separator from `text`.
std::string_view consumeUntil(std::string_view& text, char separator) {
  const auto at = text.find(separator);
  const auto part = text.substr(0, at);
  text = at == std::string_view::npos ? std::string_view{} : text.substr(at + 1);
  return part;
}

// Returns the value of `name` in a list of `name=value` pairs; empty if the list does not contain `name`.
std::string_view findValue(std::string_view list, char separator, std::string_view name) {
  while (!list.empty()) {
    std::string_view value = consumeUntil(list, separator);
    while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    if (consumeUntil(value, '=') == name) return value;
  }
  return {};
}

// Whether a header that the gatekeeper interprets is present more than once. Such a request is rejected,
// since the gatekeeper and the worker might use different values of it.
bool hasDuplicateHeader(const ClientMessage& message) {
  for (const char* name : {"Req-Id", "X-Tier", "Req-Deadline-Ms", "X-Call-Terms", "Idempotency-Key"})
    if (message.count(name) > 1) return true;
  return false;
}

bool isRequestId(std::string_view text) {
  const auto isHexDigit = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
  };
  return text.size() == 16 && std::all_of(text.begin(), text.end(), isHexDigit);
}

std::optional<unsigned> indexOf(const std::vector<std::string>& names, std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (name.empty() || found == names.end()) return std::nullopt;
  return static_cast<unsigned>(found - names.begin());
}

// Parses X-Call-Terms, such as `units=1,spread=2,first=1`. `first` is only validated. Returns false if
// the header is malformed or out of range.
bool parseTerms(std::string_view terms, const decision::Settings& settings, ParsedRequest& request) {
  const auto units = parseNumber<double>(findValue(terms, ',', "units"));
  const auto spread = parseNumber<unsigned>(findValue(terms, ',', "spread"));
  const auto first = parseNumber<unsigned>(findValue(terms, ',', "first"));
  if (!units || !std::isfinite(*units) || *units <= 0 || *units > settings.maxUnits) return false;
  if (!spread || *spread < 1 || *spread > settings.gatewayCount || !first || *first >= settings.gatewayCount)
    return false;
  request.units = *units;
  request.customerGatewayCount = *spread;
  return true;
}

bool methodFits(const ClientMessage& message, bool hasBody, decision::Idempotency idempotency) {
  if (idempotency == decision::Idempotency::idempotent)
    return message.method() == http::verb::get && !hasBody;
  return message.method() == http::verb::post &&
         (idempotency == decision::Idempotency::notIdempotent || !header(message, "Idempotency-Key").empty());
}

}  // namespace

std::string_view originForm(std::string_view target) {
  constexpr std::string_view scheme = "http://";
  if (!beast::iequals(beast::string_view(target.data(), std::min(target.size(), scheme.size())),
                      beast::string_view(scheme.data(), scheme.size())))
    return target;
  const auto slash = target.find('/', scheme.size());
  return slash == std::string_view::npos ? "/" : target.substr(slash);
}

std::variant<ParsedRequest, ImmediateResponse> parseClientRequest(const ClientMessage& message, bool hasBody,
                                                                  const Config& config) {
  constexpr auto kBadRequest = http::status::bad_request;
  std::string_view target = originForm(toStringView(message.target()));
  const std::string_view path = consumeUntil(target, '?');
  if (path.size() < 2 || path.front() != '/')
    return ImmediateResponse{http::status::not_found, "no such path"};
  std::string_view rest = path.substr(1);
  const auto classIndex = indexOf(config.host.classes, consumeUntil(rest, '/'));
  // A request of this service has a Req-Id; without one, an unknown class is an unknown path.
  const bool hasId = !header(message, "Req-Id").empty();
  if (!classIndex && !hasId) return ImmediateResponse{http::status::not_found, "no such path"};
  if (!classIndex) return ImmediateResponse{kBadRequest, "unknown class"};
  if (!hasId) return ImmediateResponse{kBadRequest, "no Req-Id"};
  if (!isRequestId(header(message, "Req-Id"))) return ImmediateResponse{kBadRequest, "bad Req-Id"};
  if (hasDuplicateHeader(message))
    return ImmediateResponse{kBadRequest, "a header of the service is there twice"};
  ParsedRequest request;
  request.classIndex = *classIndex;
  if (!methodFits(message, hasBody, config.settings.classes[*classIndex].idempotency))
    return ImmediateResponse{kBadRequest, "the method, body or Idempotency-Key does not fit the class"};
  const auto planIndex = indexOf(config.host.plans, header(message, "X-Tier"));
  if (!planIndex) return ImmediateResponse{kBadRequest, "unknown plan"};
  request.planIndex = *planIndex;
  const std::string_view key = findValue(target, '&', "client");
  const auto customer = parseNumber<decision::CustomerId>(key, 16);
  if (key.size() != 16 || !customer || *customer >= kCustomerCount)
    return ImmediateResponse{kBadRequest, "bad customer"};
  request.customer = *customer;
  const auto clientWaitMs = parseNumber<std::uint64_t>(header(message, "Req-Deadline-Ms"));
  if (!clientWaitMs || *clientWaitMs < 1 || static_cast<double>(*clientWaitMs) > kMaxClientWaitMs)
    return ImmediateResponse{kBadRequest, "bad Req-Deadline-Ms"};
  request.clientWaitMs = static_cast<double>(*clientWaitMs);
  if (!parseTerms(header(message, "X-Call-Terms"), config.settings, request))
    return ImmediateResponse{kBadRequest, "bad X-Call-Terms"};
  return request;
}

}  // namespace wingslip
