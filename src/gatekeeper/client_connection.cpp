#include "gatekeeper/client_connection.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <utility>
#include <variant>

#include "net/socket_io.hpp"

namespace wingslip {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t kMostAhead = 16 * 1024;  // read of what follows a request that is held
constexpr std::size_t kBare = 2 * 1024;        // a connection without buffer and request
constexpr auto kHalfSentAtStop = 500ms;        // what is left to a half-sent request once nobody accepts

const Rejection kNoRoom{http::status::service_unavailable, "refused: no room, try again later"};

std::string seconds(decision::Time ms) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof text, ms / 1000, std::chars_format::fixed, 3).ptr;
  return std::string(text, end);
}

http::status statusOf(const Error& error) {
  if (error == http::error::body_limit) return http::status::payload_too_large;
  if (error == http::error::header_limit) return http::status::request_header_fields_too_large;
  return http::status::bad_request;
}

CloseReason reasonOf(const Error& error) {
  return error == asio::error::eof ? CloseReason::peerClosed : CloseReason::peerReset;
}

}  // namespace

void ClientServer::Connection::start() {
  Error ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  tcpTells_ = !hasLeft(socket_);
  listen();
  read();
}

void ClientServer::Connection::answer(Answer&& answer) {
  if (state_ != State::held) return;
  answerRoom_ = std::move(answer.room);
  http::response<http::string_body> message(answer.status, 11, answer.body);
  if (!answer.contentType.empty()) message.set(http::field::content_type, answer.contentType);
  if (answer.retryAfter > 0) message.set(http::field::retry_after, seconds(answer.retryAfter));
  last_ = last_ || server_.draining_ || overflow_ || server_.pressure_.fewDescriptors() ||
          (server_.pressure_.slow() && !bodyDone_);
  message.keep_alive(!last_);
  message.prepare_payload();
  state_ = State::answering;
  wait(WaitAt::answerWrite);
  pull_ = nullptr;
  giveBack();
  append(out_, message);
  write();
}

void ClientServer::Connection::begin(const AnswerHead& head) {
  if (state_ != State::held) return;
  http::response<http::empty_body> message(http::status::ok, 11);
  if (!head.contentType.empty()) message.set(http::field::content_type, head.contentType);
  chunked_ = !head.length && version_ >= 11;
  delimited_ = head.length || chunked_;
  last_ = last_ || server_.draining_ || !delimited_;
  message.keep_alive(!last_);
  if (head.length) message.content_length(*head.length);
  if (chunked_) message.chunked(true);
  state_ = State::streaming;
  wait(WaitAt::answerWindow);
  pull_ = nullptr;
  giveBack();
  appendHead(out_, message);
  write();
}

void ClientServer::Connection::pass(std::string&& piece, bool last, std::function<void()> room) {
  if (state_ != State::streaming) return;
  if (chunked_)
    appendChunk(out_, piece, last);
  else if (out_.empty())
    out_ = std::move(piece);
  else
    out_ += piece;
  if (last) state_ = State::answering;
  taken_ = std::move(room);
  if (!out_.empty()) return write();
  if (writing_.empty()) asio::post(socket_.get_executor(), guard0([this] { written(); }));
}

void ClientServer::Connection::keep(MemoryBudget::Charge&& room) {
  if (state_ != State::closed) answerRoom_ = std::move(room);
}

void ClientServer::Connection::cut() {
  if (state_ != State::streaming) return;
  Error ignored;
  if (!delimited_) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close(CloseReason::responseCut);
}

void ClientServer::Connection::pull(TakePiece take) {
  if (state_ != State::held) return;
  pull_ = std::move(take);
  requestBytes_ -= std::min(requestBytes_, std::exchange(passed_, 0));  // the worker has it
  wait(WaitAt::halfRead);
  sendContinue();
  asio::post(socket_.get_executor(), guard0([this] { offer(); }));
}

void ClientServer::Connection::close(CloseReason reason) {
  if (state_ == State::closed) return;
  const bool held = state_ == State::held || state_ == State::streaming;
  server_.closes_.add(reason);
  if (owesAnswer() && !isByPeer(reason) && reason != CloseReason::responseCut)
    server_.handler_.onClosedUnanswered(reason);
  abandon();
  const auto self = shared_from_this();
  server_.remove(self);
  if (held) server_.handler_.onClientDisconnect(id_);
}

