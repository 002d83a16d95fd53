/// Implementation of the platform's stand-ins.
#include "platform.hpp"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <utility>

namespace review {
namespace {

constexpr double kHeartbeatMs = 2000;
constexpr double kMessageMs = 20000;  // longest time in which a worker waits for the rest of a request

bool isReadable(const Socket& socket, int timeoutMs) {
  pollfd descriptor{socket.number(), POLLIN, 0};
  return ::poll(&descriptor, 1, timeoutMs) > 0;
}

std::string chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

void joinAll(std::list<std::thread>& threads) {
  for (std::thread& thread : threads)
    if (thread.joinable()) thread.join();
}

}  // namespace

std::string Instance::json() const {
  char started[32];
  std::snprintf(started, sizeof started, "%.0f", startedAtMs);
  return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + loopbackAddress(port) + "\",\"zone\":\"" + zone +
         "\",\"machineType\":\"std-3core\",\"cell\":0,\"lifecycle\":\"" + lifecycle +
         "\",\"weight\":1.0,\"startedAtMs\":" + started + "}";
}

std::string listText(long long generation, bool reset, const std::vector<Instance>& instances) {
  std::string out = "{\"generation\":" + std::to_string(generation) +
                    ",\"reset\":" + (reset ? "true" : "false") + ",\"instances\":[";
  for (std::size_t i = 0; i < instances.size(); ++i) out += (i > 0 ? "," : "") + instances[i].json();
  return out + "]}";
}

// --- Agent -------------------------------------------------------------------------------------------------

Agent::Agent(Record& record, std::string name, long long generation, std::vector<Instance> instances)
    : record_(record),
      name_(std::move(name)),
      listener_(listenOnLoopback(64)),
      port_(portOf(listener_)),
      generation_(generation),
      instances_(std::move(instances)) {
  threads_.emplace_back([this] { accept(); });
}

Agent::~Agent() {
  stopped_ = true;
  joinAll(threads_);
}

void Agent::accept() {
  std::list<std::thread> connections;
  while (!stopped_) {
    if (!isReadable(listener_, 50)) continue;
    Socket connection = acceptFrom(listener_);
    if (connection.isOpen())
      connections.emplace_back([this, socket = connection.release()] { serve(Socket(socket)); });
  }
  joinAll(connections);
}

void Agent::serve(Socket connection) {
  HttpReader reader(connection);
  const auto request = reader.read(nowMs() + 5000);
  if (!request) return;
  const std::string target = request->target();
  const bool isCurrent = target.find("&from=" + std::to_string(generation_)) != std::string::npos;
  const std::string list =
      listText(generation_, !isCurrent, isCurrent ? std::vector<Instance>{} : instances_);
  record_.add(name_ + ": " + request->startLine + " is answered " + list);
  if (target.find("watch=1") == std::string::npos) {
    sendAll(connection, responseText(200, "OK", "", list));
    return;
  }
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  bool open = sendAll(connection, head + chunk(list + "\n"));
  for (double nextMs = nowMs() + kHeartbeatMs; open && !stopped_; sleepMs(20)) {
    if (nowMs() < nextMs) continue;
    nextMs += kHeartbeatMs;
    open = sendAll(connection, chunk("\n"));
  }
}

// --- Worker ------------------------------------------------------------------------------------------------

Worker::Worker(std::string name, Handler handle)
    : name_(std::move(name)),
      handle_(std::move(handle)),
      listener_(listenOnLoopback(64)),
      port_(portOf(listener_)) {
  threads_.emplace_back([this] { accept(); });
}

Worker::~Worker() {
  stopped_ = true;
  joinAll(threads_);
}

Instance Worker::instance() const {
  Instance out;
  out.id = name_;
  out.port = port_;
  return out;
}

void Worker::accept() {
  std::list<std::thread> connections;
  while (!stopped_) {
    if (hangs_)
      sleepMs(10);
    else if (isReadable(listener_, 10)) {
      Socket connection = acceptFrom(listener_);
      if (connection.isOpen())
        connections.emplace_back([this, socket = connection.release()] { serve(Socket(socket)); });
    }
  }
  joinAll(connections);
}

void Worker::serve(Socket connection) {
  HttpReader reader(connection);
  while (!stopped_ && !reader.ended()) {
    if (hangs_)
      sleepMs(10);
    else if (reader.hasBytes() || isReadable(connection, 10)) {
      const auto request = reader.read(nowMs() + kMessageMs);
      if (request && !handle_(*request, connection)) return;
    }
  }
}

// --- Gatekeeper --------------------------------------------------------------------------------------------

std::string settingsJson() {
  return R"({"clients":{"marksRetry":false},"discovery":"pushed","domainType":"gate",
 "familyInfo":{"callPrice":0.02,"countLimit":50.0,"metering":1000.0,"mostUnits":8,"peerInPerS":0.0,
  "sharedCounter":false,"truedUp":true},
 "goal":{"whole":0.55,"worstClass":0.0,"worstTenant":0.25,"worstWindow":0.2},"layer":0,
 "localities":["hall-a","hall-b","hall-c"],"locality":0,"me":0,"nInstances":1,
 "permissions":{"attemptsCap":5,"connIdle":30000.0,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,
  "dialTimeout":250.0,"maxRetryAfter":1000.0,"mayCancel":true,"mayProbe":true,"multiplex":32,
  "openCap":20000,"peers":false,"retryAfter":true,"secondCopies":true},
 "plans":[
  {"atOnce":0,"ceilingRate":0.0,"depth":16.0,"hardBurst":0.0,"name":"basic","overWorth":0.0,
   "overrunCost":1.0,"pays":0.8,"tolerance":0.0,"unitsPerS":1.3},
  {"atOnce":0,"ceilingRate":0.0,"depth":23.0,"hardBurst":0.0,"name":"large","overWorth":0.0,
   "overrunCost":1.2,"pays":1.8,"tolerance":0.0,"unitsPerS":11.0}],
 "prices":{"connection":0.0,"crossZone":0.005,"discovery":0.0,"handshake":0.0,"lateFail":0.08,"moves":0.0,
  "origin":0.0,"peer":0.0,"probe":0.01,"waste":0.08},
 "profiles":[
  {"aim":1500.0,"deadline":6000.0,"dedupScope":"all","lateWorth":0.0,"name":"catalog","repeat":"safe",
   "streaming":false,"window":5000.0,"worth":1.0},
  {"aim":2000.0,"deadline":6000.0,"dedupScope":"all","lateWorth":0.0,"name":"wallet","repeat":"safe",
   "streaming":false,"window":5000.0,"worth":1.0},
  {"aim":1200.0,"deadline":3000.0,"dedupScope":"zone","lateWorth":0.0,"name":"purchase","repeat":"keyed",
   "streaming":false,"window":2000.0,"worth":2.0}],
 "report":{"fields":[],"how":"none"},
 "rules":{"askWithin":10000.0,"coldFrom":0.17,"fallMultiple":2.0,"graceToAnswer":8.0,"overloadFor":1500.0,
  "stopSendingWithin":2000.0,"warmUp":16000.0},
 "shapes":["std-3core"],"tick":2.0,"tiers":["shop-fleet"],"weightSource":"rough"})";
}

