#include "plan.hpp"

#include <algorithm>
#include <cerrno>
#include <functional>
#include <random>
#include <utility>

namespace wingslip::lab {
namespace {

constexpr double kHourMs = 3600 * 1000;
constexpr double kFirstFaultAtS = 2;            // the fleet serves requests before the first fault
constexpr double kFaultSpreadS = 1;             // the faults of one episode start within this time
constexpr double kSecondsPerExtraEpisode = 30;  // a longer run has one more episode for each such period
// No episode starts in this time before the end, so that its faults end within the run.
constexpr double kNoEpisodeBeforeEndS = 6;
constexpr double kRestartAfterTerminateS = 4.2;  // a process that terminates gracefully has exited by then
constexpr double kDelayMs = 300;

/// Generates random faults. Each gatekeeper process and each worker is the target of at most one exclusive
/// fault, unless all have one already.
class FaultGenerator {
 public:
  FaultGenerator(const SoakSize& size, const Scenario& base, std::uint64_t seed)
      : size_(size), base_(base), random_(seed) {}

  double between(double least, double most) { return std::uniform_real_distribution<>(least, most)(random_); }
  bool chance(double share) { return between(0, 1) < share; }
  std::size_t below(std::size_t n) { return random_() % n; }

  InjectedFault next(double atS) {
    using FaultMethod = InjectedFault (FaultGenerator::*)(double);
    static constexpr FaultMethod kFaults[] = {
        &FaultGenerator::kill,          &FaultGenerator::terminate,
        &FaultGenerator::signalSeries,  &FaultGenerator::shortPauses,
        &FaultGenerator::suspend,       &FaultGenerator::reloads,
        &FaultGenerator::upgrade,       &FaultGenerator::upgrade,
        &FaultGenerator::failingCalls,  &FaultGenerator::failingCalls,
        &FaultGenerator::failingCalls,  &FaultGenerator::clockSteps,
        &FaultGenerator::disk,          &FaultGenerator::operatorExclusion,
        &FaultGenerator::discoveryDown, &FaultGenerator::watchEnds,
        &FaultGenerator::watchSilent,   &FaultGenerator::rejectedDiscoveryCalls,
        &FaultGenerator::drain,         &FaultGenerator::drain,
        &FaultGenerator::silentWorker,  &FaultGenerator::workerRestarts,
        &FaultGenerator::link,          &FaultGenerator::link,
    };
    return (this->*kFaults[below(std::size(kFaults))])(atS);
  }

 private:
  Step gatekeeperStep(int gatekeeper, double atS, const char* kind) const {
    Step out;
    out.atS = atS;
    out.kind = kind;
    out.gatekeeper = gatekeeper;
    return out;
  }
  Step workerStep(int worker, double atS, const char* kind) const {
    Step out;
    out.atS = atS;
    out.kind = kind;
    out.worker = worker;
    return out;
  }
  /// A gatekeeper whose process has no fault yet; any gatekeeper if all have one.
  int unusedGatekeeper() {
    int out = 0;
    do {
      out = static_cast<int>(below(size_.gatekeepers));
    } while (!usedGatekeepers_.insert(out).second &&
             usedGatekeepers_.size() < static_cast<std::size_t>(size_.gatekeepers));
    return out;
  }
  /// A worker that has no fault yet; any worker if all have one.
  int unusedWorker() {
    int out = 0;
    do {
      out = static_cast<int>(below(size_.workers));
    } while (!usedWorkers_.insert(out).second &&
             usedWorkers_.size() < static_cast<std::size_t>(size_.workers));
    return out;
  }
  static std::string faultName(const char* kind, int target) {
    return std::string(kind) + " " + std::to_string(target);
  }

  InjectedFault kill(double atS) {
    const int g = unusedGatekeeper();
    return {faultName("kill gatekeeper", g),
            {gatekeeperStep(g, atS, "kill"), gatekeeperStep(g, atS + between(0.5, 3), "restart")}};
  }

