/// The stage of a review case: one gatekeeper process, started with the command of the deploy file, before
/// stand-ins for discovery, workers and clients. The stand-ins are threads of the case's own process. All
/// addresses are 127.0.0.1 with ports that the kernel chose; all files lie in a temporary folder.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stage {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int kHeld = 0;         ///< exit status: the rule held
constexpr int kBroken = 1;       ///< exit status: the rule was broken
constexpr int kCouldNotRun = 2;  ///< exit status: the case could not run

inline void sleepMs(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

/// Whether the disruption takes place: not with TROUBLE=0 in the environment.
inline bool hasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

/// Milliseconds since the start of the case.
inline double nowMs() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

/// The file record.txt: one line for each event, with its time in ms. Used by all threads.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc) {
    if (!file_) throw std::runtime_error("cannot write " + path);
  }
  void line(const std::string& text) {
    char time[32];
    std::snprintf(time, sizeof time, "%10.1f ", nowMs());
    const std::lock_guard lock(mutex_);
    file_ << time << text << std::endl;
  }
  /// Writes a line to the record and to standard output.
  void say(const std::string& text) {
    line(text);
    const std::lock_guard lock(mutex_);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// --- Sockets -----------------------------------------------------------------------------------------------

/// A descriptor that is closed on destruction.
class Descriptor {
 public:
  explicit Descriptor(int number = -1) : number_(number) {}
  ~Descriptor() { reset(); }
  Descriptor(Descriptor&& other) noexcept : number_(std::exchange(other.number_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    reset();
    number_ = std::exchange(other.number_, -1);
    return *this;
  }
  int number() const { return number_; }
  void reset() {
    if (number_ >= 0) ::close(number_);
    number_ = -1;
  }

 private:
  int number_;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Listens on a port of 127.0.0.1; 0: on a free one.
inline Descriptor listenLoopback(int& port) {
  Descriptor out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(out.number(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(port);
  socklen_t size = sizeof address;
  if (::bind(out.number(), reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(out.number(), 512) != 0 ||
      ::getsockname(out.number(), reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("cannot listen on 127.0.0.1");
  port = ntohs(address.sin_port);
  return out;
}

/// A port of 127.0.0.1 on which nothing listens now.
inline int freePort() {
  int port = 0;
  listenLoopback(port);
  return port;
}

/// Connects to a port of 127.0.0.1; a negative descriptor if it is refused.
inline Descriptor connectLoopback(int port) {
  Descriptor out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = loopback(port);
  if (::connect(out.number(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) out.reset();
  const int on = 1;
  if (out.number() >= 0) ::setsockopt(out.number(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return out;
}

inline bool sendAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

/// Appends what arrives within `waitMs`. Returns 1 for bytes, 0 for the end or a reset, -1 for nothing.
inline int receive(int socket, std::string& bytes, double waitMs) {
  pollfd waiting{socket, POLLIN, 0};
  if (::poll(&waiting, 1, static_cast<int>(std::max(0.0, waitMs) + 0.5)) <= 0) return -1;
  char buffer[16384];
  const ssize_t count = ::recv(socket, buffer, sizeof buffer, 0);
  if (count <= 0) return 0;
  bytes.append(buffer, static_cast<std::size_t>(count));
  return 1;
}

// --- HTTP --------------------------------------------------------------------------------------------------

/// A chunk of a body.
inline std::string chunk(const std::string& text) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

/// A message: its first line, its header fields with names in lower case, and its body without framing.
struct Message {
  std::string firstLine;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  int status() const { return firstLine.size() > 12 ? std::atoi(firstLine.c_str() + 9) : 0; }
};

/// Reads messages from a connection, one after the other.
class MessageReader {
 public:
  explicit MessageReader(int socket) : socket_(socket) {}

  /// The next message; empty where the connection ends first or `untilMs` passes. Only lengths and chunks end
  /// a body.
  std::optional<Message> next(double untilMs) {
    ended_ = false;
    std::size_t headEnd = 0;
    while ((headEnd = input_.find("\r\n\r\n")) == std::string::npos)
      if (!more(untilMs)) return std::nullopt;
    Message out = parseHead(input_.substr(0, headEnd));
    input_.erase(0, headEnd + 4);
    if (out.field("transfer-encoding") == "chunked") return readChunks(out, untilMs);
    const std::size_t length = std::strtoull(out.field("content-length").c_str(), nullptr, 10);
    while (input_.size() < length)
      if (!more(untilMs)) return std::nullopt;
    out.body = input_.substr(0, length);
    input_.erase(0, length);
    return out;
  }
  /// Whether the last call ended because the connection did.
  bool ended() const { return ended_; }
  bool hasBytes() const { return !input_.empty(); }

 private:
  bool more(double untilMs) {
    const int result = receive(socket_, input_, untilMs - nowMs());
    ended_ = result == 0;
    return result > 0;
  }

  static Message parseHead(const std::string& head) {
    Message out;
    std::istringstream lines(head);
    std::getline(lines, out.firstLine);
    if (!out.firstLine.empty() && out.firstLine.back() == '\r') out.firstLine.pop_back();
    for (std::string line; std::getline(lines, line);) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      const auto start = line.find_first_not_of(' ', colon + 1);
      out.fields[name] = start == std::string::npos ? "" : line.substr(start);
    }
    return out;
  }

  std::optional<Message> readChunks(Message out, double untilMs) {
    for (;;) {
      std::size_t lineEnd = 0;
      while ((lineEnd = input_.find("\r\n")) == std::string::npos)
        if (!more(untilMs)) return std::nullopt;
      const std::size_t size = std::strtoull(input_.c_str(), nullptr, 16);
      while (input_.size() < lineEnd + 2 + size + 2)
        if (!more(untilMs)) return std::nullopt;
      out.body += input_.substr(lineEnd + 2, size);
      input_.erase(0, lineEnd + 2 + size + 2);
      if (size == 0) return out;
    }
  }

  const int socket_;
  std::string input_;
  bool ended_ = false;
};

/// A client's request as PROTOCOL has it.
struct Request {
  std::string id;
  std::string requestClass = "catalog";
  std::string method = "GET";
  std::string key;    ///< Idempotency-Key; none if empty
  std::string extra;  ///< further header lines, each with its line end
  std::string body;
  bool statesLength = true;  ///< whether Content-Length is sent with a POST or a body
  int deadlineMs = 1500;
  int customer = 1;

  std::string target() const {
    char query[32];
    std::snprintf(query, sizeof query, "%016x", static_cast<unsigned>(customer));
    return "/" + requestClass + "?client=" + query;
  }
  std::string head() const {
    std::string out = method + " " + target() + " HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id +
                      "\r\nX-Tier: large\r\nReq-Deadline-Ms: " + std::to_string(deadlineMs) +
                      "\r\nX-Call-Terms: units=1,spread=1,first=0\r\n";
    if (!key.empty()) out += "Idempotency-Key: " + key + "\r\n";
    if (statesLength && (method == "POST" || !body.empty()))
      out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + extra + "\r\n";
  }
  std::string text() const { return head() + body; }
};

/// Request ids, new with every call.
inline std::string newId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  char id[20];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(random()));
  return id;
}

// --- Stand-ins ---------------------------------------------------------------------------------------------

/// What clients have sent as requests of their own: the ids, each with the length of its body.
class SentIds {
 public:
  void add(const Request& request) {
    const std::lock_guard lock(mutex_);
    lengths_[request.id] = request.body.size();
  }
  /// Whether a client sent this request, in this form.
  bool knows(const Message& request) const {
    const std::lock_guard lock(mutex_);
    const auto found = lengths_.find(request.field("req-id"));
    return found != lengths_.end() && found->second == request.body.size();
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::size_t> lengths_;
};

/// A request that a worker has received whole.
struct Arrival {
  double atMs = 0;
  int worker = 0;
  std::string id;
  std::string firstLine;
  std::size_t bodyBytes = 0;
  bool known = false;  ///< a client sent it in this form
};

/// Workers: each answers 200 with the id as its body once `serviceMs` have passed; 404 to a request with no
/// id and 400 to one that no client sent in this form.
class Workers {
 public:
  Workers(int count, Record& record, const SentIds& sent) : record_(record), sent_(sent) {
    for (int i = 0; i < count; ++i) {
      int port = 0;
      sockets_.push_back(listenLoopback(port));
      ports_.push_back(port);
    }
    for (int i = 0; i < count; ++i) std::thread([this, i] { accept(i); }).detach();
  }

  std::atomic<double> serviceMs{20};

  /// The answer to this id is given in pieces: `bytes` in all, `pieceBytes` every `pieceMs`. After `bytes` of
  /// one that never ends, neither a further byte nor the end of the connection comes.
  struct LongAnswer {
    std::size_t bytes = 0;
    std::size_t pieceBytes = 0;
    double pieceMs = 0;
    bool chunked = false;  ///< has no Content-Length
    bool neverEnds = false;
  };
  void answerLong(const std::string& id, const LongAnswer& answer) {
    const std::lock_guard lock(mutex_);
    longAnswers_[id] = answer;
  }

  /// Ends the worker's process and starts it again: its connections are reset, and new ones are refused until
  /// `downMs` have passed. Returns the Unix time of the start in ms.
  double restart(int worker, double downMs) {
    const auto index = static_cast<std::size_t>(worker);
    ::shutdown(sockets_[index].number(), SHUT_RDWR);  // ends its thread's accept
    sleepMs(20);
    sockets_[index].reset();
    {
      const std::lock_guard lock(mutex_);
      for (const auto& [socket, owner] : open_) {
        if (owner != worker) continue;
        const linger reset{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::shutdown(socket, SHUT_RD);  // its thread closes it, and the connection is reset
      }
    }
    record_.line("worker " + std::to_string(worker) + " ended");
    sleepMs(downMs);
    sockets_[index] = listenLoopback(ports_[index]);
    std::thread([this, worker] { accept(worker); }).detach();
    record_.line("worker " + std::to_string(worker) + " started");
    return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
        .count();
  }

  const std::vector<int>& ports() const { return ports_; }
  std::vector<Arrival> arrivals() const {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }
  int timesRun(const std::string& id) const {
    const auto all = arrivals();
    return static_cast<int>(
        std::count_if(all.begin(), all.end(), [&](const Arrival& one) { return one.id == id; }));
  }

 private:
  void accept(int worker) {
    for (;;) {
      const int socket =
          ::accept4(sockets_[static_cast<std::size_t>(worker)].number(), nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) return;
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard lock(mutex_);
        open_[socket] = worker;
      }
      std::thread([this, worker, socket] {
        serve(worker, socket);
        const std::lock_guard lock(mutex_);
        open_.erase(socket);
        ::close(socket);
      }).detach();
    }
  }

  /// Gives a long answer. Returns false where the connection ends first.
  bool giveLong(int worker, int socket, const std::string& id, const LongAnswer& answer) {
    const std::string framing =
        answer.chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + std::to_string(answer.bytes);
    if (!sendAll(socket, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n")) return false;
    for (std::size_t given = 0; given < answer.bytes; given += answer.pieceBytes) {
      if (given > 0) sleepMs(answer.pieceMs);
      const std::string piece(std::min(answer.pieceBytes, answer.bytes - given), 'a');
      if (sendAll(socket, answer.chunked ? chunk(piece) : piece)) continue;
      record_.line("worker " + std::to_string(worker) + " is cut off by the gatekeeper after " +
                   std::to_string(given) + " bytes of the answer to id=" + id);
      return false;
    }
    if (!answer.neverEnds) return !answer.chunked || sendAll(socket, chunk(""));
    std::string rest;
    while (receive(socket, rest, 1000) != 0) {
    }
    return false;
  }

  void serve(int worker, int socket) {
    MessageReader reader(socket);
    while (const auto request = reader.next(nowMs() + 3600e3)) {
      Arrival arrival{nowMs(),
                      worker,
                      request->field("req-id"),
                      request->firstLine,
                      request->body.size(),
                      sent_.knows(*request)};
      record_.line("worker " + std::to_string(worker) + " got id=" + arrival.id + " \"" + arrival.firstLine +
                   "\" body=" + std::to_string(arrival.bodyBytes) +
                   " told_ms=" + request->field("req-deadline-ms") +
                   (arrival.known ? "" : " NOT SENT BY A CLIENT IN THIS FORM"));
      {
        const std::lock_guard lock(mutex_);
        arrivals_.push_back(arrival);
      }
      std::optional<LongAnswer> longAnswer;
      {
        const std::lock_guard lock(mutex_);
        const auto found = longAnswers_.find(arrival.id);
        if (found != longAnswers_.end()) longAnswer = found->second;
      }
      if (longAnswer) {
        if (!giveLong(worker, socket, arrival.id, *longAnswer)) return;
        continue;
      }
      std::string status = "200 OK";
      if (arrival.id.empty())
        status = "404 Not Found";
      else if (!arrival.known)
        status = "400 Bad Request";
      else
        sleepMs(serviceMs);
      const std::string body = "made for " + arrival.id;
      if (!sendAll(socket, "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
                               "\r\n\r\n" + body))
        return;
    }
  }

  Record& record_;
  const SentIds& sent_;
  std::vector<Descriptor> sockets_;
  std::vector<int> ports_;
  mutable std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::map<int, int> open_;  // connections, each with its worker
  std::map<std::string, LongAnswer> longAnswers_;
};

/// Discovery's agent: answers a watch with the whole list, or with what changed after the version that the
/// watch names; tells changes, and sends an empty line every 2 s. While it is silent it answers nothing.
class Discovery {
 public:
  explicit Discovery(const std::vector<int>& workerPorts) : socket_(listenLoopback(port_)) {
    for (std::size_t i = 0; i < workerPorts.size(); ++i)
      instances_.push_back({{"instanceId", "s-0000000" + std::to_string(i)},
                            {"hostPort", "127.0.0.1:" + std::to_string(workerPorts[i])},
                            {"zone", "hall-a"},
                            {"machineType", "std-3core"},
                            {"cell", 0},
                            {"lifecycle", "Ready"},
                            {"weight", 1.0},
                            {"startedAtMs", 0}});
    versions_.assign(instances_.size(), kFirstVersion);
    std::thread([this] { accept(); }).detach();
  }
  int port() const { return port_; }
  /// The whole list as it is now.
  json list() const {
    const std::lock_guard lock(mutex_);
    return changesAfter(-1);
  }
  /// Discovery is down, or back: while it is down its agent is silent.
  void setSilent(bool silent) { silent_ = silent; }
  /// A worker has started at this Unix time, ms.
  void setStarted(int worker, double startedAtMs) {
    const std::lock_guard lock(mutex_);
    const auto index = static_cast<std::size_t>(worker);
    instances_[index]["startedAtMs"] = startedAtMs;
    versions_[index] = ++version_;
  }

 private:
  static constexpr long kFirstVersion = 41;
  static constexpr double kHeartbeatMs = 2000;

  json changesAfter(long version) const {
    json out{{"generation", version_}, {"reset", version < 0}, {"instances", json::array()}};
    for (std::size_t i = 0; i < instances_.size(); ++i)
      if (versions_[i] > version) out["instances"].push_back(instances_[i]);
    return out;
  }
  void watch(int socket) {
    MessageReader reader(socket);
    const auto request = reader.next(nowMs() + 10e3);
    if (!request) return;
    const auto from = request->firstLine.find("from=");
    long told = from == std::string::npos ? -1 : std::atol(request->firstLine.c_str() + from + 5);
    bool open = true;
    bool begun = false;
    double sentAtMs = 0;
    for (; open; sleepMs(5)) {
      if (silent_) continue;
      if (!begun)
        open = sendAll(socket,
                       "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n");
      const std::lock_guard lock(mutex_);
      const bool changed = told < version_;
      if (!begun || changed) {
        open = open && sendAll(socket, chunk(changesAfter(told).dump() + "\n"));
      } else if (nowMs() - sentAtMs >= kHeartbeatMs) {
        open = sendAll(socket, chunk("\n"));
      } else {
        continue;
      }
      begun = true;
      told = version_;
      sentAtMs = nowMs();
    }
  }
  void accept() {
    for (;;) {
      const int socket = ::accept4(socket_.number(), nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) return;
      std::thread([this, socket] {
        const Descriptor connection(socket);
        watch(socket);
      }).detach();
    }
  }

  int port_ = 0;
  Descriptor socket_;
  std::atomic<bool> silent_{false};
  mutable std::mutex mutex_;
  json instances_ = json::array();
  std::vector<long> versions_;
  long version_ = kFirstVersion;
};

// --- The gatekeeper ----------------------------------------------------------------------------------------

/// A class of the settings.
inline json profile(const std::string& name, const std::string& repeat, double aimMs, double deadlineMs,
                    double worth) {
  return {{"aim", aimMs},       {"deadline", deadlineMs}, {"dedupScope", "all"},
          {"lateWorth", 0.0},   {"name", name},           {"repeat", repeat},
          {"streaming", false}, {"window", 2000.0},       {"worth", worth}};
}

/// The settings of a small deployment: three gatekeepers, three classes and plans far from their quotas.
inline json smallDeployment(const json& profiles) {
  const auto plan = [](const char* name) {
    return json{{"atOnce", 0},      {"ceilingRate", 0.0},   {"depth", 100000.0},  {"hardBurst", 0.0},
                {"name", name},     {"overWorth", 0.0},     {"overrunCost", 1.0}, {"pays", 1.0},
                {"tolerance", 0.0}, {"unitsPerS", 100000.0}};
  };
  return {{"clients", {{"marksRetry", false}}},
          {"discovery", "pushed"},
          {"domainType", "gate"},
          {"familyInfo",
           {{"callPrice", 0.02},
            {"countLimit", 50.0},
            {"metering", 1000.0},
            {"mostUnits", 8},
            {"peerInPerS", 0.0},
            {"sharedCounter", true},
            {"truedUp", true}}},
          {"layer", 0},
          {"localities", {"hall-a", "hall-b", "hall-c"}},
          {"locality", 0},
          {"me", 0},
          {"nInstances", 3},
          {"permissions",
           {{"attemptsCap", 5},
            {"connIdle", 30000.0},
            {"cpuUsPerRequest", 0.0},
            {"cpuUsPerS", 400000},
            {"dialTimeout", 250.0},
            {"maxRetryAfter", 1000.0},
            {"mayCancel", true},
            {"mayProbe", true},
            {"multiplex", 32},
            {"openCap", 20000},
            {"peers", false},
            {"retryAfter", true},
            {"secondCopies", false}}},
          {"plans", {plan("basic"), plan("standard"), plan("large")}},
          {"profiles", profiles},
          {"report", {{"fields", json::array()}, {"how", "none"}}},
          {"rules",
           {{"askWithin", 10000.0},
            {"coldFrom", 0.17},
            {"fallMultiple", 2.0},
            {"graceToAnswer", 8.0},
            {"overloadFor", 1500.0},
            {"stopSendingWithin", 2000.0},
            {"warmUp", 16000.0}}},
          {"shapes", {"std-3core"}},
          {"tick", 2.0},
          {"tiers", {"shop-fleet"}},
          {"weightSource", "rough"}};
}

/// One gatekeeper, started as the platform does it: `/bin/sh -c` with the deploy file's `run`, from the root.
class Gatekeeper {
 public:
  Gatekeeper(Record& record, json settings, const Discovery& discovery)
      : record_(record), settings_(std::move(settings)), discovery_(discovery) {
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(pattern.data())) throw std::runtime_error("cannot make a temporary folder");
    folder_ = pattern;
  }
  ~Gatekeeper() {
    kill();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  Gatekeeper(const Gatekeeper&) = delete;
  Gatekeeper& operator=(const Gatekeeper&) = delete;

  /// Starts the process with an empty $TMPDIR and waits until `readyz` says 200.
  void start() {
    const char* command = std::getenv("RUN_COMMAND");
    const char* root = std::getenv("ROOT_FOLDER");
    if (!command || !root) throw std::runtime_error("RUN_COMMAND or ROOT_FOLDER is not set");
    port_ = freePort();
    opsPort_ = freePort();
    const std::string state = folder_ + "/state";
    std::filesystem::remove_all(state);
    std::filesystem::create_directories(state);
    std::ofstream(folder_ + "/config.json") << config().dump();
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("BALANCER_CONFIG", (folder_ + "/config.json").c_str(), 1);
      ::setenv("BALANCER_NAME", "g0", 1);
      ::setenv("BALANCER_LISTEN", ("127.0.0.1:" + std::to_string(port_)).c_str(), 1);
      ::setenv("BALANCER_OPS", ("127.0.0.1:" + std::to_string(opsPort_)).c_str(), 1);
      ::setenv("TMPDIR", state.c_str(), 1);
      if (::chdir(root) == 0) ::execl("/bin/sh", "sh", "-c", command, nullptr);
      ::_exit(127);
    }
    record_.line("gatekeeper started pid=" + std::to_string(pid_) + " port=" + std::to_string(port_));
    for (int i = 0; i < 200; ++i) {
      if (call("readyz").rfind("200", 0) == 0) return;
      if (exited()) break;
      sleepMs(50);
    }
    throw std::runtime_error("the gatekeeper was not ready within 10 s");
  }

  int port() const { return port_; }

  void signal(int number) {
    record_.line("signal " + std::to_string(number) + " to the gatekeeper");
    ::kill(pid_, number);
  }

  /// Whether the process has ended; the status is recorded once.
  bool exited() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    record_.line("gatekeeper ended, status " + std::to_string(status));
    pid_ = -1;
    return true;
  }

  /// Waits until the process has ended by itself or `untilMs` is over. Returns whether it has ended.
  bool waitForExit(double untilMs) {
    while (!exited())
      if (nowMs() >= untilMs)
        return false;
      else
        sleepMs(1);
    return true;
  }

  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

  /// An operator's call; the empty string where there is no answer within a second.
  std::string call(const std::string& line) const {
    const Descriptor socket = connectLoopback(opsPort_);
    std::string answer;
    if (socket.number() < 0 || !sendAll(socket.number(), line + "\n")) return answer;
    const double untilMs = nowMs() + 1000;
    while (receive(socket.number(), answer, untilMs - nowMs()) > 0) {
    }
    return answer;
  }

  /// Copies the lines of the log that contain `word` to the record.
  void recordLog(const std::string& word) {
    std::ifstream log(folder_ + "/log");
    for (std::string line; std::getline(log, line);)
      if (line.find(word) != std::string::npos) record_.line("log of the gatekeeper: " + line);
  }

 private:
  json config() const {
    return {{"name", "g0"},
            {"listen", "127.0.0.1:" + std::to_string(port_)},
            {"discovery", "127.0.0.1:" + std::to_string(discovery_.port())},
            {"counter", "127.0.0.1:" + std::to_string(discovery_.port())},
            {"ops", "127.0.0.1:" + std::to_string(opsPort_)},
            {"seed", newId()},
            {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 512}}},
            {"known", discovery_.list()},
            {"settings", settings_}};
  }

  Record& record_;
  const json settings_;
  const Discovery& discovery_;
  std::string folder_;
  int port_ = 0;
  int opsPort_ = 0;
  pid_t pid_ = -1;
};

/// Runs a case: its result is the exit status. An exception means that it could not run.
inline int runCase(const std::function<int(Record&)>& body) {
  ::signal(SIGPIPE, SIG_IGN);
  try {
    const char* path = std::getenv("RECORD");
    Record record(path ? path : "record.txt");
    record.line(std::string("disruption: ") + (hasTrouble() ? "yes" : "no (TROUBLE=0)"));
    const int status = body(record);
    record.say(status == kHeld ? "HELD" : status == kBroken ? "BROKEN" : "COULD NOT RUN");
    std::fflush(stdout);
    ::_exit(status);  // the stand-ins' threads are still waiting for connections
  } catch (const std::exception& error) {
    std::fprintf(stderr, "could not run: %s\n", error.what());
    ::_exit(kCouldNotRun);
  }
}

}  // namespace stage