// Part of a request was read, and nothing of its answer is on its way.
bool ClientServer::Connection::owesAnswer() const {
  return state_ == State::held || state_ == State::streaming || (state_ == State::reading && begun());
}

void ClientServer::Connection::abandon() {
  state_ = State::closed;
  leaveOrder();
  pull_ = nullptr;
  taken_ = nullptr;
  waiting_.leave();
  paused_.clear();
  room_.release();
  answerRoom_.release();
  timer_.cancel();
  Error ignored;
  socket_.close(ignored);
}

void ClientServer::Connection::finishUp() {
  const bool fresh = first_ && Clock::now() - openedAt_ < kHalfSentAtStop;
  if (idle() && !unread() && !fresh) return endRest();
  if (state_ == State::reading && !parser_->is_header_done()) arm(kHalfSentAtStop);
}

bool ClientServer::Connection::unread() {
  Error error;
  return state_ != State::closed && socket_.available(error) > 0;
}

void ClientServer::Connection::endRest() {
  if (first_) return close(CloseReason::idleTimeout);  // nothing was ever written that a reset could take back
  if (!overflow_) server_.ending_.append(*this);
  linger();
}

bool ClientServer::Connection::gone() {
  if (state_ == State::closed) return true;
  const PeerState seen = peerState(socket_);
  if (seen == PeerState::has_sent) return endedBehind(socket_);
  return seen == PeerState::ended;
}

void ClientServer::Connection::leave() {
  if (state_ == State::held) close(CloseReason::peerClosed);
}

void ClientServer::Connection::arm(std::chrono::milliseconds span) {
  timer_.expires_after(span);
  timer_.async_wait(guard([this](const Error& error, std::size_t) {
    if (!error && timer_.expiry() <= Clock::now()) expire();
  }));
}

void ClientServer::Connection::expire() {
  // Not its fault: there is no room to read it in.
  if (state_ == State::reading && begun() && paused_.waits()) return noRoom(WaitAt::pausedRead);
  if (state_ == State::reading && begun()) {
    turnAway(WaitAt::halfRead);
    return reject({http::status::request_timeout, "too slow"});
  }
  if (state_ == State::held && !bodyDone_) {
    turnAway(WaitAt::halfRead);
    return tooSlow();
  }
  if (state_ == State::streaming) turnAway(WaitAt::answerWindow);
  if (state_ == State::answering) turnAway(WaitAt::answerWrite);
  if (state_ == State::reading && unread()) return;  // its handler comes next
  if (state_ == State::reading) return endRest();
  if (state_ == State::lingering) return close(CloseReason::lastResponse);
  if (state_ == State::skipping) return close(CloseReason::bodyTimeout);
  if (state_ != State::held) close(CloseReason::writeTimeout);
}

void ClientServer::Connection::noRoom(WaitAt place) {
  turnAway(place);
  if (parser_->is_header_done()) {
    const auto call = readCall(parser_->get(), server_.config_);
    if (const auto* asked = std::get_if<Call>(&call)) server_.handler_.onRequestRejected(asked->klass);
  }
  bodyDone_ = last_ = true;
  reject(kNoRoom, server_.turnedAwayFor());
}

void ClientServer::Connection::giveWay() {
  if (!begun()) return close(CloseReason::evictedFromOverflow);
  leaveOrder();  // ends by itself, once its answer is taken
  noRoom(WaitAt::noRoom);
}

void ClientServer::Connection::tooSlow() {
  server_.handler_.onClientDisconnect(id_);
  bodyDone_ = true;  // nothing more of it is waited for
  reject({http::status::request_timeout, "too slow"});
}

