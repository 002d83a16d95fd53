/// The reading side of a client connection: request headers, buffered and streamed bodies, and their limits.
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

constexpr std::size_t kMaxReadAhead = 16 * 1024;  // bytes read beyond the request in flight

http::status statusOf(const Error& error) {
  if (error == http::error::body_limit) return http::status::payload_too_large;
  if (error == http::error::header_limit) return http::status::request_header_fields_too_large;
  return http::status::bad_request;
}

}  // namespace

// --- Input -------------------------------------------------------------------------------------------------

// A read is pending in every state, so that a disconnect is detected while the request is in flight. The
// exceptions are a full input buffer or body window and a shortage of memory.
void ClientServer::Connection::read() {
  if (reading_) return;
  const bool awaitingBody = !bodyDone_ && (state_ == State::reading || state_ == State::inFlight);
  if (!canBufferInput()) {
    if (awaitingBody) timer_.cancel();  // not the client's delay: the attempt's time limits apply
    return server_.overloadManager_.watchPeer(pausedRead_, weak_from_this(), [this] { checkDisconnect(); });
  }
  if (!reserveReadMemory()) return waitForMemory(awaitingBody);
  pausedRead_.clear();
  reading_ = true;
  bodyRate_.startRead();
  if (awaitingBody) {
    armTimer(server_.limits_.bodyReadTimeout);
    Error error;
    if (socket_.available(error) == 0) bodyLag_.awaitClient(Clock::now());
  }
  // Waits for readability instead of reading: received bytes stay in the kernel until the handler runs, so
  // that `isReadDue` detects them before an idle connection is evicted.
  socket_.async_wait(tcp::socket::wait_read,
                     guard([this](const Error& error, std::size_t) { onReadable(error); }));
}

// Pauses reading until memory is available. A request whose body gets no memory within `maxMemoryWait` is
// rejected; the time limit of a header is unchanged.
void ClientServer::Connection::waitForMemory(bool awaitingBody) {
  if (awaitingBody) armTimer(maxMemoryWait());
  const auto retry = [this] {
    if (state_ == State::closed) return true;
    if (!reserveReadMemory()) return false;
    pausedRead_.clear();
    read();
    return true;
  };
  server_.overloadManager_.pauseUntilMemory(pausedRead_, Account::clients, weak_from_this(), retry,
                                            [this] { checkDisconnect(); });
}

// The handler enforces the deadline of a request in flight. Before that, no wait may outlast the deadline of
// the request whose body is being read.
std::chrono::milliseconds ClientServer::Connection::maxMemoryWait() {
  const auto limit = server_.limits_.maxMemoryWait;
  if (state_ != State::reading) return limit;
  const auto parsed = parseClientRequest(parser_->get(), statesBody(), server_.config_);
  const auto* request = std::get_if<ParsedRequest>(&parsed);
  if (!request) return limit;
  const double remainingMs = std::max(0.0, request->clientWaitMs - bodyLagMs());
  return std::min(limit, std::chrono::milliseconds(static_cast<long>(remainingMs)));
}

void ClientServer::Connection::onReadable(const Error& waitError) {
  reading_ = false;
  bodyLag_.stopAwaitingClient(Clock::now());
  if (announcedClose()) return read();
  Error error = waitError;
  const std::size_t bytes = error ? 0 : readSome(socket_, input_.prepare(readSize()), error);
  if (error == asio::error::would_block) return read();
  if (error) return close(closeReasonOf(error));
  input_.commit(bytes);
  lastReadAt_ = Clock::now();
  mayHaveDisconnected();  // notes that the client is connected
  if (state_ == State::lingering && !discardInput()) return;
  if (inBody_ && !bodyDone_ && !checkBodyRate(bytes)) return;
  processInput();
  if (isAwaitingHeader() && timer_.expiry() <= Clock::now()) onTimeout();
  if (server_.refusing_) refuseIncomplete();
  if (state_ != State::closed) read();
}

