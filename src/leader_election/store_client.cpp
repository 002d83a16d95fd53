#include "leader_election/store_client.hpp"

#include <boost/beast/http.hpp>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "leader_election/store_protocol.hpp"
#include "net/http.hpp"

namespace wingslip::leader_election {
namespace {

using asio::ip::tcp;

constexpr unsigned kHttp11 = 11;  // HTTP/1.1 as Boost.Beast encodes it

std::chrono::steady_clock::duration durationOf(Time ms) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

StoreClient::StoreClient(asio::io_context& io, const tcp::endpoint& store, OverloadManager& overloadManager,
                         OnReply onReply)
    : store_(store),
      onReply_(std::move(onReply)),
      httpClient_(io, {kMaxConcurrentCalls, kMaxBodyBytes}, overloadManager,
                  [this](std::uint64_t callId, const HttpClient::Response* response,
                         const std::string& error) { onResponse(callId, response, error); }) {}

void StoreClient::call(const StoreCall& call) {
  const HttpCall httpCall = httpCallOf(call);
  HttpClient::Request request(httpCall.isPut ? http::verb::put : http::verb::get, httpCall.target, kHttp11);
  request.set(http::field::host, "store");
  request.body() = httpCall.body;
  if (httpCall.isPut) request.prepare_payload();
  operationsInFlight_[call.id] = call.operation;
  httpClient_.call(call.id, store_, std::move(request), durationOf(call.timeoutMs));
}

void StoreClient::cancel(std::uint64_t callId) {
  operationsInFlight_.erase(callId);
  httpClient_.cancel(callId);
}

void StoreClient::onResponse(std::uint64_t callId, const HttpClient::Response* response,
                             const std::string& error) {
  const StoreOperation operation = operationsInFlight_.at(callId);
  operationsInFlight_.erase(callId);
  if (!response) return onReply_(callId, {}, error);
  StoreReply reply;
  std::string parseError;
  try {
    reply = parseReply(operation, response->result_int(), toStringView((*response)["X-Consul-Index"]),
                       response->body());
  } catch (const std::runtime_error& exception) {
    parseError = exception.what();
  }
  onReply_(callId, reply, parseError);
}

}  // namespace wingslip::leader_election