void ClientServer::Connection::listen() {
  state_ = State::reading;
  waiting_.leave();
  begun_ = continued_ = inBody_ = false;
  bodyDone_ = true;
  if (in_.size() == 0 && !reading_) in_.shrink_to_fit();  // a read that is pending goes into it
  giveBack();
  idleSince_ = Clock::now();
  parser_.emplace();
  parser_->body_limit(kMostBody);
  parser_->header_limit(kMostHeader);
  arm(first_ ? server_.limits_.firstWithin : server_.limits_.idleFor);
  if (in_.size() == 0) return enterIdleOrder();
  server_.accept();
}

void ClientServer::Connection::enterIdleOrder() {
  if (!overflow_) server_.idle_.append(*this);
  server_.accept();
}

void ClientServer::Connection::read() {
  if (reading_) return;
  const bool awaited = !bodyDone_ && (state_ == State::reading || state_ == State::held);
  if (!wantsMore()) {
    if (awaited) timer_.cancel();
    return server_.pressure_.watch(paused_, weak_from_this(), [this] { look(); });
  }
  if (!hasRoom()) {
    // Nothing of a body is waited for, so none of its time runs. What comes before a request is held finds
    // room soon or is turned away.
    if (state_ == State::reading && awaited) arm(server_.limits_.pausedMost);
    if (state_ == State::held && awaited) timer_.cancel();
    const auto again = [this] {
      if (state_ == State::closed) return true;
      if (!hasRoom()) return false;
      paused_.clear();
      read();
      return true;
    };
    return server_.pressure_.waitForRoom(paused_, Account::clients, weak_from_this(), again,
                                         [this] { look(); });
  }
  paused_.clear();
  reading_ = true;
  readAt_ = Clock::now();
  if (awaited) arm(server_.limits_.bodyGap);
  // What has come stays in the kernel until it is handled: whoever looks in between, to end a connection
  // that rests, sees it there.
  socket_.async_wait(tcp::socket::wait_read, guard([this](const Error& waited, std::size_t) {
                       reading_ = false;
                       Error error = waited;
                       const std::size_t n =
                           error ? 0
                                 : readSome(socket_, in_.prepare(inBody_ ? kStreamStep : kReadStep), error);
                       if (error == asio::error::would_block) return read();
                       if (error) return close(reasonOf(error));
                       in_.commit(n);
                       if (state_ == State::reading || !bodyDone_) requestBytes_ += n;
                       if (state_ == State::lingering && !discard()) return;
                       if (inBody_ && !bodyDone_ && !inTime(n)) return;
                       go();
                       if (state_ != State::closed) read();
                     }));
}

void ClientServer::Connection::giveBack() {
  requestBytes_ = passed_ = 0;
  room_.shrinkTo(cost(reading_ ? kStreamStep : 0));
}

std::size_t ClientServer::Connection::cost(std::size_t more) const {
  return std::max(kConnection, kBare + std::max(in_.capacity(), in_.size() + more) + requestBytes_ + more);
}

bool ClientServer::Connection::hasRoom() {
  if (!bodyDone_ && state_ == State::held && server_.pressure_.slow()) return false;
  return room_.resize(cost(inBody_ ? kStreamStep : kReadStep));
}

void ClientServer::Connection::look() {
  if (state_ != State::closed && !reading_ && tcpTells_ && hasLeft(socket_)) close(CloseReason::peerClosed);
}

bool ClientServer::Connection::wantsMore() const {
  if (!bodyDone_ && state_ != State::reading) return parser_->get().body().size() < kStreamStep;
  return in_.size() < kMostAhead;
}

bool ClientServer::Connection::inTime(std::size_t n) {
  bodyGot_ += static_cast<double>(n);
  bodyWaited_ += Clock::now() - readAt_;
  const std::chrono::duration<double, std::milli> late = bodyWaited_ - server_.limits_.bodyGrace;
  const bool awaited = state_ == State::reading || state_ == State::held;
  if (!awaited || bodyGot_ >= server_.limits_.bodyRate * late.count()) return true;
  expire();
  return false;
}

void ClientServer::Connection::go() {
  if (state_ == State::reading) return parse();
  if (bodyDone_) return;
  Error error;
  bodyDone_ = feed(*parser_, in_, error);
  if (error) {
    if (state_ != State::held) return close(CloseReason::malformedBody);
    server_.handler_.onClientDisconnect(id_);
    bodyDone_ = last_ = true;
    return reject({statusOf(error), "malformed request"});
  }
  if (bodyDone_ && state_ != State::skipping) timer_.cancel();
  if (state_ == State::held) return offer();
  parser_->get().body().clear();
  requestBytes_ = 0;
  if (bodyDone_ && state_ == State::skipping) next();
}

