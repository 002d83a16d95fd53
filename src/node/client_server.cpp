#include "node/client_server.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <optional>
#include <random>
#include <stdexcept>
#include <utility>
#include <vector>

namespace burlwind {
namespace {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr std::size_t kMostAhead = 16 * 1024;  // read of what follows a request that is held
// A connection with its parser, a first buffer, a request of 2 KiB and a short answer: once it is accepted, a
// small request never waits for room.
constexpr std::size_t kConnection = 12 * 1024;
constexpr std::size_t kBare = 2 * 1024;  // the same without buffer and request
constexpr double kLeastAway = 250;       // ms advised where the pressure is expected to be over sooner
constexpr auto kAcceptPause = 50ms;      // after an accept that failed for want of descriptors
constexpr auto kHalfSentAtStop = 500ms;  // what is left to a half-sent request once nobody accepts

const Rejection kNoRoom{http::status::service_unavailable, "refused: no room, try again later"};

std::string seconds(irisring::Time ms) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof text, ms / 1000, std::chars_format::fixed, 3).ptr;
  return std::string(text, end);
}

http::status statusOf(const Error& error) {
  if (error == http::error::body_limit) return http::status::payload_too_large;
  if (error == http::error::header_limit) return http::status::request_header_fields_too_large;
  return http::status::bad_request;
}

}  // namespace

