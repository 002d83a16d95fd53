#include "command.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "fleet.hpp"
#include "plan.hpp"

namespace wingslip::lab {
namespace fs = std::filesystem;
using nlohmann::json;

namespace {

/// Of one run with its processes, in megabytes: what several at once are bounded by.
constexpr double kRunMb = 60, kGatekeeperMb = 12;
constexpr int kMostProcesses = 400;
constexpr int kSetupFailed = 3;

struct SoakOptions {
  SoakSize size;
  std::uint64_t firstSeed = 1;
  int seeds = 10;
  int atOnce = 2;
  bool shrink = true;
  std::string out = "lab-soak";
  std::string gatekeeperProgram;
  std::uint64_t playSeed = 0;        // one run in this process
  std::vector<std::size_t> without;  // troubles taken out of it
};

/// The end of one run.
struct SoakResult {
  std::uint64_t seed = 0;
  bool passed = false;
  std::map<std::string, long> brokenByRule;
  std::vector<std::string> broken;
  long requests = 0, served = 0;
};

std::string listOf(const std::set<std::size_t>& numbers) {
  std::string out;
  for (const std::size_t n : numbers) out += (out.empty() ? "" : ",") + std::to_string(n);
  return out;
}

/// The call that plays one run again.
std::vector<std::string> callOf(const SoakOptions& o, std::uint64_t seed,
                                const std::set<std::size_t>& without, const std::string& out) {
  std::vector<std::string> call{"soak",
                                "--play",
                                std::to_string(seed),
                                "--gatekeepers",
                                std::to_string(o.size.gatekeepers),
                                "--workers",
                                std::to_string(o.size.workers),
                                "--seconds",
                                std::to_string(o.size.seconds),
                                "--rate",
                                std::to_string(o.size.rate),
                                "--rough-clients",
                                std::to_string(o.size.roughClients),
                                "--gatekeeper",
                                o.gatekeeperProgram,
                                "--out",
                                out};
  if (!without.empty()) call.insert(call.end(), {"--without", listOf(without)});
  return call;
}

/// Starts this program with the call, its output in `out`/run.log; it dies with this process.
pid_t startRun(const std::vector<std::string>& call, const fs::path& out) {
  fs::create_directories(out);
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid != 0) return pid;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(127);
  const int log = ::open((out / "run.log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  if (log >= 0) ::dup2(log, 1), ::dup2(log, 2);
  std::vector<char*> arguments{const_cast<char*>("wingslip-lab")};
  for (const std::string& one : call) arguments.push_back(const_cast<char*>(one.c_str()));
  arguments.push_back(nullptr);
  ::execv("/proc/self/exe", arguments.data());
  ::_exit(127);
}

SoakResult resultOf(std::uint64_t seed, int status, const fs::path& out) {
  SoakResult result;
  result.seed = seed;
  std::ifstream in(out / "summary.json");
  const json summary = in ? json::parse(in, nullptr, false) : json();
  if (!summary.is_object()) {
    result.brokenByRule["not_played"] = 1;
    result.broken.push_back("the run ended with status " + std::to_string(status) + " and no report");
    return result;
  }
  result.passed = status == 0;
  result.brokenByRule = summary.value("broken_by_rule", std::map<std::string, long>{});
  result.broken = summary["broken"].get<std::vector<std::string>>();
  for (const auto& [fate, n] : summary["fates"].items()) result.requests += n.get<long>();
  result.served = summary["fates"]["served"].get<long>();
  return result;
}

/// Plays runs, several at once, and waits for each.
class Runs {
 public:
  explicit Runs(const SoakOptions& options) : o_(options) {}

  SoakResult playOne(std::uint64_t seed, const std::set<std::size_t>& without, const fs::path& out) {
    const pid_t pid = startRun(callOf(o_, seed, without, out.string()), out);
    int status = kSetupFailed;
    if (pid > 0) ::waitpid(pid, &status, 0);
    return resultOf(seed, status, out);
  }

  std::vector<SoakResult> playAll() {
    std::vector<SoakResult> results;
    std::map<pid_t, std::uint64_t> running;
    std::uint64_t next = o_.firstSeed;
    const std::uint64_t end = o_.firstSeed + static_cast<std::uint64_t>(o_.seeds);
    while (next < end || !running.empty()) {
      while (next < end && static_cast<int>(running.size()) < o_.atOnce) {
        const pid_t pid = startRun(callOf(o_, next, {}, folderOf(next).string()), folderOf(next));
        if (pid > 0) running[pid] = next++;
      }
      int status = 0;
      const pid_t pid = ::waitpid(-1, &status, 0);
      if (pid <= 0 || !running.contains(pid)) continue;
      results.push_back(resultOf(running[pid], status, folderOf(running[pid])));
      running.erase(pid);
      print(results.back());
    }
    return results;
  }

  fs::path folderOf(std::uint64_t seed) const { return fs::path(o_.out) / ("seed-" + std::to_string(seed)); }

  /// Takes troubles out one by one for as long as the run still fails.
  std::set<std::size_t> shrink(std::uint64_t seed) {
    const SoakPlan plan = soakPlan(o_.size, seed);
    std::set<std::size_t> without;
    for (std::size_t i = 0; i < plan.troubles.size(); ++i) {
      std::set<std::size_t> trial = without;
      trial.insert(i);
      if (!playOne(seed, trial, fs::path(o_.out) / "shrink").passed) without = trial;
    }
    return without;
  }

  void explain(std::uint64_t seed) {
    const std::set<std::size_t> without = shrink(seed);
    const SoakPlan plan = soakPlan(o_.size, seed);
    std::cout << "seed " << seed << " fails with:\n";
    for (std::size_t i = 0; i < plan.troubles.size(); ++i)
      if (!without.contains(i)) std::cout << "  " << plan.troubles[i].name << "\n";
    std::cout << "again: wingslip-lab";
    for (const std::string& word : callOf(o_, seed, without, o_.out + "/again")) std::cout << " " << word;
    std::cout << std::endl;
  }

 private:
  static void print(const SoakResult& r) {
    std::cout << "seed " << r.seed << ": " << (r.passed ? "passed" : "FAILED") << ", " << r.served << " of "
              << r.requests << " served";
    for (const auto& [rule, n] : r.brokenByRule) std::cout << ", " << rule << " " << n;
    std::cout << "\n";
    for (std::size_t i = 0; i < std::min<std::size_t>(3, r.broken.size()); ++i)
      std::cout << "  " << r.broken[i] << "\n";
    std::cout.flush();
  }

  const SoakOptions& o_;
};

/// Throws std::runtime_error in one plain sentence where the runs would take too much of the machine.
void checkSize(const SoakOptions& o) {
  const double mb = o.atOnce * (kRunMb + kGatekeeperMb * o.size.gatekeepers);
  const double machineMb =
      static_cast<double>(::sysconf(_SC_PHYS_PAGES)) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  if (mb > machineMb / 2)
    throw std::runtime_error("these runs may take " + std::to_string(static_cast<long>(mb)) +
                             " MB, over half of this machine's memory: lower --at-once or --gatekeepers");
  if (o.atOnce * (o.size.gatekeepers + 1) > kMostProcesses)
    throw std::runtime_error("these runs take over " + std::to_string(kMostProcesses) +
                             " processes: lower --at-once or --gatekeepers");
}

int playHere(const SoakOptions& o) {
  const SoakPlan plan = soakPlan(o.size, o.playSeed);
  for (std::size_t i = 0; i < plan.troubles.size(); ++i)
    spdlog::info("event=trouble number={} name=\"{}\" at_s={:.2f}", i, plan.troubles[i].name,
                 plan.troubles[i].steps.empty() ? 0 : plan.troubles[i].steps.front().atS);
  RunOptions run;
  run.gatekeeperProgram = o.gatekeeperProgram;
  run.out = o.out;
  run.seed = o.playSeed;
  return play(plan.scenario({o.without.begin(), o.without.end()}), run);
}

int soak(const SoakOptions& o) {
  if (o.playSeed > 0) return playHere(o);
  checkSize(o);
  Runs runs(o);
  const std::vector<SoakResult> results = runs.playAll();
  std::map<std::string, long> byRule, seedsByRule;
  std::vector<std::uint64_t> failed;
  long requests = 0, served = 0;
  for (const SoakResult& r : results) {
    requests += r.requests, served += r.served;
    if (!r.passed) failed.push_back(r.seed);
    for (const auto& [rule, n] : r.brokenByRule) byRule[rule] += n, ++seedsByRule[rule];
  }
  std::sort(failed.begin(), failed.end());
  std::cout << "seeds " << results.size() << ", failed " << failed.size() << ", requests " << requests
            << ", served " << served << "\n";
  for (const auto& [rule, n] : byRule)
    std::cout << "rule " << rule << ": " << n << " times on " << seedsByRule[rule] << " seeds\n";
  if (o.shrink && !failed.empty()) runs.explain(failed.front());
  return failed.empty() ? 0 : 1;
}

}  // namespace

void addSoakCommand(CLI::App& app, const std::string& gatekeeperProgram) {
  const auto o = std::make_shared<SoakOptions>();
  o->gatekeeperProgram = gatekeeperProgram;
  CLI::App* command =
      app.add_subcommand("soak", "play seeds of overlapping troubles against fleets, and judge them");
  command->add_option("--first-seed", o->firstSeed, "the first seed")->check(CLI::Range(1, 1000000000));
  command->add_option("--seeds", o->seeds, "how many")->check(CLI::Range(1, 100000));
  command->add_option("--seconds", o->size.seconds, "of load, each")->check(CLI::Range(10.0, 3600.0));
  command->add_option("--gatekeepers", o->size.gatekeepers, "in one fleet")->check(CLI::Range(2, 100));
  command->add_option("--workers", o->size.workers, "stand-in workers of one fleet")
      ->check(CLI::Range(4, 640));
  command->add_option("--rate", o->size.rate, "requests a second over one fleet")
      ->check(CLI::Range(1.0, 5000.0));
  command->add_option("--rough-clients", o->size.roughClients, "clients that misbehave, in one fleet")
      ->check(CLI::Range(1, 2000));
  command->add_option("--at-once", o->atOnce, "fleets at the same time")->check(CLI::Range(1, 16));
  command->add_flag("--shrink,!--no-shrink", o->shrink, "make the first failing seed smaller");
  command->add_option("--out", o->out, "folder for logs and reports");
  command->add_option("--gatekeeper", o->gatekeeperProgram,
                      "the program under test (default: beside this one)");
  command->add_option("--play", o->playSeed, "play this one seed here");
  command->add_option("--without", o->without, "with --play: troubles to leave out, by number")
      ->delimiter(',');
  command->callback([o] {
    spdlog::set_default_logger(spdlog::stderr_logger_mt("lab"));
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e level=%l %v");
    int code = kSetupFailed;
    try {
      code = soak(*o);
    } catch (const std::exception& error) {
      std::cerr << "wingslip-lab: " << error.what() << "\n";
    }
    throw CLI::RuntimeError(code);
  });
}

}  // namespace wingslip::lab
