#include "gatekeeper/client_server.hpp"

#include <algorithm>
#include <random>
#include <stdexcept>
#include <utility>
#include <vector>

#include "gatekeeper/client_connection.hpp"
#include "net/listener.hpp"
#include "net/tcp_state.hpp"

namespace wingslip {
namespace {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr double kMinRetryAfterMs = 250;  // where the overload is expected to end sooner
constexpr auto kAcceptRetryDelay = 50ms;  // after an accept that failed for want of descriptors
constexpr auto kUnreadDelay = 1ms;        // for the handler of unread data on a connection to be evicted
constexpr auto kStopRetryDelay = 10ms;    // between looks at the accept queue before the listener closes

// Whether the accept queue is empty. Any other error but a shortage is that of one connection, or of an
// interrupted call: the next accept may succeed (accept(2), "Error handling").
bool isQueueEmpty(const Error& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

}  // namespace

ClientServer::ClientServer(asio::io_context& io, const Config& config, const Limits& limits,
                           RequestHandler& handler, OverloadManager& pressure)
    : config_(config),
      limits_(limits),
      handler_(handler),
      acceptor_(io),
      acceptRetryTimer_(io),
      overflowTimer_(io),
      pressure_(pressure),
      jitter_(config.seed ^ 0x5bd1e995) {
  pressure_.waitQueues().setReader(WaitQueue::acceptBacklog, [this](double now) {
    WaitQueues::Figures out;
    out.waiting = acceptBacklogLength(acceptor_);
    if (out.waiting > 0 && fullRecord_.isIn(WaitQueue::freeConnection))
      out.oldestMs = now - fullRecord_.since();
    return out;
  });
  reserveOverflowMemory();
  pressure_.setConnectionRetry([this] {
    if (fullRecord_.isIn(WaitQueue::freeConnection)) accept();
  });
}

ClientServer::~ClientServer() {
  pressure_.setConnectionRetry(nullptr);
  pressure_.waitQueues().setReader(WaitQueue::acceptBacklog, nullptr);
  for (const auto& connection : connections_) connection->abandon();
}

void ClientServer::start() {
  const bool platformListens = config_.acceptFd >= 0;
  try {
    if (platformListens) {
      acceptor_.assign(config_.listen.protocol(), config_.acceptFd);
      reportAbortedConnections(acceptor_);
    } else {
      openListener(acceptor_, config_.listen);
    }
    acceptor_.non_blocking(true);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error(std::string("cannot listen: ") + error.what());
  }
  if (!platformListens) startAccepting();
}

void ClientServer::startAccepting() {
  open_ = true;
  accept();
}

// Whether one more connection may be accepted: below the limit, or in place of an idle one. Does not ask the
// kernel.
bool ClientServer::hasCapacity() const {
  if (pressure_.memory().available(Account::clients) < kClientConnectionBytes) return false;
  return connections_.size() - overflowCount_ < maxRegular() || !idle_.empty() || !lingering_.empty();
}

void ClientServer::accept() {
  if (!open_) return;
  if (!hasCapacity()) {
    if (accepted_ && overflowOpen_) return acceptToOverflow();
    if (overflowOpen_) return acceptNext();
    return openOverflowLater();
  }
  if (fullRecord_.isIn(WaitQueue::freeConnection)) {
    fullRecord_.leave();
    overflowTimer_.cancel();
    overflowOpen_ = false;
  }
  if (accepted_) return admitAccepted();
  acceptNext();
}

void ClientServer::admitAccepted() {
  tcp::socket socket = *std::exchange(accepted_, std::nullopt);
  const bool full = connections_.size() - overflowCount_ >= maxRegular();
  if (!full || closeLeastRecentlyUsed()) return add(std::move(socket));
  // Requests had come on all connections that were idle.
  accepted_ = std::move(socket);
  accept();
}

void ClientServer::acceptNext() {
  if (accepting_) return;
  if (!acceptor_.is_open()) return;
  accepting_ = true;
  // The connection is accepted in the handler, so that none is lost between queue and handler when accepting
  // stops. One accept a turn of the loop: however long the queue, other sockets and timers are served
  // between.
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](const Error& waited) {
    if (waited == asio::error::operation_aborted) return;
    accepting_ = false;
    if (!open_ || accepted_) return;
    pressure_.noteActivity();
    Error error;
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (isShortage(error)) return retryAccept();
    if (!error) {
      ++stats_.accepted;
      accepted_ = std::move(socket);
    }
    accept();
  });
}

