#include "gatekeeper/upstream_pool.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <cmath>

#include "net/guarded_connection.hpp"
#include "net/socket_io.hpp"

namespace wingslip {
namespace {

using asio::ip::tcp;
using decision::AttemptOutcome;
using decision::AttemptResult;
using decision::RequestId;
using decision::WorkerId;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kConnection = 10752;  // a connection with its parser, a first buffer and what it brings
constexpr std::size_t kBare = 2 * 1024;     // the same without buffer
constexpr std::size_t kOrdinary =
    16 * 1024;  // an attempt of more bytes leaves the last of the memory to others
// An answer may be followed by a second one some milliseconds later (1 to 4 ms on the bench), which would be
// taken for that of the next request: until then nothing is written to the connection.
constexpr auto kSettle = std::chrono::milliseconds(6);
using QuickAcknowledgement = asio::detail::socket_option::boolean<IPPROTO_TCP, TCP_QUICKACK>;

constexpr std::size_t kWindow = 2 * kStreamStep + 64;  // a piece of a body with its frame

template <class T>
bool parse(std::string_view text, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

// The figures of `inflight=7,queue=2,util=0.61` in the settings' order; none unless all are there.
std::vector<double> readReport(std::string_view text, const std::vector<std::string>& fields) {
  std::vector<double> out(fields.size());
  std::size_t found = 0;
  while (!text.empty()) {
    const auto comma = text.find(',');
    std::string_view pair = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
    const auto sign = pair.find('=');
    const auto field = std::find(fields.begin(), fields.end(), pair.substr(0, sign));
    if (sign == std::string_view::npos || field == fields.end()) continue;
    found += parse(pair.substr(sign + 1), out[static_cast<std::size_t>(field - fields.begin())]);
  }
  return found == fields.size() && found > 0 ? out : std::vector<double>{};
}

AttemptResult resultOf(const http::response<WindowBody>& answer) {
  if (answer.result() == http::status::ok) return AttemptResult::ok;
  const bool busy = answer.result() == http::status::service_unavailable ||
                    answer.result() == http::status::gateway_timeout;
  return busy && view(answer["Srv-Declined"]) == "1" ? AttemptResult::overloaded : AttemptResult::error;
}

}  // namespace

// One connection. While an attempt is out a read is pending, which brings the answer. While none is, only the
// readiness to read is waited for, and it ends the connection: what came stays in the kernel, where `spoiled`
// sees it, so that bytes of an earlier exchange are never taken for an answer.
class UpstreamPool::Connection : public GuardedConnection<Connection> {
 public:
  Connection(UpstreamPool& pool, WorkerId to, const tcp::endpoint& at)
      : worker(to),
        address(at),
        pool_(pool),
        room_(pool.pressure_.memory().open(Account::workers)),
        socket_(pool.io_),
        timer_(pool.io_) {}

  const WorkerId worker;
  const tcp::endpoint address;
  const Clock::time_point openedAt = Clock::now();
  std::optional<std::list<Shared>::iterator> placeInIdle;  // in the pool's list of idle connections

  // Whether there is room for an attempt of these bytes here.
  bool hasRoomFor(const AttemptRequest& request) {
    if (room_.bytes() < kConnection) {
      if (!room_.resize(kConnection)) return false;
      room_.markPermanent();
    }
    outBytes_ = request.size + (request.pull ? kWindow : 0);
    const MemoryBudget& ledger = pool_.pressure_.memory();
    const double mark = pool_.pressure_.state().limits().memory.high;
    if (outBytes_ > kOrdinary && !ledger.staysUnder(mark, Account::workers, outBytes_)) return false;
    return room_.resize(cost(0));
  }

  void begin(RequestId id, unsigned attempt, AttemptRequest request, std::optional<Clock::duration> timeout) {
    outcome_ = AttemptOutcome{};
    outcome_.id = id;
    outcome_.attempt = attempt;
    outcome_.worker = worker;
    startedAt_ = Clock::now();
    timeout_ = timeout;
    compose_ = std::move(request.compose);
    pull_ = std::move(request.pull);
    chunked_ = request.chunked;
    giveUpAt_ = timeout && !pull_ ? startedAt_ + *timeout : Clock::time_point::max();
    written_ = streaming_ = false;
    busy_ = true;
    freshParser();
    wait(up_ ? WaitQueue::awaitingResponse : WaitQueue::connecting);
    if (!up_) return connect();
    settling_ = !settled();
    if (!settling_) return composeAndWrite();
    arm(std::min(giveUpAt_, restedAt_ + kSettle));
  }

