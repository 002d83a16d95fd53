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

/// Memory estimates in megabytes, of one run without its gatekeepers and of one gatekeeper; they limit the
/// number of parallel runs.
constexpr double kRunMb = 60, kGatekeeperMb = 12;
constexpr int kMaxProcesses = 400;  // gatekeepers and labs of all parallel runs
constexpr int kSetupFailed = 3;     // exit status if the soak could not be run

struct SoakOptions {
  SoakSize size;
  std::uint64_t firstSeed = 1;
  int seeds = 10;
  int atOnce = 2;
  bool shrink = true;
  std::string out = "lab-soak";
  std::string gatekeeperProgram;
  std::uint64_t playSeed = 0;        // run only this seed, in this process; 0: run all seeds
  std::vector<std::size_t> without;  // indices of faults to omit with playSeed
};

/// The result of one run.
struct SoakResult {
  std::uint64_t seed = 0;
  bool passed = false;
  std::map<std::string, long> violationsByRule;
  std::vector<std::string> violations;
  long requests = 0, served = 0;
};

std::string commaSeparated(const std::set<std::size_t>& numbers) {
  std::string out;
  for (const std::size_t n : numbers) out += (out.empty() ? "" : ",") + std::to_string(n);
  return out;
}

/// The command-line arguments that run one seed.
std::vector<std::string> commandFor(const SoakOptions& options, std::uint64_t seed,
                                    const std::set<std::size_t>& without, const std::string& out) {
  std::vector<std::string> call{"soak",
                                "--play",
                                std::to_string(seed),
                                "--gatekeepers",
                                std::to_string(options.size.gatekeepers),
                                "--workers",
                                std::to_string(options.size.workers),
                                "--seconds",
                                std::to_string(options.size.seconds),
                                "--rate",
                                std::to_string(options.size.rate),
                                "--rough-clients",
                                std::to_string(options.size.misbehavingClients),
                                "--gatekeeper",
                                options.gatekeeperProgram,
                                "--out",
                                out};
  if (!without.empty()) call.insert(call.end(), {"--without", commaSeparated(without)});
  return call;
}

/// Starts this program with the arguments `call` and its output in `out`/run.log. The kernel kills it when
/// this process exits.
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
  for (const std::string& argument : call) arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  ::execv("/proc/self/exe", arguments.data());
  ::_exit(127);
}

SoakResult readResult(std::uint64_t seed, int status, const fs::path& out) {
  SoakResult result;
  result.seed = seed;
  std::ifstream in(out / "summary.json");
  const json summary = in ? json::parse(in, nullptr, false) : json();
  if (!summary.is_object()) {
    result.violationsByRule["not_played"] = 1;
    result.violations.push_back("the run exited with wait status " + std::to_string(status) +
                                " and without a report");
    return result;
  }
  result.passed = status == 0;
  result.violationsByRule = summary.value("broken_by_rule", std::map<std::string, long>{});
  result.violations = summary["broken"].get<std::vector<std::string>>();
  for (const auto& [fate, n] : summary["fates"].items()) result.requests += n.get<long>();
  result.served = summary["fates"]["served"].get<long>();
  return result;
}

/// Executes runs, several in parallel, and waits for each.
class RunScheduler {
 public:
  explicit RunScheduler(const SoakOptions& options) : options_(options) {}

  SoakResult playOne(std::uint64_t seed, const std::set<std::size_t>& without, const fs::path& out) {
    const pid_t pid = startRun(commandFor(options_, seed, without, out.string()), out);
    int status = kSetupFailed;
    if (pid > 0) ::waitpid(pid, &status, 0);
    return readResult(seed, status, out);
  }

  std::vector<SoakResult> playAll() {
    std::vector<SoakResult> results;
    std::map<pid_t, std::uint64_t> running;
    std::uint64_t next = options_.firstSeed;
    const std::uint64_t end = options_.firstSeed + static_cast<std::uint64_t>(options_.seeds);
    while (next < end || !running.empty()) {
      while (next < end && static_cast<int>(running.size()) < options_.atOnce) {
        const pid_t pid =
            startRun(commandFor(options_, next, {}, directoryOf(next).string()), directoryOf(next));
        if (pid > 0) running[pid] = next++;
      }
      int status = 0;
      const pid_t pid = ::waitpid(-1, &status, 0);
      if (pid <= 0 || !running.contains(pid)) continue;
      results.push_back(readResult(running[pid], status, directoryOf(running[pid])));
      running.erase(pid);
      print(results.back());
    }
    return results;
  }

  fs::path directoryOf(std::uint64_t seed) const {
    return fs::path(options_.out) / ("seed-" + std::to_string(seed));
  }

  /// Repeats the run without each fault in turn and omits those without which it still fails. Returns the
  /// indices of the omitted faults.
  std::set<std::size_t> shrink(std::uint64_t seed) {
    const SoakPlan plan = soakPlan(options_.size, seed);
    std::set<std::size_t> without;
    for (std::size_t i = 0; i < plan.faults.size(); ++i) {
      std::set<std::size_t> trial = without;
      trial.insert(i);
      if (!playOne(seed, trial, fs::path(options_.out) / "shrink").passed) without = trial;
    }
    return without;
  }

  void printMinimalFailure(std::uint64_t seed) {
    const std::set<std::size_t> without = shrink(seed);
    const SoakPlan plan = soakPlan(options_.size, seed);
    std::cout << "seed " << seed << " fails with:\n";
    for (std::size_t i = 0; i < plan.faults.size(); ++i)
      if (!without.contains(i)) std::cout << "  " << plan.faults[i].name << "\n";
    std::cout << "reproduce with: wingslip-lab";
    for (const std::string& word : commandFor(options_, seed, without, options_.out + "/again"))
      std::cout << " " << word;
    std::cout << std::endl;
  }

