// The replica's driver: a listener for the other gatekeepers, calls to them, one timer on the program's loop,
// a snapshot on disk, and what operators ask. Made only where the configuration has `replica`.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unordered_set>

#include "config/config.hpp"
#include "net/http_client.hpp"
#include "net/overload_manager.hpp"
#include "net/rate_limited_log.hpp"
#include "replication/replica.hpp"

namespace wingslip::replication {

class ReplicaNode : private Replica::Outside {
 public:
  using Changed = std::function<void(const Row& row)>;  // of others' rows, and of those read from disk

  // `stateDir`: where the snapshot lies; empty: there is none.
  ReplicaNode(boost::asio::io_context& io, const Replication& where, const std::string& name,
              const std::string& stateDir, std::uint64_t seed, OverloadManager& pressure, Changed changed);
  ~ReplicaNode() override;

  // Listens, at once or as soon as the other process of an upgrade lets go of the address.
  void start();
  void drain();  // tells the others, and lets go of the address

  void set(const std::string& table, const std::string& key, const std::string& value);
  void remove(const std::string& table, const std::string& key);
  const Row* find(const std::string& table, const std::string& key) const { return core_->find(table, key); }

  std::string telemetry() const;  // lines `svc.replica.NAME:VALUE|c` and `|g`
  std::string members() const;    // of operators: a line `200 ...`, then one a member, those lost first; EOF
  std::string state() const;      // likewise: rows, whether caught up, the copy's hash

 private:
  class Session;
  void send(const Replica::Send& send) override;
  void changed(const Row& row) override { changed_(row); }
  void told(const std::string& line) override { log_.say(line); }
  std::int64_t unixMs() const override;
  Time now() const;
  void listen();
  void accept();
  std::optional<Message> hear(const std::string& body);
  void ended(std::uint64_t id, const HttpClient::Response* response, const std::string& error);
  void turn();
  void saveLater();
  void save();
  std::uint64_t copyHash() const;

  boost::asio::io_context& io_;
  const Replication where_;
  const std::string file_;
  OverloadManager& pressure_;
  const Changed changed_;
  std::unique_ptr<Replica> core_;
  HttpClient calls_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_, listen_, save_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  std::thread saver_;  // writes one snapshot, since fsync blocks
  std::shared_ptr<std::atomic<bool>> saving_ = std::make_shared<std::atomic<bool>>(false);
  std::shared_ptr<std::atomic<bool>> saveFailed_ =
      std::make_shared<std::atomic<bool>>(false);  // the last one
  std::uint64_t savedHash_ = 0, bytesIn_ = 0, bytesOut_ = 0, malformed_ = 0, turnedAway_ = 0;
  Time startedAt_ = 0, caughtUpAt_ = -1;
  bool draining_ = false;
  RateLimitedLog log_{"replica"};
};

}  // namespace wingslip::replication
