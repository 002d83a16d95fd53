/// What a gatekeeper is given at its start: its environment and its configuration file.
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

/// The store through which gatekeepers elect a leader; the file's `coordination`.
struct Coordination {
  boost::asio::ip::tcp::endpoint store;
  std::string prefix;    ///< of all keys
  double ttlMs = 10000;  ///< of this process's session
  double lockDelayMs = 1000;
  bool operator==(const Coordination&) const = default;
};

/// The state that gatekeepers replicate among themselves; the file's `replica`.
struct Replication {
  boost::asio::ip::tcp::endpoint listen;
  std::string advertise;           ///< host:port where others reach `listen`
  std::string fleet = "wingslip";  ///< messages of another fleet are ignored
  std::map<std::string, std::string>
      peers;  ///< some of the others, name to host:port, by which all are found
  double probeEveryMs = 1000;
  double gossipEveryMs = 200;
  double repairEveryMs = 10000;
  unsigned fanout = 3;
  bool operator==(const Replication&) const = default;
};

/// All that a gatekeeper is configured with.
struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint discovery;
  std::optional<boost::asio::ip::tcp::endpoint> ops;  ///< where operators call; nothing: nowhere
  /// The clients' listening socket where the platform holds it; negative: listen at `listen`.
  int acceptFd = -1;
  std::string stateDir;  ///< what outlives the process in an upgrade lies here; empty: nothing does
  std::uint64_t seed = 0;
  unsigned sockets = 1024;  ///< file descriptors that the process may hold
  double memoryMb = 32;     ///< what the process may hold, MiB
  std::string known;        ///< the endpoint list as last had, in discovery's form; may be old
  decision::Settings settings;
  settings::HostSettings host;
  std::optional<Coordination> coordination;  ///< nothing: no leader election
  std::optional<Replication> replication;    ///< nothing: no replicated state
  /// Paths of all keys but `coordination`, `replica` and those within `known`, sorted.
  std::vector<std::string> keys;
};

/// A configuration that cannot be used. `what()` is one plain line that names the key. A malformed address or
/// setting is told by `parseEndpoint` and `settings::SettingsError` instead, without the key of the file.
struct ConfigError : std::runtime_error {
  explicit ConfigError(const std::string& what) : std::runtime_error("configuration: " + what) {}
};

/// The file is no JSON: it may be half written, and reading it again may help.
struct IncompleteConfigError : ConfigError {
  using ConfigError::ConfigError;
};

/// Reads the file at BALANCER_CONFIG and the other variables, which take precedence over the file.
/// @throws ConfigError, IncompleteConfigError.
Config readConfig();

/// Reads the file again; BALANCER_NAME, BALANCER_LISTEN and BALANCER_OPS take precedence, `discovery` is the
/// file's. `stateDir` and `acceptFd` are not set: those of the start hold.
/// @throws ConfigError, IncompleteConfigError; ConfigError also where a key of `before` is missing.
Config rereadConfig(const Config& before);

/// @throws ConfigError where `after` lacks a key that `before` had.
void requireSameKeys(const Config& before, const Config& after);

/// @throws ConfigError, IncompleteConfigError.
Config parseConfig(std::string_view json);

}  // namespace wingslip
