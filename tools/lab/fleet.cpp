#include "fleet.hpp"

#include <signal.h>
#include <spdlog/spdlog.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "net.hpp"

namespace wingslip::lab {
namespace beast = boost::beast;
namespace http = beast::http;
namespace fs = std::filesystem;
using Error = boost::system::error_code;
using nlohmann::json;

namespace {

constexpr auto kHealthEvery = std::chrono::milliseconds(250);
constexpr int kMissesOut = 3;  // the front takes a gatekeeper out after this many silent health checks
constexpr double kTailS = 2;   // after the load, for the last answers

json settingsFor(const Scenario& s, int me) {
  return json{{"me", me},
              {"nInstances", s.gatekeepers},
              {"locality", 0},
              {"localities", s.zones},
              {"shapes", {"m"}},
              {"discovery", "pushed"},
              {"permissions",
               {{"attemptsCap", s.attemptsCap},
                {"dialTimeout", 1000.0},
                {"connIdle", 30000.0},
                {"maxRetryAfter", 1000.0}}},
              {"familyInfo", {{"metering", 1000.0}, {"truedUp", false}, {"mostUnits", 2}}},
              {"report", {{"how", "answers"}, {"fields", {"util", "queue"}}}},
              {"rules",
               {{"stopSendingWithin", 1000.0},
                {"coldFrom", 0.2},
                {"warmUp", 1000.0},
                {"fallMultiple", 2.5},
                {"overloadFor", 1000.0}}},
              {"profiles",
               {{{"name", "look"},
                 {"aim", s.deadlineMs},
                 {"deadline", s.deadlineMs},
                 {"repeat", "safe"},
                 {"window", 0.0},
                 {"worth", 1.0}},
                {{"name", "edit"},
                 {"aim", s.deadlineMs},
                 {"deadline", s.deadlineMs},
                 {"repeat", "keyed"},
                 {"dedupScope", "zone"},
                 {"window", 60000.0},
                 {"worth", 2.0}}}},
              {"plans",
               {{{"name", "large"},
                 {"unitsPerS", 100000.0},
                 {"depth", 100000.0},
                 {"pays", 1.0},
                 {"overrunCost", 1.0}}}}};
}

constexpr unsigned kLowestPort = 10000;
constexpr unsigned kBlock = 320;  // ports a lab: a marker and 300 gatekeepers at most

// Claims a block of ports for this lab's gatekeepers and returns its marker, a listening socket on the
// block's first port held for the whole run; gatekeeper g listens at the marker's port + 1 + g. Labs that run
// at once (ctest runs several) skip a block whose marker is taken, so that a port of a gatekeeper that is
// down is not taken by another lab's gatekeeper, whose answers this lab's clients would then get. The blocks
// lie below the kernel's ephemeral range, from which the lab's own listeners and connections take theirs.
tcp::acceptor claimPorts(asio::io_context& io) {
  unsigned low = 32768;
  std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> low;
  const unsigned blocks = low > kLowestPort ? (low - kLowestPort) / kBlock : 0;
  if (blocks == 0) throw std::runtime_error("the ephemeral port range leaves no ports for gatekeepers");
  const unsigned first = std::random_device()() % blocks;  // not the run's seed: labs of one seed run at once
  for (unsigned i = 0; i < blocks; ++i) {
    tcp::acceptor marker(io);
    Error error;
    const tcp::endpoint at(asio::ip::address_v4::loopback(),
                           static_cast<unsigned short>(kLowestPort + (first + i) % blocks * kBlock));
    marker.open(at.protocol(), error);
    if (!error) marker.bind(at, error);
    if (!error) marker.listen(1, error);
    if (!error) return marker;
  }
  throw std::runtime_error("no free block of ports for the gatekeepers below the ephemeral range");
}

// Ends the gatekeepers that a lab killed before it could end them, by the ids it wrote.
void endLeftBehind(const fs::path& pids) {
  std::ifstream in(pids);
  for (pid_t pid; in >> pid;) {
    std::ifstream comm("/proc/" + std::to_string(pid) + "/comm");
    std::string name;
    if (comm >> name && name == "burlwind") {
      spdlog::warn("event=left_behind pid={} action=kill", pid);
      ::kill(pid, SIGKILL);
    }
  }
}

struct Gatekeeper {
  int index = 0;
  unsigned short port = 0;
  fs::path config, log;
  pid_t pid = 0;
  bool inFront = false, stopped = false;
  int misses = 0;
};

class Fleet {
 public:
  Fleet(const Scenario& s, const RunOptions& o)
      : s_(s), o_(o), judge_(s.attemptsCap), random_(o.seed), ports_(claimPorts(io_)) {}

