#include "judge.hpp"

#include <algorithm>
#include <array>

namespace wingslip::lab {
namespace {
constexpr double kDrainSlackMs = 2000;  // the developers' page: nothing new later than 2 s after told
constexpr double kAnswerSlackMs =
    500;  // PROTOCOL: up to half a second after its time earns nothing, later lost
constexpr double kLeftSlackMs = 100 + 100;  // 0.1 s by the rule, and the way through the lab's proxies
constexpr std::size_t kBrokenKept = 100;
}  // namespace

namespace {
constexpr std::array<std::pair<Fate, const char*>, 10> kNames{{{Fate::open, "open"},
                                                               {Fate::served, "served"},
                                                               {Fate::refused, "refused"},
                                                               {Fate::failed, "failed"},
                                                               {Fate::closed, "closed"},
                                                               {Fate::unreachable, "unreachable"},
                                                               {Fate::lost, "lost"},
                                                               {Fate::wrong, "wrong"},
                                                               {Fate::crossed, "crossed"},
                                                               {Fate::left, "left"}}};
constexpr std::array<const char*, kRules> kRuleNames{
    "answered_twice", "wrong_body",  "late",         "unanswered",        "crossed_run", "past_cap",
    "to_leaving",     "to_excluded", "after_client", "peer_left_hanging", "fencing"};
}  // namespace

const char* nameOf(Fate fate) {
  for (const auto& [one, name] : kNames)
    if (one == fate) return name;
  return "?";
}

std::optional<Fate> fateOf(const std::string& name) {
  for (const auto& [fate, text] : kNames)
    if (name == text) return fate;
  return std::nullopt;
}

const char* nameOf(Rule rule) { return kRuleNames[static_cast<std::size_t>(rule)]; }

void Judge::breaks(Rule rule, std::string what) {
  ++brokenCount_;
  ++brokenByRule_[nameOf(rule)];
  if (broken_.size() < kBrokenKept) broken_.push_back(std::move(what));
}

void Judge::sent(std::uint64_t id, int gatekeeper, double atMs, double deadlineMs) {
  requests_[id] = Request{id, gatekeeper, atMs, deadlineMs, 0, Fate::open, 0, false};
}

void Judge::answered(std::uint64_t id, double atMs, int status, const std::string& body) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return breaks(Rule::answered_twice, "an answer for a request never sent");
  Request& r = found->second;
  if (r.fate != Fate::open)
    return breaks(Rule::answered_twice, "request " + std::to_string(id) + " answered twice");
  r.endMs = atMs, r.status = status;
  if (status == 200) {
    const auto made = bodies_.find(id);
    const bool fromWorker = made != bodies_.end() &&
                            std::find(made->second.begin(), made->second.end(), body) != made->second.end();
    r.fate = fromWorker ? Fate::served : Fate::wrong;
    if (!fromWorker)
      breaks(Rule::wrong_body, "request " + std::to_string(id) +
                                   ": a 200 with a body no worker made for it: " + body.substr(0, 80) +
                                   (made == bodies_.end() ? " (no attempt came to a worker)" : ""));
  } else {
    r.fate = status == 429 || status == 503 ? Fate::refused : Fate::failed;
  }
  const bool excused = lateExcused_ && wasDown(r.gatekeeper, r.sentMs, atMs);
  if (atMs > r.sentMs + r.deadlineMs + kAnswerSlackMs && !excused)
    breaks(Rule::late, "request " + std::to_string(id) + " answered " + std::to_string(atMs - r.sentMs) +
                           " ms after it was sent");
}

void Judge::ended(std::uint64_t id, double atMs, Fate fate) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.fate != Fate::open) return;
  Request& r = found->second;
  r.fate = fate, r.endMs = atMs;
  r.excused = wasDown(r.gatekeeper, r.sentMs, atMs);
  // A close or a silence of a gatekeeper that ran all along is a request taken and lost. One never
  // connected was never taken.
  if ((fate == Fate::closed || fate == Fate::lost) && !r.excused)
    breaks(Rule::unanswered, "request " + std::to_string(id) + " at gatekeeper " +
                                 std::to_string(r.gatekeeper) + " " + nameOf(fate) + " with no answer");
}

