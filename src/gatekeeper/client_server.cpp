/// Accepting, limiting and evicting client connections.
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

constexpr double kMinExpectedOverloadMs = 250;      // lower bound of the expected duration, before the jitter
constexpr auto kAcceptRetryDelay = 50ms;            // after a shortage of descriptors or kernel memory
constexpr auto kDueReadRetryDelay = 1ms;            // lets a due read handler run before the eviction
constexpr auto kAcceptQueueDrainRetryDelay = 10ms;  // after a shortage of descriptors or memory

// Whether the accept queue is empty. All other errors except a shortage concern one connection or an
// interrupted call, so the next accept may succeed (accept(2), "Error handling").
bool isQueueEmpty(const Error& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

}  // namespace

ClientServer::ClientServer(asio::io_context& io, const Config& config, const Limits& limits,
                           RequestHandler& handler, OverloadManager& overloadManager)
    : config_(config),
      limits_(limits),
      handler_(handler),
      acceptor_(io),
      acceptRetryTimer_(io),
      overflowTimer_(io),
      overloadManager_(overloadManager),
      randomGenerator_(config.seed ^ 0x5bd1e995) {
  overloadManager_.waitQueues().setExternalSource(WaitQueue::acceptBacklog, [this](double now) {
    WaitQueues::Statistics out;
    out.waiting = acceptBacklogLength(acceptor_);
    if (out.waiting > 0 && capacityWait_.isIn(WaitQueue::freeConnection))
      out.oldestMs = now - capacityWait_.since();
    return out;
  });
  reserveOverflowMemory();
  overloadManager_.setConnectionRetry([this] {
    if (capacityWait_.isIn(WaitQueue::freeConnection)) accept();
  });
}

ClientServer::~ClientServer() {
  overloadManager_.setConnectionRetry(nullptr);
  overloadManager_.waitQueues().setExternalSource(WaitQueue::acceptBacklog, nullptr);
  for (const auto& connection : connections_) connection->abandon();
}

void ClientServer::start() {
  const bool platformListens = config_.inheritedListenFd >= 0;
  try {
    if (platformListens) {
      acceptor_.assign(config_.listen.protocol(), config_.inheritedListenFd);
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
  acceptEnabled_ = true;
  accept();
}

// Whether one more connection may be accepted: there is memory for it, and the number of connections is below
// the limit or there is an idle or lingering connection to evict. Makes no system call, so a request may
// already have arrived on such an idle connection; its eviction then fails.
bool ClientServer::hasCapacity() const {
  if (overloadManager_.memory().available(Account::clients) < kClientConnectionBytes) return false;
  return connections_.size() - overflowCount_ < maxRegular() || !idle_.empty() || !lingering_.empty();
}

void ClientServer::accept() {
  if (!acceptEnabled_) return;
  if (!hasCapacity()) {
    if (acceptedSocket_ && overflowEnabled_) return acceptToOverflow();
    if (overflowEnabled_) return acceptNext();
    return scheduleOverflow();
  }
  if (capacityWait_.isIn(WaitQueue::freeConnection)) {
    capacityWait_.leave();
    overflowTimer_.cancel();
    overflowEnabled_ = false;
  }
  if (acceptedSocket_) return admitAccepted();
  acceptNext();
}

void ClientServer::admitAccepted() {
  tcp::socket socket = *std::exchange(acceptedSocket_, std::nullopt);
  const bool full = connections_.size() - overflowCount_ >= maxRegular();
  if (!full || evictConnection()) return add(std::move(socket));
  // Requests have arrived on all connections that were idle.
  acceptedSocket_ = std::move(socket);
  accept();
}

void ClientServer::acceptNext() {
  if (acceptPending_) return;
  if (!acceptor_.is_open()) return;
  acceptPending_ = true;
  // The handler itself accepts the connection: with async_accept, a connection that is already accepted would
  // be lost if accepting stopped before the handler ran. One accept per iteration of the event loop: other
  // sockets and timers are served in between, however long the accept queue is.
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](const Error& waited) {
    if (waited == asio::error::operation_aborted) return;
    acceptPending_ = false;
    if (!acceptEnabled_ || acceptedSocket_) return;
    overloadManager_.onActivity();
    Error error;
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (isShortage(error)) return retryAccept();
    if (!error) {
      ++stats_.accepted;
      acceptedSocket_ = std::move(socket);
    }
    accept();
  });
}

