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

constexpr int kPollMs = 50;  // between looks at a child's memory
constexpr std::uint64_t kPage = 4096;

double secondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

std::uint64_t residentBytes(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  std::uint64_t total = 0, resident = 0;
  in >> total >> resident;
  return resident * kPage;
}

std::uint64_t residentOfGroup(pid_t pid) {
  std::uint64_t out = residentBytes(pid);
  std::ifstream in("/proc/" + std::to_string(pid) + "/task/" + std::to_string(pid) + "/children");
  for (pid_t child = 0; in >> child;) out += residentBytes(child);
  return out;
}

// What a child says of its size: figures, or why there are none.
struct Outcome {
  std::vector<Figure> figures;
  std::string error;
};

std::string textOf(const Outcome& outcome) {
  json figures = json::array();
  for (const Figure& figure : outcome.figures)
    figures.push_back({{"name", figure.name}, {"unit", figure.unit}, {"value", figure.value}});
  return json{{"figures", figures}, {"error", outcome.error}}.dump();
}

Outcome outcomeOf(const std::string& text) {
  Outcome out;
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

Outcome measureHere(const ScaleCase& what, std::size_t size, const CaseLimits& limits) {
  Outcome out;
  try {
    out.figures = what.measure(size, limits);
  } catch (const std::exception& error) {
    out.error = error.what();
  }
  return out;
}

// What processes under test and members on sockets say goes into the case's folder.
void logAside(const ScaleCase& what, const CaseLimits& limits) {
  if (what.kind != RunKind::real) return;
  std::error_code ignored;
  std::filesystem::create_directories(limits.dir, ignored);
  if (!std::freopen((limits.dir / "case.log").c_str(), "w", stderr)) ::_exit(1);
}

[[noreturn]] void childMain(const ScaleCase& what, std::size_t size, const CaseLimits& limits, int pipe,
                            pid_t parent) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(1);
  logAside(what, limits);
  const std::string text = textOf(measureHere(what, size, limits));
  for (std::size_t sent = 0; sent < text.size();) {
    const ssize_t n = ::write(pipe, text.data() + sent, text.size() - sent);
    if (n <= 0) break;
    sent += static_cast<std::size_t>(n);
  }
  ::_exit(0);
}

// Reads the child's text until it closes the pipe, its time ends or its memory passes the bound.
class ChildReader {
 public:
  ChildReader(pid_t pid, int pipe, double seconds, std::uint64_t memoryBytes)
      : pid_(pid), pipe_(pipe), seconds_(seconds), memoryBytes_(memoryBytes) {}

  Outcome read() {
    const auto start = Clock::now();
    while (true) {
      pollfd waited{pipe_, POLLIN, 0};
      if (::poll(&waited, 1, kPollMs) > 0 && !take()) return outcomeOf(text_);
      if (secondsSince(start) > seconds_) return ended("the time budget ended");
      if (residentOfGroup(pid_) > memoryBytes_) return ended("the memory bound was reached");
    }
  }

 private:
  bool take() {
    std::array<char, 4096> piece;
    const ssize_t n = ::read(pipe_, piece.data(), piece.size());
    if (n <= 0) return false;
    text_.append(piece.data(), static_cast<std::size_t>(n));
    return true;
  }
  Outcome ended(const std::string& why) const {
    ::kill(pid_, SIGKILL);
    Outcome out;
    out.error = why;
    return out;
  }

  pid_t pid_;
  int pipe_;
  double seconds_;
  std::uint64_t memoryBytes_;
  std::string text_;
};

Outcome measureInChild(const ScaleCase& what, std::size_t size, const CaseLimits& limits, double seconds,
                       std::uint64_t memoryBytes) {
  int ends[2];
  if (::pipe(ends) != 0) throw std::runtime_error("cannot make a pipe");
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid < 0) throw std::runtime_error("cannot fork");
  if (pid == 0) {
    ::close(ends[0]);
    childMain(what, size, limits, ends[1], parent);
  }
  ::close(ends[1]);
  Outcome out = ChildReader(pid, ends[0], seconds, memoryBytes).read();
  ::close(ends[0]);
  ::waitpid(pid, nullptr, 0);
  return out;
}