void ClientServer::Connection::offer() {
  if (!pull_) return;
  std::string& body = parser_->get().body();
  if (body.empty() && !bodyDone_) return read();
  const auto take = std::exchange(pull_, nullptr);
  passed_ = body.size();
  wait(bodyDone_ ? WaitAt::held : WaitAt::bodyWindow);
  take(std::exchange(body, {}), bodyDone_);
  if (state_ != State::closed) read();
}

void ClientServer::Connection::parse() {
  if (!begun_) skipBlankLines();
  if (idle() && !inOrder() && !overflow_) return enterIdleOrder();  // nothing but blank lines had come
  if (!begun_ && in_.size() > 0) {
    begun_ = true;
    if (!overflow_) leaveOrder();
    wait(WaitAt::halfRead);
    server_.pressure_.noteDescriptors();
    if (!first_) arm(server_.limits_.wholeWithin);
  }
  Error error;
  const bool done = feed(*parser_, in_, error);
  server_.stats_.mostBuffered = std::max(server_.stats_.mostBuffered, in_.size());
  if (error) {
    bodyDone_ = last_ = true;
    return reject({statusOf(error), "malformed request"});
  }
  if (done) {
    timer_.cancel();
    version_ = parser_->get().version();
    return handle(parser_->release());
  }
  if (!parser_->is_header_done()) return;
  if (!inBody_) {
    inBody_ = true;
    bodyDone_ = false;
    bodyGot_ = 0;
    bodyWaited_ = {};
  }
  if (parser_->content_length().value_or(0) > kHeldWhole || parser_->get().body().size() > kHeldWhole)
    return handleStream();
  sendContinue();
}

void ClientServer::Connection::skipBlankLines() {
  const auto* text = static_cast<const char*>(in_.data().data());
  std::size_t n = 0;
  while (n < in_.size() && (text[n] == '\r' || text[n] == '\n')) ++n;
  in_.consume(n);
}

bool ClientServer::Connection::expects() const {
  return beast::iequals(parser_->get()[http::field::expect], "100-continue") &&
         parser_->get().version() >= 11;
}

void ClientServer::Connection::sendContinue() {
  if (bodyDone_ || continued_) return;
  continued_ = true;
  if (!expects()) return;
  http::response<http::empty_body> message(http::status::continue_, 11);
  append(out_, message);
  write();
}

// What it waited in the machine's queue for its connection to be accepted counts against its client's time.
// Later ones are read as they come.
decision::Time ClientServer::Connection::waitedUnread() {
  if (!first_ || !tcpTells_) return 0;
  const double waited = static_cast<double>(sinceLastData(socket_).count());
  server_.stats_.mostWaited = std::max(server_.stats_.mostWaited, waited);
  return waited;
}

void ClientServer::Connection::handleStream() {
  timer_.cancel();
  first_ = false;
  ClientMessage message(parser_->get().base());
  message.body() = std::exchange(parser_->get().body(), {});
  last_ = !parser_->keep_alive();
  version_ = message.version();
  auto call = readCall(message, server_.config_);
  if (const auto* wrong = std::get_if<Rejection>(&call)) return reject(*wrong);
  if (overflow_ && !server_.hasRoom()) return noRoom(WaitAt::noRoom);
  Call& found = std::get<Call>(call);
  found.whole = false;
  found.holds = cost(2 * kStreamStep) + requestBytes_;  // twice: here, and on its way to the worker
  passed_ = requestBytes_;
  if (const auto length = parser_->content_length()) found.length = *length;
  hold(found, std::move(message));
}

