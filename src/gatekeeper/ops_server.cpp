/// The operators' connections, and the names and responses of their calls. See ops_server.hpp.
#include "gatekeeper/ops_server.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <stdexcept>
#include <utility>

#include "net/guarded_connection.hpp"
#include "net/listener.hpp"
#include "net/socket_io.hpp"

namespace wingslip {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;
using namespace std::chrono_literals;

constexpr std::size_t kConnectionBytes = 8 * 1024;  // for its line and the telemetry response
// The part of `kConnectionBytes` for the response; the memory of a longer response is charged in addition.
constexpr std::size_t kIncludedResponseBytes = 7 * 1024;
// Delay after a failed accept, which usually means that no file descriptor is available.
constexpr auto kAcceptRetryDelay = 50ms;

// Returns the response to a call `exclude` or `include`. `change`: the change and the worker's id, such as
// "excluded worker-1".
std::string exclusionResponse(const ExclusionResult& result, const std::string& change) {
  switch (result.status) {
    case ExclusionResult::Status::done:
      return "200 " + change + "\n";
    case ExclusionResult::Status::unknownWorker:
      return "400 not " + change + ": no list has named it\n";
    case ExclusionResult::Status::tooManyExcluded:
      return "400 not " + change + ": too many are excluded\n";
    case ExclusionResult::Status::notPersisted:
      return "400 " + change + " here, but not kept yet: " + result.error.message() + "; tried again\n";
  }
  return "400 no such call\n";
}

}  // namespace

/// A connection of an operator: reads a line, writes the response and closes.
class OpsServer::OperatorConnection : public GuardedConnection<OperatorConnection> {
 public:
  OperatorConnection(OpsServer& server, tcp::socket socket, MemoryBudget::Charge memory)
      : server_(server),
        memory_(std::move(memory)),
        socket_(std::move(socket)),
        timeoutTimer_(socket_.get_executor(), server.limits_.callTimeout) {}

  void start() {
    queueEntry_.enter(server_.overloadManager_.waitQueues(), WaitQueue::operatorCall, OverloadManager::now());
    timeoutTimer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error) finish();
    }));
    asio::async_read_until(
        socket_, asio::dynamic_buffer(line_, server_.limits_.lineBytes), '\n',
        guard([this](const Error& error, std::size_t lineLength) { onLine(error, lineLength); }));
  }

  /// Closes the connection without removing it from the server's list.
  void abandon() {
    markEnded();
    queueEntry_.leave();
    memory_.release();
    timeoutTimer_.cancel();
    Error ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
  }

 private:
  void onLine(const Error& error, std::size_t lineLength) {
    const bool incomplete = error == asio::error::not_found || (error == asio::error::eof && !line_.empty());
    if (incomplete) return respond("400 not a whole call\n");
    if (error) return finish();
    line_.resize(lineLength - 1);
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    respond(server_.responseTo(line_));
  }

  void respond(std::string text) {
    response_ = std::move(text);
    if (response_.size() > kIncludedResponseBytes && !memory_.resize(kConnectionBytes + response_.size()))
      response_ = "400 no memory for the answer now\n";
    asyncWriteAll(
        socket_, asio::buffer(response_), [self = shared_from_this()] { return !self->ended(); },
        [self = shared_from_this()](const Error&) { self->finish(); });
  }

  void finish() {
    const auto self = shared_from_this();
    abandon();
    server_.remove(self);
  }

  OpsServer& server_;
  MemoryBudget::Charge memory_;
  WaitQueues::QueueEntry queueEntry_;
  tcp::socket socket_;
  asio::steady_timer timeoutTimer_;
  std::string line_;
  std::string response_;
};

OpsServer::OpsServer(asio::io_context& io, const Limits& limits, OperatorCalls& calls,
                     OverloadManager& overloadManager)
    : limits_(limits),
      calls_(calls),
      overloadManager_(overloadManager),
      acceptor_(io),
      acceptRetryTimer_(io) {}

OpsServer::~OpsServer() {
  for (const auto& connection : connections_) connection->abandon();
}

void OpsServer::start(const tcp::endpoint& listenAddress) {
  try {
    openListener(acceptor_, listenAddress);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error(std::string("cannot listen for operators: ") + error.what());
  }
  accept();
}

void OpsServer::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) return retryAccept();
    onAccepted(std::move(socket));
    accept();
  });
}

void OpsServer::retryAccept() {
  acceptRetryTimer_.expires_after(kAcceptRetryDelay);
  acceptRetryTimer_.async_wait([this](const Error& error) {
    if (!error) accept();
  });
}

// Adds the connection. Closes the oldest connections while there are too many or memory is short; the memory
// reserved for operators is sufficient for the maximum number of connections.
void OpsServer::onAccepted(tcp::socket socket) {
  auto memory = overloadManager_.memory().open(Account::operators);
  while (!connections_.empty() &&
         (connections_.size() >= limits_.connections || !memory.resize(kConnectionBytes))) {
    overloadManager_.waitQueues().countRejection(WaitQueue::operatorCall);
    connections_.front()->abandon();
    connections_.pop_front();
  }
  if (memory.bytes() == 0 && !memory.resize(kConnectionBytes)) return;
  connections_.push_back(std::make_shared<OperatorConnection>(*this, std::move(socket), std::move(memory)));
  connections_.back()->start();
}

void OpsServer::remove(const std::shared_ptr<OperatorConnection>& connection) {
  std::erase(connections_, connection);
}

std::string OpsServer::responseTo(const std::string& line) {
  if (line == "readyz") return calls_.readyToServe() ? "200 ready\n" : "400 not ready\n";
  if (line == "telemetry") return calls_.telemetry();
  if (line == "duties") return calls_.leaderTasks();
  if (line == "roster") return calls_.membershipRecord();
  if (line == "members") return calls_.replicationMembers();
  if (line == "replica") return calls_.replicationState();
  const auto space = line.find(' ');
  const std::string verb = line.substr(0, space);
  const std::string workerId = space == std::string::npos ? "" : line.substr(space + 1);
  const bool isChange = verb == "exclude" || verb == "include";
  if (!isChange || workerId.empty() || workerId.find_first_of(" \t") != std::string::npos)
    return "400 no such call\n";
  const ExclusionResult result = verb == "exclude" ? calls_.exclude(workerId) : calls_.include(workerId);
  return wingslip::exclusionResponse(result, verb + "d " + workerId);
}

}  // namespace wingslip