// Out of descriptors: the connection stays in the accept queue and would be reported again at once.
void ClientServer::retryAccept() {
  closeLeastRecentlyUsed();
  acceptRetryTimer_.expires_after(kAcceptRetryDelay);
  acceptRetryTimer_.async_wait([this](const Error& error) {
    if (!error) accept();
  });
}

void ClientServer::add(tcp::socket socket) {
  auto memory = pressure_.memory().open(Account::clients);
  if (!memory.resize(kClientConnectionBytes)) closeLeastRecentlyUsed();
  if (!memory.resize(kClientConnectionBytes))
    return;  // only while draining: otherwise `hasCapacity` was asked before
  memory.markPermanent();
  const auto connection = std::make_shared<Connection>(*this, std::move(socket), std::move(memory), false);
  connections_.insert(connection);
  connection->start();  // calls accept
}

// Reserved from the start, so that overflow connections can be read where memory is short.
void ClientServer::reserveOverflowMemory() {
  while (overflowMemory_.size() + overflowCount_ < limits_.overflowSlots()) {
    auto memory = pressure_.memory().open(Account::clients);
    if (!memory.resize(kClientConnectionBytes)) return;
    memory.markPermanent();
    overflowMemory_.push_back(std::move(memory));
  }
}

// All connections are busy. New ones wait in the kernel for a while, since most requests end soon.
void ClientServer::openOverflowLater() {
  if (fullRecord_.isIn(WaitQueue::freeConnection)) return;
  fullRecord_.enter(pressure_.waitQueues(), WaitQueue::freeConnection, OverloadManager::now());
  if (limits_.overflowSlots() == 0) return;
  overflowTimer_.expires_after(limits_.overflowDelay);
  overflowTimer_.async_wait([this](const Error& error) {
    if (error || !fullRecord_.isIn(WaitQueue::freeConnection)) return;
    overflowOpen_ = true;
    accept();
  });
}

void ClientServer::acceptToOverflow() {
  if (!freeOverflowSlot()) return;
  auto memory = std::move(overflowMemory_.back());
  overflowMemory_.pop_back();
  const auto connection =
      std::make_shared<Connection>(*this, *std::exchange(accepted_, std::nullopt), std::move(memory), true);
  ++overflowCount_;
  connections_.insert(connection);
  overflowOrder_.append(*connection);
  connection->start();
}

// The oldest one is evicted after `minOverflowTime`; until then the next one waits.
bool ClientServer::freeOverflowSlot() {
  reserveOverflowMemory();
  if (!overflowMemory_.empty()) return true;
  const auto oldest = static_cast<Connection*>(overflowOrder_.oldest());
  if (!oldest) return false;
  const auto until = oldest->openedAt() + limits_.minOverflowTime;
  if (Clock::now() < until) {
    overflowTimer_.expires_at(until);
    overflowTimer_.async_wait([this](const Error& error) {
      if (!error && fullRecord_.isIn(WaitQueue::freeConnection)) accept();
    });
    return false;
  }
  if (oldest->hasUnreadData()) {  // its handler comes next and answers it
    overflowTimer_.expires_after(kUnreadDelay);
    overflowTimer_.async_wait([this](const Error& error) {
      if (!error && fullRecord_.isIn(WaitQueue::freeConnection)) accept();
    });
    return false;
  }
  pressure_.waitQueues().countRejection(WaitQueue::freeConnection);
  oldest->evictFromOverflow();  // calls accept
  return false;
}

// With jitter, so that clients that are rejected together do not come back together.
decision::Time ClientServer::rejectionRetryAfterMs() const {
  const double maxMs = config_.settings.maxRetryAfterMs;
  const double overloadMs =
      std::max(pressure_.state().expectedDurationMs(OverloadManager::now()), kMinRetryAfterMs);
  return (maxMs > 0 ? std::min(maxMs, overloadMs) : overloadMs) *
         std::uniform_real_distribution<>(0.5, 1.0)(jitter_);
}

