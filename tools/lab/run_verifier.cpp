#include "run_verifier.hpp"

#include <algorithm>
#include <array>

namespace wingslip::lab {
namespace {
/// Developers' page: no new attempt later than 2 s after the report that the worker drains.
constexpr double kDrainSlackMs = 2000;
/// PROTOCOL: an answer up to half a second after the deadline has no value, a later one counts as lost.
constexpr double kAnswerSlackMs = 500;
/// 0.1 s permitted by the rules on exclusions and on clients that disconnect, and 0.1 s for the path through
/// the lab's proxies.
constexpr double kAttemptSlackMs = 100 + 100;
constexpr std::size_t kMaxReportedViolations = 100;
}  // namespace

namespace {
constexpr std::array<std::pair<RequestOutcome, const char*>, 10> kOutcomeNames{
    {{RequestOutcome::pending, "open"},
     {RequestOutcome::served, "served"},
     {RequestOutcome::refused, "refused"},
     {RequestOutcome::failed, "failed"},
     {RequestOutcome::closed, "closed"},
     {RequestOutcome::unreachable, "unreachable"},
     {RequestOutcome::timedOut, "lost"},
     {RequestOutcome::wrongBody, "wrong"},
     {RequestOutcome::closedUndelivered, "crossed"},
     {RequestOutcome::clientDisconnected, "left"}}};
constexpr std::array<const char*, kRuleCount> kRuleNames{
    "answered_twice", "wrong_body",  "late",         "unanswered",        "crossed_run", "past_cap",
    "to_leaving",     "to_excluded", "after_client", "peer_left_hanging", "fencing"};
}  // namespace

const char* nameOf(RequestOutcome outcome) {
  for (const auto& [known, name] : kOutcomeNames)
    if (known == outcome) return name;
  return "?";
}

std::optional<RequestOutcome> requestOutcomeOf(const std::string& name) {
  for (const auto& [outcome, text] : kOutcomeNames)
    if (name == text) return outcome;
  return std::nullopt;
}

const char* nameOf(Rule rule) { return kRuleNames[static_cast<std::size_t>(rule)]; }

void RunVerifier::recordViolation(Rule rule, std::string text) {
  ++violationCount_;
  ++violationsByRule_[nameOf(rule)];
  if (violations_.size() < kMaxReportedViolations) violations_.push_back(std::move(text));
}

void RunVerifier::sent(std::uint64_t id, int gatekeeper, double atMs, double deadlineMs) {
  requests_[id] = Request{id, gatekeeper, atMs, deadlineMs, 0, RequestOutcome::pending, 0, false};
}

void RunVerifier::answered(std::uint64_t id, double atMs, int status, const std::string& body) {
  const auto found = requests_.find(id);
  if (found == requests_.end())
    return recordViolation(Rule::answered_twice, "an answer to a request that was never sent");
  Request& r = found->second;
  if (r.outcome != RequestOutcome::pending)
    return recordViolation(Rule::answered_twice, "request " + std::to_string(id) + " answered twice");
  r.endMs = atMs, r.status = status;
  if (status == 200) {
    const auto made = workerBodies_.find(id);
    const bool fromWorker = made != workerBodies_.end() &&
                            std::find(made->second.begin(), made->second.end(), body) != made->second.end();
    r.outcome = fromWorker ? RequestOutcome::served : RequestOutcome::wrongBody;
    if (!fromWorker)
      recordViolation(Rule::wrong_body,
                      "request " + std::to_string(id) +
                          ": a 200 with a body that no worker produced for it: " + body.substr(0, 80) +
                          (made == workerBodies_.end() ? " (no worker received an attempt)" : ""));
  } else {
    r.outcome = status == 429 || status == 503 ? RequestOutcome::refused : RequestOutcome::failed;
  }
  const bool exempt = lateExemptWhileDown_ && wasDown(r.gatekeeper, r.sentMs, atMs);
  if (atMs > r.sentMs + r.deadlineMs + kAnswerSlackMs && !exempt)
    recordViolation(Rule::late, "request " + std::to_string(id) + " answered " +
                                    std::to_string(atMs - r.sentMs) + " ms after it was sent");
}

void RunVerifier::ended(std::uint64_t id, double atMs, RequestOutcome outcome) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.outcome != RequestOutcome::pending) return;
  Request& r = found->second;
  r.outcome = outcome, r.endMs = atMs;
  r.exempt = wasDown(r.gatekeeper, r.sentMs, atMs);
  // A gatekeeper that ran throughout and closed the connection or did not answer has accepted and lost the
  // request. A request whose connection was never established was not accepted.
  if ((outcome == RequestOutcome::closed || outcome == RequestOutcome::timedOut) && !r.exempt)
    recordViolation(Rule::unanswered, "request " + std::to_string(id) + " at gatekeeper " +
                                          std::to_string(r.gatekeeper) + " " + nameOf(outcome) +
                                          " without an answer");
}