  InjectedFault terminate(double atS) {
    const int g = unusedGatekeeper();
    return {
        faultName("terminate gatekeeper", g),
        {gatekeeperStep(g, atS, "finish_kill"), gatekeeperStep(g, atS + kRestartAfterTerminateS, "restart")}};
  }

  /// Reloads just before, during and just after the beginning of a graceful end.
  InjectedFault signalSeries(double atS) {
    const int g = unusedGatekeeper();
    InjectedFault out{faultName("signals in series to gatekeeper", g), {}};
    for (const double beforeS : {0.3, 0.02, 0.01})
      out.steps.push_back(gatekeeperStep(g, atS - beforeS, "hup"));
    out.steps.push_back(gatekeeperStep(g, atS, "finish_kill"));
    for (const double afterS : {0.001, 0.05, 0.6})
      out.steps.push_back(gatekeeperStep(g, atS + afterS, "hup"));
    out.steps.push_back(gatekeeperStep(g, atS + kRestartAfterTerminateS, "restart"));
    return out;
  }

  /// Pauses as short as a machine may impose on a process; the verifier grants no exemption for them.
  InjectedFault shortPauses(double atS) {
    const int g = static_cast<int>(below(size_.gatekeepers));
    InjectedFault out{faultName("short pauses of gatekeeper", g), {}};
    for (int i = 0; i < 6; ++i) {
      Step step = gatekeeperStep(g, atS + 0.5 * i, "pause");
      step.forMs = between(30, 150);
      out.steps.push_back(step);
    }
    return out;
  }

  InjectedFault suspend(double atS) {
    const int g = unusedGatekeeper();
    return {faultName("suspend gatekeeper", g),
            {gatekeeperStep(g, atS, "stop"), gatekeeperStep(g, atS + between(0.5, 3), "cont")}};
  }

  InjectedFault reloads(double atS) {
    const int g = static_cast<int>(below(size_.gatekeepers));
    Step first = gatekeeperStep(g, atS, "hup"), second = gatekeeperStep(g, atS + between(0.01, 0.9), "hup");
    first.patch = R"({"settings": {"permissions": {"attemptsCap": 2}}})";
    second.patch = R"({"settings": {"permissions": {"attemptsCap": 3}}})";
    return {faultName("two reloads of gatekeeper", g), {first, second}};
  }

  InjectedFault upgrade(double atS) {
    if (!base_.inheritedSockets) return terminate(atS);
    const int g = unusedGatekeeper();
    return {faultName("upgrade gatekeeper", g), {gatekeeperStep(g, atS, "upgrade")}};
  }

  /// One kind of system call fails for a limited time, at one gatekeeper or at all.
  InjectedFault failingCalls(double atS) {
    auto kind = static_cast<CallFault>(below(kCallFaultCount));
    // With `aborted` the library resets clients' connections at accept, which the verifier cannot distinguish
    // from a gatekeeper that closes them without an answer.
    if (kind == CallFault::aborted) kind = CallFault::interrupted;
    Step begin, end;
    if (chance(0.5)) begin.gatekeeper = static_cast<int>(below(size_.gatekeepers));
    begin.atS = atS, begin.kind = "calls", begin.call = kind;
    begin.share = kind == CallFault::accept_full ? 1 : between(0.05, 0.4);
    end = begin;
    end.atS = atS + (kind == CallFault::accept_full ? between(0.2, 0.8) : between(1, 4));
    end.share = 0;
    return {std::string("system calls fail: ") + kCallFaultNames[static_cast<std::size_t>(kind)] +
                (begin.gatekeeper ? faultName(" at gatekeeper", *begin.gatekeeper) : " at all gatekeepers"),
            {begin, end}};
  }