  // Whether a late second answer to what went before would have come by now.
  bool settled() const { return Clock::now() >= restedAt_ + kSettle; }

  // The end of the attempt that is out, as seen from here, if it is given up now.
  AttemptOutcome stop(AttemptResult result) {
    busy_ = settling_ = false;
    outcome_.result = written_ || result == AttemptResult::cancelled ? result : AttemptResult::connectFailed;
    stamp();
    pool_.count(outcome_.result);
    return outcome_;
  }

  // There is room for the next piece of the answer.
  void resume() {
    if (ended() || !busy_ || !streaming_ || reading_) return;
    read();
  }

  bool busy() const { return busy_; }
  // Nothing of the attempt has been sent yet.
  bool waiting() const { return !up_ || settling_; }
  RequestId request() const { return outcome_.id; }

  // Whether the worker has ended or spoiled this idle connection and the read has not told yet.
  bool spoiled() { return peerState(socket_) != PeerState::quiet; }

  void rest() {
    restedAt_ = Clock::now();
    // Acknowledges the answer now: a second one that the worker's machine holds back until then (Nagle) would
    // else be let go by the next request, and be taken for its answer.
    Error ignored;
    socket_.set_option(QuickAcknowledgement(true), ignored);
    waiting_.leave();
    in_.shrink_to_fit();
    room_.shrinkTo(cost(0));
    giveUpAt_ = Clock::now() + pool_.limits_.idleFor;
    arm(giveUpAt_);
  }

  void close() {
    markEnded();
    pull_ = nullptr;
    compose_ = nullptr;
    waiting_.leave();
    paused_.clear();
    room_.release();
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
  }

 private:
  void wait(WaitQueue place) { waiting_.enter(pool_.pressure_.waitQueues(), place, OverloadManager::now()); }

  // What this connection takes, and what it takes with `more` bytes read.
  std::size_t cost(std::size_t more) const {
    const std::size_t body = parser_ ? parser_->get().body().capacity() : 0;
    return std::max(kConnection, kBare + std::max(in_.capacity(), in_.size() + more) + body + more) +
           outBytes_;
  }

  void freshParser() {
    parser_.emplace();
    parser_->body_limit(kMostBody);
    parser_->header_limit(kMostHeader);
  }

  void stamp() {
    outcome_.latencyMs = std::chrono::duration<double, std::milli>(Clock::now() - startedAt_).count();
  }

