/// Checks at run time that no invariant is broken, from the events of requests, workers and connections.
///
/// It keeps its own record of what was told and done and asks nothing of the parts that decide, so that a
/// fault in them shows here. A violation is counted and logged once with the request's last states; it never
/// changes what the gatekeeper does. No I/O and no clock: times are ms of the caller's monotonic clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "invariant/invariant.hpp"
#include "wingslip/decision/gateway.hpp"

namespace wingslip::invariant {

using decision::Time;

/// The steps of a request, as its trace names them.
enum class RequestState : std::uint8_t {
  taken,
  connecting,  ///< an attempt waits for its connection
  sent,        ///< an attempt's first byte is being written
  ended_ok,
  ended_error,
  ended_declined,
  ended_timeout,
  ended_unconnected,
  ended_reset,
  ended_cancelled,
  ended_never_sent,
  streaming,
  answered,
  refused,
  failed,
  cut,
  client_left,
};
std::string_view nameOf(RequestState state);

/// One request's record, held by whoever holds the request.
class RequestTrace {
 public:
  struct Step {
    Time at = 0;
    RequestState state = RequestState::taken;
    decision::WorkerId worker = 0;
  };
  static constexpr std::size_t kSteps = 8;  // the last ones

  /// `name`: the client's id of the request, for the log.
  std::string name;
  Time deadline = 0;  ///< of its client; moves while a body is still to come
  decision::Idempotency repeat = decision::Idempotency::notIdempotent;
  Time window = 0;   ///< keyed: a repeat is dropped for so long after the first attempt that may have run
  unsigned cap = 1;  ///< attempts that the settings grant

  /// The last steps, the oldest first, as text.
  std::string text(Time now) const;

 private:
  friend class Monitor;
  void add(Time at, RequestState state, decision::WorkerId worker = 0);

  std::array<Step, kSteps> steps_{};
  std::size_t count_ = 0;
  unsigned sent_ = 0;  // attempts whose writing has begun
  bool out_ = false;   // one of them has not ended
  std::optional<Time> mayHaveRunSince_;
  Time sentAt_ = 0;
  bool answered_ = false, left_ = false;
};

/// What the settings say of workers.
struct WorkerRules {
  Time stopSendingWithin = 0;  ///< after a worker is told to leave
  double fallMultiple = 0, coldFrom = 1;
  Time fallSpan = 0, warmUp = 0;
};

class Monitor {
 public:
  /// `log`: a line for the log. At most one for each invariant in `kLogEvery`.
  using Log = std::function<void(const std::string&)>;
  static constexpr Time kLogEvery = 5000;
  /// How much more than a client has left may be passed on, and for how long a client may have been gone.
  static constexpr Time kDeadlineSlack = 150, kClientSlack = 100;
  /// After its deadline, until an answer counts as missing.
  static constexpr Time kAnswerSlack = 500;
  /// A worker's figures are forgotten past this many that nobody lists.
  static constexpr std::size_t kMostWorkers = 16384;

  /// `warmRate`: the good answers a ms of a warm worker, as this gatekeeper sees them; asked for where one in
  /// slow start is sent to, which is held against it.
  Monitor(Log log, std::function<double()> warmRate) : log_(std::move(log)), warmRate_(std::move(warmRate)) {}

  void rules(const WorkerRules& rules) { rules_ = rules; }

  // --- Workers ---
  void workerReady(decision::WorkerId worker, Time warmFrom);
  void workerLeaves(decision::WorkerId worker, decision::WorkerPhase phase, Time now);
  void workerExcluded(decision::WorkerId worker, Time now);
  void workerIncluded(decision::WorkerId worker);

  // --- Requests ---
  void taken(RequestTrace& trace, Time now);
  void connecting(RequestTrace& trace, decision::WorkerId worker, Time now);
  /// The first byte of an attempt is about to be written, with this deadline passed on.
  void sending(RequestTrace& trace, decision::WorkerId worker, Time now, Time passedOn);
  /// Of the attempt that was sent last, or that never was.
  void ended(RequestTrace& trace, decision::WorkerId worker, decision::AttemptResult result, Time now);
  void streaming(RequestTrace& trace, Time now);
  /// The final answer: answered, refused, failed or cut.
  void answered(RequestTrace& trace, RequestState how, Time now);
  void clientLeft(RequestTrace& trace, Time now);
  /// It is let go of for good; one without an answer whose client is still there is unanswered.
  void forgotten(RequestTrace& trace, Time now);

  // --- Connections and accounts ---
  void closedUnanswered(const std::string& what, Time now);
  /// Nothing should be held any more; `left` is what is, in words.
  void accounts(std::size_t held, const std::string& left, Time now);

  std::uint64_t count(Invariant invariant) const { return counts_[static_cast<std::size_t>(invariant)]; }
  std::uint64_t total() const;
  /// Lines `svc.invariant.NAME:VALUE|c`.
  std::string telemetry() const;

 private:
  struct Worker {
    std::optional<Time> leavesSince, excludedSince;
    decision::WorkerPhase phase = decision::WorkerPhase::ready;
    Time warmFrom = 0;
    std::deque<Time> sent;  // while it is in slow start: within the last `fallSpan`
  };

  void violated(Invariant invariant, Time now, const std::string& what);
  void violated(Invariant invariant, Time now, const RequestTrace& trace, const std::string& what);
  void checkWorker(const RequestTrace& trace, decision::WorkerId worker, Time now);
  void checkSlowStart(const RequestTrace& trace, Worker& worker, Time now);
  void checkRepeat(const RequestTrace& trace, Time now);
  void trimWorkers();

  const Log log_;
  WorkerRules rules_;
  const std::function<double()> warmRate_;
  std::unordered_map<decision::WorkerId, Worker> workers_;
  std::array<std::uint64_t, kInvariants> counts_{};
  std::array<Time, kInvariants> loggedAt_{};
};

}  // namespace wingslip::invariant