void Judge::attempt(std::uint64_t id, int worker, int gatekeeper, double atMs, const std::string& body) {
  bodies_[id].push_back(body);
  attemptLog_.emplace_back(worker, atMs);
  if (++attempts_[id] > attemptsCap_)
    breaks(Rule::past_cap, "request " + std::to_string(id) + ": attempt " + std::to_string(attempts_[id]) +
                               " of a cap of " + std::to_string(attemptsCap_));
  const auto told = drained_.find({gatekeeper, worker});
  if (told != drained_.end() && atMs > told->second + kDrainSlackMs + linkDelayMs_)
    breaks(Rule::to_leaving, "gatekeeper " + std::to_string(gatekeeper) + " sent request " +
                                 std::to_string(id) + " to worker " + std::to_string(worker) + " " +
                                 std::to_string(atMs - told->second) + " ms after it was told it drains");
  const auto excluded = excluded_.find({gatekeeper, worker});
  if (excluded != excluded_.end() && atMs > excluded->second + kLeftSlackMs + linkDelayMs_)
    breaks(Rule::to_excluded, "gatekeeper " + std::to_string(gatekeeper) + " sent request " +
                                  std::to_string(id) + " to worker " + std::to_string(worker) +
                                  ", excluded by hand " + std::to_string(atMs - excluded->second) +
                                  " ms before");
  const auto left = leftAt_.find(id);
  if (left != leftAt_.end() && atMs > left->second + kLeftSlackMs + linkDelayMs_)
    breaks(Rule::after_client, "gatekeeper " + std::to_string(gatekeeper) + " sent request " +
                                   std::to_string(id) + " " + std::to_string(atMs - left->second) +
                                   " ms after its client had gone");
}

void Judge::crossed(std::uint64_t id, double atMs) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.fate != Fate::open) return;
  Request& r = found->second;
  r.fate = Fate::crossed, r.endMs = atMs;
  r.excused = wasDown(r.gatekeeper, r.sentMs, atMs);
  if (attempts_.contains(id) && !r.excused)
    breaks(Rule::crossed_run, "request " + std::to_string(id) + " at gatekeeper " +
                                  std::to_string(r.gatekeeper) +
                                  ": a worker had it, and its connection was closed with no answer");
}

void Judge::left(std::uint64_t id, double atMs) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.fate != Fate::open) return;
  found->second.fate = Fate::left, found->second.endMs = atMs;
  leftAt_[id] = atMs;
}

void Judge::leftHanging(int gatekeeper, double sinceMs, double atMs) {
  if (wasDown(gatekeeper, sinceMs, atMs)) return;
  breaks(Rule::peer_left_hanging, "gatekeeper " + std::to_string(gatekeeper) +
                                      " left a peer without an error or a close for " +
                                      std::to_string(atMs - sinceMs) + " ms");
}

void Judge::excluded(int gatekeeper, int worker, double atMs) {
  excluded_.try_emplace({gatekeeper, worker}, atMs);
}
void Judge::included(int gatekeeper, int worker) { excluded_.erase({gatekeeper, worker}); }

void Judge::drainTold(int gatekeeper, int worker, double atMs) {
  drained_.try_emplace({gatekeeper, worker}, atMs);
}
void Judge::drainUndone(int gatekeeper, int worker) { drained_.erase({gatekeeper, worker}); }

bool Judge::recorded(std::uint64_t token, const std::string& holder, double atMs) {
  if (token < token_)
    breaks(Rule::fencing, "an act under token " + std::to_string(token) + " took effect at " +
                              std::to_string(atMs) + " ms, after token " + std::to_string(token_));
  if (token == token_ && holder != holder_)
    breaks(Rule::fencing,
           "token " + std::to_string(token) + " has two holders: " + holder_ + " and " + holder);
  if (token <= token_) return false;
  token_ = token, holder_ = holder;
  return true;
}

void Judge::down(int gatekeeper, double fromMs) {
  auto& spans = downs_[gatekeeper];
  if (spans.empty() || spans.back().second < fromMs) spans.emplace_back(fromMs, 1e18);
}

void Judge::up(int gatekeeper, double atMs) {
  auto& spans = downs_[gatekeeper];
  if (!spans.empty() && spans.back().second > atMs) spans.back().second = atMs;
}

bool Judge::wasDown(int gatekeeper, double fromMs, double toMs) const {
  const auto found = downs_.find(gatekeeper);
  if (found == downs_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](const auto& span) { return span.first <= toMs && span.second >= fromMs; });
}

void Judge::close(double atMs) {
  for (auto& [id, r] : requests_)
    if (r.fate == Fate::open) ended(id, atMs, Fate::lost);
}

long Judge::count(Fate fate, std::optional<int> gatekeeper, double afterMs, double beforeMs) const {
  return std::count_if(requests_.begin(), requests_.end(), [&](const auto& item) {
    const Request& r = item.second;
    return r.fate == fate && (!gatekeeper || r.gatekeeper == *gatekeeper) && r.sentMs >= afterMs &&
           r.sentMs < beforeMs;
  });
}

std::vector<double> Judge::servedTimes() const {
  std::vector<double> out;
  for (const auto& [id, r] : requests_)
    if (r.fate == Fate::served) out.push_back(r.endMs - r.sentMs);
  return out;
}

}  // namespace wingslip::lab