  void arm(Clock::time_point at) {
    if (at == Clock::time_point::max()) {
      timer_.cancel();
      return;
    }
    timer_.expires_at(at);
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error && timer_.expiry() <= Clock::now()) expire();
    }));
  }

  void expire() {
    const bool over = Clock::now() >= giveUpAt_;
    if (busy_ && settling_ && !over) {
      settling_ = false;
      return composeAndWrite();
    }
    if (busy_) {
      const WaitQueue place = pull_ ? WaitQueue::requestBodyWindow
                              : up_ ? WaitQueue::awaitingResponse
                                    : WaitQueue::connecting;
      pool_.pressure_.waitQueues().countRejection(place);
    }
    if (busy_ && (streaming_ || pull_))
      end(AttemptResult::reset);
    else if (busy_)
      end(waiting() ? AttemptResult::connectFailed : AttemptResult::timeout);
    else
      pool_.drop(*this);
  }

  void connect() {
    arm(std::min(giveUpAt_, startedAt_ + pool_.limits_.connectTimeout));
    socket_.async_connect(address, guard([this](const Error& error, std::size_t) {
                            if (error) return end(AttemptResult::connectFailed);
                            Error ignored;
                            socket_.set_option(tcp::no_delay(true), ignored);
                            socket_.non_blocking(true, ignored);
                            up_ = true;
                            wait(WaitQueue::awaitingResponse);
                            read();
                            composeAndWrite();
                          }));
  }

  // What is sent is made now: the client may have gone, or less of its time may be left, since the connection
  // was asked for. Nothing may be sent: the attempt ends by a handler of its own, since the module may be in
  // the middle of asking for it.
  void composeAndWrite() {
    std::optional<std::string> bytes = std::exchange(compose_, nullptr)();
    if (bytes) {
      out_ = std::move(*bytes);
      return write();
    }
    asio::post(pool_.io_, [self = shared_from_this(), this, id = outcome_.id] {
      if (!ended() && busy_ && outcome_.id == id) end(AttemptResult::connectFailed);
    });
  }

  void write() {
    arm(pull_ ? Clock::now() + pool_.limits_.silentFor : giveUpAt_);
    sent_ = 0;
    writeOn();
  }

  // Written by hand: from the moment at which the kernel has the last byte the worker may run the request,
  // whichever handler comes next. Told by a completion that is still in the loop's queue, an attempt that is
  // given up in between would count as never sent.
  void writeOn() {
    Error error;
    sent_ += writeSome(socket_, asio::buffer(out_) + sent_, error);
    if (error == asio::error::would_block)
      return socket_.async_wait(tcp::socket::wait_write,
                                guard([this, id = outcome_.id](const Error&, std::size_t) {
                                  if (busy_ && outcome_.id == id) writeOn();
                                }));
    if (!error && !pull_) {
      written_ = true;
      ++pool_.written_;
      return;
    }
    asio::post(pool_.io_, [self = shared_from_this(), this, id = outcome_.id, error] {
      if (ended() || !busy_ || outcome_.id != id) return;
      error ? end(AttemptResult::connectFailed) : pull();
    });
  }

  // The next piece of a body that is passed on as it comes. Its client's pace is its client's matter, so no
  // time runs here; the answer's time runs from the last byte.
  void pull() {
    timer_.cancel();
    pull_([weak = weak_from_this(), id = outcome_.id](std::string&& piece, bool last) {
      const auto self = weak.lock();
      if (self && !self->ended() && self->busy_ && self->outcome_.id == id)
        self->pass(std::move(piece), last);
    });
  }

  void pass(std::string&& piece, bool last) {
    if (chunked_) {
      out_.clear();
      appendChunk(out_, piece, last);
    } else {
      out_ = std::move(piece);
    }
    if (last) {
      pull_ = nullptr;
      startedAt_ = Clock::now();
      if (timeout_) giveUpAt_ = startedAt_ + *timeout_;
    }
    write();
  }

  // An answer that finds no room is left in the network; its attempt's time goes on.
  void read() {
    if (reading_) return;
    const std::size_t step = streaming_ ? kStreamStep : kReadStep;
    if (!room_.resize(cost(step))) {
      const auto again = [this] {
        if (ended() || reading_) return true;
        if (!room_.resize(cost(streaming_ ? kStreamStep : kReadStep))) return false;
        read();
        return true;
      };
      return pool_.pressure_.pauseUntilMemory(paused_, Account::workers, weak_from_this(), again, nullptr);
    }
    paused_.clear();
    reading_ = true;
    if (streaming_) arm(Clock::now() + pool_.limits_.silentFor);
    socket_.async_read_some(in_.prepare(streaming_ ? kStreamStep : kReadStep),
                            guard([this](const Error& error, std::size_t n) {
                              reading_ = false;
                              received(error, n);
                            }));
  }

  void received(const Error& error, std::size_t n) {
    in_.commit(n);
    if (!busy_) return pool_.drop(*this);
    if (isTransient(error)) return read();
    error ? broken(error) : take();
  }

  // Where an attempt has begun meanwhile, what has come is its answer, and read at once: a time-out that is
  // due in the same turn comes behind it.
  void watchIdle() {
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, guard([this](const Error&, std::size_t) {
                         reading_ = false;
                         if (!busy_) return pool_.drop(*this);
                         if (settling_) return end(AttemptResult::connectFailed);  // a late second answer
                         if (!room_.resize(cost(kReadStep))) return read();
                         Error error;
                         const std::size_t n = readSome(socket_, in_.prepare(kReadStep), error);
                         received(error, n);
                       }));
  }

  void take() {
    Error error;
    bool done = feed(*parser_, in_, error);
    while (done && !error && interim()) {  // not the answer yet
      freshParser();
      done = feed(*parser_, in_, error);
    }
    // A chunk's extension and the trailer count in neither of the parser's limits.
    if (!error && !done && in_.size() > kMostHeader) error = http::error::header_limit;
    pool_.stats_.mostBuffered = std::max(pool_.stats_.mostBuffered, in_.size());
    // A worker begins a request with its last byte: what comes before that answers something else. Only a
    // body that is passed on may be cut short by its answer.
    const bool early =
        !written_ && !pull_ && parser_->is_header_done() && parser_->get().result() == http::status::ok;
    if (error || early) {
      ++pool_.stats_.unreadable;
      return end(AttemptResult::error);
    }
    if (!streaming_ && parser_->is_header_done() && tooLongToHold()) {
      if (parser_->get().result() != http::status::ok) return answered(false);  // the rest is of no use
      beginStream();
    }
    if (done) return answered(true);
    if (!streaming_) return read();
    std::string piece = std::exchange(parser_->get().body(), {});
    if (piece.empty()) return read();
    timer_.cancel();  // the client's pace is its own
    pool_.streams_.piece(outcome_.id, std::move(piece));
  }

  bool interim() const {
    const auto& answer = parser_->get();
    return answer.result_int() < 200 && answer.result() != http::status::switching_protocols;
  }

  bool tooLongToHold() const {
    return parser_->content_length().value_or(0) > kHeldWhole || parser_->get().body().size() > kHeldWhole;
  }

  void beginStream() {
    streaming_ = true;
    giveUpAt_ = Clock::time_point::max();
    stamp();
    std::optional<std::uint64_t> length;
    if (const auto stated = parser_->content_length()) length = *stated;
    pool_.streams_.began(outcome_.id, std::string(view(parser_->get()[http::field::content_type])), length);
  }

  // The worker has ended the connection; an answer that only this delimits is whole now.
  void broken(const Error& why) {
    Error error;
    if (why == asio::error::eof && parser_->is_header_done() && parser_->need_eof()) {
      parser_->put_eof(error);
      if (!error && parser_->is_done()) return answered(true);
    }
    pool_.stats_.resetReused += used_;
    pool_.stats_.resetInAnswer += parser_->got_some();
    end(AttemptResult::reset);
  }

  void answered(bool complete) {
    auto& answer = parser_->get();
    AttemptEnd whole;
    outcome_.result = resultOf(answer);
    whole.streamed = streaming_;
    if (!streaming_) stamp();
    pool_.count(outcome_.result);
    int percent = 0;
    if (parse(view(answer["X-RateLimit-Used"]), percent) && percent >= 0) outcome_.quotaUsePercent = percent;
    double units = 0;
    if (parse(view(answer["X-Cost-Units"]), units) && std::isfinite(units) && units > 0)
      outcome_.actualUnits = units;
    outcome_.loadReport = readReport(view(answer["Srv-Load"]), pool_.reportFields_);
    whole.outcome = outcome_;
    whole.contentType = std::string(view(answer[http::field::content_type]));
    // Kept only if the exchange was a whole and ordinary one: nothing of it is left on either side.
    // The rest stays for what goes on standing here.
    whole.room =
        room_.split(std::min(answer.body().capacity(), room_.bytes() - std::min(room_.bytes(), kConnection)));
    const bool good = complete && written_ && in_.size() == 0 && answer.keep_alive() &&
                      answer.result() != http::status::switching_protocols && answer.result_int() >= 200;
    whole.body = std::move(answer.body());
    busy_ = streaming_ = false;
    used_ = true;
    std::string().swap(out_);
    outBytes_ = 0;
    const auto self = shared_from_this();
    if (good) {
      pool_.keep(self);
      if (!ended()) watchIdle();
    } else {
      pool_.drop(*this);
    }
    pool_.finish(*this, std::move(whole));
  }

  void end(AttemptResult result) {
    AttemptEnd whole;
    whole.streamed = streaming_;
    whole.outcome = stop(result);
    const auto self = shared_from_this();
    pool_.drop(*this);
    pool_.finish(*this, std::move(whole));
  }

  UpstreamPool& pool_;
  MemoryBudget::Charge room_;
  WaitQueues::QueueEntry waiting_;
  OverloadManager::PausedReader paused_;
  std::size_t outBytes_ = 0;  // of the attempt: what it sends, or one window of it
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer in_;
  std::optional<http::response_parser<WindowBody>> parser_;
  std::string out_;
  std::function<void(AttemptRequest::Take)> pull_;       // the rest of the body
  std::function<std::optional<std::string>()> compose_;  // until the first byte is written
  std::optional<Clock::duration> timeout_;
  AttemptOutcome outcome_;
  Clock::time_point startedAt_, giveUpAt_, restedAt_;
  std::size_t sent_ = 0;  // of `out_`
  bool up_ = false;
  bool settling_ = false;  // an attempt waits for `settled`
  bool busy_ = false;
  bool used_ = false;       // has carried an attempt before
  bool written_ = false;    // the request's last byte: from here on it may have run
  bool chunked_ = false;    // how a body that is passed on is framed
  bool streaming_ = false;  // the answer is passed on as it comes
  bool reading_ = false;
};

