/// Stand-ins for the platform: discovery's agent, workers, and the process of the gatekeeper under test.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include "net.hpp"

namespace review {

/// An entry of discovery's list.
struct Instance {
  std::string id;
  std::uint16_t port = 0;
  std::string zone = "hall-a";
  std::string lifecycle = "Ready";
  double startedAtMs = 0;

  std::string json() const;
};

std::string listText(long long generation, bool reset, const std::vector<Instance>& instances);

/// Discovery's agent on the gatekeeper's machine: answers a watch at once with what it has, and writes an
/// empty line every 2 s. The list does not change during a run.
class Agent {
 public:
  Agent(Record& record, std::string name, long long generation, std::vector<Instance> instances);
  ~Agent();
  std::uint16_t port() const { return port_; }

 private:
  void accept();
  void serve(Socket connection);

  Record& record_;
  const std::string name_;
  Socket listener_;
  std::uint16_t port_ = 0;
  const long long generation_;
  const std::vector<Instance> instances_;
  std::atomic<bool> stopped_{false};
  std::list<std::thread> threads_;
};

/// A worker. A thread for each connection reads requests, one after the other, and calls `handle` with each.
class Worker {
 public:
  /// Answers a request on the connection, or ends the connection. Returns false if the connection is over.
  using Handler = std::function<bool(const HttpMessage& request, Socket& connection)>;
  Worker(std::string name, Handler handle);
  ~Worker();
  const std::string& name() const { return name_; }
  std::uint16_t port() const { return port_; }
  Instance instance() const;
  /// From now on the process accepts and reads nothing; its kernel goes on taking connections and bytes.
  void hang() { hangs_ = true; }

 private:
  void accept();
  void serve(Socket connection);

  const std::string name_;
  const Handler handle_;
  Socket listener_;
  std::uint16_t port_ = 0;
  std::atomic<bool> hangs_{false};
  std::atomic<bool> stopped_{false};
  std::list<std::thread> threads_;
};

/// The settings object, with the figures of the site file `kutaisi-shop` for one gatekeeper.
std::string settingsJson();

/// A gatekeeper, started as the platform starts it: `/bin/sh -c` with the deploy file's `run`, from the
/// repository's root.
class Gatekeeper {
 public:
  /// @param sockets the configuration's `limits.sockets`
  Gatekeeper(Record& record, std::string folder, std::uint16_t discoveryPort, std::string settings,
             int sockets = 1024);
  ~Gatekeeper();
  std::uint16_t port() const { return port_; }
  void start(const std::vector<Instance>& known, long long knownGeneration);
  /// Waits until the front would take the gatekeeper in. Returns false if it is not ready in 30 s.
  bool waitUntilReady();
  void signal(int number);
  bool hasExited();
  /// Ends the process. SIGKILL if it is still there after `graceMs`.
  void stop(double graceMs);

 private:
  void writeConfig(const std::vector<Instance>& known, long long knownGeneration);

  Record& record_;
  const std::string folder_;
  std::uint16_t port_ = 0;
  std::uint16_t opsPort_ = 0;
  const std::uint16_t discoveryPort_;
  const std::string settings_;
  const int sockets_;
  pid_t process_ = -1;
};

/// A request of a client.
struct ClientRequest {
  std::string requestClass = "catalog";  ///< `purchase` is keyed, the others are safe
  std::string id;                        ///< 16 hex digits
  int deadlineMs = 6000;
  std::string customer = "0000000000000001";
  std::string key;           ///< for `purchase`
  std::string body = "buy";  ///< for `purchase`
  std::string framing;       ///< for `purchase`: instead of the Content-Length field

  std::string text() const;
};

std::string requestId(unsigned number);
std::string customerId(unsigned number);

/// Ends the process with exit code 2: the case could not run.
[[noreturn]] void cannotRun(Record& record, const std::string& why);

/// Whether the case's disruption is switched on (TROUBLE is not 0).
bool troubleIsOn();

}  // namespace review
