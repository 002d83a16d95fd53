/// The connection to a discovery agent: HTTP requests, framing of the endpoint lists and their log lines. See
/// discovery_client.hpp.
#include "gatekeeper/discovery_client.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "endpoint_watch/endpoint_list_history.hpp"
#include "endpoint_watch/json_object_framer.hpp"
#include "net/http.hpp"
#include "net/rate_limited_log.hpp"
#include "net/socket_io.hpp"

namespace wingslip {
namespace {

using asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;
using Action = EndpointWatch::Action;

constexpr std::size_t kMaxMessageBytes = std::size_t{1} << 20;  // an indented list of about 4,000 workers
constexpr std::size_t kParsedBytesPerByte = 8;  // memory that parsing takes per byte of the message
constexpr auto kLogInterval = std::chrono::seconds(5);

// Rounds up: a timer that expires a fraction early would find nothing due and be armed again for the same
// time, endlessly.
SteadyClock::time_point timePointOf(EndpointWatch::Time timeMs) {
  using std::chrono::microseconds;
  const std::chrono::duration<double, std::milli> sinceEpoch(timeMs);
  return SteadyClock::time_point(std::chrono::ceil<microseconds>(sinceEpoch) + microseconds(1));
}

}  // namespace

/// Carries out the actions of `EndpointWatch` on one socket at a time: connects, requests the changes since
/// the last list, reads lists, and closes the connection.
class DiscoveryClient::Connection : public std::enable_shared_from_this<Connection> {
  // Wraps a handler so that it does nothing if its socket has been closed or replaced since.
  template <class Handler>
  auto ifCurrent(Handler handler) {
    return [self = shared_from_this(), this, socketNumber = socketNumber_, handler](const Error& error,
                                                                                    std::size_t size = 0) {
      if (socketNumber == socketNumber_) handler(error, size);
    };
  }

 public:
  Connection(asio::io_context& io, const tcp::endpoint& agent, EndpointList initialList,
             const EndpointWatch::Limits& limits, std::uint64_t seed, OnEndpointList onEndpointList,
             OverloadManager& overloadManager)
      : overloadManager_(overloadManager),
        memory_(overloadManager.memory().open(Account::discovery)),
        socket_(io),
        timer_(io),
        agent_(agent),
        watch_(limits, seed),
        onEndpointList_(std::move(onEndpointList)) {
    if (initialList.generation >= 0) history_.accept(initialList);
  }

  void start() { perform(watch_.start(OverloadManager::now())); }

  void setAgent(const tcp::endpoint& agent, const EndpointWatch::Limits& limits) {
    if (stopped_) return;
    watch_.setLimits(limits);
    if (agent == agent_) return;
    agent_ = agent;
    start();
  }

  Stats takeStats() {
    Stats out = std::exchange(stats_, {});
    out.connects = watch_.connectCount();
    return out;
  }

  void stop() {
    stopped_ = true;
    watch_.stop();
    close();
    timer_.cancel();
  }

 private:
  void perform(Action action) {
    switch (action) {
      case Action::none:
        return armTimer();
      case Action::close:
        close();
        return armTimer();
      case Action::connect:
        return connect();
      case Action::sendRequest:
        return sendRequest();
    }
  }

  // Waits for the watch's next check, with at most one wait pending. Every message postpones that check
  // without rescheduling the wait: a wait that expires early finds nothing due and is armed again.
  void armTimer() {
    const EndpointWatch::Time checkAt = watch_.nextCheckAt();
    if (checkAt < 0 || (timerArmed_ && timerDueAt_ <= checkAt)) return;
    timerArmed_ = true;
    timerDueAt_ = checkAt;
    timer_.expires_at(timePointOf(checkAt));
    timer_.async_wait([self = shared_from_this(), this, timerNumber = ++timerNumber_](const Error& error) {
      if (error || timerNumber != timerNumber_ || stopped_) return;
      timerArmed_ = false;
      const bool wasOpen = parser_.has_value();
      const Action action = watch_.checkTime(OverloadManager::now());
      if (wasOpen && action == Action::close) logRetry("silent");
      perform(action);
    });
  }

