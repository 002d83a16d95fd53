/// The lifecycle of a client connection: start, idle periods, time limits and close.
#include "gatekeeper/client_connection.hpp"

#include <algorithm>
#include <utility>

#include "net/socket_io.hpp"
#include "net/tcp_state.hpp"

namespace wingslip {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t kBareConnectionBytes = 2 * 1024;  // without the input buffer and the request
// Once accepting has stopped: age up to which a connection counts as new, and time to complete a header.
constexpr auto kIncompleteRequestTimeoutAtStop = 500ms;

// With fewer unread bytes the kernel has room for the end of the client's stream: even its smallest receive
// buffers hold more.
constexpr std::size_t kMaxUnreadBytes = 16 * 1024;
// Nothing may be sent for a client 100 ms after it has closed its connection.
constexpr auto kMaxUnseenTime = 80ms;

}  // namespace

void ClientServer::Connection::start() {
  Error ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  tcpStateKnown_ = !hasPeerClosed(socket_);
  startAwaitingRequest();
  read();
}

// --- Close -------------------------------------------------------------------------------------------------

// All closes except `abandon` go through here; if a request is unanswered, the reason is reported to the
// handler.
void ClientServer::Connection::close(CloseReason reason) {
  if (state_ == State::closed) return;
  const bool inFlight = state_ == State::inFlight || state_ == State::streaming;
  server_.closes_.add(reason);
  if (hasUnansweredRequest() && !isPeerInitiated(reason) && reason != CloseReason::responseTruncated)
    server_.handler_.onClosedUnanswered(reason);
  abandon();
  const auto self = shared_from_this();
  server_.remove(self);
  if (inFlight) server_.handler_.onRequestEnded(requestId_, RequestEnd::clientDisconnected);
}

// Whether a request is at least partly read and the handler has not completed its response.
bool ClientServer::Connection::hasUnansweredRequest() const {
  return state_ == State::inFlight || state_ == State::streaming ||
         (state_ == State::reading && requestStarted());
}

void ClientServer::Connection::abandon() {
  state_ = State::closed;
  leaveOrder();
  bodyPieceHandler_ = nullptr;
  onPieceWritten_ = nullptr;
  waitRecord_.leave();
  pausedRead_.clear();
  memory_.release();
  responseMemory_.release();
  timer_.cancel();
  Error ignored;
  socket_.close(ignored);
}

void ClientServer::Connection::closeIfIdle() {
  const bool isNew = awaitingFirstRequest_ && Clock::now() - openedAt_ < kIncompleteRequestTimeoutAtStop;
  if (isIdle() && !isReadDue() && !isNew) return closeIdle();
  if (state_ == State::reading && !parser_->is_header_done()) armTimer(kIncompleteRequestTimeoutAtStop);
}

void ClientServer::Connection::refuseIncomplete() {
  if (state_ != State::reading || isReadDue()) return;
  if (!requestStarted()) return closeIdle();
  rejectRest(kShuttingDown, server_.rejectionRetryAfterMs());
}

void ClientServer::Connection::closeIdle() {
  if (awaitingFirstRequest_)
    return close(CloseReason::idleTimeout);  // no response was sent that a reset could discard
  if (!overflow_) server_.lingering_.append(*this);
  linger();
}

void ClientServer::Connection::evictFromOverflow() {
  if (!requestStarted()) return close(CloseReason::overflowEvicted);
  leaveOrder();  // is closed once the response is written
  rejectForCapacity(WaitQueue::freeConnection);
}

bool ClientServer::Connection::isReadDue() {
  Error error;
  return state_ != State::closed && !pausedRead_.isRegistered() && socket_.available(error) > 0;
}

bool ClientServer::Connection::hasDisconnected() {
  if (state_ == State::closed) return true;
  const PeerState peer = peerState(socket_);
  if (peer == PeerState::dataAvailable) return hasPeerFinishedSending(socket_);
  return peer == PeerState::closed;
}

// An end of the stream is seen as soon as the kernel has room for all that was sent before it. While the
// request's own body arrives, its attempt is complete only after all of it is read.
bool ClientServer::Connection::mayHaveDisconnected() {
  if (state_ == State::closed) return true;
  Error error;
  if (!bodyDone_ || socket_.available(error) < kMaxUnreadBytes) {
    seenConnectedAt_ = Clock::now();
    return false;
  }
  return Clock::now() - seenConnectedAt_ >= kMaxUnseenTime;
}

void ClientServer::Connection::closeDisconnected() {
  if (state_ == State::inFlight) close(CloseReason::peerClosed);
}

// Shuts down the sending side and closes the connection once the client has closed its side. With an
// immediate close, bytes that the client is still sending would cause a reset, and the client could lose the
// unread part of the response.
void ClientServer::Connection::linger() {
  state_ = State::lingering;
  waitRecord_.leave();
  requestBytes_ = 0;
  headerBytes_ = 0;
  Error ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  discardedBytes_ = 0;
  armTimer(server_.limits_.lingerTimeout);
  if (discardInput()) read();
}

