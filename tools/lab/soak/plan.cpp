#include "plan.hpp"

#include <algorithm>
#include <cerrno>
#include <functional>
#include <random>
#include <utility>

namespace wingslip::lab {
namespace {

constexpr double kHourMs = 3600 * 1000;
constexpr double kFirstAtS = 2;               // the fleet serves before the first trouble
constexpr double kTroubleWithinS = 1;         // of one episode: between the beginnings of its troubles
constexpr double kMoreEpisodesEveryS = 30;    // of a longer run: one episode more
constexpr double kLastBeforeEndS = 6;         // so that each trouble ends within the run
constexpr double kRestartAfterFinishS = 4.2;  // a process that ends in order has ended by then
constexpr double kDelayMs = 300;

/// Draws troubles. A gatekeeper's process and a worker have one trouble of their own each at most.
class Draw {
 public:
  Draw(const SoakSize& size, const Scenario& base, std::uint64_t seed)
      : size_(size), base_(base), random_(seed) {}

  double between(double least, double most) { return std::uniform_real_distribution<>(least, most)(random_); }
  bool chance(double share) { return between(0, 1) < share; }
  std::size_t below(std::size_t n) { return random_() % n; }

  Trouble trouble(double atS) {
    using Maker = Trouble (Draw::*)(double);
    static constexpr Maker kMakers[] = {
        &Draw::kill,         &Draw::finish,       &Draw::finish,       &Draw::pauses, &Draw::longStop,
        &Draw::reloads,      &Draw::upgrade,      &Draw::upgrade,      &Draw::calls,  &Draw::calls,
        &Draw::calls,        &Draw::clockSteps,   &Draw::disk,         &Draw::byHand, &Draw::discoveryDown,
        &Draw::watchEnds,    &Draw::watchSilent,  &Draw::crowdedCalls, &Draw::drain,  &Draw::drain,
        &Draw::silentWorker, &Draw::workerStarts, &Draw::link,         &Draw::link,
    };
    return (this->*kMakers[below(std::size(kMakers))])(atS);
  }

 private:
  Step on(int gatekeeper, double atS, const char* what) const {
    Step out;
    out.atS = atS;
    out.what = what;
    out.gatekeeper = gatekeeper;
    return out;
  }
  Step onWorker(int worker, double atS, const char* what) const {
    Step out;
    out.atS = atS;
    out.what = what;
    out.worker = worker;
    return out;
  }
  /// One whose process has no trouble yet.
  int freeGatekeeper() {
    int out = 0;
    do {
      out = static_cast<int>(below(size_.gatekeepers));
    } while (!processes_.insert(out).second &&
             processes_.size() < static_cast<std::size_t>(size_.gatekeepers));
    return out;
  }
  int freeWorker() {
    int out = 0;
    do {
      out = static_cast<int>(below(size_.workers));
    } while (!workers_.insert(out).second && workers_.size() < static_cast<std::size_t>(size_.workers));
    return out;
  }
  static std::string named(const char* kind, int target) {
    return std::string(kind) + " " + std::to_string(target);
  }

  Trouble kill(double atS) {
    const int g = freeGatekeeper();
    return {named("kill gatekeeper", g), {on(g, atS, "kill"), on(g, atS + between(0.5, 3), "restart")}};
  }

  Trouble finish(double atS) {
    const int g = freeGatekeeper();
    return {named("end gatekeeper", g), {on(g, atS, "finish"), on(g, atS + kRestartAfterFinishS, "restart")}};
  }

  /// Held up for as long as a machine may hold a process up without an excuse.
  Trouble pauses(double atS) {
    const int g = static_cast<int>(below(size_.gatekeepers));
    Trouble out{named("short pauses of gatekeeper", g), {}};
    for (int i = 0; i < 6; ++i) {
      Step step = on(g, atS + 0.5 * i, "pause");
      step.forMs = between(30, 150);
      out.steps.push_back(step);
    }
    return out;
  }

  Trouble longStop(double atS) {
    const int g = freeGatekeeper();
    return {named("stop gatekeeper", g), {on(g, atS, "stop"), on(g, atS + between(0.5, 3), "cont")}};
  }

  Trouble reloads(double atS) {
    const int g = static_cast<int>(below(size_.gatekeepers));
    Step first = on(g, atS, "hup"), second = on(g, atS + between(0.01, 0.9), "hup");
    first.patch = R"({"settings": {"permissions": {"attemptsCap": 2}}})";
    second.patch = R"({"settings": {"permissions": {"attemptsCap": 3}}})";
    return {named("two reloads of gatekeeper", g), {first, second}};
  }

