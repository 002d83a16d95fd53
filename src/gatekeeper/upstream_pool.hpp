// Connections to workers: one attempt at a time on each, its outcome, and what stands idle between attempts.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "net/http.hpp"
#include "net/overload_manager.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip {

// How an attempt ended, and the answer if it was served; of one that was passed on as it came, the last
// piece.
struct AttemptEnd {
  decision::AttemptOutcome outcome;
  std::string body;
  std::string contentType;
  bool streamed = false;
  MemoryBudget::Charge room;  // of the body
};

/// What an attempt sends: its head with the body, or with the body's beginning and where the rest comes from.
struct AttemptRequest {
  using Take = std::function<void(std::string&& piece, bool last)>;

  /// Called once, in the moment in which the first byte may be written: the one place from which anything is
  /// sent to a worker. None: nothing may be sent any more, and the attempt ends as one that never was.
  std::function<std::optional<std::string>()> compose;
  std::size_t size = 0;            ///< bytes that `compose` gives at most: what memory is charged with
  std::function<void(Take)> pull;  ///< none: the bytes are all
  bool chunked = false;            ///< how the rest is framed
};

class UpstreamPool {
 public:
  struct Limits {
    std::chrono::milliseconds connectTimeout{250};
    std::chrono::milliseconds idleFor{24000};  // shorter than a worker keeps an idle connection
    std::size_t total = 480;                   // connections to all workers
    std::size_t idlePerWorker = 64;
    std::chrono::milliseconds silentFor{10000};  // within an answer or a body that is passed on as it comes
  };
  struct Place {
    boost::asio::ip::tcp::endpoint address;
    // Of the worker's last start: connections opened before went to an earlier process.
    std::chrono::steady_clock::time_point processFrom = std::chrono::steady_clock::time_point::min();
  };
  using Ended = std::function<void(AttemptEnd&&)>;
  // Of what is passed on as it comes.
  struct Streams {
    // A good answer goes on past what is held whole; its pieces follow.
    std::function<void(decision::RequestId, const std::string& contentType,
                       std::optional<std::uint64_t> length)>
        began;
    // The next piece; nothing more is read until `resume`.
    std::function<void(decision::RequestId, std::string&& piece)> piece;
  };
  // What happened since the last look, for the service log.
  struct Stats {
    std::array<unsigned, 8> results{};  // attempts ended, by decision::AttemptResult
    unsigned unreadable = 0;            // answers that were no HTTP message within the limits
    unsigned resetReused = 0;           // connections that broke under an attempt and had carried one before
    unsigned resetInAnswer = 0;         // and that broke within an answer
    std::size_t mostBuffered = 0;       // bytes of one answer read and not yet understood
  };

  UpstreamPool(boost::asio::io_context& io, const Limits& limits, std::vector<std::string> reportFields,
               OverloadManager& pressure, Ended ended);
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  // Where a worker is. Connections to an earlier address or process are dropped, and attempts whose
  // connection to an earlier address is not up end as ones that could not connect.
  void place(decision::WorkerId worker, const Place& place);
  // Nothing new goes there; its idle connections are closed, and attempts of which nothing has been sent end
  // as ones that could not connect. Attempts that are out go on.
  void retire(decision::WorkerId worker);

  // Starts one attempt. `ended` is called once for it, never from within this call.
  void start(decision::RequestId id, unsigned attempt, decision::WorkerId worker, AttemptRequest request,
             std::optional<std::chrono::steady_clock::duration> timeout);
  // Gives the attempt of this request up and closes its connection; `ended` is not called for it.
  std::optional<AttemptEnd> giveUp(decision::RequestId id, decision::AttemptResult result);

  void streamTo(Streams streams) { streams_ = std::move(streams); }
  // There is room for the next piece of this request's answer.
  void resume(decision::RequestId id);
  // Changed settings, from the next connection or answer on.
  void retune(const Limits& limits, std::vector<std::string> reportFields);
  // Closes what stands idle at this worker, and ends attempts of which nothing has been sent.
  void quiet(decision::WorkerId id);
  // Attempts that could not be begun for want of descriptors or memory here, since the start.
  std::uint64_t shortHere() const { return short_; }
  // Attempts written whole since the start.
  std::uint64_t attemptsWritten() const { return written_; }
  std::size_t connections() const { return total_; }
  // Of the connections that there may be, the part that has an attempt.
  double busyShare() const {
    return static_cast<double>(busy_.size()) / static_cast<double>(std::max<std::size_t>(1, limits_.total));
  }
  Stats takeStats() { return std::exchange(stats_, {}); }

 private:
  class Connection;
  using Shared = std::shared_ptr<Connection>;
  struct Worker {
    Place place;
    bool retired = false;
    std::vector<Shared> idle;  // the most recent last
    std::vector<Shared> busy;  // those with an attempt
  };

  void addBusy(decision::RequestId id, const Shared& connection);
  void removeBusy(decision::RequestId id);
  Shared takeIdle(Worker& worker);
  bool makeRoom();
  bool dropOldestIdle();
  void report(decision::AttemptOutcome outcome);
  void finish(Connection& connection, AttemptEnd&& end);
  void keep(const Shared& connection);
  void drop(Connection& connection);
  void closeIdle(Worker& worker);
  void endThose(const Worker& worker, const std::function<bool(const Connection&)>& meant);
  void count(decision::AttemptResult result) { ++stats_.results[static_cast<std::size_t>(result)]; }

  boost::asio::io_context& io_;
  Limits limits_;
  Streams streams_;
  std::vector<std::string> reportFields_;
  OverloadManager& pressure_;
  const Ended ended_;
  std::unordered_map<decision::WorkerId, Worker> workers_;
  std::unordered_map<decision::RequestId, Shared> busy_;
  std::list<Shared> idle_;  // of all workers, the one that has stood idle longest first
  std::size_t total_ = 0;
  std::uint64_t written_ = 0, short_ = 0;
  Stats stats_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wingslip