UpstreamPool::UpstreamPool(asio::io_context& io, const Limits& limits, std::vector<std::string> reportFields,
                           OverloadManager& pressure, Ended ended)
    : io_(io),
      limits_(limits),
      reportFields_(std::move(reportFields)),
      pressure_(pressure),
      ended_(std::move(ended)) {}

UpstreamPool::~UpstreamPool() {
  *alive_ = false;
  for (auto& [id, connection] : busy_) connection->close();
  for (auto& [id, worker] : workers_)
    for (auto& connection : worker.idle) connection->close();
}

void UpstreamPool::place(WorkerId id, const Place& place) {
  Worker& worker = workers_[id];
  const bool restarted = place.processFrom > worker.place.processFrom;
  if (restarted || place.address != worker.place.address) closeIdle(worker);
  // Who listens at the address that the worker has left is anybody's guess.
  if (place.address != worker.place.address)
    endThose(worker, [&](const Connection& connection) {
      return connection.waiting() && connection.address != place.address;
    });
  worker.place = place;
  worker.retired = false;
  if (!restarted) return;
  // The process that these attempts went to is no more, whether or not its machine has said so.
  endThose(worker, [&](const Connection& connection) { return connection.openedAt < place.processFrom; });
}

// Attempts that have written nothing end as connections that never came up; others as resets.
void UpstreamPool::endThose(const Worker& worker, const std::function<bool(const Connection&)>& meant) {
  std::vector<Shared> ending;
  for (const Shared& connection : worker.busy)
    if (meant(*connection)) ending.push_back(connection);
  for (const Shared& connection : ending) {
    report(connection->stop(AttemptResult::reset));
    removeBusy(connection->request());
    drop(*connection);
  }
}