std::size_t ClientServer::Connection::readSize() const { return inBody_ ? kStreamReadBytes : kReadBytes; }

// Under memory overload, reading a streamed body stops even before the budget is exhausted.
bool ClientServer::Connection::reserveReadMemory() {
  if (!bodyDone_ && state_ == State::inFlight && server_.overloadManager_.isMemoryOverloaded()) return false;
  return memory_.resize(memoryBytes(readSize()));
}

// Reserves the memory of the header that is about to be parsed.
bool ClientServer::Connection::reserveHeaderMemory() {
  headerBytes_ = parsedHeaderBytes(input_);
  requestBytes_ = headerBytes_;
  return memory_.resize(memoryBytes(0));
}

// While a request is being read, its parser needs more bytes and its limits bound the buffer. Only the
// requests behind the one in flight and the window of a streamed body can fill it. Nothing is read behind a
// response that announces the close: what the client sends then crosses the close, and is not answered.
bool ClientServer::Connection::canBufferInput() const {
  if (state_ == State::reading) return true;
  if (announcedClose()) return false;
  if (!bodyDone_) return parser_->get().body().size() < kStreamReadBytes;
  return input_.size() < kMaxReadAhead;
}

// For use while no read is pending; a pending read detects a disconnect itself.
void ClientServer::Connection::checkDisconnect() {
  if (state_ != State::closed && !reading_ && tcpStateKnown_ && hasPeerClosed(socket_))
    close(CloseReason::peerClosed);
}

// Returns false if the client sends the body too slowly; the request is then handled as timed out.
bool ClientServer::Connection::checkBodyRate(std::size_t bytes) {
  bodyRate_.finishRead(bytes);
  const bool awaited = state_ == State::reading || state_ == State::inFlight;
  if (!awaited || bodyRate_.isAtLeast(server_.limits_.minBodyBytesPerMs, server_.limits_.bodyRateGracePeriod))
    return true;
  onTimeout();
  return false;
}

void ClientServer::Connection::processInput() {
  if (state_ == State::reading) return parseRequest();
  if (!bodyDone_) parseBody();
}

// --- Header and short bodies -------------------------------------------------------------------------------

void ClientServer::Connection::parseRequest() {
  if (!requestStarted_) skipBlankLines();
  if (isIdle() && !inOrder() && !overflow_) return enterIdleOrder();  // only blank lines were received
  if (!requestStarted_ && input_.size() > 0) {
    requestStarted_ = true;
    if (!overflow_) leaveOrder();
    recordWait(WaitQueue::incompleteRequest);
    server_.overloadManager_.onDescriptorUsageChanged();
    if (!awaitingFirstRequest_) armTimer(server_.limits_.headerTimeout);
  }
  if (!parser_->is_header_done() && !reserveHeaderMemory()) return rejectForCapacity(WaitQueue::pausedRead);
  Error error;
  const bool complete = parseBuffered(*parser_, input_, error);
  server_.stats_.maxBufferedBytes = std::max(server_.stats_.maxBufferedBytes, input_.size());
  if (error) {
    bodyDone_ = true;
    closeAfterResponse_ = true;
    return reject({statusOf(error), "malformed request"});
  }
  requestBytes_ = headerBytes_ + parser_->get().body().capacity();
  if (complete) {
    timer_.cancel();
    requestVersion_ = parser_->get().version();
    ClientMessage message = parser_->release();
    if (inBody_) removeTrailer(message, headerFields_);
    return onBufferedRequest(std::move(message));
  }
  if (!parser_->is_header_done()) return;
  if (!inBody_) startBody();
  if (parser_->content_length().value_or(0) > kMaxBufferedBodyBytes ||
      parser_->get().body().size() > kMaxBufferedBodyBytes)
    return onStreamedRequest();
  sendContinue();
}