  InjectedFault clockSteps(double atS) {
    constexpr double kSteps[] = {2000, -2000, kHourMs, -kHourMs};
    Step step;
    if (chance(0.5)) step.gatekeeper = static_cast<int>(below(size_.gatekeepers));
    step.atS = atS, step.kind = "clock_step", step.stepMs = kSteps[below(std::size(kSteps))];
    InjectedFault out{"wall clock " + std::to_string(static_cast<long>(step.stepMs)) + " ms", {step}};
    if (chance(0.5)) {
      step.atS += between(0.5, 3);
      step.stepMs = -step.stepMs;
      out.steps.push_back(step);
    }
    return out;
  }

  /// Writes to the state directory fail while an operator changes exclusions; later the process is killed.
  InjectedFault disk(double atS) {
    const int g = unusedGatekeeper(), w = unusedWorker();
    Step diskFails = gatekeeperStep(g, atS, "disk"), recovers = gatekeeperStep(g, atS + 2.5, "disk");
    diskFails.diskError = chance(0.5) ? ENOSPC : EIO;
    Step exclude = gatekeeperStep(g, atS + 0.4, "exclude"),
         excludeAgain = gatekeeperStep(g, atS + 3.2, "exclude"),
         include = gatekeeperStep(g, atS + 5, "include");
    for (Step* step : {&exclude, &excludeAgain, &include}) step->worker = w;
    return {faultName("disk of gatekeeper", g),
            {diskFails, exclude, recovers, excludeAgain, gatekeeperStep(g, atS + 3.6, "kill"),
             gatekeeperStep(g, atS + 3.9, "restart"), include}};
  }

  InjectedFault operatorExclusion(double atS) {
    const int g = static_cast<int>(below(size_.gatekeepers)), w = unusedWorker();
    Step exclude = gatekeeperStep(g, atS, "exclude"),
         include = gatekeeperStep(g, atS + between(1, 4), "include");
    exclude.worker = include.worker = w;
    return {faultName("exclude worker", w), {exclude, include}};
  }

  InjectedFault discoveryDown(double atS) {
    InjectedFault out{"discovery down", {}};
    const double until = atS + between(0.3, 5);
    for (int g = 0; g < size_.gatekeepers; ++g) {
      out.steps.push_back(gatekeeperStep(g, atS, "agent_down"));
      out.steps.push_back(gatekeeperStep(g, until, "agent_up"));
    }
    return out;
  }

  InjectedFault watchEnds(double atS) {
    InjectedFault out{"watches end", {}};
    for (int g = 0; g < size_.gatekeepers; ++g) out.steps.push_back(gatekeeperStep(g, atS, "watch_end"));
    return out;
  }

  InjectedFault watchSilent(double atS) {
    InjectedFault out{"watches go silent", {}};
    for (int g = 0; g < size_.gatekeepers; ++g) out.steps.push_back(gatekeeperStep(g, atS, "watch_silent"));
    return out;
  }

  InjectedFault rejectedDiscoveryCalls(double atS) {
    InjectedFault out{"discovery rejects calls", {}};
    const double until = atS + between(0.5, 3);
    for (int g = 0; g < size_.gatekeepers; ++g) {
      out.steps.push_back(gatekeeperStep(g, atS, "discovery_crowded"));
      out.steps.push_back(gatekeeperStep(g, atS, "watch_end"));
      out.steps.push_back(gatekeeperStep(g, until, "discovery_ok"));
    }
    return out;
  }

  InjectedFault drain(double atS) {
    InjectedFault out{"workers drain", {}};
    for (int i = 0; i < 1 + size_.workers / 8; ++i) {
      const int w = unusedWorker();
      out.steps.push_back(workerStep(w, atS, "drain"));
      out.steps.push_back(workerStep(w, atS + between(3, 5), "revive"));
    }
    return out;
  }

  InjectedFault silentWorker(double atS) {
    const int w = unusedWorker();
    return {faultName("silent worker", w),
            {workerStep(w, atS, "silent"), workerStep(w, atS + between(1, 4), "revive")}};
  }

  InjectedFault workerRestarts(double atS) {
    InjectedFault out{"workers restart", {}};
    for (int i = 0; i < 1 + size_.workers / 5; ++i)
      out.steps.push_back(workerStep(unusedWorker(), atS + between(0, 1), "restart_worker"));
    return out;
  }

