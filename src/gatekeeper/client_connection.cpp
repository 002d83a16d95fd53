/// The life of a client connection: its start, idle times, time limits and close.
#include "gatekeeper/client_connection.hpp"

#include <algorithm>
#include <utility>

#include "net/socket_io.hpp"
#include "net/tcp_state.hpp"

namespace wingslip {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t kBareConnectionBytes = 2 * 1024;  // without buffer and request
constexpr auto kHalfSentAtStop = 500ms;  // left to a half-sent request once nobody accepts any more

}  // namespace

void ClientServer::Connection::start() {
  Error ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  tcpStateKnown_ = !hasPeerClosed(socket_);
  awaitRequest();
  read();
}

// --- Close -------------------------------------------------------------------------------------------------

// The one place from which a connection is closed; a close over a request is reported with its reason.
void ClientServer::Connection::close(CloseReason reason) {
  if (state_ == State::closed) return;
  const bool inFlight = state_ == State::inFlight || state_ == State::streaming;
  server_.closes_.add(reason);
  if (owesAnswer() && !isByPeer(reason) && reason != CloseReason::responseCut)
    server_.handler_.onClosedUnanswered(reason);
  abandon();
  const auto self = shared_from_this();
  server_.remove(self);
  if (inFlight) server_.handler_.onClientDisconnect(requestId_);
}

// Part of a request was read, and nothing of its answer is on its way.
bool ClientServer::Connection::owesAnswer() const {
  return state_ == State::inFlight || state_ == State::streaming ||
         (state_ == State::reading && requestStarted());
}

void ClientServer::Connection::abandon() {
  state_ = State::closed;
  leaveOrder();
  bodyReader_ = nullptr;
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
  const bool isNew = firstRequest_ && Clock::now() - openedAt_ < kHalfSentAtStop;
  if (isIdle() && !hasUnreadData() && !isNew) return closeIdle();
  if (state_ == State::reading && !parser_->is_header_done()) armTimer(kHalfSentAtStop);
}

void ClientServer::Connection::closeIdle() {
  if (firstRequest_)
    return close(CloseReason::idleTimeout);  // no response was written that a reset could lose
  if (!overflow_) server_.lingering_.append(*this);
  linger();
}

void ClientServer::Connection::evictFromOverflow() {
  if (!requestStarted()) return close(CloseReason::evictedFromOverflow);
  leaveOrder();  // ends by itself, once its response is written
  rejectForCapacity(WaitQueue::freeConnection);
}

bool ClientServer::Connection::hasUnreadData() {
  Error error;
  return state_ != State::closed && socket_.available(error) > 0;
}

bool ClientServer::Connection::hasDisconnected() {
  if (state_ == State::closed) return true;
  const PeerState seen = peerState(socket_);
  if (seen == PeerState::hasSent) return hasPeerFinishedSending(socket_);
  return seen == PeerState::ended;
}

void ClientServer::Connection::closeDisconnected() {
  if (state_ == State::inFlight) close(CloseReason::peerClosed);
}

// Ends the sending at once, and the connection when the client has seen that: bytes that it is still sending
// would otherwise reset what it has not read yet.
void ClientServer::Connection::linger() {
  state_ = State::lingering;
  waitRecord_.leave();
  requestBytes_ = 0;
  Error ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  discardedBytes_ = 0;
  armTimer(server_.limits_.lingerTimeout);
  if (discardInput()) read();
}

// False: the client has sent too much after its last response, and the connection is closed.
bool ClientServer::Connection::discardInput() {
  discardedBytes_ += input_.size();
  input_.clear();
  inBody_ = false;  // small reads from here on
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

void ClientServer::Connection::onTimer() {
  // Not the client's fault: there is no memory to read the request into.
  if (state_ == State::reading && requestStarted() && pausedRead_.isPaused())
    return rejectForCapacity(WaitQueue::pausedRead);
  if (state_ == State::reading && requestStarted()) {
    recordTimeout(WaitQueue::incompleteRequest);
    return reject({http::status::request_timeout, "too slow"});
  }
  if (state_ == State::inFlight && !bodyDone_) {
    recordTimeout(WaitQueue::incompleteRequest);
    return rejectSlowBody();
  }
  if (state_ == State::streaming) recordTimeout(WaitQueue::responseBodyWindow);
  if (state_ == State::responding) recordTimeout(WaitQueue::responseWrite);
  if (state_ == State::reading && hasUnreadData()) return;  // its handler comes next
  if (state_ == State::reading) return closeIdle();
  if (state_ == State::lingering) return close(CloseReason::lastResponse);
  if (state_ == State::skippingBody) return close(CloseReason::bodyTimeout);
  if (state_ != State::inFlight) close(CloseReason::writeTimeout);
}

// --- Between requests --------------------------------------------------------------------------------------

void ClientServer::Connection::awaitRequest() {
  state_ = State::reading;
  waitRecord_.leave();
  requestStarted_ = false;
  continueConsidered_ = false;
  inBody_ = false;
  bodyDone_ = true;
  if (input_.size() == 0 && !reading_) input_.shrink_to_fit();  // a pending read goes into it
  releaseRequestMemory();
  idleSince_ = Clock::now();
  parser_.emplace();
  parser_->body_limit(kMaxBodyBytes);
  parser_->header_limit(kMaxHeaderBytes);
  armTimer(firstRequest_ ? server_.limits_.firstRequestTimeout : server_.limits_.idleTimeout);
  if (input_.size() == 0) return enterIdleOrder();
  server_.accept();
}

// From here on it may be closed where another connection needs its place.
void ClientServer::Connection::enterIdleOrder() {
  if (!overflow_) server_.idle_.append(*this);
  server_.accept();
}

// There is capacity after all: it becomes a regular connection.
void ClientServer::Connection::leaveOverflow() {
  if (!std::exchange(overflow_, false)) return;
  --server_.overflowCount_;
  leaveOrder();
  if (server_.connections_.size() - server_.overflowCount_ > server_.maxRegular())
    server_.closeLeastRecentlyUsed();
}

// The exchange is over on both sides.
void ClientServer::Connection::finishExchange() {
  if (closeAfterResponse_) return linger();
  awaitRequest();
  if (input_.size() > 0) parseRequest();
  if (state_ != State::closed) read();
}

// --- Memory ------------------------------------------------------------------------------------------------

std::size_t ClientServer::Connection::memoryBytes(std::size_t more) const {
  const std::size_t buffer = std::max(input_.capacity(), input_.size() + more);
  return std::max(kClientConnectionBytes, kBareConnectionBytes + buffer + requestBytes_ + more);
}

void ClientServer::Connection::releaseRequestMemory() {
  requestBytes_ = 0;
  forwardedBytes_ = 0;
  memory_.shrinkTo(memoryBytes(reading_ ? kStreamPieceBytes : 0));
}

}  // namespace wingslip