// Whether the header that has been read states a body, of which no byte may have arrived. A chunked body
// counts by what has arrived of it: it may be empty.
bool ClientServer::Connection::statesBody() const {
  return parser_->content_length().value_or(0) > 0 || !parser_->get().body().empty();
}

void ClientServer::Connection::startBody() {
  inBody_ = true;
  bodyDone_ = false;
  const auto& header = parser_->get().base();
  headerFields_ = static_cast<std::size_t>(std::distance(header.begin(), header.end()));
  expectsContinue_ =
      beast::iequals(header[http::field::expect], "100-continue") && parser_->get().version() >= 11;
  bodyRate_.reset();
  bodyLag_.start(Clock::now(), measureUnreadWait());
}

// Some clients send an empty line after a body. It is not part of the next request.
void ClientServer::Connection::skipBlankLines() {
  const auto* text = static_cast<const char*>(input_.data().data());
  std::size_t blank = 0;
  while (blank < input_.size() && (text[blank] == '\r' || text[blank] == '\n')) ++blank;
  input_.consume(blank);
}

void ClientServer::Connection::sendContinue() {
  if (bodyDone_ || continueHandled_) return;
  continueHandled_ = true;
  if (!expectsContinue_) return;
  output_.addContinue();
  write();
}

// At least the time from the arrival of the request's last bytes until now, as far as the request is here, so
// that it counts against the client's deadline. The first request of a connection may have waited in the
// accept queue. Later requests are read as they arrive, and may then have waited behind the one in flight.
std::chrono::milliseconds ClientServer::Connection::measureUnreadWait() {
  const auto sinceRead = std::chrono::floor<std::chrono::milliseconds>(Clock::now() - lastReadAt_);
  if (!awaitingFirstRequest_ || !tcpStateKnown_) return sinceRead;
  const std::chrono::milliseconds waited = timeSinceLastData(socket_);
  server_.stats_.maxUnreadWaitMs =
      std::max(server_.stats_.maxUnreadWaitMs, static_cast<double>(waited.count()));
  return waited;
}

void ClientServer::Connection::onBufferedRequest(ClientMessage&& message) {
  const auto unreadMs = static_cast<decision::Time>(measureUnreadWait().count());
  const decision::Time waitedMs = std::max(unreadMs, inBody_ ? bodyLagMs() : 0);
  awaitingFirstRequest_ = false;
  inBody_ = false;
  bodyDone_ = true;
  closeAfterResponse_ = !message.keep_alive();
  if (message.target() == "/health/ready") return respondReadiness(message.method());
  auto parsed = parseClientRequest(message, !message.body().empty(), server_.config_);
  if (const auto* rejection = std::get_if<ImmediateResponse>(&parsed)) return reject(*rejection);
  ParsedRequest& request = std::get<ParsedRequest>(parsed);
  if (const auto* refusal = refusalOf(request)) return reject(*refusal, server_.rejectionRetryAfterMs());
  request.memoryBytes = memoryBytes(0) + requestBytes_;
  request.clientWaitMs = std::max(0.0, request.clientWaitMs - waitedMs);
  admit(request, std::move(message));
}

// The response to a request that is not admitted; null if it is. Counts it.
const ImmediateResponse* ClientServer::Connection::refusalOf(const ParsedRequest& request) {
  const bool withoutCapacity = overflow_ && !server_.hasCapacity();
  if (!server_.refusing_ && !withoutCapacity) return nullptr;
  server_.handler_.onRequestRejected(request.classIndex);
  if (server_.refusing_) return &kShuttingDown;
  countRejection(WaitQueue::freeConnection);
  return &kNoCapacity;
}

void ClientServer::Connection::admit(const ParsedRequest& request, ClientMessage&& message) {
  leaveOverflow();
  state_ = State::inFlight;
  recordWait(WaitQueue::inFlight);
  requestId_ = server_.handler_.nextRequestId();
  server_.handler_.onRequest(requestId_, request, std::move(message), shared_from_this());
}