  InjectedFault link(double atS) {
    constexpr const char* kModes[] = {"cut", "blackhole", "oneway", "delay", "throttle"};
    const char* mode = kModes[below(std::size(kModes))];
    const bool toDiscovery = chance(0.3);
    const int target = static_cast<int>(below(toDiscovery ? size_.gatekeepers : size_.workers));
    Step begin = toDiscovery ? gatekeeperStep(target, atS, mode) : workerStep(target, atS, mode);
    if (toDiscovery) begin.link = "discovery";
    begin.delayMs = kDelayMs;
    begin.bytesPerS = 4000;
    Step end = begin;
    end.atS = atS + between(0.5, 3.5);
    end.kind = "heal";
    return {std::string(mode) + (toDiscovery ? faultName(" to discovery of gatekeeper", target)
                                             : faultName(" to worker", target)),
            {begin, end}};
  }

  const SoakSize& size_;
  const Scenario& base_;
  std::mt19937_64 random_;
  std::set<int> usedGatekeepers_, usedWorkers_;
};

Scenario baseOf(const SoakSize& size, std::uint64_t seed) {
  std::mt19937_64 random(seed * 0x9e3779b97f4a7c15ULL + 1);
  const auto chance = [&](double share) { return std::uniform_real_distribution<>()(random) < share; };
  Scenario out;
  out.name = "soak " + std::to_string(seed);
  out.lengthS = size.seconds;
  out.gatekeepers = out.configuredGatekeepers = size.gatekeepers;
  out.workers = size.workers;
  out.zones = chance(0.5) ? std::vector<std::string>{"a", "b", "c"} : std::vector<std::string>{"a"};
  out.rate = size.rate;
  out.deadlineMs = 1500;
  out.serviceMs = 25;
  out.coldS = 1;
  out.inheritedSockets = chance(0.4);
  out.stateDirectories = out.faultLibrary = out.toleratesLateAnswers = true;
  out.misbehavingLoad = {size.misbehavingClients, 150, 0.15, 0.1, 0.03, 0.1, 0.03};
  if (chance(0.5)) out.misbehavingWorkers = {0.02, 0.02, 0.01, 0.01, 0.003, 0.01, 0.1};
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
  for (std::size_t i = 0; i < faults.size(); ++i)
    if (!without.contains(i))
      out.steps.insert(out.steps.end(), faults[i].steps.begin(), faults[i].steps.end());
  for (Step& step : out.steps) step.atS = std::min(step.atS, out.lengthS);
  std::stable_sort(out.steps.begin(), out.steps.end(),
                   [](const Step& a, const Step& b) { return a.atS < b.atS; });
  return out;
}

SoakPlan soakPlan(const SoakSize& size, std::uint64_t seed) {
  SoakPlan out;
  out.base = baseOf(size, seed);
  FaultGenerator generator(size, out.base, seed ^ 0x5851f42d4c957f2dULL);
  const double last = size.seconds - kNoEpisodeBeforeEndS;
  const double first = generator.chance(0.3) ? size.seconds / 2 : kFirstFaultAtS;
  const std::size_t episodes =
      2 + generator.below(2) + static_cast<std::size_t>(size.seconds / kSecondsPerExtraEpisode);
  for (std::size_t i = 0; i < episodes; ++i) {
    const double atS = generator.between(std::min(first, last - 1), last);
    for (std::size_t remaining = 2 + generator.below(2); remaining > 0; --remaining)
      out.faults.push_back(generator.next(atS + generator.between(0, kFaultSpreadS)));
  }
  // No duplicate answers over a throttled link: they would arrive after the time for which a gatekeeper waits
  // for them.
  for (const InjectedFault& fault : out.faults)
    for (const Step& step : fault.steps)
      if (step.kind == "throttle") out.base.misbehavingWorkers.twice = 0;
  return out;
}

}  // namespace wingslip::lab
