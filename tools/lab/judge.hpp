// The lab's judge: every request's fate and the rules of the developers' page, from events. Pure: times are
// milliseconds from the start of the load, given by the caller; nothing here reads a clock or a socket.
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

/// crossed: sent on a connection that the gatekeeper was just ending, and heard by nobody; left: its client
/// went.
enum class Fate { open, served, refused, failed, closed, unreachable, lost, wrong, crossed, left };
const char* nameOf(Fate fate);
std::optional<Fate> fateOf(const std::string& name);  // the name as in nameOf; none: no such fate

struct Request {
  std::uint64_t id = 0;
  int gatekeeper = 0;
  double sentMs = 0, deadlineMs = 0, endMs = 0;
  Fate fate = Fate::open;
  int status = 0;
  bool excused = false;  // its gatekeeper was down, stopped or ending while it was out
};

/// The rules that the judge holds, as its counts name them.
enum class Rule : std::uint8_t {
  answered_twice,     ///< or an answer for a request never sent
  wrong_body,         ///< a 200 that no worker made for the request
  late,               ///< answered after its time and the slack
  unanswered,         ///< taken and closed, or silent
  crossed_run,        ///< closed without an answer although a worker had it
  past_cap,           ///< more attempts than the settings grant
  to_leaving,         ///< an attempt at a worker that drains or is gone
  to_excluded,        ///< an attempt at a worker that is excluded by hand
  after_client,       ///< an attempt for a client that had gone
  peer_left_hanging,  ///< a half request or nonsense neither answered nor closed
  fencing,            ///< an act under an old token
};
constexpr std::size_t kRules = static_cast<std::size_t>(Rule::fencing) + 1;
const char* nameOf(Rule rule);

class Judge {
 public:
  // attemptsCap: the settings' `permissions.attemptsCap`; a worker that sees one id more often breaks a rule.
  explicit Judge(int attemptsCap) : attemptsCap_(attemptsCap) {}

  // Client side.
  void sent(std::uint64_t id, int gatekeeper, double atMs, double deadlineMs);
  void answered(std::uint64_t id, double atMs, int status, const std::string& body);
  void ended(std::uint64_t id, double atMs, Fate fate);  // closed, unreachable or lost (the client gave up)
  /// Its connection, which had been used before, was closed with nothing said to it: it breaks a rule if a
  /// worker has seen it, else the close crossed it.
  void crossed(std::uint64_t id, double atMs);
  /// Its client has closed the connection: no attempt begins later than kLeftSlackMs after.
  void left(std::uint64_t id, double atMs);
  /// A peer that said half a request, or nonsense, has got neither an answer nor a close since `sinceMs`.
  void leftHanging(int gatekeeper, double sinceMs, double atMs);

  // Worker side: an attempt has come whole to `worker` through `gatekeeper`'s link; `body` is what it will
  // answer with a 200, if it does.
  void attempt(std::uint64_t id, int worker, int gatekeeper, double atMs, const std::string& body);
  // The agent of `gatekeeper` has written that `worker` drains or is gone (the first time counts).
  void drainTold(int gatekeeper, int worker, double atMs);
  void drainUndone(int gatekeeper, int worker);
  /// `gatekeeper` excludes the worker by hand from `atMs` on, and no longer.
  void excluded(int gatekeeper, int worker, double atMs);
  void included(int gatekeeper, int worker);
  /// How much later than it was written an attempt may come to its worker, where links are slow.
  void linksDelay(double ms) { linkDelayMs_ = ms; }
  /// Whether an answer past its time is excused where its gatekeeper was stopped meanwhile.
  void lateIsExcusedWhileDown(bool excused) { lateExcused_ = excused; }
  // A process fault of a gatekeeper (kill, stop, term) from `fromMs`, until `toMs` (it serves again).
  void down(int gatekeeper, double fromMs);
  void up(int gatekeeper, double atMs);

  // A duty's record was written under `token` by `holder`: tokens only rise, and each has one holder.
  // True: the first write under this token.
  bool recorded(std::uint64_t token, const std::string& holder, double atMs);

  // Requests still open at the end are lost. Then: the counts of fates and the broken rules.
  void close(double atMs);
  long count(Fate fate, std::optional<int> gatekeeper = {}, double afterMs = 0, double beforeMs = 1e18) const;
  const std::vector<std::string>& broken() const { return broken_; }
  long brokenCount() const { return brokenCount_; }
  /// How often each rule was broken; those that held are left out.
  const std::map<std::string, long>& brokenByRule() const { return brokenByRule_; }
  const std::unordered_map<std::uint64_t, Request>& requests() const { return requests_; }
  // Milliseconds from sending to the end, of the served ones: for quantiles.
  std::vector<double> servedTimes() const;
  // Attempts that came whole to a worker for which `of` holds, within [afterMs, beforeMs).
  template <typename Of>
  long attempts(Of of, double afterMs, double beforeMs) const {
    long n = 0;
    for (const auto& [worker, atMs] : attemptLog_) n += of(worker) && atMs >= afterMs && atMs < beforeMs;
    return n;
  }

 private:
  void breaks(Rule rule, std::string what);
  bool wasDown(int gatekeeper, double fromMs, double toMs) const;

  int attemptsCap_;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::unordered_map<std::uint64_t, std::vector<std::string>> bodies_;
  std::unordered_map<std::uint64_t, int> attempts_;
  std::vector<std::pair<int, double>> attemptLog_;  // worker, at: at most attemptsCap a request
  std::map<std::pair<int, int>, double> drained_;   // (gatekeeper, worker) -> told at
  std::map<int, std::vector<std::pair<double, double>>> downs_;
  std::uint64_t token_ = 0;  // the highest recorded, and its holder
  std::string holder_;
  std::vector<std::string> broken_;  // the first 100
  long brokenCount_ = 0;
  std::map<std::string, long> brokenByRule_;
  std::unordered_map<std::uint64_t, double> leftAt_;
  std::map<std::pair<int, int>, double> excluded_;  // (gatekeeper, worker) -> since
  double linkDelayMs_ = 0;
  bool lateExcused_ = false;
};

}  // namespace wingslip::lab
