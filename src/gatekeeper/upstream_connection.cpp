/// A connection to a worker: connects, sends the request of an attempt and reads its response.
#include "gatekeeper/upstream_connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "net/socket_io.hpp"
#include "net/tcp_state.hpp"

namespace wingslip {
namespace {

using asio::ip::tcp;
using decision::AttemptOutcome;
using decision::AttemptResult;
using decision::RequestId;
using decision::WorkerId;
using Clock = UpstreamConnection::Clock;

// Bytes charged to the memory budget for one connection.
constexpr std::size_t kConnectionBytes = 10752;     // including the parser and the first read buffer
constexpr std::size_t kBareConnectionBytes = 2048;  // without the read buffer
// Requests above this size are admitted only below the high mark of the memory budget, which reserves the
// remaining memory for smaller requests.
constexpr std::size_t kSmallRequestBytes = 16 * 1024;
// A body piece with its chunk framing. A piece is shorter than two reads: the client connection reads the
// body only while it buffers less than kStreamReadBytes.
constexpr std::size_t kBodyWindowBytes = 2 * kStreamReadBytes + 64;

// Workers may send a second response 1 to 4 ms after the first. The next request is written only after the
// quarantine, so that the second response is not taken for the response to that request.
constexpr auto kLateResponseQuarantine = std::chrono::milliseconds(6);

// What tells a response without a stated length that is long from a short one that its worker does not end,
// once a short one would be due: it goes on steadily, or comes in large pieces with pauses.
constexpr std::chrono::milliseconds kSteadySpan{400};
constexpr std::size_t kMinSteadyBytes = 1600;          // in kSteadySpan: 4 bytes/ms
constexpr double kMinBytesPerMs = 32;                  // over RecentBytes::kMaxSpan
constexpr std::size_t kMinUndecidedBytes = 16 * 1024;  // of the body; with less, it counts as short

using QuickAcknowledgement = asio::detail::socket_option::boolean<IPPROTO_TCP, TCP_QUICKACK>;

}  // namespace

UpstreamConnection::UpstreamConnection(UpstreamContext& context, UpstreamConnectionOwner& owner,
                                       WorkerId worker, const tcp::endpoint& endpoint)
    : context_(context),
      owner_(owner),
      worker_(worker),
      endpoint_(endpoint),
      memory_(context.overload.memory().open(Account::workers)),
      socket_(context.io),
      timer_(context.io) {}

// --- Lifecycle and memory ----------------------------------------------------------------------------------

bool UpstreamConnection::reserveMemory(const AttemptRequest& request) {
  if (memory_.bytes() < kConnectionBytes) {
    if (!memory_.resize(kConnectionBytes)) return false;
    memory_.markPermanent();
  }
  requestBytes_ = request.maxSerializedBytes + (request.readBody ? kBodyWindowBytes : 0);
  const MemoryBudget& budget = context_.overload.memory();
  const double highMark = context_.overload.state().limits().memory.high;
  if (requestBytes_ > kSmallRequestBytes &&
      !budget.wouldStayWithin(highMark, Account::workers, requestBytes_))
    return false;
  return memory_.resize(memoryBytes(0));
}

std::size_t UpstreamConnection::memoryBytes(std::size_t nextReadBytes) const {
  return std::max(kConnectionBytes, kBareConnectionBytes + response_.memoryBytes(nextReadBytes)) +
         requestBytes_;
}

bool UpstreamConnection::quarantineOver() const {
  return Clock::now() >= idleSince_ + kLateResponseQuarantine;
}

bool UpstreamConnection::isStale() { return peerState(socket_) != PeerState::idle; }

void UpstreamConnection::becomeIdle() {
  idleSince_ = Clock::now();
  // Acknowledges the response immediately. With Nagle's algorithm the worker's kernel may delay a second
  // response until the first is acknowledged. Without the immediate acknowledgement, the next request would
  // carry the acknowledgement, and the second response would be taken for the response to that request.
  Error ignored;
  socket_.set_option(QuickAcknowledgement(true), ignored);
  waitRecord_.leave();
  response_.releaseSpareMemory();
  memory_.shrinkTo(memoryBytes(0));
  expiresAt_ = Clock::now() + context_.limits.idleTimeout;
  armTimer(expiresAt_);
}

void UpstreamConnection::close() {
  markEnded();
  readBody_ = nullptr;
  mayComplete_ = nullptr;
  remainingTime_ = nullptr;
  serialize_ = nullptr;
  waitRecord_.leave();
  pausedRead_.clear();
  memory_.release();
  timer_.cancel();
  Error ignored;
  socket_.close(ignored);
}

void UpstreamConnection::recordWait(WaitQueue queue) {
  waitRecord_.enter(context_.overload.waitQueues(), queue, OverloadManager::now());
}

void UpstreamConnection::armTimer(Clock::time_point at) {
  if (at == Clock::time_point::max()) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(at);
  timer_.async_wait(guard([this](const Error& error, std::size_t) {
    if (!error && timer_.expiry() <= Clock::now()) onTimer();
  }));
}

void UpstreamConnection::onTimer() {
  const bool expired = Clock::now() >= expiresAt_;
  if (busy_ && quarantined_ && !expired) {
    quarantined_ = false;
    return serializeAndWrite();
  }
  if (!busy_) return owner_.closeConnection(*this);
  if (expired && awaitsRestOfResponse()) {
    if (isKnownToBeLong()) streamUnfinishedResponse();
    return;
  }
  if (!streaming_ && expectsBodyPieces() && hasWorkerTakenBytes())
    return armTimer(Clock::now() + context_.limits.streamStallTimeout);
  WaitQueue queue = connected_ ? WaitQueue::awaitingResponse : WaitQueue::connecting;
  if (expectsBodyPieces()) queue = WaitQueue::requestBodyWindow;
  context_.overload.waitQueues().countRejection(queue);
  if (streaming_ || expectsBodyPieces()) return endAttempt(AttemptResult::reset);
  endAttempt(nothingSent() ? AttemptResult::connectFailed : AttemptResult::timeout);
}

// --- Writing an attempt ------------------------------------------------------------------------------------

void UpstreamConnection::startAttempt(RequestId id, unsigned attempt, AttemptRequest request,
                                      std::optional<Clock::duration> timeout) {
  outcome_ = AttemptOutcome{};
  outcome_.id = id;
  outcome_.attempt = attempt;
  outcome_.worker = worker_;
  startedAt_ = Clock::now();
  timeout_ = timeout;
  serialize_ = std::move(request.serialize);
  mayComplete_ = std::move(request.mayComplete);
  remainingTime_ = std::move(request.remainingTime);
  readBody_ = std::move(request.readBody);
  chunkedBody_ = request.chunkedBody;
  expiresAt_ = timeout && !expectsBodyPieces() ? startedAt_ + *timeout : Clock::time_point::max();
  requestWritten_ = false;
  headerReported_ = false;
  streaming_ = false;
  busy_ = true;
  response_.reset();
  recentBytes_.reset();
  stallTime_.reset();
  recordWait(connected_ ? WaitQueue::awaitingResponse : WaitQueue::connecting);
  if (!connected_) return connect();
  quarantined_ = !quarantineOver();
  if (!quarantined_) return serializeAndWrite();
  armTimer(std::min(expiresAt_, idleSince_ + kLateResponseQuarantine));
}

AttemptOutcome UpstreamConnection::stopAttempt(AttemptResult result) {
  busy_ = false;
  quarantined_ = false;
  const bool mayHaveRun = requestWritten_ || result == AttemptResult::cancelled;
  outcome_.result = mayHaveRun ? result : AttemptResult::connectFailed;
  recordLatency();
  context_.stats.count(outcome_.result);
  context_.stats.timeoutsDuringResponse +=
      outcome_.result == AttemptResult::timeout && response_.hasStarted();
  return outcome_;
}

void UpstreamConnection::recordLatency() {
  outcome_.latencyMs = std::chrono::duration<double, std::milli>(Clock::now() - startedAt_).count();
}

void UpstreamConnection::connect() {
  armTimer(std::min(expiresAt_, startedAt_ + context_.limits.connectTimeout));
  socket_.async_connect(endpoint_, guard([this](const Error& error, std::size_t) { onConnected(error); }));
}

void UpstreamConnection::onConnected(const Error& error) {
  if (error) return endAttempt(AttemptResult::connectFailed);
  Error ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  connected_ = true;
  lastActiveAt_ = Clock::now();
  recordWait(WaitQueue::awaitingResponse);
  read();
  serializeAndWrite();
}

// Serializes the request only now, because the client may have disconnected or the remaining time of its
// deadline may have decreased while the attempt was connecting or in quarantine. If the request must not be
// sent, the attempt ends from a posted handler, because the decision module may still be executing the action
// that started it.
void UpstreamConnection::serializeAndWrite() {
  std::optional<std::string> bytes = std::exchange(serialize_, nullptr)();
  if (bytes) {
    output_ = std::move(*bytes);
    return write();
  }
  asio::post(context_.io, [self = shared_from_this(), this, id = outcome_.id] {
    if (!ended() && busy_ && outcome_.id == id) endAttempt(AttemptResult::connectFailed);
  });
}

void UpstreamConnection::write() {
  armTimer(expectsBodyPieces() ? Clock::now() + context_.limits.streamStallTimeout : expiresAt_);
  outputSent_ = 0;
  writeRemaining();
  unacknowledgedBytes_ = unacknowledgedBytes(socket_);
}

bool UpstreamConnection::hasWorkerTakenBytes() {
  const std::size_t before = std::exchange(unacknowledgedBytes_, unacknowledgedBytes(socket_));
  return unacknowledgedBytes_ < before;
}

// Does not use Asio's composed write: the worker may execute the request as soon as the kernel has accepted
// its last byte. If only a completion handler recorded this, an attempt cancelled before that handler ran
// would count as not sent.
void UpstreamConnection::writeRemaining() {
  Error error;
  outputSent_ += writeSome(socket_, asio::buffer(output_) + outputSent_, error);
  if (error == asio::error::would_block)
    return socket_.async_wait(tcp::socket::wait_write,
                              guard([this, id = outcome_.id](const Error&, std::size_t) {
                                if (!busy_ || outcome_.id != id) return;
                                if (mayComplete_ && !mayComplete_())
                                  return endAttempt(AttemptResult::connectFailed);
                                writeRemaining();
                              }));
  if (!error && !expectsBodyPieces()) {
    requestWritten_ = true;
    ++context_.attemptsWritten;
    return;
  }
  asio::post(context_.io, [self = shared_from_this(), this, id = outcome_.id, error] {
    if (ended() || !busy_ || outcome_.id != id) return;
    error ? endAttempt(AttemptResult::connectFailed) : requestBodyPiece();
  });
}

// No timeout runs while waiting for the client's next piece. The timeout for the response starts when the
// last piece has arrived. Once the response is streamed, the client's connection discards the rest of the
// body, and the timer is that of the response.
void UpstreamConnection::requestBodyPiece() {
  if (streaming_) return;
  timer_.cancel();
  readBody_([weak = weak_from_this(), id = outcome_.id](std::string&& piece, bool last) {
    const auto self = weak.lock();
    if (self && !self->ended() && self->busy_ && self->outcome_.id == id)
      self->writeBodyPiece(std::move(piece), last);
  });
}

void UpstreamConnection::writeBodyPiece(std::string&& piece, bool last) {
  if (chunkedBody_) {
    output_.clear();
    appendChunk(output_, piece, last);
  } else {
    output_ = std::move(piece);
  }
  if (last) {
    readBody_ = nullptr;
    startedAt_ = Clock::now();
    if (timeout_) expiresAt_ = startedAt_ + *timeout_;
  }
  write();
}

// --- Reading the response ----------------------------------------------------------------------------------

void UpstreamConnection::read() {
  if (reading_) return;
  if (streaming_) awaitResponse();
  if (!memory_.resize(memoryBytes(readSize()))) return waitForMemory();
  pausedRead_.clear();
  reading_ = true;
  socket_.async_read_some(response_.prepare(readSize()), guard([this](const Error& error, std::size_t bytes) {
                            reading_ = false;
                            onRead(error, bytes);
                          }));
}

// Until memory is available the response stays in the kernel's receive buffer. The timeout of the attempt, or
// of the streamed response, continues running.
void UpstreamConnection::waitForMemory() {
  const auto retry = [this] {
    if (ended() || reading_) return true;
    if (!memory_.resize(memoryBytes(readSize()))) return false;
    read();
    return true;
  };
  context_.overload.pauseUntilMemory(pausedRead_, Account::workers, weak_from_this(), retry, nullptr);
}

// Arms the timer for the time when the worker will have made no progress for too long, and for the request's
// deadline if that is later.
void UpstreamConnection::awaitResponse() {
  const auto now = Clock::now();
  stallTime_.startWait(now);
  const auto stalledAt = stallTime_.expiresAt(context_.limits.streamStallTimeout);
  const auto remaining = remainingTime_ ? remainingTime_() : Clock::duration::zero();
  armTimer(std::max(stalledAt, now + remaining));
}

void UpstreamConnection::onRead(const Error& error, std::size_t bytes) {
  response_.commit(bytes);
  const auto now = Clock::now();
  if (bytes > 0) lastActiveAt_ = now;
  stallTime_.add(now, bytes);
  if (!busy_) return owner_.closeConnection(*this);
  if (isTransient(error)) return read();
  error ? onConnectionLost(error) : parseResponse();
}

void UpstreamConnection::watchIdle() {
  reading_ = true;
  socket_.async_wait(tcp::socket::wait_read, guard([this](const Error&, std::size_t) {
                       reading_ = false;
                       onReadableWhileIdle();
                     }));
}

// If an attempt has started since the wait began and is not in quarantine, the bytes are its response. They
// are read synchronously, so that the response takes precedence over a timeout that expires in the same
// iteration of the event loop.
void UpstreamConnection::onReadableWhileIdle() {
  if (!busy_) return owner_.closeConnection(*this);
  // The bytes are a late second response to the previous exchange; the new request has not been sent.
  if (quarantined_) return endAttempt(AttemptResult::connectFailed);
  if (!memory_.resize(memoryBytes(kReadBytes))) return read();
  Error error;
  const std::size_t bytes = readSome(socket_, response_.prepare(kReadBytes), error);
  onRead(error, bytes);
}

void UpstreamConnection::parseResponse() {
  const std::size_t bodyBytesBefore = response_.bodyBytes();
  const auto state = response_.parse({requestWritten_, expectsBodyPieces()});
  recentBytes_.add(Clock::now(), response_.bodyBytes() - bodyBytesBefore);
  UpstreamStats& stats = context_.stats;
  stats.maxBufferedBytes = std::max(stats.maxBufferedBytes, response_.bufferedBytes());
  if (state == UpstreamResponse::State::malformed) {
    ++stats.malformedResponses;
    return endAttempt(AttemptResult::error);
  }
  if (state == UpstreamResponse::State::incomplete) reportHeader();
  if (!streaming_ && response_.exceedsBuffer()) {
    if (!response_.isOk()) return onResponse(false);  // the body of an error response is not needed
    if (response_.bodyBytes() > 0) startStreaming();
  }
  if (state == UpstreamResponse::State::complete) return onResponse(true);
  if (!streaming_) return read();
  forwardBody();
}

void UpstreamConnection::reportHeader() {
  if (!response_.hasHeader() || std::exchange(headerReported_, true)) return;
  if (context_.streams.onResponseHeader) context_.streams.onResponseHeader(outcome_.id);
}

void UpstreamConnection::forwardBody() {
  std::string piece = response_.takeBody();
  if (piece.empty()) return resumeResponse();
  timer_.cancel();  // no timeout runs while the consumer handles the piece
  stallTime_.stopWait(Clock::now());
  context_.streams.onBodyPiece(outcome_.id, std::move(piece));
}

bool UpstreamConnection::streamUnfinishedResponse() {
  if (!awaitsRestOfResponse()) return false;
  startStreaming();
  forwardBody();
  return true;
}

bool UpstreamConnection::endShortResponse() {
  if (!busy_ || !streaming_ || !response_.isUnfinishedWithoutLength()) return false;
  if (response_.bodyBytes() > kMaxBufferedBodyBytes) return false;
  const bool consumerHasPiece = !reading_ && !pausedRead_.isRegistered();
  if (consumerHasPiece || progressesLikeLongResponse()) return true;
  endAttempt(AttemptResult::timeout);
  return false;
}

bool UpstreamConnection::progressesLikeLongResponse() const {
  if (response_.bodyBytes() < kMinUndecidedBytes) return false;
  const auto now = Clock::now();
  if (recentBytes_.within(now, kSteadySpan) >= kMinSteadyBytes) return true;
  const std::chrono::duration<double, std::milli> span =
      std::min<Clock::duration>(recentBytes_.age(now), RecentBytes::kMaxSpan);
  return static_cast<double>(recentBytes_.within(now, RecentBytes::kMaxSpan)) >=
         kMinBytesPerMs * span.count();
}

void UpstreamConnection::startStreaming() {
  streaming_ = true;
  expiresAt_ = Clock::time_point::max();
  recordLatency();
  context_.streams.onResponseStart(outcome_.id, response_.contentType(), response_.contentLength());
}

void UpstreamConnection::resumeResponse() {
  if (ended() || !busy_ || !streaming_) return;
  if (reading_) return awaitResponse();
  read();
}

void UpstreamConnection::onConnectionLost(const Error& error) {
  if (error == asio::error::eof && response_.finishAtClose()) return onResponse(true);
  context_.stats.resetsOnReusedConnections += reused_;
  context_.stats.resetsDuringResponse += response_.hasStarted();
  endAttempt(AttemptResult::reset);
}

void UpstreamConnection::onResponse(bool complete) {
  AttemptEnd end;
  response_.describe(outcome_, context_.reportFields);
  end.streamed = streaming_;
  if (!streaming_) recordLatency();
  context_.stats.count(outcome_.result);
  end.outcome = outcome_;
  end.contentType = response_.contentType();
  // The charge for the body moves with the body; the connection retains its own base charge.
  const std::size_t variableBytes = memory_.bytes() - std::min(memory_.bytes(), kConnectionBytes);
  end.bodyMemory = memory_.split(std::min(response_.bodyCapacity(), variableBytes));
  const bool reusable = complete && requestWritten_ && response_.allowsReuse();
  end.body = response_.takeBody();
  busy_ = false;
  streaming_ = false;
  reused_ = true;
  std::string().swap(output_);
  requestBytes_ = 0;
  const auto self = shared_from_this();
  if (reusable) {
    owner_.onReusable(self);
    if (!ended()) watchIdle();
  } else {
    owner_.closeConnection(*this);
  }
  owner_.onAttemptDone(*this, std::move(end));
}

void UpstreamConnection::endAttempt(AttemptResult result) {
  AttemptEnd end;
  end.streamed = streaming_;
  end.outcome = stopAttempt(result);
  const auto self = shared_from_this();
  owner_.closeConnection(*this);
  owner_.onAttemptDone(*this, std::move(end));
}

}  // namespace wingslip