  int run() {
    fs::create_directories(o_.out);
    endLeftBehind(fs::path(o_.out) / "pids");
    start_ = Clock::now();
    for (int w = 0; w < s_.workers; ++w)
      workers_.push_back(std::make_unique<Worker>(
          io_, w, s_, judge_, links_, [this] { return nowMs(); }, o_.seed * 1000 + w));
    for (int g = 0; g < s_.gatekeepers; ++g) {
      std::vector<Agent::Entry> list;
      for (int w = 0; w < s_.workers; ++w) {
        proxies_.push_back(std::make_unique<Proxy>(io_, g, workers_[w]->port(), links_));
        list.push_back({"w" + std::to_string(w), "127.0.0.1:" + std::to_string(proxies_.back()->port()),
                        s_.zones[s_.zoneOf(w)], "Ready", 0});
      }
      agents_.push_back(std::make_unique<Agent>(io_, g, list, judge_, [this] { return nowMs(); }));
      Gatekeeper gk;
      gk.index = g, gk.port = static_cast<unsigned short>(ports_.local_endpoint().port() + 1 + g);
      gk.config = fs::path(o_.out) / ("g" + std::to_string(g) + ".json");
      gk.log = fs::path(o_.out) / ("g" + std::to_string(g) + ".log");
      char seed[17];
      std::snprintf(seed, sizeof seed, "%016llx", static_cast<unsigned long long>(o_.seed * 7919 + g));
      std::ofstream(gk.config) << json{
          {"name", "g" + std::to_string(g)},
          {"listen", "127.0.0.1:" + std::to_string(gk.port)},
          {"discovery", "127.0.0.1:" + std::to_string(agents_.back()->port())},
          {"seed", seed},
          {"limits", {{"sockets", 256}, {"memory_mb", 64}}},
          {"settings",
           settingsFor(s_, g)}}.dump(1);
      gatekeepers_.push_back(gk);
    }
    for (Gatekeeper& gk : gatekeepers_) launch(gk);
    health();
    // The load begins once every gatekeeper is in the front, or after 15 s with those that are.
    waitForFront();
    start_ = Clock::now();
    for (const Step& step : s_.steps) at(step.atS, [this, step] { apply(step); });
    arrive();
    at(s_.lengthS + s_.deadlineMs / 1000 + kTailS, [this] { finish(); });
    io_.run();
    return verdict();
  }

 private:
  double nowMs() const { return std::chrono::duration<double, std::milli>(Clock::now() - start_).count(); }

  void at(double seconds, std::function<void()> what) {
    auto timer = std::make_shared<asio::steady_timer>(
        io_, start_ + std::chrono::microseconds(static_cast<long>(seconds * 1e6)));
    timer->async_wait([timer, what = std::move(what)](const Error& error) {
      if (!error) what();
    });
  }

  void launch(Gatekeeper& gk) {
    const pid_t pid = ::fork();
    if (pid < 0) throw std::runtime_error("cannot start a gatekeeper: fork failed");
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // nothing is left behind when the lab dies
      std::FILE* log = std::fopen(gk.log.c_str(), "a");
      if (log) ::dup2(::fileno(log), 2), ::dup2(::fileno(log), 1);
      // None of the lab's sockets goes with it: the marker of its ports, proxies, workers, agents.
      if (::close_range(3, ~0U, 0) != 0)
        for (int fd = 3; fd < 65536; ++fd) ::close(fd);
      ::setenv("BALANCER_CONFIG", gk.config.c_str(), 1);
      ::execl(o_.burlwind.c_str(), "burlwind", static_cast<char*>(nullptr));
      ::_exit(127);
    }
    gk.pid = pid, gk.stopped = false, gk.inFront = false, gk.misses = 0;
    std::ofstream(fs::path(o_.out) / "pids", std::ios::app) << pid << "\n";
    spdlog::info("event=start gatekeeper={} pid={} port={}", gk.index, pid, gk.port);
  }