Gatekeeper::Gatekeeper(Record& record, std::string folder, std::uint16_t discoveryPort, std::string settings,
                       int sockets)
    : record_(record),
      folder_(std::move(folder)),
      port_(freePort()),
      opsPort_(freePort()),
      discoveryPort_(discoveryPort),
      settings_(std::move(settings)),
      sockets_(sockets) {}

Gatekeeper::~Gatekeeper() { stop(0); }

void Gatekeeper::writeConfig(const std::vector<Instance>& known, long long knownGeneration) {
  std::ofstream(folder_ + "/config.json")
      << "{\"name\":\"g0\",\"listen\":\"" << loopbackAddress(port_) << "\",\"discovery\":\""
      << loopbackAddress(discoveryPort_) << "\",\"ops\":\"" << loopbackAddress(opsPort_)
      << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
      << sockets_ << "},"
      << "\"known\":" << listText(knownGeneration, true, known) << ",\"settings\":" << settings_ << "}\n";
}

void Gatekeeper::start(const std::vector<Instance>& known, long long knownGeneration) {
  const char* run = std::getenv("REVIEW_RUN");
  if (!run) cannotRun(record_, "REVIEW_RUN is not set: start the case by its run.sh");
  writeConfig(known, knownGeneration);
  const std::string config = folder_ + "/config.json", log = folder_ + "/gatekeeper.log";
  const std::string temporary = folder_ + "/tmp";
  process_ = ::fork();
  if (process_ < 0) cannotRun(record_, "fork failed");
  if (process_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv("BALANCER_CONFIG", config.c_str(), 1);
    ::setenv("BALANCER_NAME", "g0", 1);
    ::setenv("BALANCER_LISTEN", loopbackAddress(port_).c_str(), 1);
    ::setenv("BALANCER_DISCOVERY", loopbackAddress(discoveryPort_).c_str(), 1);
    ::setenv("BALANCER_OPS", loopbackAddress(opsPort_).c_str(), 1);
    ::setenv("TMPDIR", temporary.c_str(), 1);
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(file, 1);
    ::dup2(file, 2);
    ::execl("/bin/sh", "sh", "-c", run, static_cast<char*>(nullptr));
    ::_exit(127);
  }
  record_.add("gatekeeper started, process " + std::to_string(process_) + ", listens at " +
              loopbackAddress(port_));
}

