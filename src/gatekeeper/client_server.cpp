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

constexpr double kLeastAway = 250;   // ms advised where the pressure is expected to be over sooner
constexpr auto kAcceptPause = 50ms;  // after an accept that failed for want of descriptors
constexpr auto kUnreadPause = 1ms;   // for the handler of what has come on a connection that is to give way
constexpr auto kStopPause = 10ms;    // the same where the listener is about to close

// Whether the machine's queue is empty. Any other error but a shortage is that of one connection, or of an
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
      pause_(io),
      overflowTimer_(io),
      pressure_(pressure),
      chance_(config.seed ^ 0x5bd1e995) {
  pressure_.waitQueues().setReader(WaitQueue::acceptBacklog, [this](double now) {
    WaitQueues::Figures out;
    out.waiting = acceptBacklogLength(acceptor_);
    if (out.waiting > 0 && noRoom_.isIn(WaitQueue::freeConnection)) out.oldestMs = now - noRoom_.since();
    return out;
  });
  refillOverflowRooms();
  pressure_.setConnectionRetry([this] {
    if (noRoom_.isIn(WaitQueue::freeConnection)) accept();
  });
}

ClientServer::~ClientServer() {
  pressure_.setConnectionRetry(nullptr);
  pressure_.waitQueues().setReader(WaitQueue::acceptBacklog, nullptr);
  for (const auto& connection : connections_) connection->abandon();
}

