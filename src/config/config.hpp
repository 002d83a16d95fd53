// What a gatekeeper is told at its start: its environment and its configuration file.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings_reader.hpp"

namespace wingslip {

// The store through which gatekeepers agree on who holds a duty (`docs/design.md`).
struct Coordination {
  boost::asio::ip::tcp::endpoint store;
  std::string prefix;    // of all keys
  double ttlMs = 10000;  // of this process's session
  double lockDelayMs = 1000;
  bool operator==(const Coordination&) const = default;
};

// The state that gatekeepers share among themselves (`docs/design.md`).
struct Replication {
  boost::asio::ip::tcp::endpoint listen;
  std::string advertise;                     // host:port where others reach `listen`
  std::string fleet = "wingslip";            // gatekeepers of another fleet are not heard
  std::map<std::string, std::string> peers;  // some of the others, by name: where the fleet is found
  double probeEveryMs = 1000, gossipEveryMs = 200, repairEveryMs = 10000;
  unsigned fanout = 3;
  bool operator==(const Replication&) const = default;
};

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint discovery;
  std::optional<boost::asio::ip::tcp::endpoint> ops;  // where operators call; nothing: nowhere
  int acceptFd =
      -1;  // the clients' listening socket where the platform holds it; below 0: listen at `listen`
  std::string stateDir;  // what outlives the process in an upgrade lies here; empty: nothing does
  std::uint64_t seed = 0;
  unsigned sockets = 1024;  // file descriptors that the process may hold
  double memoryMb =
      32;             // what the process may hold; where nothing is told, the least that the platform grants
  std::string known;  // the list of workers as last had, in discovery's form; may be old
  decision::Settings settings;
  settings::HostSettings host;
  std::optional<Coordination> coordination;  // nothing: no duties, and nothing of them runs
  std::optional<Replication> replication;    // nothing: it shares no state
  // Paths of all keys but `coordination`, `replica` and those within `known`; a changed file has them all.
  std::vector<std::string> keys;
};

// All throw std::runtime_error with one plain line on what is missing or malformed.
Config readConfig();  // from BALANCER_CONFIG and the other variables, which go before the file
// The file as it is by now: after a change of it the variables, which stay as they were at the start, are
// old. It must have every key that `before` had, and throws HalfWritten where it is no JSON.
Config rereadConfig(const Config& before);
struct HalfWritten : std::runtime_error {
  using std::runtime_error::runtime_error;
};
void checkChange(const Config& before, const Config& after);
Config parseConfig(std::string_view json);

}  // namespace wingslip