  Trouble upgrade(double atS) {
    if (!base_.heldSockets) return finish(atS);
    const int g = freeGatekeeper();
    return {named("upgrade gatekeeper", g), {on(g, atS, "upgrade")}};
  }

  /// One kind of call fails for a while, at one gatekeeper or at all.
  Trouble calls(double atS) {
    auto kind = static_cast<CallFault>(below(kCallFaults));
    // Its victims are clients that have aborted by themselves, which the judge cannot tell from others.
    if (kind == CallFault::aborted) kind = CallFault::interrupted;
    Step begin, end;
    if (chance(0.5)) begin.gatekeeper = static_cast<int>(below(size_.gatekeepers));
    begin.atS = atS, begin.what = "calls", begin.call = kind;
    begin.share = kind == CallFault::accept_full ? 1 : between(0.05, 0.4);
    end = begin;
    end.atS = atS + (kind == CallFault::accept_full ? between(0.2, 0.8) : between(1, 4));
    end.share = 0;
    return {std::string("calls fail: ") + kCallFaultNames[static_cast<std::size_t>(kind)] +
                (begin.gatekeeper ? named(" at gatekeeper", *begin.gatekeeper) : " everywhere"),
            {begin, end}};
  }

  Trouble clockSteps(double atS) {
    constexpr double kSteps[] = {2000, -2000, kHourMs, -kHourMs};
    Step step;
    if (chance(0.5)) step.gatekeeper = static_cast<int>(below(size_.gatekeepers));
    step.atS = atS, step.what = "clock_step", step.stepMs = kSteps[below(std::size(kSteps))];
    Trouble out{"wall clock " + std::to_string(static_cast<long>(step.stepMs)) + " ms", {step}};
    if (chance(0.5)) {
      step.atS += between(0.5, 3);
      step.stepMs = -step.stepMs;
      out.steps.push_back(step);
    }
    return out;
  }

  /// The state folder fails while an operator calls, and the process may be killed under it.
  Trouble disk(double atS) {
    const int g = freeGatekeeper(), w = freeWorker();
    Step fails = on(g, atS, "disk"), well = on(g, atS + 2.5, "disk");
    fails.diskError = chance(0.5) ? ENOSPC : EIO;
    Step out = on(g, atS + 0.4, "exclude"), again = on(g, atS + 3.2, "exclude"),
         in = on(g, atS + 5, "include");
    for (Step* step : {&out, &again, &in}) step->worker = w;
    return {named("disk of gatekeeper", g),
            {fails, out, well, again, on(g, atS + 3.6, "kill"), on(g, atS + 3.9, "restart"), in}};
  }

  Trouble byHand(double atS) {
    const int g = static_cast<int>(below(size_.gatekeepers)), w = freeWorker();
    Step out = on(g, atS, "exclude"), in = on(g, atS + between(1, 4), "include");
    out.worker = in.worker = w;
    return {named("exclude worker", w), {out, in}};
  }

  Trouble discoveryDown(double atS) {
    Trouble out{"discovery down", {}};
    const double until = atS + between(0.3, 5);
    for (int g = 0; g < size_.gatekeepers; ++g) {
      out.steps.push_back(on(g, atS, "agent_down"));
      out.steps.push_back(on(g, until, "agent_up"));
    }
    return out;
  }

  Trouble watchEnds(double atS) {
    Trouble out{"watches end", {}};
    for (int g = 0; g < size_.gatekeepers; ++g) out.steps.push_back(on(g, atS, "watch_end"));
    return out;
  }

  Trouble watchSilent(double atS) {
    Trouble out{"watches fall silent", {}};
    for (int g = 0; g < size_.gatekeepers; ++g) out.steps.push_back(on(g, atS, "watch_silent"));
    return out;
  }

  Trouble crowdedCalls(double atS) {
    Trouble out{"discovery turns calls away", {}};
    const double until = atS + between(0.5, 3);
    for (int g = 0; g < size_.gatekeepers; ++g) {
      out.steps.push_back(on(g, atS, "discovery_crowded"));
      out.steps.push_back(on(g, atS, "watch_end"));
      out.steps.push_back(on(g, until, "discovery_ok"));
    }
    return out;
  }

  Trouble drain(double atS) {
    Trouble out{"workers drain", {}};
    for (int i = 0; i < 1 + size_.workers / 8; ++i) {
      const int w = freeWorker();
      out.steps.push_back(onWorker(w, atS, "drain"));
      out.steps.push_back(onWorker(w, atS + between(3, 5), "revive"));
    }
    return out;
  }