bool Gatekeeper::waitUntilReady() {
  const double untilMs = nowMs() + 30000;
  while (nowMs() < untilMs && !hasExited()) {
    const Socket connection = connectToLoopback(port_);
    if (connection.isOpen()) {
      sendAll(connection, "GET /health/ready HTTP/1.1\r\nHost: g0\r\nConnection: close\r\n\r\n");
      HttpReader reader(connection);
      const auto answer = reader.read(nowMs() + 500);
      if (answer && answer->status() == 200) {
        record_.add("gatekeeper is ready");
        return true;
      }
    }
    sleepMs(50);
  }
  return false;
}

void Gatekeeper::signal(int number) {
  if (process_ > 0) ::kill(process_, number);
}

bool Gatekeeper::hasExited() {
  if (process_ <= 0) return true;
  int status = 0;
  if (::waitpid(process_, &status, WNOHANG) != process_) return false;
  record_.add("gatekeeper has ended, status " + std::to_string(status));
  process_ = -1;
  return true;
}

void Gatekeeper::stop(double graceMs) {
  if (hasExited()) return;
  if (graceMs > 0) signal(SIGTERM);
  const double untilMs = nowMs() + graceMs;
  while (nowMs() < untilMs && !hasExited()) sleepMs(10);
  if (hasExited()) return;
  signal(SIGKILL);
  ::waitpid(process_, nullptr, 0);
  process_ = -1;
}

// --- Client ------------------------------------------------------------------------------------------------

std::string ClientRequest::text() const {
  const bool isKeyed = requestClass == "purchase";
  std::string out = std::string(isKeyed ? "POST" : "GET") + " /" + requestClass + "?client=" + customer +
                    " HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id +
                    "\r\nX-Tier: large\r\nReq-Deadline-Ms: " + std::to_string(deadlineMs) +
                    "\r\nX-Call-Terms: units=1,spread=1,first=0\r\n";
  if (!isKeyed) return out + "\r\n";
  const std::string length = "Content-Length: " + std::to_string(body.size());
  return out + "Idempotency-Key: " + key + "\r\n" + (framing.empty() ? length : framing) + "\r\n\r\n" + body;
}

std::string requestId(unsigned number) {
  char text[32];
  std::snprintf(text, sizeof text, "9b1f03aa%08x", number);
  return text;
}

std::string customerId(unsigned number) {
  char text[32];
  std::snprintf(text, sizeof text, "%016x", number);
  return text;
}

void cannotRun(Record& record, const std::string& why) {
  record.add("cannot run: " + why);
  std::exit(2);
}

bool troubleIsOn() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

}  // namespace review
