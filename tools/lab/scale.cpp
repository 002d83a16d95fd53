#include "scale.hpp"

#include <poll.h>
#include <signal.h>
#include <spdlog/spdlog.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <exception>
#include <fstream>
#include <nlohmann/json.hpp>

namespace wingslip::lab {
namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kPollMs = 50;  // interval between checks of a child's memory and run time
constexpr std::uint64_t kPageBytes = 4096;

double secondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

std::uint64_t residentBytes(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  std::uint64_t total = 0, resident = 0;
  in >> total >> resident;
  return resident * kPageBytes;
}

// Resident memory of a process and of the child processes that its main thread started, in bytes.
std::uint64_t residentBytesWithChildren(pid_t pid) {
  std::uint64_t out = residentBytes(pid);
  std::ifstream in("/proc/" + std::to_string(pid) + "/task/" + std::to_string(pid) + "/children");
  for (pid_t child = 0; in >> child;) out += residentBytes(child);
  return out;
}

// The result of a case at one size, as reported by its child process: the figures, or the reason why there
// are none.
struct CaseResult {
  std::vector<Figure> figures;
  std::string error;
};

std::string serialize(const CaseResult& result) {
  json figures = json::array();
  for (const Figure& figure : result.figures)
    figures.push_back({{"name", figure.name}, {"unit", figure.unit}, {"value", figure.value}});
  return json{{"figures", figures}, {"error", result.error}}.dump();
}

CaseResult parseResult(const std::string& text) {
  CaseResult out;
  const json object = json::parse(text, nullptr, false);
  if (object.is_discarded()) {
    out.error = "the child process ended without figures";
    return out;
  }
  out.error = object.value("error", "");
  for (const json& figure : object.at("figures"))
    out.figures.push_back({figure.at("name").get<std::string>(), figure.at("unit").get<std::string>(),
                           figure.at("value").get<double>()});
  return out;
}

CaseResult measureCase(const ScaleCase& scaleCase, std::size_t size, const CaseLimits& limits) {
  CaseResult out;
  try {
    out.figures = scaleCase.measure(size, limits);
  } catch (const std::exception& error) {
    out.error = error.what();
  }
  return out;
}

// Redirects stderr of cases with real gatekeepers to `case.log` in the case's folder. Simulated members with
// sockets log there, since they run in the case's process; a gatekeeper process has a log file of its own.
void redirectLog(const ScaleCase& scaleCase, const CaseLimits& limits) {
  if (scaleCase.kind != RunKind::real) return;
  std::error_code ignored;
  std::filesystem::create_directories(limits.dir, ignored);
  if (!std::freopen((limits.dir / "case.log").c_str(), "w", stderr)) ::_exit(1);
}

[[noreturn]] void childMain(const ScaleCase& scaleCase, std::size_t size, const CaseLimits& limits, int pipe,
                            pid_t parent) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(1);
  redirectLog(scaleCase, limits);
  const std::string text = serialize(measureCase(scaleCase, size, limits));
  for (std::size_t written = 0; written < text.size();) {
    const ssize_t n = ::write(pipe, text.data() + written, text.size() - written);
    if (n <= 0) break;
    written += static_cast<std::size_t>(n);
  }
  ::_exit(0);
}

// Reads the result from a child until it closes the pipe. Kills the child if it exceeds its time budget or
// the memory limit.
class ChildReader {
 public:
  ChildReader(pid_t pid, int pipe, double seconds, std::uint64_t memoryBytes)
      : pid_(pid), pipe_(pipe), seconds_(seconds), memoryBytes_(memoryBytes) {}

  CaseResult read() {
    const auto start = Clock::now();
    while (true) {
      pollfd readable{pipe_, POLLIN, 0};
      if (::poll(&readable, 1, kPollMs) > 0 && !readChunk()) return parseResult(text_);
      if (secondsSince(start) > seconds_) return killChild("the time budget ended");
      if (residentBytesWithChildren(pid_) > memoryBytes_) return killChild("the memory bound was reached");
    }
  }

 private:
  bool readChunk() {
    std::array<char, 4096> buffer;
    const ssize_t n = ::read(pipe_, buffer.data(), buffer.size());
    if (n <= 0) return false;
    text_.append(buffer.data(), static_cast<std::size_t>(n));
    return true;
  }
  CaseResult killChild(const std::string& reason) const {
    ::kill(pid_, SIGKILL);
    CaseResult out;
    out.error = reason;
    return out;
  }

  pid_t pid_;
  int pipe_;
  double seconds_;
  std::uint64_t memoryBytes_;
  std::string text_;
};

CaseResult measureInChild(const ScaleCase& scaleCase, std::size_t size, const CaseLimits& limits,
                          double seconds, std::uint64_t memoryBytes) {
  int pipeEnds[2];
  if (::pipe(pipeEnds) != 0) throw std::runtime_error("cannot create the pipe from a child process");
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid < 0) throw std::runtime_error("cannot fork a child process");
  if (pid == 0) {
    ::close(pipeEnds[0]);
    childMain(scaleCase, size, limits, pipeEnds[1], parent);
  }
  ::close(pipeEnds[1]);
  CaseResult out = ChildReader(pid, pipeEnds[0], seconds, memoryBytes).read();
  ::close(pipeEnds[0]);
  ::waitpid(pid, nullptr, 0);
  return out;
}