  void connect() {
    close();
    parser_.emplace();
    parser_->body_limit(boost::none);
    armTimer();
    socket_.async_connect(agent_, ifCurrent([this](const Error& error, std::size_t) {
                            if (error) return connectionLost("cannot connect to the agent");
                            perform(watch_.onConnected(OverloadManager::now()));
                          }));
  }

  void sendRequest() {
    http::request<http::empty_body> request(http::verb::get, "/registry/instances?watch=1", 11);
    if (history_.requestGeneration() >= 0)
      request.target("/registry/instances?watch=1&from=" + std::to_string(history_.requestGeneration()));
    request.set(http::field::host, "discovery");
    requestText_.clear();
    append(requestText_, request);
    asyncWriteAll(
        socket_, asio::buffer(requestText_),
        [self = shared_from_this(), this, socketNumber = socketNumber_] {
          return socketNumber == socketNumber_;
        },
        [self = shared_from_this(), this](const Error& error) {
          if (error) return connectionLost("broken");
          read();
        });
  }

  // Closes the socket, discards an incomplete message and releases its memory.
  void close() {
    ++socketNumber_;
    Error ignored;
    socket_.close(ignored);
    parser_.reset();
    input_.clear();
    messages_.clear();
    framer_.reset();
    incompleteMessage_.leave();
    pausedRead_.clear();
    memory_.release();
  }

  // Reserves memory for the buffered bytes, for those that the next read adds, and for parsing both.
  // Returns false if the memory budget does not allow it.
  bool reserveForRead() {
    return memory_.resize((messages_.size() + input_.size() + kReadBytes) * (1 + kParsedBytesPerByte));
  }

  void read() {
    if (reserveForRead()) return startRead();
    // The bytes stay in the socket, so that flow control stops the sender. The watch's silence timeout still
    // runs: when it expires, the watch is reopened.
    overloadManager_.pauseUntilMemory(
        pausedRead_, Account::discovery, weak_from_this(),
        [this] {
          if (!reserveForRead()) return false;
          startRead();
          return true;
        },
        nullptr);
  }

  void startRead() {
    pausedRead_.clear();
    socket_.async_read_some(input_.prepare(kReadBytes),
                            ifCurrent([this](const Error& error, std::size_t size) {
                              if (isTransient(error)) return read();
                              if (error) return connectionLost("ended");
                              input_.commit(size);
                              stats_.bytesRead += size;
                              watch_.onBytes(OverloadManager::now(), size);
                              onInput();
                            }));
  }

  void onInput() {
    Error error;
    const bool responseEnded = parseBuffered(*parser_, input_, error);
    if (error) return connectionLost("malformed HTTP response from the agent");
    if (parser_->is_header_done() && parser_->get().result() != http::status::ok) {
      logRetry("the agent rejected the watch request");
      return perform(watch_.onRejected(OverloadManager::now()));
    }
    messages_ += parser_->get().body();
    parser_->get().body().clear();
    stats_.longestMessageBytes = std::max(stats_.longestMessageBytes, messages_.size());
    try {
      if (!readMessages()) return rejectList("list: older than what is known");
    } catch (const std::runtime_error& malformed) {
      history_.requestSnapshot();
      return rejectList(malformed.what());
    }
    if (stopped_) return;
    trackIncompleteMessage();
    if (responseEnded || messages_.size() > kMaxMessageBytes) return connectionLost("ended");
    armTimer();
    read();
  }