// --- Streamed bodies ---------------------------------------------------------------------------------------

// The body is too long to be buffered: the request is admitted by its header, with the part of the body read
// so far.
void ClientServer::Connection::onStreamedRequest() {
  timer_.cancel();
  awaitingFirstRequest_ = false;
  closeAfterResponse_ = !parser_->keep_alive();
  ClientMessage message(std::move(parser_->get().base()));
  message.body() = std::exchange(parser_->get().body(), {});
  requestVersion_ = message.version();
  auto parsed = parseClientRequest(message, true, server_.config_);
  if (const auto* rejection = std::get_if<ImmediateResponse>(&parsed)) return reject(*rejection);
  ParsedRequest& request = std::get<ParsedRequest>(parsed);
  if (const auto* refusal = refusalOf(request)) return rejectRest(*refusal, server_.rejectionRetryAfterMs());
  request.bodyComplete = false;
  request.memoryBytes =
      memoryBytes(2 * kStreamReadBytes) + requestBytes_;  // one piece here and one being sent to the worker
  requestBytes_ = headerBytes_ + message.body().capacity();
  forwardedBytes_ = message.body().capacity();
  if (const auto length = parser_->content_length()) request.contentLength = *length;
  admit(request, std::move(message));
}

void ClientServer::Connection::readBody(BodyPieceHandler onPiece) {
  if (state_ != State::inFlight) return;
  bodyPieceHandler_ = std::move(onPiece);
  requestBytes_ -= std::min(requestBytes_, std::exchange(forwardedBytes_, 0));  // written to the worker
  recordWait(WaitQueue::incompleteRequest);
  sendContinue();
  asio::post(socket_.get_executor(), guardPosted([this] { deliverBody(); }));
}

// The time since the last bytes arrived also covers those that were unread while the process stood still.
decision::Time ClientServer::Connection::bodyLagMs() {
  const std::chrono::duration<double, std::milli> lag = bodyLag_.at(Clock::now());
  if (!bodyDone_ || !tcpStateKnown_) return lag.count();
  return std::max(lag.count(), static_cast<double>(timeSinceLastData(socket_).count()));
}

void ClientServer::Connection::parseBody() {
  const std::size_t heldBytes = parser_->get().body().size();
  Error error;
  bodyDone_ = parseBuffered(*parser_, input_, error);
  requestBytes_ += parser_->get().body().size() - heldBytes;
  if (error) return onMalformedBody(statusOf(error));
  if (bodyDone_) parser_->get().base().clear();  // the trailer: the header is with the handler
  if (bodyDone_ && state_ != State::discardingBody) timer_.cancel();
  if (state_ == State::inFlight) return deliverBody();
  parser_->get().body().clear();
  requestBytes_ = 0;
  if (bodyDone_ && state_ == State::discardingBody) finishExchange();
}

// A response that has started is completed: its client may have read nothing of it yet. The lingering close
// then discards the rest of the body.
void ClientServer::Connection::onMalformedBody(http::status status) {
  bodyDone_ = true;
  closeAfterResponse_ = true;
  if (state_ == State::discardingBody) return finishExchange();
  if (state_ != State::inFlight) return;
  rejectBody(RequestEnd::bodyMalformed, {status, "malformed request"});
}

void ClientServer::Connection::deliverBody() {
  if (!bodyPieceHandler_) return;
  std::string& body = parser_->get().body();
  if (body.empty() && !bodyDone_) return read();
  const auto onPiece = std::exchange(bodyPieceHandler_, nullptr);
  forwardedBytes_ = body.size();
  recordWait(bodyDone_ ? WaitQueue::inFlight : WaitQueue::requestBodyWindow);
  onPiece(std::exchange(body, {}), bodyDone_);
  if (state_ != State::closed) read();
}

}  // namespace wingslip