// One client connection: one request at a time, in the order in which they come.
class ClientServer::Connection : public Asker,
                                 public ConnectionOrder::Entry,
                                 public std::enable_shared_from_this<Connection> {
  template <class Handler>
  auto guard(Handler handler) {
    return [self = shared_from_this(), this, handler](const Error& error, std::size_t n = 0) {
      if (state_ != State::closed) handler(error, n);
    };
  }

  template <class Handler>
  auto guard0(Handler handler) {
    return [self = shared_from_this(), this, handler] {
      if (state_ != State::closed) handler();
    };
  }

 public:
  // One in the lane is on its way out: its header is heard, and it is turned away.
  Connection(ClientServer& server, tcp::socket socket, Ledger::Charge room, bool lane)
      : server_(server),
        room_(std::move(room)),
        lane_(lane),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()) {}

  void start() {
    Error ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    tcpTells_ = !hasLeft(socket_);
    listen();
    read();
  }

  void answer(Answer&& answer) override {
    if (state_ != State::held) return;
    answerRoom_ = std::move(answer.room);
    http::response<http::string_body> message(answer.status, 11, answer.body);
    if (!answer.contentType.empty()) message.set(http::field::content_type, answer.contentType);
    if (answer.retryAfter > 0) message.set(http::field::retry_after, seconds(answer.retryAfter));
    last_ = last_ || server_.draining_ || lane_ || server_.pressure_.fewDescriptors() ||
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

  void begin(const AnswerHead& head) override {
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

  void pass(std::string&& piece, bool last, std::function<void()> room) override {
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

  void keep(Ledger::Charge&& room) override {
    if (state_ != State::closed) answerRoom_ = std::move(room);
  }

  // Without its end where it states one; else a reset tells.
  void cut() override {
    if (state_ != State::streaming) return;
    Error ignored;
    if (!delimited_) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }

  void pull(TakePiece take) override {
    if (state_ != State::held) return;
    pull_ = std::move(take);
    requestBytes_ -= std::min(requestBytes_, std::exchange(passed_, 0));  // the worker has it
    wait(WaitAt::halfRead);
    sendContinue();
    asio::post(socket_.get_executor(), guard0([this] { offer(); }));
  }

  bool idle() const { return state_ == State::reading && !begun(); }
  bool inLane() const { return lane_; }
  Clock::time_point openedAt() const { return openedAt_; }
  Clock::time_point idleSince() const { return idleSince_; }

  void close() {
    if (state_ == State::closed) return;
    const bool held = state_ == State::held || state_ == State::streaming;
    abandon();
    const auto self = shared_from_this();
    server_.remove(self);
    if (held) server_.holder_.left(id_);
  }

  // Ends it and tells nobody.
  void abandon() {
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

  // Nobody accepts any more: ends a connection without a request. One that has just come may still bring its
  // first.
  void finishUp() {
    const bool fresh = first_ && Clock::now() - openedAt_ < kHalfSentAtStop;
    if (idle() && !unread() && !fresh) return endRest();
    if (state_ == State::reading && !parser_->is_header_done()) arm(kHalfSentAtStop);
  }

  // Whether something has come that no handler has seen yet.
  bool unread() {
    Error error;
    return state_ != State::closed && socket_.available(error) > 0;
  }

  // What crosses this is not heard, and its client sends it once more on another connection.
  void endRest() {
    if (first_) return close();  // nothing was ever written that a reset could take back
    if (!lane_) server_.ending_.append(*this);
    linger();
  }

  // Whether the client has ended the connection, also behind bytes that nobody has read.
  bool gone() override {
    if (state_ == State::closed) return true;
    char byte;
    Error error;
    const std::size_t n = socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error) return error != asio::error::would_block;
    return n == 0 || endedBehind(socket_);
  }

  void leave() override {
    if (state_ == State::held) close();
  }

 private:
  // Skipping: the answer is written, and the rest of the request's body is thrown away.
  enum class State { reading, held, streaming, answering, skipping, lingering, closed };

  bool begun() const { return begun_ || in_.size() > 0; }

  void wait(WaitAt place) { waiting_.enter(server_.pressure_.places(), place, BackPressure::now()); }
  void turnAway(WaitAt place) { server_.pressure_.places().turnAway(place); }

  void arm(std::chrono::milliseconds span) {
    timer_.expires_after(span);
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error && timer_.expiry() <= Clock::now()) expire();
    }));
  }

  void expire() {
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
    if (state_ != State::held) close();
  }

  void noRoom(WaitAt place) {
    turnAway(place);
    if (parser_->is_header_done()) {
      const auto call = readCall(parser_->get(), server_.config_);
      if (const auto* asked = std::get_if<Call>(&call)) server_.holder_.turnedAway(asked->klass);
    }
    bodyDone_ = last_ = true;
    reject(kNoRoom, server_.turnedAwayFor());
  }

  // In the middle of a body that is passed on as it comes.
  void tooSlow() {
    server_.holder_.left(id_);
    bodyDone_ = true;  // nothing more of it is waited for
    reject({http::status::request_timeout, "too slow"});
  }

  // Ready for the next request.
  void listen() {
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

  // It may be closed from here on where another connection needs the room.
  void enterIdleOrder() {
    if (!lane_) server_.idle_.append(*this);
    server_.accept();
  }

  // One read is pending in every state, so that the end of a client is seen while its request is held; only
  // where a body that is passed on waits for room none is.
  void read() {
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
                                   : socket_.read_some(in_.prepare(inBody_ ? kStreamStep : kReadStep), error);
                         if (error == asio::error::would_block) return read();
                         if (error) return close();
                         in_.commit(n);
                         if (state_ == State::reading || !bodyDone_) requestBytes_ += n;
                         if (state_ == State::lingering && !discard()) return;
                         if (inBody_ && !bodyDone_ && !inTime(n)) return;
                         go();
                         if (state_ != State::closed) read();
                       }));
  }

  // The request is no longer held.
  void giveBack() {
    requestBytes_ = passed_ = 0;
    room_.shrinkTo(cost(reading_ ? kStreamStep : 0));
  }

  // What this connection takes, and what it takes with `more` bytes read.
  std::size_t cost(std::size_t more) const {
    return std::max(kConnection, kBare + std::max(in_.capacity(), in_.size() + more) + requestBytes_ + more);
  }

  // Whether there is room for the next read. A long body gives way before the budget is used up.
  bool hasRoom() {
    if (!bodyDone_ && state_ == State::held && server_.pressure_.slow()) return false;
    return room_.resize(cost(inBody_ ? kStreamStep : kReadStep));
  }

  // Nothing is read, so nothing but this tells that the client has left.
  void look() {
    if (state_ != State::closed && !reading_ && tcpTells_ && hasLeft(socket_)) close();
  }

  bool wantsMore() const {
    if (!bodyDone_ && state_ != State::reading) return parser_->get().body().size() < kStreamStep;
    return in_.size() < kMostAhead;
  }

  // Whether a body comes fast enough: only the time counts in which more of it is waited for.
  bool inTime(std::size_t n) {
    bodyGot_ += static_cast<double>(n);
    bodyWaited_ += Clock::now() - readAt_;
    const std::chrono::duration<double, std::milli> late = bodyWaited_ - server_.limits_.bodyGrace;
    const bool awaited = state_ == State::reading || state_ == State::held;
    if (!awaited || bodyGot_ >= server_.limits_.bodyRate * late.count()) return true;
    expire();
    return false;
  }

  // With what has been read, as far as the state wants it.
  void go() {
    if (state_ == State::reading) return parse();
    if (bodyDone_) return;
    Error error;
    bodyDone_ = feed(*parser_, in_, error);
    if (error) {
      if (state_ != State::held) return close();
      server_.holder_.left(id_);
      bodyDone_ = last_ = true;
      return reject({statusOf(error), "malformed request"});
    }
    if (bodyDone_ && state_ != State::skipping) timer_.cancel();
    if (state_ == State::held) return offer();
    parser_->get().body().clear();
    requestBytes_ = 0;
    if (bodyDone_ && state_ == State::skipping) next();
  }

  // What has come of the body, to who waits for it.
  void offer() {
    if (!pull_) return;
    std::string& body = parser_->get().body();
    if (body.empty() && !bodyDone_) return read();
    const auto take = std::exchange(pull_, nullptr);
    passed_ = body.size();
    wait(bodyDone_ ? WaitAt::held : WaitAt::bodyWindow);
    take(std::exchange(body, {}), bodyDone_);
    if (state_ != State::closed) read();
  }

  void parse() {
    if (!begun_) skipBlankLines();
    if (idle() && !inOrder() && !lane_) return enterIdleOrder();  // nothing but blank lines had come
    if (!begun_ && in_.size() > 0) {
      begun_ = true;
      if (!lane_) leaveOrder();
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

  // Some clients send an empty line behind a body.
  void skipBlankLines() {
    const auto* text = static_cast<const char*>(in_.data().data());
    std::size_t n = 0;
    while (n < in_.size() && (text[n] == '\r' || text[n] == '\n')) ++n;
    in_.consume(n);
  }

  bool expects() const {
    return beast::iequals(parser_->get()[http::field::expect], "100-continue") &&
           parser_->get().version() >= 11;
  }

  void sendContinue() {
    if (bodyDone_ || continued_) return;
    continued_ = true;
    if (!expects()) return;
    http::response<http::empty_body> message(http::status::continue_, 11);
    append(out_, message);
    write();
  }

  // A body too long to be held: judged by its header, and what has come of it goes along.
  void handleStream() {
    timer_.cancel();
    first_ = false;
    ClientMessage message(parser_->get().base());
    message.body() = std::exchange(parser_->get().body(), {});
    last_ = !parser_->keep_alive();
    version_ = message.version();
    auto call = readCall(message, server_.config_);
    if (const auto* wrong = std::get_if<Rejection>(&call)) return reject(*wrong);
    if (lane_ && !server_.hasRoom()) return noRoom(WaitAt::noRoom);
    Call& found = std::get<Call>(call);
    found.whole = false;
    found.holds = cost(2 * kStreamStep) + requestBytes_;  // twice: here, and on its way to the worker
    passed_ = requestBytes_;
    if (const auto length = parser_->content_length()) found.length = *length;
    hold(found, std::move(message));
  }

  void handle(ClientMessage&& message) {
    first_ = false;
    inBody_ = false;
    bodyDone_ = true;
    last_ = !message.keep_alive();
    if (message.target() == "/health/ready") return sayReady(message.method());
    auto call = readCall(message, server_.config_);
    if (const auto* wrong = std::get_if<Rejection>(&call)) return reject(*wrong);
    if (lane_ && !server_.hasRoom()) {
      server_.holder_.turnedAway(std::get<Call>(call).klass);
      turnAway(WaitAt::noRoom);
      return reject(kNoRoom, server_.turnedAwayFor());
    }
    std::get<Call>(call).holds = cost(0) + requestBytes_;
    hold(std::get<Call>(call), std::move(message));
  }

  void hold(const Call& call, ClientMessage&& message) {
    leaveLane();
    state_ = State::held;
    wait(WaitAt::held);
    id_ = server_.holder_.nextId();
    server_.holder_.take(id_, call, std::move(message), shared_from_this());
  }

  // There is room after all.
  void leaveLane() {
    if (!std::exchange(lane_, false)) return;
    --server_.inLane_;
    leaveOrder();
    if (server_.connections_.size() - server_.inLane_ > server_.mostUsual()) server_.closeLeastRecentlyUsed();
  }

  void sayReady(http::verb method) {
    if (method != http::verb::get) return reject({http::status::method_not_allowed, "only GET"});
    const bool ready = server_.holder_.ready() && !server_.draining_;
    reject({ready ? http::status::ok : http::status::service_unavailable, ready ? "ready" : "not ready"});
  }

  // An answer from here: the request never reaches the holder.
  void reject(const Rejection& why, irisring::Time retryAfter = 0) {
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

  void write() {
    if (!writing_.empty() || out_.empty()) return;
    writing_.swap(out_);
    if (state_ == State::answering || state_ == State::streaming) arm(server_.limits_.writeWithin);
    asio::async_write(socket_, asio::buffer(writing_), guard([this](const Error& error, std::size_t) {
                        if (error) return close();
                        written();
                      }));
  }

  void written() {
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

  // The exchange is over on both sides.
  void next() {
    if (last_) return linger();
    listen();
    if (in_.size() > 0) parse();
    if (state_ != State::closed) read();
  }

  // The answer's end is told at once; the connection goes when the client has seen it, so that bytes that it
  // was still sending do not reset what it has not read yet.
  void linger() {
    state_ = State::lingering;
    waiting_.leave();
    requestBytes_ = 0;
    Error ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    discarded_ = 0;
    arm(server_.limits_.lingerFor);
    if (discard()) read();
  }

  // Somebody who sends without end is not worth the time that reading it takes.
  bool discard() {
    discarded_ += in_.size();
    in_.clear();
    inBody_ = false;  // small steps from here on
    if (!reading_) {
      in_.shrink_to_fit();
      room_.shrinkTo(cost(0));
    }
    if (discarded_ <= server_.limits_.lingerBytes) return true;
    close();
    return false;
  }

  ClientServer& server_;
  Ledger::Charge room_;        // of this connection and of the request on it
  Ledger::Charge answerRoom_;  // of an answer that is being written
  Places::Waiting waiting_;
  BackPressure::Paused paused_;
  std::size_t requestBytes_ = 0;  // come of the request and not yet given away
  std::size_t passed_ = 0;        // of these, at the worker's side and not yet written
  bool lane_;
  const Clock::time_point openedAt_ = Clock::now();
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer in_;
  std::optional<http::request_parser<WindowBody>> parser_;
  TakePiece pull_;               // waits for the next of the body
  std::function<void()> taken_;  // waits for the next piece of the answer to be written
  std::string out_, writing_;
  State state_ = State::reading;
  Clock::time_point idleSince_;
  irisring::RequestId id_ = 0;
  std::size_t discarded_ = 0;
  bool first_ = true;       // no whole request has come yet
  bool begun_ = false;      // a request's first byte has come
  bool continued_ = false;  // 100 Continue was considered
  bool last_ = false;       // the connection ends with the next answer
  bool reading_ = false;
  bool tcpTells_ = false;                    // of its state, as it should at the start
  bool inBody_ = false;                      // a header has come, and a body follows
  bool bodyDone_ = true;                     // nothing more of the body is to come
  bool chunked_ = false, delimited_ = true;  // the answer that is passed on
  unsigned version_ = 11;
  double bodyGot_ = 0;  // bytes
  Clock::duration bodyWaited_{};
  Clock::time_point readAt_;
};

ClientServer::ClientServer(asio::io_context& io, const Config& config, const Limits& limits, Holder& holder,
                           BackPressure& pressure)
    : config_(config),
      limits_(limits),
      holder_(holder),
      acceptor_(io),
      pause_(io),
      lane_(io),
      pressure_(pressure),
      chance_(config.seed ^ 0x5bd1e995) {
  pressure_.places().read(WaitAt::acceptQueue, [this](double now) {
    Places::Figures out;
    out.waiting = queuedAt(acceptor_);
    if (out.waiting > 0 && noRoom_.in(WaitAt::noRoom)) out.oldest = now - noRoom_.since();
    return out;
  });
  refillLane();
  pressure_.whenRoom([this] {
    if (noRoom_.in(WaitAt::noRoom)) accept();
  });
}

ClientServer::~ClientServer() {
  pressure_.whenRoom(nullptr);
  pressure_.places().read(WaitAt::acceptQueue, nullptr);
  for (const auto& connection : connections_) connection->abandon();
}

void ClientServer::start() {
  const bool inherited = config_.acceptFd >= 0;
  try {
    if (inherited) {
      acceptor_.assign(config_.listen.protocol(), config_.acceptFd);
    } else {
      acceptor_.open(config_.listen.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(config_.listen);
      acceptor_.listen();
    }
    acceptor_.non_blocking(true);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error(std::string("cannot listen: ") + error.what());
  }
  if (!inherited) beginAccepting();
}

void ClientServer::beginAccepting() {
  open_ = true;
  accept();
}

// At the limit an idle connection makes room for one that comes, but not before it does; where none is idle,
// the next one to turn idle or end does.
bool ClientServer::hasRoom() const {
  if (pressure_.ledger().room(Account::clients) < kConnection) return false;
  return connections_.size() - inLane_ < mostUsual() || !idle_.empty() || !ending_.empty();
}

void ClientServer::accept() {
  if (!open_) return;
  if (!hasRoom()) {
    if (waiting_ && laneOpen_) return acceptToLane();
    if (laneOpen_) return takeNext();
    return openLane();
  }
  if (noRoom_.in(WaitAt::noRoom)) {
    noRoom_.leave();
    lane_.cancel();
    laneOpen_ = false;
  }
  if (waiting_) return admitWaiting();
  takeNext();
}

void ClientServer::admitWaiting() {
  tcp::socket socket = *std::exchange(waiting_, std::nullopt);
  const bool full = connections_.size() - inLane_ >= mostUsual();
  if (!full || closeLeastRecentlyUsed()) return add(std::move(socket));
  // Requests had come on all that were idle, so that none is any more and there is no room.
  waiting_ = std::move(socket);
  accept();
}

void ClientServer::takeNext() {
  if (accepting_) return;
  if (!acceptor_.is_open()) return;
  accepting_ = true;
  // A connection is taken from the machine's queue only in the handler, so that none is in between when
  // accepting stops. One accept a turn of the loop: however many clients wait in that queue, all other
  // sockets and timers that are ready are served between two of them.
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](const Error& waited) {
    if (waited == asio::error::operation_aborted) return;
    accepting_ = false;
    if (!open_ || waiting_) return;
    pressure_.activity();
    Error error;
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (error == asio::error::no_descriptors || error == boost::system::errc::too_many_files_open_in_system ||
        error == asio::error::no_buffer_space || error == asio::error::no_memory)
      return acceptLater();
    if (!error) {
      ++stats_.accepted;
      waiting_ = std::move(socket);
    }
    accept();
  });
}

// Out of descriptors: the connection stays in the machine's queue and would be reported again at once.
void ClientServer::acceptLater() {
  closeLeastRecentlyUsed();
  pause_.expires_after(kAcceptPause);
  pause_.async_wait([this](const Error& error) {
    if (!error) accept();
  });
}

void ClientServer::add(tcp::socket socket) {
  auto room = pressure_.ledger().open(Account::clients);
  if (!room.resize(kConnection)) closeLeastRecentlyUsed();
  if (!room.resize(kConnection))
    return;  // asked for before: only while draining, when there is no other place
  room.fix();
  const auto connection = std::make_shared<Connection>(*this, std::move(socket), std::move(room), false);
  connections_.insert(connection);
  connection->start();  // goes on to accept
}

// Set aside from the start, so that one can be heard out where memory is what is short.
void ClientServer::refillLane() {
  while (laneRooms_.size() + inLane_ < limits_.lane()) {
    auto room = pressure_.ledger().open(Account::clients);
    if (!room.resize(kConnection)) return;
    room.fix();
    laneRooms_.push_back(std::move(room));
  }
}

// All are busy. What comes waits in the kernel for a while, since most requests end soon.
void ClientServer::openLane() {
  if (noRoom_.in(WaitAt::noRoom)) return;
  noRoom_.enter(pressure_.places(), WaitAt::noRoom, BackPressure::now());
  if (limits_.lane() == 0) return;
  lane_.expires_after(limits_.laneAfter);
  lane_.async_wait([this](const Error& error) {
    if (error || !noRoom_.in(WaitAt::noRoom)) return;
    laneOpen_ = true;
    accept();
  });
}

void ClientServer::acceptToLane() {
  if (!makeLaneRoom()) return;
  auto room = std::move(laneRooms_.back());
  laneRooms_.pop_back();
  const auto connection =
      std::make_shared<Connection>(*this, *std::exchange(waiting_, std::nullopt), std::move(room), true);
  ++inLane_;
  connections_.insert(connection);
  inLaneOrder_.append(*connection);
  connection->start();
}

// The oldest gives way once it has had its time to speak; until then the next one waits.
bool ClientServer::makeLaneRoom() {
  refillLane();
  if (!laneRooms_.empty()) return true;
  const auto oldest = static_cast<Connection*>(inLaneOrder_.oldest());
  if (!oldest) return false;
  const auto until = oldest->openedAt() + limits_.laneLeast;
  if (Clock::now() < until) {
    lane_.expires_at(until);
    lane_.async_wait([this](const Error& error) {
      if (!error && noRoom_.in(WaitAt::noRoom)) accept();
    });
    return false;
  }
  pressure_.places().turnAway(WaitAt::noRoom);
  oldest->close();  // goes on to accept by itself
  return false;
}

// By chance, so that those turned away together do not come back together.
irisring::Time ClientServer::turnedAwayFor() const {
  const double most = config_.settings.maxRetryAfter;
  const double lasts = std::max(pressure_.pressure().lasts(BackPressure::now()), kLeastAway);
  return (most > 0 ? std::min(most, lasts) : lasts) * std::uniform_real_distribution<>(0.5, 1.0)(chance_);
}

double ClientServer::busyShare() const {
  const auto& places = pressure_.places();
  const std::size_t busy = places.waiting(WaitAt::halfRead) + places.waiting(WaitAt::held) +
                           places.waiting(WaitAt::bodyWindow) + places.waiting(WaitAt::answerWindow) +
                           places.waiting(WaitAt::answerWrite);
  return static_cast<double>(busy) / static_cast<double>(std::max<std::size_t>(1, mostUsual()));
}

void ClientServer::trimIdle() {
  const auto before = Clock::now() - limits_.idleLeast;
  while (const auto oldest = static_cast<Connection*>(idle_.oldest())) {
    if (oldest->idleSince() >= before) return;
    oldest->leaveOrder();
    if (!oldest->unread()) oldest->shared_from_this()->endRest();
  }
}

void ClientServer::remove(const std::shared_ptr<Connection>& connection) {
  connections_.erase(connection);
  inLane_ -= connection->inLane();
  refillLane();
  pressure_.noteDescriptors();
  accept();
  if (connections_.empty() && !acceptor_.is_open() && done_) done_();
}

// One on which bytes have come meanwhile leaves the order: its handler, which is due, puts it back where they
// are no request. So the kernel is asked of each connection once for each time that it turns idle.
bool ClientServer::closeLeastRecentlyUsed() {
  if (const auto ending = static_cast<Connection*>(ending_.oldest())) {
    ending->close();
    return true;
  }
  while (const auto oldest = static_cast<Connection*>(idle_.oldest())) {
    oldest->leaveOrder();
    if (oldest->unread()) continue;
    oldest->close();
    return true;
  }
  return false;
}

void ClientServer::stopAccepting() {
  open_ = false;
  if (waiting_) addAtStop(*std::exchange(waiting_, std::nullopt));
  for (int left = config_.acceptFd < 0 ? tcp::acceptor::max_listen_connections : 0; left > 0; --left) {
    Error error;
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (error) break;
    addAtStop(std::move(socket));
  }
  Error ignored;
  acceptor_.close(ignored);
  pause_.cancel();
  lane_.cancel();
  noRoom_.leave();
}

// There is no other place for it any more, so that it is taken over the limit where none is idle.
void ClientServer::addAtStop(tcp::socket socket) {
  if (connections_.size() - inLane_ >= mostUsual()) closeLeastRecentlyUsed();
  add(std::move(socket));
}

void ClientServer::finishUp() {
  for (const auto& connection : std::vector(connections_.begin(), connections_.end())) connection->finishUp();
}

void ClientServer::whenEmpty(std::function<void()> done) {
  done_ = std::move(done);
  if (connections_.empty() && !acceptor_.is_open()) done_();
}

}  // namespace burlwind
