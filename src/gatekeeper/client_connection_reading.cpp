/// How a client connection reads a request: its header, its body whole or in pieces, and their limits.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "gatekeeper/client_connection.hpp"
#include "net/socket_io.hpp"
#include "net/tcp_state.hpp"

namespace wingslip {
namespace {

using asio::ip::tcp;

constexpr std::size_t kMaxReadAhead = 16 * 1024;  // bytes of what follows a request that is in flight

http::status statusOf(const Error& error) {
  if (error == http::error::body_limit) return http::status::payload_too_large;
  if (error == http::error::header_limit) return http::status::request_header_fields_too_large;
  return http::status::bad_request;
}

}  // namespace

// --- Input -------------------------------------------------------------------------------------------------

// One read is pending in every state, so that a disconnect is seen while the request is in flight; none where
// the next piece of a streamed body is not wanted yet.
void ClientServer::Connection::read() {
  if (reading_) return;
  const bool awaitingBody = !bodyDone_ && (state_ == State::reading || state_ == State::inFlight);
  if (!wantsInput()) {
    if (awaitingBody) timer_.cancel();
    return server_.pressure_.watchPeer(pausedRead_, weak_from_this(), [this] { checkDisconnect(); });
  }
  if (!reserveReadMemory()) return waitForMemory(awaitingBody);
  pausedRead_.clear();
  reading_ = true;
  bodyRate_.startRead();
  if (awaitingBody) armTimer(server_.limits_.bodyPieceTimeout);
  // What has come stays in the kernel until it is handled: whoever looks in between, to close an idle
  // connection, sees it there.
  socket_.async_wait(tcp::socket::wait_read,
                     guard([this](const Error& error, std::size_t) { onReadable(error); }));
}

// No time limit runs for a body meanwhile. A request that is not in flight yet finds memory soon or is
// rejected.
void ClientServer::Connection::waitForMemory(bool awaitingBody) {
  if (state_ == State::reading && awaitingBody) armTimer(server_.limits_.maxMemoryWait);
  if (state_ == State::inFlight && awaitingBody) timer_.cancel();
  const auto retry = [this] {
    if (state_ == State::closed) return true;
    if (!reserveReadMemory()) return false;
    pausedRead_.clear();
    read();
    return true;
  };
  server_.pressure_.pauseUntilMemory(pausedRead_, Account::clients, weak_from_this(), retry,
                                     [this] { checkDisconnect(); });
}

void ClientServer::Connection::onReadable(const Error& waitError) {
  reading_ = false;
  Error error = waitError;
  const std::size_t bytes = error ? 0 : readSome(socket_, input_.prepare(readStep()), error);
  if (error == asio::error::would_block) return read();
  if (error) return close(closeReasonOf(error));
  input_.commit(bytes);
  if (state_ == State::reading || !bodyDone_) requestBytes_ += bytes;
  if (state_ == State::lingering && !discardInput()) return;
  if (inBody_ && !bodyDone_ && !isBodyInTime(bytes)) return;
  processInput();
  if (state_ != State::closed) read();
}

std::size_t ClientServer::Connection::readStep() const { return inBody_ ? kStreamPieceBytes : kReadBytes; }

// A long body waits before the budget is used up.
bool ClientServer::Connection::reserveReadMemory() {
  if (!bodyDone_ && state_ == State::inFlight && server_.pressure_.isMemoryOverloaded()) return false;
  return memory_.resize(memoryBytes(readStep()));
}

bool ClientServer::Connection::wantsInput() const {
  if (!bodyDone_ && state_ != State::reading) return parser_->get().body().size() < kStreamPieceBytes;
  return input_.size() < kMaxReadAhead;
}

// No read is pending, so that nothing else shows a disconnect.
void ClientServer::Connection::checkDisconnect() {
  if (state_ != State::closed && !reading_ && tcpStateKnown_ && hasPeerClosed(socket_))
    close(CloseReason::peerClosed);
}

// False: the client sends too slowly, and its time limit has been applied.
bool ClientServer::Connection::isBodyInTime(std::size_t bytes) {
  bodyRate_.finishRead(bytes);
  const bool awaited = state_ == State::reading || state_ == State::inFlight;
  if (!awaited || bodyRate_.isAtLeast(server_.limits_.minBodyBytesPerMs, server_.limits_.bodyGrace))
    return true;
  onTimer();
  return false;
}

void ClientServer::Connection::processInput() {
  if (state_ == State::reading) return parseRequest();
  if (!bodyDone_) parseBody();
}

// --- Header and short bodies -------------------------------------------------------------------------------

void ClientServer::Connection::parseRequest() {
  if (!requestStarted_) skipBlankLines();
  if (isIdle() && !inOrder() && !overflow_) return enterIdleOrder();  // nothing but blank lines had come
  if (!requestStarted_ && input_.size() > 0) {
    requestStarted_ = true;
    if (!overflow_) leaveOrder();
    recordWait(WaitQueue::incompleteRequest);
    server_.pressure_.noteDescriptorUse();
    if (!firstRequest_) armTimer(server_.limits_.headerTimeout);
  }
  Error error;
  const bool complete = feed(*parser_, input_, error);
  server_.stats_.mostBuffered = std::max(server_.stats_.mostBuffered, input_.size());
  if (error) {
    bodyDone_ = true;
    closeAfterResponse_ = true;
    return reject({statusOf(error), "malformed request"});
  }
  if (complete) {
    timer_.cancel();
    requestVersion_ = parser_->get().version();
    return onWholeRequest(parser_->release());
  }
  if (!parser_->is_header_done()) return;
  if (!inBody_) startBody();
  if (parser_->content_length().value_or(0) > kMaxBufferedBodyBytes ||
      parser_->get().body().size() > kMaxBufferedBodyBytes)
    return onStreamedRequest();
  sendContinue();
}

void ClientServer::Connection::startBody() {
  inBody_ = true;
  bodyDone_ = false;
  bodyRate_.reset();
}

// Some clients send an empty line after a body.
void ClientServer::Connection::skipBlankLines() {
  const auto* text = static_cast<const char*>(input_.data().data());
  std::size_t blank = 0;
  while (blank < input_.size() && (text[blank] == '\r' || text[blank] == '\n')) ++blank;
  input_.consume(blank);
}

bool ClientServer::Connection::expectsContinue() const {
  return beast::iequals(parser_->get()[http::field::expect], "100-continue") &&
         parser_->get().version() >= 11;
}

void ClientServer::Connection::sendContinue() {
  if (bodyDone_ || continueConsidered_) return;
  continueConsidered_ = true;
  if (!expectsContinue()) return;
  output_.addContinue();
  write();
}

// How long the last byte of the connection's first request has waited to be read, ms: the time that the
// connection waited to be accepted counts against the client's deadline. Later requests are read as they
// come.
decision::Time ClientServer::Connection::measureUnreadWait() {
  if (!firstRequest_ || !tcpStateKnown_) return 0;
  const double waitedMs = static_cast<double>(timeSinceLastData(socket_).count());
  server_.stats_.mostWaited = std::max(server_.stats_.mostWaited, waitedMs);
  return waitedMs;
}

void ClientServer::Connection::onWholeRequest(ClientMessage&& message) {
  const decision::Time waitedMs = measureUnreadWait();
  firstRequest_ = false;
  inBody_ = false;
  bodyDone_ = true;
  closeAfterResponse_ = !message.keep_alive();
  if (message.target() == "/health/ready") return respondReadiness(message.method());
  auto parsed = parseClientRequest(message, server_.config_);
  if (const auto* rejection = std::get_if<ImmediateResponse>(&parsed)) return reject(*rejection);
  ParsedRequest& request = std::get<ParsedRequest>(parsed);
  if (overflow_ && !server_.hasCapacity()) {
    server_.handler_.onRequestRejected(request.classIndex);
    recordTimeout(WaitQueue::freeConnection);
    return reject(kNoCapacity, server_.rejectionRetryAfterMs());
  }
  request.memoryBytes = memoryBytes(0) + requestBytes_;
  request.clientWaitMs = std::max(0.0, request.clientWaitMs - waitedMs);
  admit(request, std::move(message));
}

void ClientServer::Connection::admit(const ParsedRequest& request, ClientMessage&& message) {
  leaveOverflow();
  state_ = State::inFlight;
  recordWait(WaitQueue::inFlight);
  requestId_ = server_.handler_.nextRequestId();
  server_.handler_.onRequest(requestId_, request, std::move(message), shared_from_this());
}

// --- Streamed bodies ---------------------------------------------------------------------------------------

// A body too long to be buffered: the request is judged by its header, and goes on with the body's beginning.
void ClientServer::Connection::onStreamedRequest() {
  timer_.cancel();
  firstRequest_ = false;
  ClientMessage message(parser_->get().base());
  message.body() = std::exchange(parser_->get().body(), {});
  closeAfterResponse_ = !parser_->keep_alive();
  requestVersion_ = message.version();
  auto parsed = parseClientRequest(message, server_.config_);
  if (const auto* rejection = std::get_if<ImmediateResponse>(&parsed)) return reject(*rejection);
  if (overflow_ && !server_.hasCapacity()) return rejectForCapacity(WaitQueue::freeConnection);
  ParsedRequest& request = std::get<ParsedRequest>(parsed);
  request.bodyComplete = false;
  request.memoryBytes =
      memoryBytes(2 * kStreamPieceBytes) + requestBytes_;  // here, and on the way to the worker
  forwardedBytes_ = requestBytes_;
  if (const auto length = parser_->content_length()) request.contentLength = *length;
  admit(request, std::move(message));
}

void ClientServer::Connection::readBody(BodyPieceHandler onPiece) {
  if (state_ != State::inFlight) return;
  bodyReader_ = std::move(onPiece);
  requestBytes_ -= std::min(requestBytes_, std::exchange(forwardedBytes_, 0));  // the worker has it
  recordWait(WaitQueue::incompleteRequest);
  sendContinue();
  asio::post(socket_.get_executor(), guardPosted([this] { deliverBody(); }));
}

void ClientServer::Connection::parseBody() {
  Error error;
  bodyDone_ = feed(*parser_, input_, error);
  if (error) {
    if (state_ != State::inFlight) return close(CloseReason::malformedBody);
    server_.handler_.onClientDisconnect(requestId_);
    bodyDone_ = true;
    closeAfterResponse_ = true;
    return reject({statusOf(error), "malformed request"});
  }
  if (bodyDone_ && state_ != State::skippingBody) timer_.cancel();
  if (state_ == State::inFlight) return deliverBody();
  parser_->get().body().clear();
  requestBytes_ = 0;
  if (bodyDone_ && state_ == State::skippingBody) finishExchange();
}

void ClientServer::Connection::deliverBody() {
  if (!bodyReader_) return;
  std::string& body = parser_->get().body();
  if (body.empty() && !bodyDone_) return read();
  const auto onPiece = std::exchange(bodyReader_, nullptr);
  forwardedBytes_ = body.size();
  recordWait(bodyDone_ ? WaitQueue::inFlight : WaitQueue::requestBodyWindow);
  onPiece(std::exchange(body, {}), bodyDone_);
  if (state_ != State::closed) read();
}

}  // namespace wingslip
