/// A lab scenario: the fleet, its load and its scheduled faults. The TOML file is parsed and validated
/// completely before any process is started. The only I/O is reading the file.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "faults/system_faults.hpp"

namespace wingslip::lab {

/// The scenario file is invalid. The message starts with file, line and column ("crash.toml:7:1: ...").
struct InvalidScenario : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A scheduled fault or repair. `kind` decides which target fields are set:
/// - gatekeeper faults (kill, stop, cont, pause, term, finish, restart, upgrade, hup) set `gatekeeper`. Both
///   `term` and `finish` send SIGTERM; only `term` exempts the requests in flight from the rules;
/// - operators' calls (exclude, include) set `gatekeeper` and `worker`;
/// - link faults (cut, blackhole, oneway, delay, throttle, heal) set `worker`, `zone` or `link`, and may set
///   `gatekeeper` (default: all gatekeepers);
/// - worker faults (drain, silent, revive, restart_worker) set `worker` or `zone`;
/// - agent faults (agent_down, agent_up, watch_end, watch_silent, discovery_crowded, discovery_ok) and
///   `invalidate`, which ends the gatekeeper's store sessions, set `gatekeeper`;
/// - system faults (calls, clock_step, disk) may set `gatekeeper` (default: all gatekeepers);
/// - store faults (store_stop, store_start, store_wipe, store_save, store_old, store_silent, store_errors,
///   store_lose, store_ok) have no target.
struct Step {
  double atS = 0;    ///< seconds after the start of the load
  std::string kind;  ///< the file's key `do`
  std::optional<int> gatekeeper, worker;
  /// Set when the file names a role in place of a gatekeeper's number. "holder": the leader at the time of
  /// the step; "former": the gatekeeper that the last "holder" step resolved to.
  std::string role;
  std::optional<std::string> zone;
  /// "discovery" or "store": the gatekeepers' links to that stand-in; "peers": the links between gatekeepers.
  std::string link;
  /// "peers" only: selects the links, in both directions, between gatekeepers with an index below this one
  /// and the other gatekeepers.
  int below = 0;
  double delayMs = 0;             ///< `delay` only: added to each chunk of data, in each direction
  double bytesPerS = 0;           ///< `throttle` only: bandwidth limit in each direction
  std::string patch;              ///< `hup` only: JSON merge patch for the gatekeeper's configuration file
  std::optional<CallFault> call;  ///< `calls` only: the kind of system call that fails from this step on
  double share = 0;               ///< `calls` only: the share of these calls that fail, 0 to 1
  double stepMs = 0;              ///< `clock_step` only: offset added to the wall clock
  double forMs = 0;               ///< `pause` only: how long the process is stopped
  int diskError = 0;              ///< `disk` only: errno that file writes return from this step on; 0: none
  int line = 0;                   ///< line in the scenario file, for messages
};

/// Clients that connect to each gatekeeper and stay idle. A connection that the gatekeeper closes is reopened
/// immediately, within the connection rate.
struct IdleLoad {
  int each = 0;                   ///< clients per gatekeeper; 0: no idle clients
  std::optional<int> gatekeeper;  ///< the only gatekeeper that gets idle clients; unset: all gatekeepers
  double fromS = 0;               ///< seconds after the start of the load
  double untilS = 0;              ///< seconds after the start of the load; all connections are closed then
  double connectsPerS = 200;      ///< limit of connections a second to one gatekeeper, reconnects included
  double requestShare = 0.3;      ///< share of the clients that send one complete request and then stay idle
  double partShare = 0.05;  ///< share of the clients that send part of a request; the others send nothing
};

/// Misbehaving clients on persistent connections (`misbehaving_clients.hpp`). Each share is a part, 0 to 1,
/// of the exchanges; the remaining exchanges are well-formed.
struct MisbehavingLoad {
  int clients = 0;       ///< in total over all gatekeepers
  double thinkMs = 200;  ///< mean time between two exchanges
  double leave = 0;      ///< disconnect while the request is being sent or is in flight
  double pipeline = 0;   ///< send several requests without waiting for the answers
  double stop = 0;       ///< send part of a request and keep the connection open
  double slow = 0;       ///< write a request in small pieces
  double malformed = 0;  ///< send bytes that are not an HTTP request
};

/// Misbehaviour of the stand-in workers. Each value is a share, 0 to 1, of the exchanges.
struct MisbehavingWorkers {
  double twice = 0;     ///< sends a second answer some milliseconds after the first
  double unframed = 0;  ///< answers without a length and closes the connection
  double broken = 0;    ///< resets the connection in the middle of the answer
  double reset = 0;     ///< resets the connection after reading the request
  double hang = 0;      ///< never answers
  double error = 0;     ///< answers 500
  double closes = 0;    ///< closes the connection some time after the answer
};

/// An expected count, checked after the run. `countName` names the count:
/// - served, refused, failed, closed, unreachable, lost, wrong: requests with that outcome, of those sent in
///   [afterS, beforeS), at one gatekeeper or all;
/// - attempts: attempts that arrived at a worker, or at the workers of a zone, in [afterS, beforeS);
/// - upgrades: upgrades whose old process exited with status 0;
/// - claims: new tokens recorded for the leader task;
/// - roster_here, roster_draining, roster_left, roster_missing: names in that state in the last roster
///   recorded before beforeS;
/// - roster_agreed: gatekeepers that report that roster to operators at the end;
/// - copies_equal: gatekeepers that have the most common copy of the shared state at the end;
/// - idle_opened, idle_closed, idle_refused: connections of the idle clients;
/// - figure: the largest value of that figure in the telemetry of one gatekeeper, or of all, in
///   [afterS, beforeS).
struct Expectation {
  std::string countName;  ///< the file's key `fate`
  std::string figure;     ///< `figure` only: its name in the gatekeepers' telemetry, without "svc."
  std::optional<int> gatekeeper, worker;
  std::optional<std::string> zone;
  double afterS = 0, beforeS = 1e9;  ///< seconds after the start of the load
  std::optional<long> min, max;      ///< inclusive bounds; at least one is set
  int line = 0;                      ///< line in the scenario file, for messages
};

/// A validated scenario. The initial values apply where the file has no such key.
struct Scenario {
  std::string name;
  double lengthS = 10;  ///< duration of the load in seconds
  int gatekeepers = 3, workers = 4;
  /// Number of gatekeepers given in the settings (`nInstances`); never below the number started.
  int configuredGatekeepers = 0;
  std::vector<std::string> zones{"a"};  ///< assigned round-robin: worker w is in zones[w % size]
  // Load: open-loop Poisson arrivals.
  double rate = 50;  ///< requests a second over the whole fleet
  double deadlineMs = 1500;
  int customers = 32;
  double editShare = 0.2;   ///< share of requests that are keyed POSTs; the others are safe GETs
  int mostInFlight = 2000;  ///< limit of client requests in flight
  // Stand-in workers: log-normal service time.
  double serviceMs = 20, spread = 0.4;  ///< median and the standard deviation of the logarithm
  int workerInFlight = 32;              ///< concurrency limit of one worker; further requests are declined
  double coldS = 0;     ///< after a restart, a worker's service time falls from 4 times to 1 over this time
  int attemptsCap = 3;  ///< attempts per request
  /// The lab owns the clients' listening sockets and the gatekeepers inherit them, as on a platform with
  /// in-place upgrades. `upgrade` steps require it.
  bool inheritedSockets = false;
  /// `[store]`: gatekeepers use a coordination store.
  bool store = false;
  double storeTtlMs = 2000, storeLockDelayMs = 200;  ///< of the sessions in the store
  /// `[replica]`: gatekeepers share state. In a large fleet each is configured only with the two gatekeepers
  /// after it, and discovers the others through them.
  bool replica = false;
  double probeEveryMs = 300, gossipEveryMs = 100, repairEveryMs = 1500;
  IdleLoad idle;                          ///< `[idle_clients]`
  MisbehavingLoad misbehavingLoad;        ///< `[rough_clients]`
  MisbehavingWorkers misbehavingWorkers;  ///< `[rough_workers]`
  bool directWorkers = false;  ///< connect to workers without fault proxies, which saves cost with many links
  /// Every gatekeeper has a $TMPDIR that persists over restarts. `inheritedSockets` implies one.
  bool stateDirectories = false;
  /// Exempts late answers to requests in flight while their gatekeeper was down; a stop delays its answers.
  bool toleratesLateAnswers = false;
  /// Every gatekeeper runs with the fault library. Set by `[system]` and by steps with system faults.
  bool faultLibrary = false;
  SystemFaults system;      ///< active from each start of a gatekeeper
  std::string configPatch;  ///< JSON merge patch for every gatekeeper's configuration; empty: none
  std::vector<Step> steps;
  std::vector<Expectation> expects;

  /// Index in `zones` of the worker's zone.
  int zoneOf(int worker) const { return worker % static_cast<int>(zones.size()); }
};

/// Reads and validates a scenario file. `gatekeepers` and `workers`, where > 0, override the file's fleet
/// size before targets are validated. A `[random]` table (rate_per_s, faults, heal_after_s, from_s, until_s)
/// adds faults at Poisson times drawn from `seed`. Each hits a random target that has no other active fault,
/// and is undone after heal_after_s: kill and term by restart, stop by cont, link faults by heal, drain and
/// silent by revive, agent_down by agent_up. The steps are returned sorted by time.
/// @throws InvalidScenario with file:line:column of the first error in the file.
Scenario readScenario(const std::string& path, int gatekeepers = 0, int workers = 0, std::uint64_t seed = 1);

}  // namespace wingslip::lab
