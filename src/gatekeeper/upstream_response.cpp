/// Parses and validates a worker's response.
#include "gatekeeper/upstream_response.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <string_view>
#include <utility>

namespace wingslip {
namespace {

using decision::AttemptResult;

// The header fields of a response that are read after it is parsed.
constexpr std::array<const char*, 8> kUsedFields{"Connection",       "Transfer-Encoding", "Content-Length",
                                                 "Content-Type",     "Srv-Declined",      "Srv-Load",
                                                 "X-RateLimit-Used", "X-Cost-Units"};
constexpr std::size_t kMaxKeptFields = 32;  // a field may be repeated

// Whether all of `text` is a number. As with std::from_chars, a numeric prefix sets `value` even if this
// returns false.
template <class T>
bool parseNumber(std::string_view text, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

// Returns the values of a load report such as `inflight=7,queue=2,util=0.61` in the order of `fields`. Empty
// if a field is missing or malformed.
std::vector<double> parseLoadReport(std::string_view text, const std::vector<std::string>& fields) {
  std::vector<double> values(fields.size());
  std::size_t found = 0;
  while (!text.empty()) {
    const auto comma = text.find(',');
    std::string_view pair = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
    const auto equals = pair.find('=');
    const auto field = std::find(fields.begin(), fields.end(), pair.substr(0, equals));
    if (equals == std::string_view::npos || field == fields.end()) continue;
    found += parseNumber(pair.substr(equals + 1), values[static_cast<std::size_t>(field - fields.begin())]);
  }
  return found == fields.size() && found > 0 ? values : std::vector<double>{};
}

AttemptResult resultOf(const http::response<WindowBody>& response) {
  if (response.result() == http::status::ok) return AttemptResult::ok;
  const bool unavailable = response.result() == http::status::service_unavailable ||
                           response.result() == http::status::gateway_timeout;
  return unavailable && toStringView(response["Srv-Declined"]) == "1" ? AttemptResult::overloaded
                                                                      : AttemptResult::error;
}

}  // namespace

void UpstreamResponse::reset() {
  parser_.emplace();
  parser_->body_limit(kMaxBodyBytes);
  parser_->header_limit(kMaxHeaderBytes);
  takenBodyBytes_ = 0;
  headerParsed_ = false;
}

UpstreamResponse::State UpstreamResponse::parse(RequestProgress request) {
  Error error;
  bool complete = parseBuffered(*parser_, input_, error);
  while (complete && !error && isInterim()) {
    reset();
    complete = parseBuffered(*parser_, input_, error);
  }
  if (error || isPremature(request)) return State::malformed;
  if (!headerParsed_ && parser_->is_header_done()) removeUnusedFields();
  return complete ? State::complete : State::incomplete;
}

// Workers start a request when its last byte arrives, so a 200 before that belongs to another request. Only
// while a request body is streamed may the response arrive before the request is complete.
bool UpstreamResponse::isPremature(RequestProgress request) const {
  return !request.written && !request.bodyStreaming && parser_->is_header_done() && isOk();
}

bool UpstreamResponse::isInterim() const {
  const auto& response = parser_->get();
  return response.result_int() < 200 && response.result() != http::status::switching_protocols;
}

// A parsed field takes many times its text, and the fields stay for as long as the response.
void UpstreamResponse::removeUnusedFields() {
  headerParsed_ = true;
  auto& fields = parser_->get().base();
  std::size_t kept = 0;
  for (auto field = fields.begin(); field != fields.end();) {
    const bool isUsed = std::any_of(kUsedFields.begin(), kUsedFields.end(), [&](const char* name) {
      return beast::iequals(field->name_string(), name);
    });
    if (isUsed && kept < kMaxKeptFields) {
      ++kept;
      ++field;
    } else {
      field = fields.erase(field);
    }
  }
}

bool UpstreamResponse::finishAtClose() {
  if (!parser_->is_header_done() || !parser_->need_eof()) return false;
  Error error;
  parser_->put_eof(error);
  return !error && parser_->is_done();
}

bool UpstreamResponse::statesLongBody() const {
  return parser_->is_header_done() && parser_->content_length().value_or(0) > kMaxBufferedBodyBytes;
}

bool UpstreamResponse::exceedsBuffer() const {
  return statesLongBody() ||
         (parser_->is_header_done() && parser_->get().body().size() > kMaxBufferedBodyBytes);
}

bool UpstreamResponse::allowsReuse() const {
  const auto& response = parser_->get();
  return input_.size() == 0 && response.keep_alive() &&
         response.result() != http::status::switching_protocols && response.result_int() >= 200;
}

std::optional<std::uint64_t> UpstreamResponse::contentLength() const {
  if (const auto length = parser_->content_length()) return *length;
  return std::nullopt;
}

void UpstreamResponse::describe(decision::AttemptOutcome& outcome,
                                const std::vector<std::string>& reportFields) const {
  const auto& response = parser_->get();
  outcome.result = resultOf(response);
  int percent = 0;
  if (parseNumber(toStringView(response["X-RateLimit-Used"]), percent) && percent >= 0)
    outcome.quotaUsePercent = percent;
  double units = 0;
  if (parseNumber(toStringView(response["X-Cost-Units"]), units) && std::isfinite(units) && units > 0)
    outcome.actualUnits = units;
  outcome.loadReport = parseLoadReport(toStringView(response["Srv-Load"]), reportFields);
}

std::size_t UpstreamResponse::memoryBytes(std::size_t nextReadBytes) const {
  return std::max(input_.capacity(), input_.size() + nextReadBytes) + bodyCapacity() + nextReadBytes;
}

}  // namespace wingslip