void UpstreamPool::retire(WorkerId id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) return;
  found->second.retired = true;
  quiet(id);
}

void UpstreamPool::retune(const Limits& limits, std::vector<std::string> reportFields) {
  limits_ = limits;
  reportFields_ = std::move(reportFields);
}

void UpstreamPool::quiet(WorkerId id) {
  const auto found = workers_.find(id);
  if (found == workers_.end()) return;
  closeIdle(found->second);
  // A connection that comes up late would be written to when nothing may go there any more.
  endThose(found->second, [](const Connection& connection) { return connection.waiting(); });
}

void UpstreamPool::resume(RequestId id) {
  const auto found = busy_.find(id);
  if (found == busy_.end()) return;
  const Shared connection = found->second;
  connection->resume();
}

void UpstreamPool::start(RequestId id, unsigned attempt, WorkerId target, AttemptRequest request,
                         std::optional<Clock::duration> timeout) {
  const auto worker = workers_.find(target);
  Shared connection;
  // What is short here, descriptors or memory, is no fault of the worker's: nothing is sent, and the module
  // learns just that. No other worker would do, since every idle connection has made room before.
  bool shortHere = false;
  if (worker != workers_.end() && !worker->second.retired) {
    connection = takeIdle(worker->second);
    shortHere = !connection && !makeRoom();
    if (!connection && !shortHere) {
      connection = std::make_shared<Connection>(*this, target, worker->second.place.address);
      ++total_;
    }
  }
  if (connection) {
    shortHere = !connection->hasRoomFor(request);
    while (shortHere && dropOldestIdle()) shortHere = !connection->hasRoomFor(request);
    if (shortHere) {
      drop(*connection);
      connection.reset();
    }
  }
  if (shortHere) {
    ++short_;
    pressure_.waitQueues().countRejection(WaitQueue::awaitingResponse);
  }
  if (!connection) {
    AttemptOutcome outcome;
    outcome.id = id;
    outcome.attempt = attempt;
    outcome.worker = target;
    outcome.result = shortHere ? AttemptResult::notSent : AttemptResult::connectFailed;
    count(outcome.result);
    return report(outcome);
  }
  addBusy(id, connection);
  connection->begin(id, attempt, std::move(request), timeout);
}