const std::vector<std::size_t>& sizesOf(const ScaleCase& what, ScaleForm form) {
  switch (form) {
    case ScaleForm::check:
      return what.checkSizes;
    case ScaleForm::quick:
      return what.quickSizes;
    case ScaleForm::full:
      break;
  }
  return what.fullSizes;
}

void progress(std::size_t done, std::size_t all, const ScaleCase& what, std::size_t size) {
  if (::isatty(STDERR_FILENO))
    std::fprintf(stderr, "\r\033[K[%zu/%zu] %s: %zu %s", done, all, what.mechanism.c_str(), size,
                 what.varies.c_str());
}

class Runner {
 public:
  explicit Runner(const ScaleOptions& options) : options_(options) { out_.form = nameOf(options.form); }

  void run(const ScaleCase& what, std::size_t done, std::size_t all) {
    if (what.kind == RunKind::real && options_.gatekeeperProgram.empty()) {
      note(what, "not run: no gatekeeper program was given");
      return;
    }
    const auto start = Clock::now();
    const double total = options_.totalSeconds - secondsSince(began_);
    const double budget = std::min(options_.caseSeconds * what.budgetShare, total);
    if (budget <= 0) {
      note(what, "not run: the time of the whole run has ended");
      return;
    }
    double last = 0;  // seconds of the size before
    std::size_t lastSize = 0;
    for (const std::size_t size : sizesOf(what, options_.form)) {
      progress(done, all, what, size);
      const double left = budget - secondsSince(start);
      const double growth = lastSize > 0 ? std::pow(static_cast<double>(size) / lastSize, what.growth) : 1;
      if (last * growth > left) {
        note(what, "the time budget of " + std::to_string(std::lround(budget)) + " s does not hold " +
                       std::to_string(size) + " " + what.varies);
        break;
      }
      const auto began = Clock::now();
      if (!take(what, size, left)) break;
      last = secondsSince(began);
      lastSize = size;
    }
    spdlog::info("event=measured mechanism={} kind={} largest={} seconds={:.1f}", what.mechanism,
                 nameOf(what.kind), lastSize, secondsSince(start));
  }

  MeasurementSet result() { return std::move(out_); }

 private:
  bool take(const ScaleCase& what, std::size_t size, double seconds) {
    CaseLimits limits;
    limits.gatekeeperProgram = options_.gatekeeperProgram;
    limits.processes = options_.processes;
    limits.dir =
        std::filesystem::absolute(options_.out) / "work" / (what.mechanism + "-" + std::to_string(size));
    const Outcome outcome = measureInChild(what, size, limits, seconds, options_.memoryBytes);
    if (!outcome.error.empty()) {
      note(what, "ended at " + std::to_string(size) + " " + what.varies + ": " + outcome.error);
      return false;
    }
    for (const Figure& figure : outcome.figures) {
      Measurement m;
      m.mechanism = what.mechanism;
      m.figure = figure.name;
      m.unit = figure.unit;
      m.varies = what.varies;
      m.kind = what.kind;
      m.size = static_cast<double>(size);
      m.value = figure.value;
      out_.measurements.push_back(std::move(m));
    }
    return true;
  }
  void note(const ScaleCase& what, const std::string& text) {
    spdlog::warn("event=note mechanism={} text=\"{}\"", what.mechanism, text);
    out_.notes.push_back({what.mechanism, text});
  }

  const ScaleOptions& options_;
  const Clock::time_point began_ = Clock::now();
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
  std::size_t done = 0;
  for (const ScaleCase& what : cases) {
    ++done;
    const bool wanted = options.only.empty() || std::find(options.only.begin(), options.only.end(),
                                                          what.mechanism) != options.only.end();
    if (wanted) runner.run(what, done, cases.size());
  }
  if (::isatty(STDERR_FILENO)) std::fprintf(stderr, "\r\033[K");
  return runner.result();
}

}  // namespace wingslip::lab
