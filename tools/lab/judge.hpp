// The lab's judge: every request's fate and the rules of the developers' page, from events. Pure: times are
// milliseconds from the start of the load, given by the caller; nothing here reads a clock or a socket.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "scenario.hpp"

namespace wingslip::lab {

enum class Fate { open, served, refused, failed, closed, unreachable, lost, wrong };
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

class Judge {
 public:
  // attemptsCap: the settings' `permissions.attemptsCap`; a worker that sees one id more often breaks a rule.
  explicit Judge(int attemptsCap) : attemptsCap_(attemptsCap) {}

  // Client side.
  void sent(std::uint64_t id, int gatekeeper, double atMs, double deadlineMs);
  void answered(std::uint64_t id, double atMs, int status, const std::string& body);
  void ended(std::uint64_t id, double atMs, Fate fate);  // closed, unreachable or lost (the client gave up)

  // Worker side: an attempt has come whole to `worker` through `gatekeeper`'s link; `body` is what it will
  // answer with a 200, if it does.
  void attempt(std::uint64_t id, int worker, int gatekeeper, double atMs, const std::string& body);
  // The agent of `gatekeeper` has written that `worker` drains or is gone (the first time counts).
  void drainTold(int gatekeeper, int worker, double atMs);
  void drainUndone(int gatekeeper, int worker);
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
  void breaks(std::string what);
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
};

}  // namespace wingslip::lab
