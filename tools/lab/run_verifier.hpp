// Run verification: determines the outcome of every request from the events of a run and checks the rules of
// the developers' page. Reads no clock and no socket: times are milliseconds from the start of the load,
// given by the caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "scenario.hpp"

namespace wingslip::lab {

/// How a request ended, as its client saw it.
enum class RequestOutcome {
  pending,            ///< no outcome yet
  served,             ///< answered 200 with a body that a worker produced for it
  refused,            ///< answered 429 or 503
  failed,             ///< answered with any other status
  closed,             ///< the connection was closed before a complete answer
  unreachable,        ///< the client could not connect or could not write the request
  timedOut,           ///< no answer within the client's timeout
  wrongBody,          ///< answered 200 with a body that no worker produced for it
  closedUndelivered,  ///< sent while the gatekeeper was closing the connection, and not read by it
  clientDisconnected  ///< the client closed the connection before the answer
};
/// The name of an outcome in scenario and result files.
const char* nameOf(RequestOutcome outcome);
/// The inverse of nameOf; none for an unknown name.
std::optional<RequestOutcome> requestOutcomeOf(const std::string& name);

/// One request of a client. Times are milliseconds from the start of the load; the deadline counts from
/// sentMs.
struct Request {
  std::uint64_t id = 0;
  int gatekeeper = 0;
  double sentMs = 0, deadlineMs = 0, endMs = 0;
  RequestOutcome outcome = RequestOutcome::pending;
  int status = 0;
  bool exempt = false;  // its gatekeeper was down, stopped or terminating while it was in flight
};

/// The rules that are checked. Each enumerator is spelled as in the result files.
enum class Rule : std::uint8_t {
  answered_twice,     ///< a second answer to a request, or an answer to a request never sent
  wrong_body,         ///< a 200 whose body no worker produced for the request
  late,               ///< answered later than the deadline plus the permitted slack
  unanswered,         ///< accepted, then closed or timed out without an answer
  crossed_run,        ///< closed without an answer although a worker had received it
  past_cap,           ///< more attempts than the settings permit
  to_leaving,         ///< an attempt sent to a worker that is draining or removed
  to_excluded,        ///< an attempt sent to a worker that an operator has excluded
  after_client,       ///< an attempt for a client that had disconnected
  peer_left_hanging,  ///< an incomplete or malformed request neither answered nor closed
  fencing,            ///< a write under an outdated fencing token
};
constexpr std::size_t kRuleCount = static_cast<std::size_t>(Rule::fencing) + 1;
/// The name of a rule in the result files.
const char* nameOf(Rule rule);

/// Collects the events of one run and records the violations of the rules. Not thread-safe.
class RunVerifier {
 public:
  /// `attemptsCap`: the value of `permissions.attemptsCap` in the settings. More attempts than that for one
  /// request are a violation.
  explicit RunVerifier(int attemptsCap) : attemptsCap_(attemptsCap) {}

  // Events seen by clients.
  /// The complete request was sent to `gatekeeper`; `deadlineMs` counts from `atMs`.
  void sent(std::uint64_t id, int gatekeeper, double atMs, double deadlineMs);
  /// A complete answer to the request was received.
  void answered(std::uint64_t id, double atMs, int status, const std::string& body);
  /// The request ended without an answer: `outcome` is closed, unreachable or timedOut.
  void ended(std::uint64_t id, double atMs, RequestOutcome outcome);
  /// A reused connection was closed without an answer to the request. This is a violation if a worker has
  /// received the request; otherwise the gatekeeper closed the connection before it read the request.
  void closedUndelivered(std::uint64_t id, double atMs);
  /// The client has closed the connection. An attempt that starts more than kAttemptSlackMs later is a
  /// violation.
  void clientDisconnected(std::uint64_t id, double atMs);
  /// A client that sent an incomplete or malformed request at `sinceMs` has received neither an answer nor a
  /// close.
  void invalidRequestUnanswered(int gatekeeper, double sinceMs, double atMs);