const std::vector<std::size_t>& sizesOf(const ScaleCase& scaleCase, ScaleForm form) {
  switch (form) {
    case ScaleForm::check:
      return scaleCase.checkSizes;
    case ScaleForm::quick:
      return scaleCase.quickSizes;
    case ScaleForm::full:
      break;
  }
  return scaleCase.fullSizes;
}

void printProgress(std::size_t caseNumber, std::size_t caseCount, const ScaleCase& scaleCase,
                   std::size_t size) {
  if (::isatty(STDERR_FILENO))
    std::fprintf(stderr, "\r\033[K[%zu/%zu] %s: %zu %s", caseNumber, caseCount, scaleCase.mechanism.c_str(),
                 size, scaleCase.varies.c_str());
}

class Runner {
 public:
  explicit Runner(const ScaleOptions& options) : options_(options) { out_.form = nameOf(options.form); }

  void run(const ScaleCase& scaleCase, std::size_t caseNumber, std::size_t caseCount) {
    if (scaleCase.kind == RunKind::real && options_.gatekeeperProgram.empty()) {
      note(scaleCase, "not run: no gatekeeper program was given");
      return;
    }
    const auto start = Clock::now();
    const double runRemaining = options_.totalSeconds - secondsSince(startedAt_);
    const double budget = std::min(options_.caseSeconds * scaleCase.budgetFactor, runRemaining);
    if (budget <= 0) {
      note(scaleCase, "not run: the time of the whole run has ended");
      return;
    }
    double lastSeconds = 0;  // run time of the previous size
    std::size_t lastSize = 0;
    for (const std::size_t size : sizesOf(scaleCase, options_.form)) {
      printProgress(caseNumber, caseCount, scaleCase, size);
      const double remaining = budget - secondsSince(start);
      const double growth =
          lastSize > 0 ? std::pow(static_cast<double>(size) / lastSize, scaleCase.growth) : 1;
      if (lastSeconds * growth > remaining) {
        note(scaleCase, "the time budget of " + std::to_string(std::lround(budget)) + " s does not hold " +
                            std::to_string(size) + " " + scaleCase.varies);
        break;
      }
      const auto sizeStart = Clock::now();
      if (!measureSize(scaleCase, size, remaining)) break;
      lastSeconds = secondsSince(sizeStart);
      lastSize = size;
    }
    spdlog::info("event=measured mechanism={} kind={} largest={} seconds={:.1f}", scaleCase.mechanism,
                 nameOf(scaleCase.kind), lastSize, secondsSince(start));
  }

  MeasurementSet result() { return std::move(out_); }

 private:
  bool measureSize(const ScaleCase& scaleCase, std::size_t size, double seconds) {
    CaseLimits limits;
    limits.gatekeeperProgram = options_.gatekeeperProgram;
    limits.processes = options_.processes;
    limits.dir =
        std::filesystem::absolute(options_.out) / "work" / (scaleCase.mechanism + "-" + std::to_string(size));
    const CaseResult caseResult = measureInChild(scaleCase, size, limits, seconds, options_.memoryBytes);
    if (!caseResult.error.empty()) {
      note(scaleCase, "ended at " + std::to_string(size) + " " + scaleCase.varies + ": " + caseResult.error);
      return false;
    }
    for (const Figure& figure : caseResult.figures) {
      Measurement m;
      m.mechanism = scaleCase.mechanism;
      m.figure = figure.name;
      m.unit = figure.unit;
      m.varies = scaleCase.varies;
      m.kind = scaleCase.kind;
      m.size = static_cast<double>(size);
      m.value = figure.value;
      out_.measurements.push_back(std::move(m));
    }
    return true;
  }
  void note(const ScaleCase& scaleCase, const std::string& text) {
    spdlog::warn("event=note mechanism={} text=\"{}\"", scaleCase.mechanism, text);
    out_.notes.push_back({scaleCase.mechanism, text});
  }

  const ScaleOptions& options_;
  const Clock::time_point startedAt_ = Clock::now();
  MeasurementSet out_;
};

}  // namespace

const char* nameOf(ScaleForm form) {
  switch (form) {
    case ScaleForm::check:
      return "check";
    case ScaleForm::quick:
      return "quick";
    case ScaleForm::full:
      return "full";
  }
  return "";
}

std::uint64_t maxMemoryBytes() {
  return static_cast<std::uint64_t>(::sysconf(_SC_PHYS_PAGES)) *
         static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) / 2;
}

MeasurementSet runScale(const std::vector<ScaleCase>& cases, const ScaleOptions& options) {
  Runner runner(options);
  std::size_t caseNumber = 0;
  for (const ScaleCase& scaleCase : cases) {
    ++caseNumber;
    const bool wanted = options.only.empty() || std::find(options.only.begin(), options.only.end(),
                                                          scaleCase.mechanism) != options.only.end();
    if (wanted) runner.run(scaleCase, caseNumber, cases.size());
  }
  if (::isatty(STDERR_FILENO)) std::fprintf(stderr, "\r\033[K");
  return runner.result();
}

}  // namespace wingslip::lab
