/// Scripted peers over loopback sockets for tests of the gatekeeper: clients, workers and the discovery
/// agent. Everything runs on the test's thread. Waits end with the awaited event, and fail after 30 s.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "gatekeeper/gatekeeper.hpp"

namespace wingslip::test {

using asio::ip::tcp;
using nlohmann::json;

/// The test's end of a connection: the bytes received so far, and whether the other side has closed it.
class Peer : public std::enable_shared_from_this<Peer> {
 public:
  explicit Peer(tcp::socket socket) : socket_(std::move(socket)) {}
  std::string received;       ///< all bytes received
  bool closedByPeer = false;  ///< the other side has closed the connection, or a read or write has failed

  /// Pauses reading until `resumeReading`; a read that is already pending still completes.
  void pauseReading() { readPaused_ = true; }
  void resumeReading() {
    if (std::exchange(readPaused_, false) && !readPending_) read();
  }
  /// Sends this many bytes in pieces, as fast as the other side reads them; `bytesSent` counts those sent.
  void sendBytes(std::size_t bytes, char byte = 'x') {
    piece_.assign(16384, byte);
    unsentBytes_ += bytes;
    if (!writePending_) sendNextPiece();
  }
  std::size_t bytesSent = 0;

  /// Reads until an error or a pause, and appends the bytes to `received`.
  void read() {
    readPending_ = true;
    socket_.async_read_some(asio::buffer(readBuffer_),
                            [self = shared_from_this(), this](const Error& error, std::size_t n) {
                              readPending_ = false;
                              received.append(readBuffer_.data(), n);
                              if (error)
                                closedByPeer = true;
                              else if (!readPaused_)
                                read();
                            });
  }
  /// Sends the complete text; blocks until the kernel has accepted it.
  void send(const std::string& text) {
    Error ignored;  // the other side may have closed the connection already
    asio::write(socket_, asio::buffer(text), ignored);
  }
  void close() { socket_.close(); }
  /// Closes with a TCP reset, as a crashed process does: sent bytes that the other side has not read are
  /// lost.
  void reset() {
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
  }
  bool has(const std::string& text) const { return received.find(text) != std::string::npos; }
  /// The number of occurrences of `text` in the received bytes.
  std::size_t count(const std::string& text) const {
    std::size_t n = 0;
    for (auto position = received.find(text); position != std::string::npos;
         position = received.find(text, position + 1))
      ++n;
    return n;
  }

 private:
  void sendNextPiece() {
    if (unsentBytes_ == 0 || closedByPeer) return;
    writePending_ = true;
    socket_.async_write_some(asio::buffer(piece_.data(), std::min(unsentBytes_, piece_.size())),
                             [self = shared_from_this(), this](const Error& error, std::size_t n) {
                               writePending_ = false;
                               bytesSent += n;
                               unsentBytes_ -= n;
                               if (error)
                                 closedByPeer = true;
                               else
                                 sendNextPiece();
                             });
  }

  tcp::socket socket_;
  std::string piece_;
  std::size_t unsentBytes_ = 0;
  bool readPending_ = false, writePending_ = false, readPaused_ = false;
  std::array<char, 4096> readBuffer_{};
};
using PeerPtr = std::shared_ptr<Peer>;

/// Accepts connections at a free port and reads from all of them.
class Listener {
 public:
  explicit Listener(asio::io_context& io)
      : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    accept();
  }
  std::vector<PeerPtr> peers;  ///< all accepted connections, oldest first

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::string addressText() const { return "127.0.0.1:" + std::to_string(address().port()); }
  /// The number of occurrences of `text` in the bytes received on all connections.
  std::size_t count(const std::string& text) const {
    std::size_t n = 0;
    for (const auto& peer : peers) n += peer->count(text);
    return n;
  }

 private:
  void accept() {
    acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_shared<Peer>(std::move(socket)));
      peers.back()->read();
      accept();
    });
  }
  tcp::acceptor acceptor_;
};

/// A worker whose machine does not accept connections for a while: the listen backlog is full until `accept`.
class ListenerWithFullBacklog {
 public:
  explicit ListenerWithFullBacklog(asio::io_context& io) : acceptor_(io), first_(io), second_(io) {
    acceptor_.open(tcp::v4());
    acceptor_.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    acceptor_.listen(0);
    first_.connect(acceptor_.local_endpoint());
  }
  std::string addressText() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
  /// Accepts the waiting and all later connections. The kernel of a client that is waiting retransmits its
  /// SYN after one second.
  void accept() {
    acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_shared<Peer>(std::move(socket)));
      peers.back()->read();
      accept();
    });
  }
  std::vector<PeerPtr> peers;  ///< all accepted connections, oldest first

 private:
  tcp::acceptor acceptor_;
  tcp::socket first_, second_;
};

/// A loopback port on which nothing listens until the test or a process of it does. The socket stays bound
/// without listening, so the kernel gives the port to no other socket; a listener that sets SO_REUSEADDR, as
/// the program does, can bind it all the same.
class ReservedPort {
 public:
  explicit ReservedPort(asio::io_context& io) : socket_(io, tcp::v4()) {
    socket_.set_option(asio::socket_base::reuse_address(true));
    socket_.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  }
  tcp::endpoint address() const { return socket_.local_endpoint(); }
  std::string addressText() const { return "127.0.0.1:" + std::to_string(address().port()); }

