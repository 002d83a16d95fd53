/// The configuration of a gatekeeper: a JSON file, and environment variables that override it.
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

/// The store through which gatekeepers elect leaders; the section `coordination` of the file.
struct CoordinationConfig {
  boost::asio::ip::tcp::endpoint store;  ///< address of the store
  std::string prefix;                    ///< of all keys in the store
  double ttlMs = 10000;                  ///< time to live of this process's session, ms
  double lockDelayMs = 1000;  ///< how long a lock stays closed after its holder's session ended, ms
  bool operator==(const CoordinationConfig&) const = default;
};

/// Replication of state between gatekeepers; the section `replica` of the file.
struct ReplicationConfig {
  boost::asio::ip::tcp::endpoint listen;  ///< address for the other gatekeepers
  std::string advertise;                  ///< host:port at which the other gatekeepers reach `listen`
  std::string fleet = "wingslip";         ///< name of the fleet; messages of another fleet are ignored
  /// Some of the other gatekeepers, name to host:port, through which all of them are discovered.
  std::map<std::string, std::string> peers;
  double probeEveryMs = 1000;    ///< interval of failure detection probes, ms
  double gossipEveryMs = 200;    ///< interval of gossip messages, ms
  double repairEveryMs = 10000;  ///< interval of anti-entropy repair, ms
  unsigned fanout = 3;           ///< gatekeepers that a gossip message is sent to
  bool operator==(const ReplicationConfig&) const = default;
};

/// The complete configuration of a gatekeeper.
struct Config {
  std::string name;                                   ///< of this gatekeeper
  boost::asio::ip::tcp::endpoint listen;              ///< address for clients
  boost::asio::ip::tcp::endpoint discovery;           ///< address of the discovery agent
  std::optional<boost::asio::ip::tcp::endpoint> ops;  ///< address for operators; nullopt: no operators' port
  /// Listening socket for clients, inherited from the platform; negative: none, bind to `listen`.
  int inheritedListenFd = -1;
  std::string stateDir;    ///< directory of the state that is retained across an upgrade; empty: none is
  std::uint64_t seed = 0;  ///< seed of this process's random decisions
  unsigned maxFileDescriptors = 1024;  ///< limit on the file descriptors of the process
  double memoryLimitMib = 32;          ///< limit on the memory of the process, MiB
  std::string initialEndpointList;     ///< last endpoint list received, as discovery's JSON; may be outdated;
                                       ///< empty: none
  decision::Settings settings;
  settings::HostSettings host;
  std::optional<CoordinationConfig> coordination;  ///< nullopt: no leader election
  std::optional<ReplicationConfig> replication;    ///< nullopt: no replication
  /// JSON pointers of all keys but `coordination`, `replica` and those within `known`, sorted.
  std::vector<std::string> keys;
};

/// Thrown for an invalid configuration. `what()` is one line that names the key, if the error concerns one.
/// Malformed addresses and settings are reported by the exceptions of `parseEndpoint`, which do not name the
/// key, and by `settings::SettingsError` instead.
struct ConfigError : std::runtime_error {
  explicit ConfigError(const std::string& what) : std::runtime_error("configuration: " + what) {}
};

/// Thrown if the file is not JSON: it may be partially written, so that reading it again may succeed.
struct IncompleteConfigError : ConfigError {
  using ConfigError::ConfigError;
};

/// Reads the file at BALANCER_CONFIG and the other environment variables, which take precedence over the
/// file.
/// @throws ConfigError, IncompleteConfigError
Config readConfig();

/// Reads the file again for a reload. BALANCER_NAME, BALANCER_LISTEN and BALANCER_OPS take precedence;
/// `discovery` is taken from the file. `stateDir` and `inheritedListenFd` are not set: their values do not
/// change after the process's start.
/// @param before the configuration in force
/// @throws ConfigError, IncompleteConfigError; ConfigError also if a key of `before` is missing
Config rereadConfig(const Config& before);

/// Checks that no key has been removed.
/// @throws ConfigError if `after` lacks a key of `before`
void requireNoKeyRemoved(const Config& before, const Config& after);

/// Parses the text of a configuration file, without the environment variables.
/// @throws ConfigError, IncompleteConfigError
Config parseConfig(std::string_view json);

}  // namespace wingslip