  void signal(Gatekeeper& gk, int number) {
    if (gk.pid > 0) ::kill(gk.pid, number);
  }

  // Reaps the gatekeepers that ended; one that ended by itself, not by the lab's fault, crashed.
  void reap() {
    for (Gatekeeper& gk : gatekeepers_) {
      int status = 0;
      if (gk.pid <= 0 || ::waitpid(gk.pid, &status, WNOHANG) != gk.pid) continue;
      gk.pid = 0;
      const bool byLab = ended_.contains(gk.index);
      if (!byLab && !finishing_) {
        crashes_.push_back("gatekeeper " + std::to_string(gk.index) + " ended by itself, status " +
                           std::to_string(status));
        judge_.down(gk.index, nowMs());
      }
    }
  }

  // The front: a health check of each gatekeeper every 250 ms; in at the first 200, out after three misses.
  void health() {
    reap();
    for (Gatekeeper& gk : gatekeepers_) {
      auto socket = std::make_shared<tcp::socket>(io_);
      auto timer = std::make_shared<asio::steady_timer>(io_, kHealthEvery);
      auto buffer = std::make_shared<beast::flat_buffer>();
      auto reply = std::make_shared<http::response<http::string_body>>();
      auto request = std::make_shared<http::request<http::empty_body>>(http::verb::get, "/health/ready", 11);
      timer->async_wait([socket](const Error& e) {
        if (!e) socket->close();
      });
      const int g = gk.index;
      socket->async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), gk.port), [=,
                                                                                       this](const Error& e) {
        if (e) return miss(g, timer);
        http::async_write(*socket, *request, [=, this, keepRequest = request](const Error& we, std::size_t) {
          if (we) return miss(g, timer);
          http::async_read(*socket, *buffer, *reply, [=, this, keep = buffer](const Error& re, std::size_t) {
            timer->cancel();
            if (re || reply->result() != http::status::ok) return miss(g, timer);
            Gatekeeper& k = gatekeepers_[g];
            k.misses = 0;
            if (!k.inFront) spdlog::info("event=in_front gatekeeper={} at_ms={:.0f}", g, nowMs());
            k.inFront = true;
          });
        });
      });
    }
    if (finishing_) return;
    auto next = std::make_shared<asio::steady_timer>(io_, kHealthEvery);
    next->async_wait([this, next](const Error&) { health(); });
  }

  void miss(int g, const std::shared_ptr<asio::steady_timer>& timer) {
    timer->cancel();
    Gatekeeper& gk = gatekeepers_[g];
    if (++gk.misses >= kMissesOut && gk.inFront) {
      gk.inFront = false;
      spdlog::info("event=out_of_front gatekeeper={} at_ms={:.0f}", g, nowMs());
    }
  }

  void waitForFront() {
    const auto limit = Clock::now() + std::chrono::seconds(15);
    while (Clock::now() < limit) {
      io_.run_for(std::chrono::milliseconds(100));
      if (std::all_of(gatekeepers_.begin(), gatekeepers_.end(),
                      [](const Gatekeeper& gk) { return gk.inFront; }))
        return;
    }
    spdlog::warn("event=not_all_ready after_s=15");
  }

  void apply(const Step& step) {
    spdlog::info("event=step at_s={} do={} gatekeeper={} worker={} zone={}", step.atS, step.what,
                 step.gatekeeper.value_or(-1), step.worker.value_or(-1), step.zone.value_or("-"));
    faults_.push_back({{"at_s", step.atS}, {"do", step.what}, {"line", step.line}});
    if (step.gatekeeper && !step.worker && !step.zone) {
      Gatekeeper& gk = gatekeepers_[*step.gatekeeper];
      const int g = gk.index;
      if (step.what == "kill") ended_.insert(g), judge_.down(g, nowMs()), signal(gk, SIGKILL);
      if (step.what == "term") ended_.insert(g), judge_.down(g, nowMs()), signal(gk, SIGTERM);
      if (step.what == "stop") judge_.down(g, nowMs()), signal(gk, SIGSTOP), gk.stopped = true;
      if (step.what == "cont") signal(gk, SIGCONT), judge_.up(g, nowMs()), gk.stopped = false;
      if (step.what == "hup") signal(gk, SIGHUP);
      if (step.what == "restart") {
        if (gk.pid > 0) signal(gk, SIGKILL), ::waitpid(gk.pid, nullptr, 0), gk.pid = 0;
        ended_.erase(g);
        judge_.down(g, nowMs());
        launch(gk);
        judge_.up(g, nowMs());
      }
      if (step.what == "agent_down" || step.what == "agent_up")
        agents_[g]->setDown(step.what == "agent_down");
      return;
    }
    for (int w = 0; w < s_.workers; ++w) {
      if (step.worker ? *step.worker != w : s_.zones[s_.zoneOf(w)] != *step.zone) continue;
      Worker& worker = *workers_[w];
      if (step.what == "drain" || step.what == "revive") {
        worker.mode.draining = step.what == "drain";
        worker.mode.silent = false;
        for (auto& agent : agents_) agent->change(w, worker.mode.draining ? "Terminating" : "Ready", 0);
      }
      if (step.what == "silent") worker.mode.silent = true;
      if (step.what == "restart_worker") {
        worker.restart();
        const double wall =
            std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
                .count();
        for (auto& agent : agents_) agent->change(w, "Ready", wall);
      }
      static const std::map<std::string, LinkMode> modes{{"cut", LinkMode::cut},
                                                         {"blackhole", LinkMode::blackhole},
                                                         {"oneway", LinkMode::oneway},
                                                         {"delay", LinkMode::delay},
                                                         {"heal", LinkMode::pass}};
      if (const auto mode = modes.find(step.what); mode != modes.end())
        for (int g = 0; g < s_.gatekeepers; ++g)
          if (!step.gatekeeper || *step.gatekeeper == g)
            proxies_[g * s_.workers + w]->set(mode->second, step.delayMs);
    }
  }

  // Open-loop Poisson arrivals over the fleet until the end of the load.
  void arrive() {
    std::exponential_distribution<double> gap(s_.rate);
    nextS_ += s_.rate > 0 ? gap(random_) : 1e9;
    if (nextS_ >= s_.lengthS) return;
    at(nextS_, [this] {
      send();
      arrive();
    });
  }

  void send() {
    std::vector<int> front;
    for (const Gatekeeper& gk : gatekeepers_)
      if (gk.inFront) front.push_back(gk.index);
    if (front.empty() || inFlight_ >= s_.mostInFlight) return void(++notSent_);
    const int g = front[std::uniform_int_distribution<std::size_t>(0, front.size() - 1)(random_)];
    const int customer = std::uniform_int_distribution<int>(1, s_.customers)(random_);
    const bool edit = std::uniform_real_distribution<double>()(random_) < s_.editShare;
    const std::uint64_t id = random_() >> 1 | 1;
    char text[17], client[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(id));
    std::snprintf(client, sizeof client, "%016x", customer);
    auto request = std::make_shared<http::request<http::string_body>>(
        edit ? http::verb::post : http::verb::get,
        std::string(edit ? "/edit" : "/look") + "?client=" + client, 11);
    request->set(http::field::host, "backend.local");
    request->set("Req-Id", text);
    request->set("X-Tier", "large");
    request->set("Req-Deadline-Ms", std::to_string(static_cast<long>(s_.deadlineMs)));
    request->set("X-Call-Terms", "units=1,spread=" + std::to_string(s_.gatekeepers) + ",first=0");
    if (edit) {
      request->set("Idempotency-Key", std::string(text) + std::string(text));
      request->body() = "{\"edit\":" + std::to_string(customer) + "}";
      request->prepare_payload();
    }
    judge_.sent(id, g, nowMs(), s_.deadlineMs);
    ++inFlight_;
    auto socket = std::make_shared<tcp::socket>(io_);
    auto buffer = std::make_shared<beast::flat_buffer>();
    auto reply = std::make_shared<http::response<http::string_body>>();
    auto done = std::make_shared<bool>(false);
    auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::milliseconds(static_cast<long>(s_.deadlineMs + 600)));
    auto end = [this, socket, timer, done, id](Fate fate, int status, const std::string& body) {
      if (std::exchange(*done, true)) return;
      --inFlight_;
      timer->cancel();
      Error ignored;
      socket->close(ignored);
      if (fate == Fate::open)
        judge_.answered(id, nowMs(), status, body);
      else
        judge_.ended(id, nowMs(), fate);
    };
    timer->async_wait([end](const Error& e) {
      if (!e) end(Fate::lost, 0, "");  // the client gives up
    });
    socket->async_connect(
        tcp::endpoint(asio::ip::address_v4::loopback(), gatekeepers_[g].port), [=](const Error& e) {
          if (e) return end(Fate::unreachable, 0, "");
          http::async_write(*socket, *request, [=, keepRequest = request](const Error& we, std::size_t) {
            if (we) return end(Fate::unreachable, 0, "");
            http::async_read(*socket, *buffer, *reply, [=, keep = buffer](const Error& re, std::size_t) {
              if (re) return end(Fate::closed, 0, "");
              end(Fate::open, reply->result_int(), reply->body());
            });
          });
        });
  }

  void finish() {
    finishing_ = true;
    for (const Gatekeeper& gk : gatekeepers_) measure(gk);
    for (Gatekeeper& gk : gatekeepers_) {
      if (gk.stopped) signal(gk, SIGCONT);
      signal(gk, SIGTERM);
    }
    judge_.close(nowMs());
    const auto limit = Clock::now() + std::chrono::seconds(5);
    for (Gatekeeper& gk : gatekeepers_) {
      while (gk.pid > 0 && Clock::now() < limit && ::waitpid(gk.pid, nullptr, WNOHANG) == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      if (gk.pid > 0 && ::waitpid(gk.pid, nullptr, WNOHANG) == 0) {
        spdlog::warn("event=kill_at_end gatekeeper={} pid={}", gk.index, gk.pid);
        ::kill(gk.pid, SIGKILL);
        ::waitpid(gk.pid, nullptr, 0);
      }
      gk.pid = 0;
    }
    fs::remove(fs::path(o_.out) / "pids");
    io_.stop();
  }

  // The peak memory (kB) and the open descriptors of a gatekeeper that runs, from /proc.
  void measure(const Gatekeeper& gk) {
    if (gk.pid <= 0) return;
    const std::string at = "/proc/" + std::to_string(gk.pid);
    std::ifstream status(at + "/status");
    for (std::string line; std::getline(status, line);)
      if (line.rfind("VmHWM:", 0) == 0) mostKb_ = std::max(mostKb_, std::stol(line.substr(6)));
    Error error;
    long fds = 0;
    for (std::error_code e; const auto& entry : fs::directory_iterator(at + "/fd", e))
      fds += !entry.is_directory();
    mostFds_ = std::max(mostFds_, fds);
  }

  int verdict() {
    std::ofstream events(fs::path(o_.out) / "events.jsonl");
    for (const auto& [id, r] : judge_.requests())
      events << json{{"id", id},
                     {"gatekeeper", r.gatekeeper},
                     {"sent_ms", r.sentMs},
                     {"end_ms", r.endMs},
                     {"fate", nameOf(r.fate)},
                     {"status", r.status},
                     {"excused", r.excused}}
                    .dump()
             << "\n";
    json summary{{"scenario", s_.name},   {"seed", o_.seed},   {"gatekeepers", s_.gatekeepers},
                 {"workers", s_.workers}, {"faults", faults_}, {"not_sent", notSent_}};
    rusage self{};
    ::getrusage(RUSAGE_SELF, &self);
    summary["lab"] = {{"cpu_s", self.ru_utime.tv_sec + self.ru_stime.tv_sec +
                                    (self.ru_utime.tv_usec + self.ru_stime.tv_usec) / 1e6},
                      {"most_kb", self.ru_maxrss}};
    summary["gatekeeper_most"] = {{"kb", mostKb_}, {"descriptors", mostFds_}};
    for (Fate f : {Fate::served, Fate::refused, Fate::failed, Fate::closed, Fate::unreachable, Fate::lost,
                   Fate::wrong})
      summary["fates"][nameOf(f)] = judge_.count(f);
    std::vector<double> times = judge_.servedTimes();
    std::sort(times.begin(), times.end());
    for (const double q : {0.5, 0.9, 0.99})
      summary["served_ms"]["p" + std::to_string(static_cast<int>(q * 100))] =
          times.empty() ? 0.0 : times[static_cast<std::size_t>(q * (times.size() - 1))];
    std::vector<std::string> broken = judge_.broken();
    broken.insert(broken.end(), crashes_.begin(), crashes_.end());
    summary["broken"] = broken;
    summary["broken_count"] = judge_.brokenCount() + static_cast<long>(crashes_.size());
    json unmet = json::array();
    for (const Expect& e : s_.expects) {
      static const std::map<std::string, Fate> fates{
          {"served", Fate::served}, {"refused", Fate::refused},         {"failed", Fate::failed},
          {"closed", Fate::closed}, {"unreachable", Fate::unreachable}, {"lost", Fate::lost},
          {"wrong", Fate::wrong}};
      const long n =
          e.fate == "attempts"
              ? judge_.attempts(
                    [&](int w) { return e.worker ? w == *e.worker : s_.zones[s_.zoneOf(w)] == *e.zone; },
                    e.afterS * 1000, e.beforeS * 1000)
              : judge_.count(fates.at(e.fate), e.gatekeeper, e.afterS * 1000, e.beforeS * 1000);
      if ((e.min && n < *e.min) || (e.max && n > *e.max))
        unmet.push_back("line " + std::to_string(e.line) + ": " + e.fate + " " + std::to_string(n) +
                        " not within " + std::to_string(e.min.value_or(0)) + ".." +
                        (e.max ? std::to_string(*e.max) : "any"));
    }
    summary["unmet"] = unmet;
    const bool passed = summary["broken_count"] == 0 && unmet.empty();
    summary["verdict"] = passed ? "passed" : "failed";
    std::ofstream(fs::path(o_.out) / "summary.json") << summary.dump(1) << "\n";
    report(o_.out);
    return passed ? 0 : 1;
  }

  const Scenario& s_;
  const RunOptions& o_;
  asio::io_context io_;
  Judge judge_;
  std::mt19937_64 random_;
  tcp::acceptor ports_;  // the marker of this lab's block of ports
  LinkOf links_;
  Clock::time_point start_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::vector<Gatekeeper> gatekeepers_;
  std::set<int> ended_;
  std::vector<std::string> crashes_;
  json faults_ = json::array();
  double nextS_ = 0;
  int inFlight_ = 0;
  long notSent_ = 0, mostKb_ = 0, mostFds_ = 0;
  bool finishing_ = false;
};

}  // namespace