// Retries after a delay, because descriptors or kernel memory are short: the connection stays in the accept
// queue, so the listener would be readable again immediately.
void ClientServer::retryAccept() {
  evictConnection();
  acceptRetryTimer_.expires_after(kAcceptRetryDelay);
  acceptRetryTimer_.async_wait([this](const Error& error) {
    if (!error) accept();
  });
}

void ClientServer::add(tcp::socket socket) {
  auto memory = overloadManager_.memory().open(Account::clients);
  if (!memory.resize(kClientConnectionBytes)) evictConnection();
  if (!memory.resize(kClientConnectionBytes))
    return;  // closes the socket; only while draining: otherwise `hasCapacity` has been checked
  memory.markPermanent();
  const auto connection = std::make_shared<Connection>(*this, std::move(socket), std::move(memory), false);
  connections_.insert(connection);
  connection->start();  // calls accept
}

// Reserves memory for the free overflow slots, at start-up and again as soon as a slot is free, so that
// overflow connections can be read when memory is short.
void ClientServer::reserveOverflowMemory() {
  while (overflowMemory_.size() + overflowCount_ < limits_.overflowSlots()) {
    auto memory = overloadManager_.memory().open(Account::clients);
    if (!memory.resize(kClientConnectionBytes)) return;
    memory.markPermanent();
    overflowMemory_.push_back(std::move(memory));
  }
}

// There is no capacity: all regular connections are busy or memory is short. New connections stay in the
// accept queue for `overflowDelay`, since most requests end within it.
void ClientServer::scheduleOverflow() {
  if (capacityWait_.isIn(WaitQueue::freeConnection)) return;
  capacityWait_.enter(overloadManager_.waitQueues(), WaitQueue::freeConnection, OverloadManager::now());
  if (limits_.overflowSlots() == 0) return;
  overflowTimer_.expires_after(limits_.overflowDelay);
  overflowTimer_.async_wait([this](const Error& error) {
    if (error || !capacityWait_.isIn(WaitQueue::freeConnection)) return;
    overflowEnabled_ = true;
    accept();
  });
}

void ClientServer::acceptToOverflow() {
  if (!freeOverflowSlot()) return;
  auto memory = std::move(overflowMemory_.back());
  overflowMemory_.pop_back();
  const auto connection = std::make_shared<Connection>(*this, *std::exchange(acceptedSocket_, std::nullopt),
                                                       std::move(memory), true);
  ++overflowCount_;
  connections_.insert(connection);
  overflowOrder_.append(*connection);
  connection->start();
}

// Evicts the oldest overflow connection once it is `minOverflowTime` old; until then the accepted connection
// waits. Returns whether a slot is free. After an eviction it returns false: `accept` has already been called
// again, or is called when the evicted connection has been rejected and closed.
bool ClientServer::freeOverflowSlot() {
  reserveOverflowMemory();
  if (!overflowMemory_.empty()) return true;
  const auto oldest = static_cast<Connection*>(overflowOrder_.oldest());
  if (!oldest) return false;
  const auto until = oldest->openedAt() + limits_.minOverflowTime;
  if (Clock::now() < until) {
    overflowTimer_.expires_at(until);
    overflowTimer_.async_wait([this](const Error& error) {
      if (!error && capacityWait_.isIn(WaitQueue::freeConnection)) accept();
    });
    return false;
  }
  if (oldest->isReadDue()) {  // the read handler is about to run and responds
    overflowTimer_.expires_after(kDueReadRetryDelay);
    overflowTimer_.async_wait([this](const Error& error) {
      if (!error && capacityWait_.isIn(WaitQueue::freeConnection)) accept();
    });
    return false;
  }
  overloadManager_.waitQueues().countRejection(WaitQueue::freeConnection);
  oldest->evictFromOverflow();  // calls accept, possibly later
  return false;
}

// Value of Retry-After, ms: the expected duration of the overload with jitter, so that clients that are
// rejected together do not retry together.
decision::Time ClientServer::rejectionRetryAfterMs() const {
  const double maxMs = config_.settings.maxRetryAfterMs;
  const double overloadMs =
      std::max(overloadManager_.state().expectedDurationMs(OverloadManager::now()), kMinExpectedOverloadMs);
  return (maxMs > 0 ? std::min(maxMs, overloadMs) : overloadMs) *
         std::uniform_real_distribution<>(0.5, 1.0)(randomGenerator_);
}