void RunVerifier::attemptReceived(std::uint64_t id, int worker, int gatekeeper, double atMs,
                                  const std::string& body) {
  workerBodies_[id].push_back(body);
  attemptLog_.emplace_back(worker, atMs);
  if (++attemptCounts_[id] > attemptsCap_)
    recordViolation(Rule::past_cap, "request " + std::to_string(id) + ": attempt " +
                                        std::to_string(attemptCounts_[id]) + " exceeds the cap of " +
                                        std::to_string(attemptsCap_));
  const auto reported = drainingSinceMs_.find({gatekeeper, worker});
  if (reported != drainingSinceMs_.end() && atMs > reported->second + kDrainSlackMs + linkDelayMs_)
    recordViolation(Rule::to_leaving, "gatekeeper " + std::to_string(gatekeeper) + " sent request " +
                                          std::to_string(id) + " to worker " + std::to_string(worker) + " " +
                                          std::to_string(atMs - reported->second) +
                                          " ms after the report that the worker drains");
  const auto excluded = excludedSinceMs_.find({gatekeeper, worker});
  if (excluded != excludedSinceMs_.end() && atMs > excluded->second + kAttemptSlackMs + linkDelayMs_)
    recordViolation(Rule::to_excluded, "gatekeeper " + std::to_string(gatekeeper) + " sent request " +
                                           std::to_string(id) + " to worker " + std::to_string(worker) +
                                           ", excluded by an operator " +
                                           std::to_string(atMs - excluded->second) + " ms earlier");
  const auto disconnectedAt = clientDisconnectedAtMs_.find(id);
  if (disconnectedAt != clientDisconnectedAtMs_.end() &&
      atMs > disconnectedAt->second + kAttemptSlackMs + linkDelayMs_)
    recordViolation(Rule::after_client,
                    "gatekeeper " + std::to_string(gatekeeper) + " sent request " + std::to_string(id) + " " +
                        std::to_string(atMs - disconnectedAt->second) + " ms after its client disconnected");
}

void RunVerifier::closedUndelivered(std::uint64_t id, double atMs) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.outcome != RequestOutcome::pending) return;
  Request& r = found->second;
  r.outcome = RequestOutcome::closedUndelivered, r.endMs = atMs;
  r.exempt = wasDown(r.gatekeeper, r.sentMs, atMs);
  if (attemptCounts_.contains(id) && !r.exempt)
    recordViolation(Rule::crossed_run,
                    "request " + std::to_string(id) + " at gatekeeper " + std::to_string(r.gatekeeper) +
                        ": its connection was closed without an answer although a worker had received it");
}

void RunVerifier::clientDisconnected(std::uint64_t id, double atMs) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.outcome != RequestOutcome::pending) return;
  found->second.outcome = RequestOutcome::clientDisconnected, found->second.endMs = atMs;
  clientDisconnectedAtMs_[id] = atMs;
}

void RunVerifier::invalidRequestUnanswered(int gatekeeper, double sinceMs, double atMs) {
  if (wasDown(gatekeeper, sinceMs, atMs)) return;
  recordViolation(Rule::peer_left_hanging,
                  "gatekeeper " + std::to_string(gatekeeper) +
                      " neither answered an incomplete or malformed request nor closed its connection for " +
                      std::to_string(atMs - sinceMs) + " ms");
}

void RunVerifier::workerExcluded(int gatekeeper, int worker, double atMs) {
  excludedSinceMs_.try_emplace({gatekeeper, worker}, atMs);
}
void RunVerifier::workerIncluded(int gatekeeper, int worker) { excludedSinceMs_.erase({gatekeeper, worker}); }

void RunVerifier::drainReported(int gatekeeper, int worker, double atMs) {
  drainingSinceMs_.try_emplace({gatekeeper, worker}, atMs);
}
void RunVerifier::drainReportDiscarded(int gatekeeper, int worker) {
  drainingSinceMs_.erase({gatekeeper, worker});
}

bool RunVerifier::dutyRecordWritten(std::uint64_t token, const std::string& holder, double atMs) {
  if (token < highestToken_)
    recordViolation(Rule::fencing, "a write under token " + std::to_string(token) + " took effect at " +
                                       std::to_string(atMs) + " ms, after token " +
                                       std::to_string(highestToken_));
  if (token == highestToken_ && holder != highestTokenHolder_)
    recordViolation(Rule::fencing, "token " + std::to_string(token) +
                                       " has two holders: " + highestTokenHolder_ + " and " + holder);
  if (token <= highestToken_) return false;
  highestToken_ = token, highestTokenHolder_ = holder;
  return true;
}

void RunVerifier::gatekeeperDown(int gatekeeper, double fromMs) {
  auto& spans = downIntervals_[gatekeeper];
  if (spans.empty() || spans.back().second < fromMs) spans.emplace_back(fromMs, 1e18);
}

void RunVerifier::gatekeeperUp(int gatekeeper, double atMs) {
  auto& spans = downIntervals_[gatekeeper];
  if (!spans.empty() && spans.back().second > atMs) spans.back().second = atMs;
}

bool RunVerifier::wasDown(int gatekeeper, double fromMs, double toMs) const {
  const auto found = downIntervals_.find(gatekeeper);
  if (found == downIntervals_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](const auto& span) { return span.first <= toMs && span.second >= fromMs; });
}

void RunVerifier::endRun(double atMs) {
  for (auto& [id, r] : requests_)
    if (r.outcome == RequestOutcome::pending) ended(id, atMs, RequestOutcome::timedOut);
}

long RunVerifier::count(RequestOutcome outcome, std::optional<int> gatekeeper, double afterMs,
                        double beforeMs) const {
  return std::count_if(requests_.begin(), requests_.end(), [&](const auto& item) {
    const Request& r = item.second;
    return r.outcome == outcome && (!gatekeeper || r.gatekeeper == *gatekeeper) && r.sentMs >= afterMs &&
           r.sentMs < beforeMs;
  });
}

std::vector<double> RunVerifier::servedLatenciesMs() const {
  std::vector<double> out;
  for (const auto& [id, r] : requests_)
    if (r.outcome == RequestOutcome::served) out.push_back(r.endMs - r.sentMs);
  return out;
}

}  // namespace wingslip::lab
