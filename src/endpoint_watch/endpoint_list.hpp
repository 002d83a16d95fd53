// Lists of workers as discovery tells them: reading, framing, and what of one that is old still holds. No
// I/O.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wingslip/decision/gateway.hpp"

namespace wingslip {

struct Instance {
  std::string id;
  boost::asio::ip::tcp::endpoint address;
  std::string zone, kind;
  unsigned cell = 0;
  decision::WorkerPhase phase = decision::WorkerPhase::ready;
  double startedAtMs = 0;  // Unix time; 0: long ago
};

struct Roster {
  long long generation = -1;
  bool reset = false;  // the whole list; else only what changed
  std::vector<Instance> instances;
};

// Throws std::runtime_error with one plain line: no JSON, wrong types, an unknown lifecycle, an id named
// twice.
Roster parseRoster(std::string_view json);

// What two lists that follow each other say together: the latest of each worker.
void addTo(Roster& first, Roster&& next);

// Cuts a stream into JSON objects by their braces, so that an object may stand on one line or, indented, on
// several. Between objects there is white space only; an empty line there is a heartbeat.
class ObjectReader {
 public:
  // The next whole object of `text`, which is the stream's bytes since the last `drop`; nothing: it is not
  // whole yet. Throws std::runtime_error where something else than an object begins.
  std::optional<std::string_view> next(std::string_view text);
  // Line ends between objects since the last call.
  std::size_t heartbeats();
  // How many bytes of `text` are done with; the caller removes them.
  std::size_t drop();
  void clear() { *this = {}; }

 private:
  std::size_t at_ = 0, from_ = 0, done_ = 0, beats_ = 0;
  unsigned depth_ = 0;
  bool quoted_ = false, escaped_ = false;
};

// Which lists hold. A list that is older than what is known (an agent that lags, a discovery that came back
// old) is turned down once, so that the whole list is asked for; where that is old as well there is nothing
// better, and it is taken, but workers once told to leave stay so until a list newer than all names them as
// ready or they have started anew.
class RosterHistory {
 public:
  RosterHistory() = default;
  RosterHistory(const RosterHistory&) = delete;  // byGeneration_ refers to the ids in leaving_
  RosterHistory& operator=(const RosterHistory&) = delete;
  // The version to ask from; below 0: the whole list.
  long long from() const { return from_; }
  // Asks for the whole list from now on, since what has come cannot be trusted.
  void requestFullList() { from_ = -1; }
  // False: turned down; the whole list is to be asked for. True: `list` holds as it now is.
  bool accept(Roster& list);

 private:
  struct Leaving {
    long long generation = 0;
    double startedAtMs = 0;
  };
  using LeavingById = std::map<std::string, Leaving>;

  void record(const Instance& instance, long long generation);
  void setGeneration(const std::string& id, Leaving& known, long long generation);
  void forget(LeavingById::iterator known);

  long long from_ = -1, newest_ = -1;
  LeavingById leaving_;
  std::set<std::pair<long long, std::string_view>> byGeneration_;  // the same, the oldest first
};

}  // namespace wingslip