  Trouble silentWorker(double atS) {
    const int w = freeWorker();
    return {named("silent worker", w),
            {onWorker(w, atS, "silent"), onWorker(w, atS + between(1, 4), "revive")}};
  }

  Trouble workerStarts(double atS) {
    Trouble out{"workers start anew", {}};
    for (int i = 0; i < 1 + size_.workers / 5; ++i)
      out.steps.push_back(onWorker(freeWorker(), atS + between(0, 1), "restart_worker"));
    return out;
  }

  Trouble link(double atS) {
    constexpr const char* kModes[] = {"cut", "blackhole", "oneway", "delay", "throttle"};
    const char* mode = kModes[below(std::size(kModes))];
    const bool toDiscovery = chance(0.3);
    const int target = static_cast<int>(below(toDiscovery ? size_.gatekeepers : size_.workers));
    Step begin = toDiscovery ? on(target, atS, mode) : onWorker(target, atS, mode);
    if (toDiscovery) begin.link = "discovery";
    begin.delayMs = kDelayMs;
    begin.bytesPerS = 4000;
    Step end = begin;
    end.atS = atS + between(0.5, 3.5);
    end.what = "heal";
    return {std::string(mode) +
                (toDiscovery ? named(" to discovery of gatekeeper", target) : named(" to worker", target)),
            {begin, end}};
  }

  const SoakSize& size_;
  const Scenario& base_;
  std::mt19937_64 random_;
  std::set<int> processes_, workers_;
};

Scenario baseOf(const SoakSize& size, std::uint64_t seed) {
  std::mt19937_64 random(seed * 0x9e3779b97f4a7c15ULL + 1);
  const auto chance = [&](double share) { return std::uniform_real_distribution<>()(random) < share; };
  Scenario out;
  out.name = "soak " + std::to_string(seed);
  out.lengthS = size.seconds;
  out.gatekeepers = out.settingsFor = size.gatekeepers;
  out.workers = size.workers;
  out.zones = chance(0.5) ? std::vector<std::string>{"a", "b", "c"} : std::vector<std::string>{"a"};
  out.rate = size.rate;
  out.deadlineMs = 1500;
  out.serviceMs = 25;
  out.coldS = 1;
  out.heldSockets = chance(0.4);
  out.stateFolders = out.faultLibrary = out.clientsMayWait = true;
  out.rough = {size.roughClients, 150, 0.15, 0.1, 0.03, 0.1, 0.03};
  if (chance(0.5)) out.roughWorkers = {0.02, 0.02, 0.01, 0.01, 0.003, 0.01, 0.1};
  if (chance(0.3)) {
    out.idle.each = 150;
    out.idle.gatekeeper = static_cast<int>(random() % static_cast<std::uint64_t>(size.gatekeepers));
    out.idle.fromS = size.seconds * 0.3;
    out.idle.untilS = size.seconds * 0.8;
  }
  return out;
}

}  // namespace

Scenario SoakPlan::scenario(const std::set<std::size_t>& without) const {
  Scenario out = base;
  for (std::size_t i = 0; i < troubles.size(); ++i)
    if (!without.contains(i))
      out.steps.insert(out.steps.end(), troubles[i].steps.begin(), troubles[i].steps.end());
  for (Step& step : out.steps) step.atS = std::min(step.atS, out.lengthS);
  std::stable_sort(out.steps.begin(), out.steps.end(),
                   [](const Step& a, const Step& b) { return a.atS < b.atS; });
  return out;
}

SoakPlan soakPlan(const SoakSize& size, std::uint64_t seed) {
  SoakPlan out;
  out.base = baseOf(size, seed);
  Draw draw(size, out.base, seed ^ 0x5851f42d4c957f2dULL);
  const double last = size.seconds - kLastBeforeEndS;
  const double first = draw.chance(0.3) ? size.seconds / 2 : kFirstAtS;
  const std::size_t episodes =
      2 + draw.below(2) + static_cast<std::size_t>(size.seconds / kMoreEpisodesEveryS);
  for (std::size_t i = 0; i < episodes; ++i) {
    const double atS = draw.between(std::min(first, last - 1), last);
    for (std::size_t left = 2 + draw.below(2); left > 0; --left)
      out.troubles.push_back(draw.trouble(atS + draw.between(0, kTroubleWithinS)));
  }
  // Over a slow link a second answer comes later than any gatekeeper waits for one.
  for (const Trouble& trouble : out.troubles)
    for (const Step& step : trouble.steps)
      if (step.what == "throttle") out.base.roughWorkers.twice = 0;
  return out;
}

}  // namespace wingslip::lab