  /// `worker` has received a complete attempt over the link of `gatekeeper`. `body` is the body of its answer
  /// if it answers 200.
  void attemptReceived(std::uint64_t id, int worker, int gatekeeper, double atMs, const std::string& body);
  /// The discovery agent of `gatekeeper` has reported `worker` as draining or removed. Only the first report
  /// counts.
  void drainReported(int gatekeeper, int worker, double atMs);
  /// Discards the report: the agent has reported `worker` as ready, or `gatekeeper` starts a new process that
  /// has not received the report.
  void drainReportDiscarded(int gatekeeper, int worker);
  /// An operator has excluded `worker` at `gatekeeper` from `atMs` on; workerIncluded() ends the exclusion.
  void workerExcluded(int gatekeeper, int worker, double atMs);
  void workerIncluded(int gatekeeper, int worker);
  /// Sets the longest delay, in ms, that slow links may add before an attempt arrives at its worker.
  void setLinkDelay(double ms) { linkDelayMs_ = ms; }
  /// Sets whether a late answer is exempt if its gatekeeper was down while the request was in flight.
  void exemptLateAnswersWhileDown(bool exempt) { lateExemptWhileDown_ = exempt; }
  /// `gatekeeper` is down from `fromMs` on, by a process fault (kill, stop, term) or after its exit;
  /// gatekeeperUp() marks the time at which it serves again.
  void gatekeeperDown(int gatekeeper, double fromMs);
  void gatekeeperUp(int gatekeeper, double atMs);

  /// `holder` has written the record of a leader task under `token`. Tokens only increase, and each has one
  /// leader. Returns true for the first write under this token.
  bool dutyRecordWritten(std::uint64_t token, const std::string& holder, double atMs);

  /// Ends the run: pending requests become timedOut. The counts and violations below are final after this
  /// call.
  void endRun(double atMs);
  /// The number of requests with this outcome that were sent within [afterMs, beforeMs), at one gatekeeper or
  /// at all gatekeepers.
  long count(RequestOutcome outcome, std::optional<int> gatekeeper = {}, double afterMs = 0,
             double beforeMs = 1e18) const;
  /// Texts of the first violations, in the order of their detection.
  const std::vector<std::string>& violations() const { return violations_; }
  /// The number of all violations, including those without a text.
  long violationCount() const { return violationCount_; }
  /// The number of violations by rule; rules without a violation are omitted.
  const std::map<std::string, long>& violationsByRule() const { return violationsByRule_; }
  /// All requests by id.
  const std::unordered_map<std::uint64_t, Request>& requests() const { return requests_; }
  /// Milliseconds from sending to the answer, for each served request, unsorted.
  std::vector<double> servedLatenciesMs() const;
  /// The number of complete attempts received within [afterMs, beforeMs) by workers for which `countsWorker`
  /// returns true.
  template <typename Predicate>
  long attempts(Predicate countsWorker, double afterMs, double beforeMs) const {
    long n = 0;
    for (const auto& [worker, atMs] : attemptLog_)
      n += countsWorker(worker) && atMs >= afterMs && atMs < beforeMs;
    return n;
  }

 private:
  void recordViolation(Rule rule, std::string text);
  bool wasDown(int gatekeeper, double fromMs, double toMs) const;

  int attemptsCap_;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::unordered_map<std::uint64_t, std::vector<std::string>> workerBodies_;
  std::unordered_map<std::uint64_t, int> attemptCounts_;
  std::vector<std::pair<int, double>>
      attemptLog_;  // (worker, received at); at most attemptsCap for a request that breaks no rule
  std::map<std::pair<int, int>, double> drainingSinceMs_;  // (gatekeeper, worker) -> reported at
  std::map<int, std::vector<std::pair<double, double>>> downIntervals_;
  std::uint64_t highestToken_ = 0;  // among the recorded tokens
  std::string highestTokenHolder_;
  std::vector<std::string> violations_;  // texts of the first 100
  long violationCount_ = 0;
  std::map<std::string, long> violationsByRule_;
  std::unordered_map<std::uint64_t, double> clientDisconnectedAtMs_;
  std::map<std::pair<int, int>, double> excludedSinceMs_;  // (gatekeeper, worker) -> excluded at
  double linkDelayMs_ = 0;
  bool lateExemptWhileDown_ = false;
};

}  // namespace wingslip::lab
