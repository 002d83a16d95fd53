#include "replication/replica_connection.hpp"

#include <chrono>
#include <utility>

#include "net/socket_io.hpp"

namespace wingslip::replication {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t kConnectionBytes = 24 * 1024;  // memory charged per connection, without the message
constexpr unsigned kMaxHeaderBytes = 4096;
constexpr std::chrono::milliseconds kConnectionTimeout = 2s;

}  // namespace

ReplicaConnection::ReplicaConnection(Owner& owner, tcp::socket socket, MemoryBudget& memory,
                                     TransportCounts& counts)
    : owner_(owner),
      counts_(counts),
      memory_(memory.open(Account::discovery)),
      socket_(std::move(socket)),
      timeoutTimer_(socket_.get_executor(), kConnectionTimeout) {
  parser_.body_limit(Message::kMaxBytes);
  parser_.header_limit(kMaxHeaderBytes);
}

bool ReplicaConnection::start() {
  if (!memory_.resize(kConnectionBytes)) return false;
  timeoutTimer_.async_wait(guard([this](const Error& error, std::size_t) {
    if (!error) end();
  }));
  read();
  return true;
}

void ReplicaConnection::close() {
  markEnded();
  timeoutTimer_.cancel();
  Error ignored;
  socket_.close(ignored);
  memory_.release();
}

void ReplicaConnection::read() {
  http::async_read_some(socket_, readBuffer_, parser_,
                        guard([this](const Error& error, std::size_t) { onRead(error); }));
}

void ReplicaConnection::onRead(const Error& error) {
  if (error == http::error::body_limit) return reject(http::status::payload_too_large);
  if (isTransient(error)) return read();
  if (error || (parser_.is_header_done() && checkFraming(parser_.get().version(), parser_.get().base()))) {
    ++counts_.malformed;
    return end();
  }
  if (!memory_.resize(kConnectionBytes + parser_.get().body().size() * kMemoryPerMessageByte))
    return reject(http::status::service_unavailable);
  if (!parser_.is_done()) return read();
  serve();
}

void ReplicaConnection::serve() {
  const auto& request = parser_.get();
  if (request.method() != http::verb::post || toStringView(request.target()) != kRequestPath)
    return reject(http::status::not_found);
  counts_.bytesIn += request.body().size();
  try {
    auto response = owner_.onRequestBody(request.body());
    if (!response) return respond(http::status::conflict, "");
    respond(http::status::ok, std::move(*response));
  } catch (const std::runtime_error& error) {
    owner_.onMalformedRequest(error.what());
    reject(http::status::bad_request);
  }
}

void ReplicaConnection::reject(http::status status) {
  ++counts_.malformed;
  respond(status, "");
}

void ReplicaConnection::respond(http::status status, std::string body) {
  http::response<http::string_body> response(status, 11);
  response.set(http::field::connection, "close");
  response.body() = std::move(body);
  response.prepare_payload();
  counts_.bytesOut += response.body().size();
  writeBuffer_.clear();
  append(writeBuffer_, response);
  asyncWriteAll(
      socket_, asio::buffer(writeBuffer_), [self = shared_from_this()] { return !self->ended(); },
      [self = shared_from_this(), this](const Error&) {
        Error ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        end();
      });
}

void ReplicaConnection::end() {
  const auto self = shared_from_this();
  close();
  owner_.onConnectionEnded(self);
}

}  // namespace wingslip::replication