int play(const Scenario& scenario, const RunOptions& options) {
  if (::access(options.burlwind.c_str(), X_OK) != 0)
    throw std::runtime_error("no program to start at " + options.burlwind + " (set --burlwind)");
  ::signal(SIGPIPE, SIG_IGN);
  return Fleet(scenario, options).run();
}

int report(const std::string& out) {
  std::ifstream in(fs::path(out) / "summary.json");
  if (!in) throw std::runtime_error("no summary.json in " + out);
  const json s = json::parse(in);
  std::cout << "scenario " << s["scenario"].get<std::string>() << ", seed " << s["seed"] << ", "
            << s["gatekeepers"] << " gatekeepers, " << s["workers"] << " workers\n";
  std::cout << "fates:";
  for (const auto& [fate, n] : s["fates"].items()) std::cout << " " << fate << "=" << n;
  std::cout << "\nserved ms: p50=" << s["served_ms"]["p50"] << " p90=" << s["served_ms"]["p90"]
            << " p99=" << s["served_ms"]["p99"] << "\nlab: " << s["lab"]["cpu_s"] << " s of CPU, "
            << s["lab"]["most_kb"] << " kB; a gatekeeper at most " << s["gatekeeper_most"]["kb"] << " kB, "
            << s["gatekeeper_most"]["descriptors"] << " descriptors"
            << "\nfaults: " << s["faults"].size() << ", not sent: " << s["not_sent"] << "\n";
  for (const auto& line : s["broken"]) std::cout << "broken: " << line.get<std::string>() << "\n";
  for (const auto& line : s["unmet"]) std::cout << "unmet: " << line.get<std::string>() << "\n";
  std::cout << "verdict: " << s["verdict"].get<std::string>() << "\n";
  return s["verdict"] == "passed" ? 0 : 1;
}

}  // namespace wingslip::lab