std::optional<AttemptEnd> UpstreamPool::giveUp(RequestId id, AttemptResult result) {
  const auto found = busy_.find(id);
  if (found == busy_.end()) return std::nullopt;
  const Shared connection = found->second;
  removeBusy(id);
  AttemptEnd end;
  end.outcome = connection->stop(result);
  drop(*connection);
  return end;
}

void UpstreamPool::addBusy(RequestId id, const Shared& connection) {
  removeBusy(id);
  busy_[id] = connection;
  workers_.at(connection->worker).busy.push_back(connection);
}

void UpstreamPool::removeBusy(RequestId id) {
  const auto found = busy_.find(id);
  if (found == busy_.end()) return;
  std::erase(workers_.at(found->second->worker).busy, found->second);
  busy_.erase(found);
}

// The most recent that has settled, so that the surplus ages out; where none has, the one that will first.
UpstreamPool::Shared UpstreamPool::takeIdle(Worker& worker) {
  auto& idle = worker.idle;
  while (!idle.empty()) {
    const auto found =
        std::find_if(idle.rbegin(), idle.rend(), [](const Shared& one) { return one->settled(); });
    const Shared connection = found == idle.rend() ? idle.front() : *found;
    if (!connection->spoiled()) {
      std::erase(idle, connection);
      idle_.erase(*std::exchange(connection->placeInIdle, std::nullopt));
      return connection;
    }
    drop(*connection);
  }
  return nullptr;
}

// At the limit the connection that has stood idle longest makes room, whichever worker's it is: the least
// likely to be wanted again.
bool UpstreamPool::makeRoom() { return total_ < limits_.total || dropOldestIdle(); }

bool UpstreamPool::dropOldestIdle() {
  if (idle_.empty()) return false;
  const Shared oldest = idle_.front();
  drop(*oldest);
  return true;
}

// Reports an end from a handler of its own: the module is never told anything from within one of its actions.
void UpstreamPool::report(AttemptOutcome outcome) {
  asio::post(io_, [this, alive = alive_, outcome = std::move(outcome)]() mutable {
    if (!*alive) return;
    AttemptEnd end;
    end.outcome = std::move(outcome);
    ended_(std::move(end));
  });
}

void UpstreamPool::finish(Connection& connection, AttemptEnd&& end) {
  const auto found = busy_.find(end.outcome.id);
  if (found != busy_.end() && found->second.get() == &connection) removeBusy(end.outcome.id);
  ended_(std::move(end));
}

void UpstreamPool::keep(const Shared& connection) {
  const auto found = workers_.find(connection->worker);
  const bool wanted = found != workers_.end() && !found->second.retired &&
                      found->second.place.address == connection->address &&
                      found->second.place.processFrom <= connection->openedAt &&
                      found->second.idle.size() < limits_.idlePerWorker;
  if (!wanted) return drop(*connection);
  found->second.idle.push_back(connection);
  connection->placeInIdle = idle_.insert(idle_.end(), connection);
  connection->rest();
}

void UpstreamPool::drop(Connection& connection) {
  const Shared self = connection.shared_from_this();  // the lists may be all that holds it
  connection.close();
  --total_;
  if (connection.placeInIdle) idle_.erase(*std::exchange(connection.placeInIdle, std::nullopt));
  const auto found = workers_.find(connection.worker);
  if (found != workers_.end())
    std::erase_if(found->second.idle, [&](const Shared& other) { return other.get() == &connection; });
}

void UpstreamPool::closeIdle(Worker& worker) {
  const auto idle = std::move(worker.idle);
  worker.idle.clear();
  for (const Shared& connection : idle) drop(*connection);
}

}  // namespace wingslip
