// A lab scenario: the fleet, the load and the faults at their times, read whole from TOML and checked before
// anything starts. Pure: no I/O but the read of the file.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "faults/system_faults.hpp"

namespace wingslip::lab {

// A scenario that cannot be played: `what` names the file, line and column ("crash.toml:7:1: ...").
struct BadScenario : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One fault or repair at its time. Which target fields are set depends on `what`:
// gatekeeper faults (kill, stop, cont, pause, term, finish, restart, upgrade, hup) set `gatekeeper`, where
// `term` excuses what is open then and `finish` (SIGTERM too) excuses nothing; link faults (cut, blackhole,
// oneway, delay, throttle, heal) set `worker`, `zone` or `link` and optionally `gatekeeper` (all when
// missing); worker faults (drain, silent, revive, restart_worker) set `worker` or `zone`; agent faults
// (agent_down, agent_up, watch_end, watch_silent, discovery_crowded, discovery_ok) and `invalidate` (its
// sessions at the store) set `gatekeeper`; faults of its system (calls, clock_step, disk) set `gatekeeper`,
// or none for all; the store's (store_stop, store_start, store_wipe, store_save, store_old, store_silent,
// store_errors, store_lose, store_ok) set none.
struct Step {
  double atS = 0;  // seconds from the start of the load
  std::string what;
  std::optional<int> gatekeeper, worker;
  // In place of a gatekeeper's number: "holder", who holds the duty at that time; "former", whom the last
  // step with "holder" meant.
  std::string role;
  std::optional<std::string> zone;
  std::string link;  // "discovery", "store": the links are those of gatekeepers to it; "peers": to each other
  int below = 0;     // "peers" only: the links between gatekeepers below this and the others, both ways
  double delayMs = 0;             // `delay` only: added to each piece, each way
  double bytesPerS = 0;           // `throttle` only: what passes at most, each way
  std::string patch;              // `hup` only: a JSON merge patch of that gatekeeper's configuration file
  std::optional<CallFault> call;  // `calls` only: the kind of system calls that fail from now on
  double share = 0;               // `calls` only: of these calls
  double stepMs = 0;              // `clock_step` only: by how much the wall clock is stepped
  double forMs = 0;               // `pause` only: how long the process stands still
  int diskError = 0;              // `disk` only: errno of writes to files from now on; 0: none
  int line = 0;                   // where it stands in the file, for messages
};

// Clients that connect to each gatekeeper and rest; a connection that the gatekeeper closes comes back at
// once, as far as the rate allows.
struct IdleLoad {
  int each = 0;                   // clients at each gatekeeper; 0: the scenario has none
  std::optional<int> gatekeeper;  // only at this one; none: at all of them
  double fromS = 0;               // seconds from the start of the load
  double untilS = 0;              // then all connections are closed
  double connectsPerS = 200;      // connections a second to one gatekeeper at most, returns among them
  double requestShare = 0.3;      // of the clients: send one whole request and rest
  double partShare = 0.05;        // of the clients: send part of a request and rest; the others send nothing
};

/// Clients that keep their connections and are rough with them (`rough_clients.hpp`). The shares are those of
/// the exchanges; the rest are plain ones.
struct RoughLoad {
  int clients = 0;       ///< over all gatekeepers
  double thinkMs = 200;  ///< between two exchanges, in the mean
  double leave = 0;      ///< go while their request is out, or in the middle of it
  double pipeline = 0;   ///< send several requests at once
  double stop = 0;       ///< stop in the middle of a request and stay
  double slow = 0;       ///< write a request in pieces
  double malformed = 0;  ///< send what is no request
};

/// What a stand-in worker does to some of its exchanges, as shares of them.
struct RoughWorkers {
  double twice = 0;     ///< answers a second time some milliseconds later
  double unframed = 0;  ///< answers with no length, and closes
  double broken = 0;    ///< resets the connection in the middle of the answer
  double reset = 0;     ///< resets the connection once it has the request
  double hang = 0;      ///< says nothing
  double error = 0;     ///< answers 500
  double closes = 0;    ///< closes the connection some time after the answer
};

// A count that the run must reach: fates (served, refused, failed, closed, unreachable, lost, wrong) of the
// requests sent in [afterS, beforeS), at one gatekeeper or all; `attempts` that came to a worker or a zone's
// workers in that time; `upgrades` whose old process has ended in order; `claims` of the duty (a new token
// was recorded); or of the last roster recorded before beforeS how many names are `roster_here`,
// `roster_draining`, `roster_left`, `roster_missing`; `copies_equal`, how many
// gatekeepers hold the most common copy of the shared state at the end; `roster_agreed`, how many
// gatekeepers tell that roster at the end to an operator; `idle_opened`, `idle_closed`, `idle_refused`, the
// idle clients' connections; or `figure`, the largest value of that figure that one gatekeeper or all told
// operators in [afterS, beforeS).
struct Expect {
  std::string fate;
  std::string figure;  // `figure` only: its name as in the gatekeepers' telemetry, without "svc."
  std::optional<int> gatekeeper, worker;
  std::optional<std::string> zone;
  double afterS = 0, beforeS = 1e9;
  std::optional<long> min, max;
  int line = 0;
};

struct Scenario {
  std::string name;
  double lengthS = 10;  // load from 0 to this
  int gatekeepers = 3, workers = 4;
  int settingsFor = 0;  // gatekeepers that the settings name; more than are started where the fleet is larger
  std::vector<std::string> zones{"a"};  // workers are dealt round them: worker w in zones[w % size]
  // Load: open-loop Poisson arrivals.
  double rate = 50;  // requests a second over the fleet
  double deadlineMs = 1500;
  int customers = 32;
  double editShare = 0.2;  // keyed POSTs; the rest safe GETs
  int mostInFlight = 2000;
  // Stand-in workers: log-normal service time.
  double serviceMs = 20, spread = 0.4;
  int workerInFlight = 32;
  double coldS = 0;  // a worker that starts anew answers 4 times slower, falling to 1 over this
  int attemptsCap = 3;
  // The lab holds the clients' listening sockets, as a platform does that upgrades in place; `upgrade` needs
  // it.
  bool heldSockets = false;
  // `[store]`: gatekeepers have a coordination store, with sessions of this TTL and lock-delay.
  bool store = false;
  double storeTtlMs = 2000, storeLockDelayMs = 200;
  // `[replica]`: gatekeepers share state; each is told of the two after it, and finds the others through
  // them.
  bool replica = false;
  double probeEveryMs = 300, gossipEveryMs = 100, repairEveryMs = 1500;
  IdleLoad idle;               // `[idle_clients]`
  RoughLoad rough;             // `[rough_clients]`
  RoughWorkers roughWorkers;   // `[rough_workers]`
  bool directWorkers = false;  // no fault proxies on the links to workers: many links cost little
  bool stateFolders = false;   // every gatekeeper has a $TMPDIR that outlives it; with heldSockets it has one
  bool clientsMayWait = false;  // a stopped process is late by as much: answers past their time are excused
  // `[system]`, or a step of that kind: every gatekeeper runs with the fault library.
  bool faultLibrary = false;
  SystemFaults system;      // from each start of a gatekeeper on
  std::string configPatch;  // a JSON merge patch of every gatekeeper's configuration; empty: none
  std::vector<Step> steps;
  std::vector<Expect> expects;

  int zoneOf(int worker) const { return worker % static_cast<int>(zones.size()); }
};

// Reads and checks a scenario. Fleet sizes given here (> 0) replace the file's before the targets are
// checked. A `[random]` table (rate_per_s, faults, heal_after_s, from_s, until_s) adds faults at Poisson
// times drawn from `seed`, each on a target picked by chance that no other fault holds, each undone after
// heal_after_s (kill and term by restart, stop by cont, link faults by heal, drain and silent by revive,
// agent_down by agent_up); the steps come out sorted by time. Throws BadScenario with file:line:column for
// the first fault the file has.
Scenario readScenario(const std::string& path, int gatekeepers = 0, int workers = 0, std::uint64_t seed = 1);

}  // namespace wingslip::lab