double ClientServer::busyShare() const {
  const auto& places = pressure_.waitQueues();
  const std::size_t busy =
      places.waiting(WaitQueue::incompleteRequest) + places.waiting(WaitQueue::inFlight) +
      places.waiting(WaitQueue::requestBodyWindow) + places.waiting(WaitQueue::responseBodyWindow) +
      places.waiting(WaitQueue::responseWrite);
  return static_cast<double>(busy) / static_cast<double>(std::max<std::size_t>(1, maxRegular()));
}

void ClientServer::closeLongIdle() {
  const auto before = Clock::now() - limits_.minIdleTime;
  while (const auto oldest = static_cast<Connection*>(idle_.oldest())) {
    if (oldest->idleSince() >= before) return;
    oldest->leaveOrder();
    if (!oldest->hasUnreadData()) oldest->shared_from_this()->closeIdle();
  }
}

void ClientServer::remove(const std::shared_ptr<Connection>& connection) {
  connections_.erase(connection);
  overflowCount_ -= connection->isOverflow();
  reserveOverflowMemory();
  pressure_.noteDescriptorUse();
  accept();
  if (connections_.empty() && !acceptor_.is_open() && done_) done_();
}

// Closes the connection that has been idle longest; false: none is idle. One with unread data leaves the
// order, and its handler, which comes next, puts it back if the data is no request: the kernel is asked only
// once for each time that a connection turns idle.
bool ClientServer::closeLeastRecentlyUsed() {
  if (const auto ending = static_cast<Connection*>(lingering_.oldest())) {
    ending->close(CloseReason::evicted);
    return true;
  }
  while (const auto oldest = static_cast<Connection*>(idle_.oldest())) {
    oldest->leaveOrder();
    if (oldest->hasUnreadData()) continue;
    oldest->close(CloseReason::evicted);
    return true;
  }
  return false;
}

void ClientServer::stopAccepting() {
  open_ = false;
  acceptRetryTimer_.cancel();
  overflowTimer_.cancel();
  fullRecord_.leave();
  if (accepted_) addAtStop(*std::exchange(accepted_, std::nullopt));
  if (config_.acceptFd < 0) return acceptQueued();
  closeListener();
}

// Accepts what the queue still holds, then closes the listener, which would reset it. Where descriptors or
// memory are short the listener stays open until the queue is empty.
void ClientServer::acceptQueued() {
  for (int left = tcp::acceptor::max_listen_connections; left > 0; --left) {
    if (!freeMemoryAtStop()) return acceptQueuedLater();
    Error error;
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (isQueueEmpty(error)) break;
    if (isShortage(error)) {
      closeLeastRecentlyUsed();
      return acceptQueuedLater();
    }
    if (!error) addAtStop(std::move(socket));
  }
  closeListener();
}

void ClientServer::acceptQueuedLater() {
  acceptRetryTimer_.expires_after(kStopRetryDelay);
  acceptRetryTimer_.async_wait([this](const Error& error) {
    if (!error) acceptQueued();
  });
}

// Whether there is memory for one more connection, if need be in place of idle ones.
bool ClientServer::freeMemoryAtStop() {
  while (pressure_.memory().available(Account::clients) < kClientConnectionBytes)
    if (!closeLeastRecentlyUsed()) return false;
  return true;
}

void ClientServer::closeListener() {
  Error ignored;
  acceptor_.close(ignored);
  if (connections_.empty() && done_) done_();
}

// No other process would accept it: it is taken even beyond the limit, where no connection is idle.
void ClientServer::addAtStop(tcp::socket socket) {
  if (connections_.size() - overflowCount_ >= maxRegular()) closeLeastRecentlyUsed();
  add(std::move(socket));
}

void ClientServer::closeIdle() {
  for (const auto& connection : std::vector(connections_.begin(), connections_.end()))
    connection->closeIfIdle();
}

void ClientServer::whenEmpty(std::function<void()> done) {
  done_ = std::move(done);
  if (connections_.empty() && !acceptor_.is_open()) done_();
}

}  // namespace wingslip