void ClientServer::start() {
  const bool inherited = config_.acceptFd >= 0;
  try {
    if (inherited) {
      acceptor_.assign(config_.listen.protocol(), config_.acceptFd);
      tellOfAbortedConnections(acceptor_);
    } else {
      openListener(acceptor_, config_.listen);
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
  if (pressure_.memory().available(Account::clients) < kConnection) return false;
  return connections_.size() - overflowCount_ < mostUsual() || !idle_.empty() || !ending_.empty();
}

void ClientServer::accept() {
  if (!open_) return;
  if (!hasRoom()) {
    if (waiting_ && overflowOpen_) return acceptToOverflow();
    if (overflowOpen_) return takeNext();
    return openOverflow();
  }
  if (noRoom_.isIn(WaitQueue::freeConnection)) {
    noRoom_.leave();
    overflowTimer_.cancel();
    overflowOpen_ = false;
  }
  if (waiting_) return admitWaiting();
  takeNext();
}

void ClientServer::admitWaiting() {
  tcp::socket socket = *std::exchange(waiting_, std::nullopt);
  const bool full = connections_.size() - overflowCount_ >= mostUsual();
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
    pressure_.noteActivity();
    Error error;
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (isShortage(error)) return acceptLater();
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
  auto room = pressure_.memory().open(Account::clients);
  if (!room.resize(kConnection)) closeLeastRecentlyUsed();
  if (!room.resize(kConnection))
    return;  // asked for before: only while draining, when there is no other place
  room.markPermanent();
  const auto connection = std::make_shared<Connection>(*this, std::move(socket), std::move(room), false);
  connections_.insert(connection);
  connection->start();  // goes on to accept
}

// Set aside from the start, so that one can be heard out where memory is what is short.
void ClientServer::refillOverflowRooms() {
  while (overflowRooms_.size() + overflowCount_ < limits_.overflowPlaces()) {
    auto room = pressure_.memory().open(Account::clients);
    if (!room.resize(kConnection)) return;
    room.markPermanent();
    overflowRooms_.push_back(std::move(room));
  }
}

// All are busy. What comes waits in the kernel for a while, since most requests end soon.
void ClientServer::openOverflow() {
  if (noRoom_.isIn(WaitQueue::freeConnection)) return;
  noRoom_.enter(pressure_.waitQueues(), WaitQueue::freeConnection, OverloadManager::now());
  if (limits_.overflowPlaces() == 0) return;
  overflowTimer_.expires_after(limits_.overflowAfter);
  overflowTimer_.async_wait([this](const Error& error) {
    if (error || !noRoom_.isIn(WaitQueue::freeConnection)) return;
    overflowOpen_ = true;
    accept();
  });
}

void ClientServer::acceptToOverflow() {
  if (!makeOverflowRoom()) return;
  auto room = std::move(overflowRooms_.back());
  overflowRooms_.pop_back();
  const auto connection =
      std::make_shared<Connection>(*this, *std::exchange(waiting_, std::nullopt), std::move(room), true);
  ++overflowCount_;
  connections_.insert(connection);
  overflowOrder_.append(*connection);
  connection->start();
}

// The oldest gives way once it has had its time to speak; until then the next one waits.
bool ClientServer::makeOverflowRoom() {
  refillOverflowRooms();
  if (!overflowRooms_.empty()) return true;
  const auto oldest = static_cast<Connection*>(overflowOrder_.oldest());
  if (!oldest) return false;
  const auto until = oldest->openedAt() + limits_.overflowLeast;
  if (Clock::now() < until) {
    overflowTimer_.expires_at(until);
    overflowTimer_.async_wait([this](const Error& error) {
      if (!error && noRoom_.isIn(WaitQueue::freeConnection)) accept();
    });
    return false;
  }
  if (oldest->unread()) {  // its handler comes next, and it is answered there
    overflowTimer_.expires_after(kUnreadPause);
    overflowTimer_.async_wait([this](const Error& error) {
      if (!error && noRoom_.isIn(WaitQueue::freeConnection)) accept();
    });
    return false;
  }
  pressure_.waitQueues().countRejection(WaitQueue::freeConnection);
  oldest->giveWay();  // goes on to accept by itself
  return false;
}

// By chance, so that those turned away together do not come back together.
decision::Time ClientServer::turnedAwayFor() const {
  const double most = config_.settings.maxRetryAfterMs;
  const double lasts = std::max(pressure_.state().expectedDurationMs(OverloadManager::now()), kLeastAway);
  return (most > 0 ? std::min(most, lasts) : lasts) * std::uniform_real_distribution<>(0.5, 1.0)(chance_);
}

double ClientServer::busyShare() const {
  const auto& places = pressure_.waitQueues();
  const std::size_t busy =
      places.waiting(WaitQueue::incompleteRequest) + places.waiting(WaitQueue::inFlight) +
      places.waiting(WaitQueue::requestBodyWindow) + places.waiting(WaitQueue::responseBodyWindow) +
      places.waiting(WaitQueue::responseWrite);
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
  overflowCount_ -= connection->isOverflow();
  refillOverflowRooms();
  pressure_.noteDescriptorUse();
  accept();
  if (connections_.empty() && !acceptor_.is_open() && done_) done_();
}

// One on which bytes have come meanwhile leaves the order: its handler, which is due, puts it back where they
// are no request. So the kernel is asked of each connection once for each time that it turns idle.
bool ClientServer::closeLeastRecentlyUsed() {
  if (const auto ending = static_cast<Connection*>(ending_.oldest())) {
    ending->close(CloseReason::evicted);
    return true;
  }
  while (const auto oldest = static_cast<Connection*>(idle_.oldest())) {
    oldest->leaveOrder();
    if (oldest->unread()) continue;
    oldest->close(CloseReason::evicted);
    return true;
  }
  return false;
}

void ClientServer::stopAccepting() {
  open_ = false;
  pause_.cancel();
  overflowTimer_.cancel();
  noRoom_.leave();
  if (waiting_) addAtStop(*std::exchange(waiting_, std::nullopt));
  if (config_.acceptFd < 0) return takeQueued();
  closeListener();
}

// Closing the listener resets what still waits in its queue. Where descriptors or memory are short, it stays
// open until the queue could be emptied.
void ClientServer::takeQueued() {
  for (int left = tcp::acceptor::max_listen_connections; left > 0; --left) {
    if (!makeRoomAtStop()) return takeQueuedLater();
    Error error;
    tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (isQueueEmpty(error)) break;
    if (isShortage(error)) {
      closeLeastRecentlyUsed();
      return takeQueuedLater();
    }
    if (!error) addAtStop(std::move(socket));
  }
  closeListener();
}

void ClientServer::takeQueuedLater() {
  pause_.expires_after(kStopPause);
  pause_.async_wait([this](const Error& error) {
    if (!error) takeQueued();
  });
}

// Whether there is memory for one more connection.
bool ClientServer::makeRoomAtStop() {
  while (pressure_.memory().available(Account::clients) < kConnection)
    if (!closeLeastRecentlyUsed()) return false;
  return true;
}

void ClientServer::closeListener() {
  Error ignored;
  acceptor_.close(ignored);
  if (connections_.empty() && done_) done_();
}

// There is no other place for it any more, so that it is taken over the limit where none is idle.
void ClientServer::addAtStop(tcp::socket socket) {
  if (connections_.size() - overflowCount_ >= mostUsual()) closeLeastRecentlyUsed();
  add(std::move(socket));
}

void ClientServer::finishUp() {
  for (const auto& connection : std::vector(connections_.begin(), connections_.end())) connection->finishUp();
}

void ClientServer::whenEmpty(std::function<void()> done) {
  done_ = std::move(done);
  if (connections_.empty() && !acceptor_.is_open()) done_();
}

}  // namespace wingslip