void ClientServer::Connection::handle(ClientMessage&& message) {
  const decision::Time waited = waitedUnread();
  first_ = false;
  inBody_ = false;
  bodyDone_ = true;
  last_ = !message.keep_alive();
  if (message.target() == "/health/ready") return sayReady(message.method());
  auto call = readCall(message, server_.config_);
  if (const auto* wrong = std::get_if<Rejection>(&call)) return reject(*wrong);
  if (overflow_ && !server_.hasRoom()) {
    server_.handler_.onRequestRejected(std::get<Call>(call).klass);
    turnAway(WaitAt::noRoom);
    return reject(kNoRoom, server_.turnedAwayFor());
  }
  std::get<Call>(call).holds = cost(0) + requestBytes_;
  std::get<Call>(call).patience = std::max(0.0, std::get<Call>(call).patience - waited);
  hold(std::get<Call>(call), std::move(message));
}

void ClientServer::Connection::hold(const Call& call, ClientMessage&& message) {
  leaveOverflow();
  state_ = State::held;
  wait(WaitAt::held);
  id_ = server_.handler_.nextRequestId();
  server_.handler_.onRequest(id_, call, std::move(message), shared_from_this());
}

void ClientServer::Connection::leaveOverflow() {
  if (!std::exchange(overflow_, false)) return;
  --server_.overflowCount_;
  leaveOrder();
  if (server_.connections_.size() - server_.overflowCount_ > server_.mostUsual())
    server_.closeLeastRecentlyUsed();
}

void ClientServer::Connection::sayReady(http::verb method) {
  if (method != http::verb::get) return reject({http::status::method_not_allowed, "only GET"});
  const bool ready = server_.handler_.ready() && !server_.draining_;
  reject({ready ? http::status::ok : http::status::service_unavailable, ready ? "ready" : "not ready"});
}

void ClientServer::Connection::reject(const Rejection& why, decision::Time retryAfter) {
  server_.stats_.rejected += why.status != http::status::ok;
  if (why.status == http::status::request_timeout) bodyDone_ = last_ = true;
  if (!bodyDone_ && !parser_->is_header_done()) bodyDone_ = true;
  state_ = State::held;
  Answer text;
  text.status = why.status;
  text.body = std::string(why.why) + "\n";
  text.retryAfter = retryAfter;
  answer(std::move(text));
}

void ClientServer::Connection::write() {
  if (!writing_.empty() || out_.empty()) return;
  writing_.swap(out_);
  if (state_ == State::answering || state_ == State::streaming) arm(server_.limits_.writeWithin);
  asyncWriteAll(
      socket_, asio::buffer(writing_), [self = shared_from_this(), this] { return state_ != State::closed; },
      [self = shared_from_this(), this](const Error& error) {
        if (error) return close(reasonOf(error));
        written();
      });
}

void ClientServer::Connection::written() {
  if (writing_.capacity() > kReadStep)
    std::string().swap(writing_);
  else
    writing_.clear();
  if (!out_.empty()) return write();
  if (state_ == State::streaming) {
    timer_.cancel();
    if (const auto taken = std::exchange(taken_, nullptr)) taken();
    return;
  }
  if (state_ != State::answering) return;
  taken_ = nullptr;
  answerRoom_.release();
  if (!bodyDone_ && !continued_ && expects()) bodyDone_ = last_ = true;  // the body will not come
  if (bodyDone_ || (last_ && server_.pressure_.slow())) return next();
  state_ = State::skipping;
  wait(WaitAt::halfRead);
  arm(server_.limits_.skipWithin);
  go();
  if (state_ != State::closed) read();
}

void ClientServer::Connection::next() {
  if (last_) return linger();
  listen();
  if (in_.size() > 0) parse();
  if (state_ != State::closed) read();
}

void ClientServer::Connection::linger() {
  state_ = State::lingering;
  waiting_.leave();
  requestBytes_ = 0;
  Error ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  discarded_ = 0;
  arm(server_.limits_.lingerFor);
  if (discard()) read();
}

bool ClientServer::Connection::discard() {
  discarded_ += in_.size();
  in_.clear();
  inBody_ = false;  // small steps from here on
  if (!reading_) {
    in_.shrink_to_fit();
    room_.shrinkTo(cost(0));
  }
  if (discarded_ <= server_.limits_.lingerBytes) return true;
  close(CloseReason::sendsAfterLastResponse);
  return false;
}

}  // namespace wingslip