// Returns false if the client has sent too much after its last response; the connection is then closed.
bool ClientServer::Connection::discardInput() {
  discardedBytes_ += input_.size();
  input_.clear();
  inBody_ = false;  // `readSize` returns kReadBytes from now on
  if (!reading_) {
    input_.shrink_to_fit();
    memory_.shrinkTo(memoryBytes(0));
  }
  if (discardedBytes_ <= server_.limits_.maxLingerBytes) return true;
  close(CloseReason::sendsAfterLastResponse);
  return false;
}

// --- Time limits -------------------------------------------------------------------------------------------

void ClientServer::Connection::armTimer(std::chrono::milliseconds span) {
  timer_.expires_after(span);
  timer_.async_wait(guard([this](const Error& error, std::size_t) {
    if (!error && timer_.expiry() <= Clock::now()) onTimer();
  }));
}

// Bytes that arrived in time may be unread: the read handler, which is about to run, checks the limit after
// them.
void ClientServer::Connection::onTimer() {
  if (isIdle() && isReadDue()) return;
  onTimeout();
}

void ClientServer::Connection::onTimeout() {
  // The read is paused for lack of memory, so the request is rejected for capacity, not as too slow.
  if (state_ == State::reading && requestStarted() && pausedRead_.awaitsMemory())
    return rejectForCapacity(WaitQueue::pausedRead);
  if (state_ == State::inFlight && !bodyDone_ && pausedRead_.awaitsMemory()) {
    countRejection(WaitQueue::pausedRead);
    return rejectBody(RequestEnd::bodyWithoutMemory, kNoCapacity, server_.rejectionRetryAfterMs());
  }
  if (state_ == State::reading && requestStarted()) {
    countRejection(WaitQueue::incompleteRequest);
    return reject(kTooSlow);
  }
  if (state_ == State::inFlight && !bodyDone_) {
    countRejection(WaitQueue::incompleteRequest);
    return rejectBody(RequestEnd::bodyTooSlow, kTooSlow);
  }
  if (responseStreamed_ && hasClientTakenBytes()) return armTimer(server_.limits_.writeTimeout);
  if (state_ == State::streaming) countRejection(WaitQueue::responseBodyWindow);
  if (state_ == State::responding) countRejection(WaitQueue::responseWrite);
  if (state_ == State::reading) return closeIdle();
  if (state_ == State::lingering) return close(CloseReason::lastResponse);
  if (state_ == State::discardingBody) return close(CloseReason::bodyTimeout);
  if (state_ != State::inFlight) close(CloseReason::writeTimeout);
}

// --- Between requests --------------------------------------------------------------------------------------

void ClientServer::Connection::startAwaitingRequest() {
  state_ = State::reading;
  waitRecord_.leave();
  pausedRead_.clear();  // reading continues
  requestStarted_ = false;
  continueHandled_ = false;
  responseStreamed_ = false;
  inBody_ = false;
  bodyDone_ = true;
  if (input_.size() == 0 && !reading_) input_.shrink_to_fit();  // a pending read retains the buffer
  releaseRequestMemory();
  idleSince_ = Clock::now();
  parser_.emplace();
  parser_->body_limit(kMaxBodyBytes);
  parser_->header_limit(kMaxHeaderBytes);
  armTimer(awaitingFirstRequest_ ? server_.limits_.firstRequestTimeout : server_.limits_.idleTimeout);
  if (input_.size() == 0) return enterIdleOrder();
  server_.accept();
}

// The connection is idle; unless it is an overflow connection, it may be evicted from now on.
void ClientServer::Connection::enterIdleOrder() {
  if (!overflow_) server_.idle_.append(*this);
  server_.accept();
}

// There is capacity now: the connection becomes a regular one.
void ClientServer::Connection::leaveOverflow() {
  if (!std::exchange(overflow_, false)) return;
  --server_.overflowCount_;
  leaveOrder();
  if (server_.connections_.size() - server_.overflowCount_ > server_.maxRegular()) server_.evictConnection();
}

// The response is written. The request is fully read or discarded, except under memory overload: the
// lingering close then discards the remaining body.
void ClientServer::Connection::finishExchange() {
  if (closeAfterResponse_) return linger();
  startAwaitingRequest();
  if (input_.size() > 0) parseRequest();
  if (server_.closesIdle_ && isIdle() && !isReadDue()) return closeIdle();
  if (server_.refusing_) refuseIncomplete();
  if (state_ != State::closed) read();
}

// --- Memory ------------------------------------------------------------------------------------------------

// Bytes to charge for the connection and its request, with `more` bytes to be read. Those bytes count twice:
// in the input buffer and as part of the request.
std::size_t ClientServer::Connection::memoryBytes(std::size_t more) const {
  const std::size_t buffer = std::max(input_.capacity(), input_.size() + more);
  return std::max(kClientConnectionBytes, kBareConnectionBytes + buffer + requestBytes_ + more);
}

void ClientServer::Connection::releaseRequestMemory() {
  headerBytes_ = 0;
  requestBytes_ = 0;
  forwardedBytes_ = 0;
  memory_.shrinkTo(memoryBytes(reading_ ? kStreamReadBytes : 0));
}

}  // namespace wingslip