  // Registers the incomplete message that remains in the buffer with the wait queues, and counts one that
  // exceeds the limit as rejected.
  void trackIncompleteMessage() {
    if (messages_.empty())
      incompleteMessage_.leave();
    else if (!incompleteMessage_.isIn(WaitQueue::discoveryMessage))
      incompleteMessage_.enter(overloadManager_.waitQueues(), WaitQueue::discoveryMessage,
                               OverloadManager::now());
    if (messages_.size() > kMaxMessageBytes)
      overloadManager_.waitQueues().countRejection(WaitQueue::discoveryMessage);
  }

  // Passes on the complete lists in the buffer. While this process is overloaded, lists that are received
  // together are merged and passed on once. Returns false if the history rejected a list.
  bool readMessages() {
    const bool overloaded = overloadManager_.state().level() != OverloadLevel::none;
    std::optional<EndpointList> pending;
    bool accepted = true;
    while (const auto object = framer_.next(messages_)) {
      EndpointList list = parseEndpointList(*object);
      ++stats_.lists;
      accepted = history_.accept(list);
      if (!accepted) break;
      watch_.onMessage(OverloadManager::now());
      pending = pending ? mergeEndpointLists(std::move(*pending), std::move(list)) : std::move(list);
      if (overloaded) continue;
      onEndpointList_(*std::exchange(pending, std::nullopt));
      if (stopped_) return true;
    }
    if (framer_.takeHeartbeats() > 0 && accepted) watch_.onMessage(OverloadManager::now());
    if (pending) onEndpointList_(*pending);
    if (accepted && !stopped_) messages_.erase(0, framer_.takeConsumed());
    return accepted;
  }

  // Closes the connection. The snapshot that is requested next supersedes the rejected list.
  void rejectList(const char* reason) {
    rejectedListLog_.warn(std::string(reason) + "; requesting a snapshot");
    perform(watch_.onConnectionLost(OverloadManager::now()));
  }

  void connectionLost(const char* reason) {
    logRetry(reason);
    perform(watch_.onConnectionLost(OverloadManager::now()));
  }

  void logRetry(const char* reason) {
    connectionLog_.warn(std::string(reason) + "; the watch is reopened after a backoff");
  }

  OverloadManager& overloadManager_;
  MemoryBudget::Charge memory_;
  WaitQueues::QueueEntry incompleteMessage_;
  OverloadManager::PausedRead pausedRead_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  tcp::endpoint agent_;
  EndpointWatch watch_;
  EndpointListHistory history_;
  JsonObjectFramer framer_;
  const OnEndpointList onEndpointList_;
  beast::flat_buffer input_;
  std::string requestText_;
  std::string messages_;  // body bytes received, but not consumed yet
  std::optional<http::response_parser<http::string_body>> parser_;  // set while there is a connection
  RateLimitedLog connectionLog_{"discovery", kLogInterval};
  RateLimitedLog rejectedListLog_{"discovery", kLogInterval};
  Stats stats_;
  EndpointWatch::Time timerDueAt_ = 0;
  unsigned socketNumber_ = 0;
  unsigned timerNumber_ = 0;
  bool timerArmed_ = false;
  bool stopped_ = false;
};

DiscoveryClient::DiscoveryClient(asio::io_context& io, const tcp::endpoint& agent, EndpointList initialList,
                                 const EndpointWatch::Limits& limits, std::uint64_t seed,
                                 OnEndpointList onEndpointList, OverloadManager& overloadManager)
    : connection_(std::make_shared<Connection>(io, agent, std::move(initialList), limits, seed,
                                               std::move(onEndpointList), overloadManager)) {}
DiscoveryClient::~DiscoveryClient() { stop(); }
void DiscoveryClient::start() { connection_->start(); }
void DiscoveryClient::stop() { connection_->stop(); }
void DiscoveryClient::setAgent(const tcp::endpoint& agent, const EndpointWatch::Limits& limits) {
  connection_->setAgent(agent, limits);
}
DiscoveryClient::Stats DiscoveryClient::takeStats() { return connection_->takeStats(); }

}  // namespace wingslip