 private:
  static void print(const SoakResult& r) {
    std::cout << "seed " << r.seed << ": " << (r.passed ? "passed" : "FAILED") << ", " << r.served << " of "
              << r.requests << " served";
    for (const auto& [rule, n] : r.violationsByRule) std::cout << ", " << rule << " " << n;
    std::cout << "\n";
    for (std::size_t i = 0; i < std::min<std::size_t>(3, r.violations.size()); ++i)
      std::cout << "  " << r.violations[i] << "\n";
    std::cout.flush();
  }

  const SoakOptions& options_;
};

/// @throws std::runtime_error if the runs would need too much memory or too many processes.
void checkSize(const SoakOptions& options) {
  const double mb = options.atOnce * (kRunMb + kGatekeeperMb * options.size.gatekeepers);
  const double machineMb =
      static_cast<double>(::sysconf(_SC_PHYS_PAGES)) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  if (mb > machineMb / 2)
    throw std::runtime_error(
        "these runs may need " + std::to_string(static_cast<long>(mb)) +
        " MB, more than half of this machine's memory: lower --at-once or --gatekeepers");
  if (options.atOnce * (options.size.gatekeepers + 1) > kMaxProcesses)
    throw std::runtime_error("these runs need more than " + std::to_string(kMaxProcesses) +
                             " processes: lower --at-once or --gatekeepers");
}

int playOneSeed(const SoakOptions& options) {
  const SoakPlan plan = soakPlan(options.size, options.playSeed);
  for (std::size_t i = 0; i < plan.faults.size(); ++i)
    spdlog::info("event=trouble number={} name=\"{}\" at_s={:.2f}", i, plan.faults[i].name,
                 plan.faults[i].steps.empty() ? 0 : plan.faults[i].steps.front().atS);
  RunOptions run;
  run.gatekeeperProgram = options.gatekeeperProgram;
  run.out = options.out;
  run.seed = options.playSeed;
  return play(plan.scenario({options.without.begin(), options.without.end()}), run);
}

int runSoak(const SoakOptions& options) {
  if (options.playSeed > 0) return playOneSeed(options);
  checkSize(options);
  RunScheduler runs(options);
  const std::vector<SoakResult> results = runs.playAll();
  std::map<std::string, long> byRule, seedsByRule;
  std::vector<std::uint64_t> failed;
  long requests = 0, served = 0;
  for (const SoakResult& r : results) {
    requests += r.requests, served += r.served;
    if (!r.passed) failed.push_back(r.seed);
    for (const auto& [rule, n] : r.violationsByRule) byRule[rule] += n, ++seedsByRule[rule];
  }
  std::sort(failed.begin(), failed.end());
  std::cout << "seeds " << results.size() << ", failed " << failed.size() << ", requests " << requests
            << ", served " << served << "\n";
  for (const auto& [rule, n] : byRule)
    std::cout << "rule " << rule << ": " << n << " times on " << seedsByRule[rule] << " seeds\n";
  if (options.shrink && !failed.empty()) runs.printMinimalFailure(failed.front());
  return failed.empty() ? 0 : 1;
}

}  // namespace

void addSoakCommand(CLI::App& app, const std::string& gatekeeperProgram) {
  const auto options = std::make_shared<SoakOptions>();
  options->gatekeeperProgram = gatekeeperProgram;
  CLI::App* command =
      app.add_subcommand("soak", "run seeds of overlapping faults against fleets and verify the results");
  command->add_option("--first-seed", options->firstSeed, "the first seed")->check(CLI::Range(1, 1000000000));
  command->add_option("--seeds", options->seeds, "number of seeds")->check(CLI::Range(1, 100000));
  command->add_option("--seconds", options->size.seconds, "seconds of load in each run")
      ->check(CLI::Range(10.0, 3600.0));
  command->add_option("--gatekeepers", options->size.gatekeepers, "gatekeepers in one fleet")
      ->check(CLI::Range(2, 100));
  command->add_option("--workers", options->size.workers, "stand-in workers of one fleet")
      ->check(CLI::Range(4, 640));
  command->add_option("--rate", options->size.rate, "requests per second over one fleet")
      ->check(CLI::Range(1.0, 5000.0));
  command->add_option("--rough-clients", options->size.misbehavingClients, "misbehaving clients of one fleet")
      ->check(CLI::Range(1, 2000));
  command->add_option("--at-once", options->atOnce, "fleets in parallel")->check(CLI::Range(1, 16));
  command->add_flag("--shrink,!--no-shrink", options->shrink,
                    "reduce the first failing seed to the faults that are needed to fail");
  command->add_option("--out", options->out, "directory for logs and reports");
  command->add_option("--gatekeeper", options->gatekeeperProgram,
                      "the program under test (default: in the directory of this program)");
  command->add_option("--play", options->playSeed, "run only this seed, in this process");
  command->add_option("--without", options->without, "with --play: indices of faults to omit")
      ->delimiter(',');
  command->callback([options] {
    spdlog::set_default_logger(spdlog::stderr_logger_mt("lab"));
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e level=%l %v");
    int code = kSetupFailed;
    try {
      code = runSoak(*options);
    } catch (const std::exception& error) {
      std::cerr << "wingslip-lab: " << error.what() << "\n";
    }
    throw CLI::RuntimeError(code);
  });
}

}  // namespace wingslip::lab