 private:
  tcp::socket socket_;
};

/// The entry of a worker in an endpoint list. `address`: "host:port"; `startedAtMs`: Unix time.
inline json endpointEntryJson(const std::string& id, const std::string& address,
                              const std::string& lifecycle = "Ready", double startedAtMs = 0) {
  return {{"instanceId", id}, {"hostPort", address},    {"zone", "a"},   {"machineType", "m"},
          {"cell", 0},        {"lifecycle", lifecycle}, {"weight", 1.0}, {"startedAtMs", startedAtMs}};
}

/// An endpoint list as discovery sends it: a snapshot if `reset`, else a delta.
inline std::string endpointListJson(int generation, bool reset, const json& instances) {
  return json{{"generation", generation}, {"reset", reset}, {"instances", instances}}.dump();
}

/// Settings with three request classes, one for each kind of idempotency, and two plans.
inline json settingsJson() {
  return json::parse(R"({
    "me": 0, "nInstances": 2, "locality": 0, "localities": ["a", "b"], "shapes": ["m"],
    "discovery": "pushed",
    "permissions": {"attemptsCap": 4, "dialTimeout": 5000.0, "connIdle": 30000.0, "maxRetryAfter": 1000.0},
    "familyInfo": {"metering": 1000.0, "truedUp": false, "mostUnits": 2},
    "report": {"how": "answers", "fields": ["util", "queue"]},
    "rules": {"stopSendingWithin": 1000.0, "coldFrom": 0.2, "warmUp": 1000.0, "fallMultiple": 2.5,
              "overloadFor": 1000.0},
    "profiles": [
      {"name": "look", "aim": 20000.0, "deadline": 60000.0, "repeat": "safe", "window": 0.0, "worth": 1.0},
      {"name": "edit", "aim": 20000.0, "deadline": 60000.0, "repeat": "keyed", "dedupScope": "zone",
       "window": 60000.0, "worth": 2.0},
      {"name": "order", "aim": 20000.0, "deadline": 60000.0, "repeat": "unsafe", "worth": 3.0}],
    "plans": [
      {"name": "small", "unitsPerS": 0.001, "depth": 1.0, "pays": 1.0, "overrunCost": 1.0},
      {"name": "large", "unitsPerS": 1000.0, "depth": 1000.0, "pays": 1.0, "overrunCost": 1.0}]})");
}

/// A configuration file with the address of the discovery agent. `known`: the entries of the configured
/// endpoint list; if null, there is no such list.
inline json configJson(const std::string& discovery, const json& known = {}) {
  json out{{"name", "n0"},
           {"listen", "127.0.0.1:0"},
           {"discovery", discovery},
           {"seed", "8c1f30d27a5be964"},
           {"limits", {{"sockets", 256}}},
           {"settings", settingsJson()}};
  if (!known.is_null()) out["known"] = json::parse(endpointListJson(1, true, known));
  return out;
}

/// A client's HTTP request. All members are texts, so that tests can send malformed values.
struct TestRequest {
  std::string requestClass = "look";
  std::string plan = "large";
  std::string id = "00000000000000a1";
  std::string query = "client=00000000b4d65521";
  std::string deadline = "60000";  ///< in ms
  std::string callTerms = "units=1,spread=2,first=1";
  std::string extra;  ///< additional header lines, each terminated by CRLF
  std::string body;

  std::string text() const {
    std::string out =
        (requestClass == "look" ? "GET /" : "POST /") + requestClass + "?" + query + " HTTP/1.1\r\n";
    out += "Host: backend.local\r\nReq-Id: " + id + "\r\nX-Tier: " + plan + "\r\n";
    out += "Req-Deadline-Ms: " + deadline + "\r\nX-Call-Terms: " + callTerms + "\r\n" + extra;
    if (requestClass == "edit") out += "Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n";
    if (requestClass != "look") out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
  }
};

/// A worker's HTTP response. `status`: code and reason; `extra`: additional header lines, each terminated by
/// CRLF.
inline std::string httpResponse(const std::string& status, const std::string& body,
                                const std::string& extra = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extra +
         "\r\n" + body;
}

/// Base fixture: owns the event loop, runs it until a condition is true, and connects clients.
class Loopback : public ::testing::Test {
 protected:
  using Condition = std::function<bool()>;

  /// Runs the event loop until the condition is true; fails the test after 30 s, with
  /// `description` as the name of the condition.
  void waitUntil(const Condition& condition, const char* description) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!condition()) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(100));
      ASSERT_LT(std::chrono::steady_clock::now(), deadline) << "timed out waiting for: " << description;
    }
  }
  PeerPtr connectTo(const tcp::endpoint& to) {
    tcp::socket socket(io);
    socket.connect(to);
    const auto peer = std::make_shared<Peer>(std::move(socket));
    peer->read();
    return peer;
  }
  /// The address of a port on which no socket listens during the test.
  std::string unusedAddress() {
    if (!unused_) unused_.emplace(io);
    return unused_->addressText();
  }

  asio::io_context io{1};

 private:
  std::optional<ReservedPort> unused_;
};

}  // namespace wingslip::test