double ClientServer::busyFraction() const {
  const auto& queues = overloadManager_.waitQueues();
  const std::size_t busy =
      queues.waiting(WaitQueue::incompleteRequest) + queues.waiting(WaitQueue::inFlight) +
      queues.waiting(WaitQueue::requestBodyWindow) + queues.waiting(WaitQueue::responseBodyWindow) +
      queues.waiting(WaitQueue::responseWrite);
  return static_cast<double>(busy) / static_cast<double>(std::max<std::size_t>(1, maxRegular()));
}

void ClientServer::closeLongIdleConnections() {
  const auto cutoff = Clock::now() - limits_.minIdleTime;
  while (const auto oldest = static_cast<Connection*>(idle_.oldest())) {
    if (oldest->idleSince() >= cutoff) return;
    oldest->leaveOrder();
    if (!oldest->isReadDue()) oldest->shared_from_this()->closeIdle();
  }
}

void ClientServer::remove(const std::shared_ptr<Connection>& connection) {
  connections_.erase(connection);
  overflowCount_ -= connection->isOverflow();
  reserveOverflowMemory();
  overloadManager_.onDescriptorUsageChanged();
  accept();
  if (connections_.empty() && !acceptor_.is_open() && done_) done_();
}

// Closes a connection in lingering close or else the one that has been idle longest. Returns false if there
// is neither. A connection with unread data is removed from the idle order; its read handler, which is due,
// adds it again if the data is not a request. So the kernel is queried only once per idle period of a
// connection.
bool ClientServer::evictConnection() {
  if (const auto lingering = static_cast<Connection*>(lingering_.oldest())) {
    lingering->close(CloseReason::evicted);
    return true;
  }
  while (const auto oldest = static_cast<Connection*>(idle_.oldest())) {
    oldest->leaveOrder();
    if (oldest->isReadDue()) continue;
    oldest->close(CloseReason::evicted);
    return true;
  }
  return false;
}

void ClientServer::stopAccepting() {
  acceptEnabled_ = false;
  acceptRetryTimer_.cancel();
  overflowTimer_.cancel();
  capacityWait_.leave();
  if (acceptedSocket_) addWhileStopping(*std::exchange(acceptedSocket_, std::nullopt));
  if (config_.inheritedListenFd < 0) return drainAcceptQueue();
  closeListener();
}

// Accepts the connections in the accept queue, then closes the listener; closing it first would reset them.
// When descriptors or memory are short, the listener stays open until the queue is empty.
void ClientServer::drainAcceptQueue() {
  for (int remaining = tcp::acceptor::max_listen_connections; remaining > 0; --remaining) {
    if (!freeMemoryWhileStopping()) return scheduleAcceptQueueDrain();
    Error error;
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (isQueueEmpty(error)) break;
    if (isShortage(error)) {
      evictConnection();
      return scheduleAcceptQueueDrain();
    }
    if (!error) addWhileStopping(std::move(socket));
  }
  closeListener();
}

void ClientServer::scheduleAcceptQueueDrain() {
  acceptRetryTimer_.expires_after(kAcceptQueueDrainRetryDelay);
  acceptRetryTimer_.async_wait([this](const Error& error) {
    if (!error) drainAcceptQueue();
  });
}

// Evicts idle connections until there is memory for one more connection. Returns false if there is not.
bool ClientServer::freeMemoryWhileStopping() {
  while (overloadManager_.memory().available(Account::clients) < kClientConnectionBytes)
    if (!evictConnection()) return false;
  return true;
}

void ClientServer::closeListener() {
  Error ignored;
  acceptor_.close(ignored);
  if (connections_.empty() && done_) done_();
}

// No other process would accept this connection, so it is added even beyond the limit if none is idle.
void ClientServer::addWhileStopping(tcp::socket socket) {
  if (connections_.size() - overflowCount_ >= maxRegular()) evictConnection();
  add(std::move(socket));
}

void ClientServer::closeIdleConnections() {
  closesIdle_ = true;
  for (const auto& connection : std::vector(connections_.begin(), connections_.end()))
    connection->closeIfIdle();
}

void ClientServer::refuseIncompleteRequests() {
  for (const auto& connection : std::vector(connections_.begin(), connections_.end()))
    connection->refuseIncomplete();
}

void ClientServer::notifyWhenEmpty(std::function<void()> done) {
  done_ = std::move(done);
  if (connections_.empty() && !acceptor_.is_open()) done_();
}

}  // namespace wingslip
