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

constexpr std::size_t kCaller =
    8 * 1024;  // with its line and telemetry; what is longer finds room or is not said
constexpr std::size_t kWithin = 7 * 1024;  // of an answer
constexpr auto kAcceptPause = 50ms;        // after an accept that failed, for want of descriptors as a rule

}  // namespace

// One caller: its line, its answer, its end.
class OpsServer::Caller : public GuardedConnection<Caller> {
 public:
  Caller(OpsServer& server, tcp::socket socket, MemoryBudget::Charge room)
      : server_(server),
        room_(std::move(room)),
        socket_(std::move(socket)),
        timer_(socket_.get_executor(), server.limits_.callWithin) {}

  void start() {
    waiting_.enter(server_.pressure_.waitQueues(), WaitQueue::operatorCall, OverloadManager::now());
    timer_.async_wait(guard([this](const Error& error, std::size_t) {
      if (!error) finish();
    }));
    asio::async_read_until(
        socket_, asio::dynamic_buffer(line_, server_.limits_.line), '\n',
        guard([this](const Error& error, std::size_t n) {
          if (error == asio::error::not_found || (error == asio::error::eof && !line_.empty()))
            return say("400 not a whole call\n");
          if (error) return finish();
          line_.resize(n - 1);
          if (!line_.empty() && line_.back() == '\r') line_.pop_back();
          say(server_.answerTo(line_));
        }));
  }

  // Ends it and tells nobody.
  void abandon() {
    markEnded();
    waiting_.leave();
    room_.release();
    timer_.cancel();
    Error ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
  }

 private:
  void say(std::string text) {
    out_ = std::move(text);
    if (out_.size() > kWithin && !room_.resize(kCaller + out_.size()))
      out_ = "400 no memory for the answer now\n";
    asyncWriteAll(
        socket_, asio::buffer(out_), [self = shared_from_this()] { return !self->ended(); },
        [self = shared_from_this()](const Error&) { self->finish(); });
  }

  void finish() {
    const auto self = shared_from_this();
    abandon();
    server_.remove(self);
  }

  OpsServer& server_;
  MemoryBudget::Charge room_;
  WaitQueues::QueueEntry waiting_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string line_, out_;
};

OpsServer::OpsServer(asio::io_context& io, const Limits& limits, Operated& operated,
                     OverloadManager& pressure)
    : limits_(limits), operated_(operated), pressure_(pressure), acceptor_(io), pause_(io) {}

OpsServer::~OpsServer() {
  for (const auto& caller : callers_) caller->abandon();
}

void OpsServer::start(const tcp::endpoint& at) {
  try {
    openListener(acceptor_, at);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error(std::string("cannot listen for operators: ") + error.what());
  }
  accept();
}

void OpsServer::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      pause_.expires_after(kAcceptPause);
      pause_.async_wait([this](const Error& stopped) {
        if (!stopped) accept();
      });
      return;
    }
    // The operators' own part holds as many callers as there may be.
    auto room = pressure_.memory().open(Account::operators);
    while (!callers_.empty() && (callers_.size() >= limits_.connections || !room.resize(kCaller))) {
      pressure_.waitQueues().countRejection(WaitQueue::operatorCall);
      callers_.front()->abandon();
      callers_.pop_front();
    }
    if (room.bytes() == 0 && !room.resize(kCaller)) return accept();
    callers_.push_back(std::make_shared<Caller>(*this, std::move(socket), std::move(room)));
    callers_.back()->start();
    accept();
  });
}

void OpsServer::remove(const std::shared_ptr<Caller>& caller) { std::erase(callers_, caller); }

namespace {

// `what`: the change in words.
std::string answerTo(const ByHand& change, const std::string& what) {
  switch (change.state) {
    case ByHand::State::done:
      return "200 " + what + "\n";
    case ByHand::State::unknown_worker:
      return "400 not " + what + ": no list has named it\n";
    case ByHand::State::too_many:
      return "400 not " + what + ": too many are excluded\n";
    case ByHand::State::not_kept:
      return "400 " + what + " here, but not kept yet: " + change.error.message() + "; tried again\n";
  }
  return "400 no such call\n";
}

}  // namespace

std::string OpsServer::answerTo(const std::string& line) {
  if (line == "readyz") return operated_.readyToServe() ? "200 ready\n" : "400 not ready\n";
  if (line == "telemetry") return operated_.telemetry();
  if (line == "duties") return operated_.duties();
  if (line == "roster") return operated_.roster();
  if (line == "members") return operated_.sharers();
  if (line == "replica") return operated_.replica();
  const auto space = line.find(' ');
  const std::string verb = line.substr(0, space);
  const std::string id = space == std::string::npos ? "" : line.substr(space + 1);
  if ((verb != "exclude" && verb != "include") || id.empty() || id.find_first_of(" \t") != std::string::npos)
    return "400 no such call\n";
  return wingslip::answerTo(verb == "exclude" ? operated_.exclude(id) : operated_.include(id),
                            verb + "d " + id);
}

}  // namespace wingslip
