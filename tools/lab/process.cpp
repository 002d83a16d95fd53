/// Port blocks, process start, resource usage and calls to the operators' port.
#include "process.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spdlog/spdlog.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>
#include <stdexcept>

namespace wingslip::lab {
namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

constexpr unsigned kLowestPort = 10000;
constexpr unsigned kMaxGatekeepers = 300;
// Operators' ports per gatekeeper: its concurrent processes, at most 2, and a spare.
constexpr unsigned kOpsPorts = 3;
constexpr unsigned kBlockPorts = 1 + kMaxGatekeepers * (2 + kOpsPorts);
constexpr int kInheritedFd = 7;  // the descriptor that BALANCER_ACCEPT_FD names

// Sets the environment, between fork and exec, so that the program loads the fault library with its control
// file.
void preload(const Gatekeeper& gk) {
  ::setenv("LD_PRELOAD", faultLibrary().c_str(), 1);
  ::setenv(kFaultFileVariable, gk.faults->path().c_str(), 1);
  ::setenv(kFaultSeedVariable,
           std::to_string(gk.index * kMaxGatekeepers + static_cast<unsigned>(gk.starts)).c_str(), 1);
  // AddressSanitizer's runtime refuses to start when another library is loaded before it; the order is
  // harmless with this library.
  const char* options = ::getenv("ASAN_OPTIONS");
  ::setenv("ASAN_OPTIONS", (std::string(options ? options : "") + ":verify_asan_link_order=0").c_str(), 1);
}

}  // namespace

Ports::Ports(asio::io_context& io) : marker_(io) {
  unsigned low = 32768;
  std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> low;
  const unsigned blocks = low > kLowestPort ? (low - kLowestPort) / kBlockPorts : 0;
  if (blocks == 0) throw std::runtime_error("the ephemeral port range leaves no ports for gatekeepers");
  const unsigned first = std::random_device()() % blocks;  // not the run's seed: concurrent labs may share it
  for (unsigned i = 0; i < blocks; ++i) {
    tcp::acceptor marker(io);
    Error error;
    const tcp::endpoint at(asio::ip::address_v4::loopback(),
                           static_cast<unsigned short>(kLowestPort + (first + i) % blocks * kBlockPorts));
    marker.open(at.protocol(), error);
    if (!error) marker.bind(at, error);
    if (!error) marker.listen(1, error);
    if (error) continue;
    marker_ = std::move(marker);
    return;
  }
  throw std::runtime_error("no free block of ports for the gatekeepers below the ephemeral range");
}

unsigned short Ports::listen(int gatekeeper) const {
  return static_cast<unsigned short>(marker_.local_endpoint().port() + 1 + gatekeeper);
}

unsigned short Ports::peers(int gatekeeper) const {
  return static_cast<unsigned short>(marker_.local_endpoint().port() + 1 + kMaxGatekeepers * (1 + kOpsPorts) +
                                     static_cast<unsigned>(gatekeeper));
}

unsigned short Ports::ops(int gatekeeper, int start) const {
  const unsigned offset = 1 + kMaxGatekeepers + static_cast<unsigned>(gatekeeper) * kOpsPorts;
  return static_cast<unsigned short>(marker_.local_endpoint().port() + offset +
                                     static_cast<unsigned>(start) % kOpsPorts);
}

Process startProcess(Gatekeeper& gk, const Ports& ports, const std::string& program) {
  Process out;
  out.ops = ports.ops(gk.index, gk.starts++);
  const std::string ops = "127.0.0.1:" + std::to_string(out.ops);
  const pid_t lab = ::getpid();
  const pid_t pid = ::fork();
  if (pid < 0) throw std::runtime_error("cannot start a gatekeeper: fork failed");
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);    // no gatekeeper outlives the lab
    if (::getppid() != lab) ::_exit(127);  // the lab ended before prctl took effect
    std::FILE* log = std::fopen(gk.log.c_str(), "a");
    if (log) ::dup2(::fileno(log), 2), ::dup2(::fileno(log), 1);
    unsigned firstClosed = 3;
    if (gk.listenFd >= 0) {
      ::dup2(gk.listenFd, kInheritedFd);
      for (int fd = 3; fd < kInheritedFd; ++fd) ::close(fd);
      firstClosed = kInheritedFd + 1;
      ::setenv("BALANCER_ACCEPT_FD", std::to_string(kInheritedFd).c_str(), 1);
    }
    // The process must not inherit the lab's sockets: the marker of the port block, proxies, workers, agents.
    if (::close_range(firstClosed, ~0U, 0) != 0)
      for (unsigned fd = firstClosed; fd < 65536; ++fd) ::close(static_cast<int>(fd));
    if (gk.state.empty())
      ::unsetenv("TMPDIR");
    else
      ::setenv("TMPDIR", gk.state.c_str(), 1);
    if (gk.faults) preload(gk);
    ::setenv("BALANCER_CONFIG", gk.config.c_str(), 1);
    ::setenv("BALANCER_OPS", ops.c_str(), 1);
    ::execl(program.c_str(), "wingslip-gatekeeper", static_cast<char*>(nullptr));
    ::_exit(127);
  }
  out.pid = pid;
  spdlog::info("event=start gatekeeper={} pid={} port={} ops={}", gk.index, pid, gk.port, out.ops);
  return out;
}

int openListeningSocket(unsigned short port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  sockaddr_in at{};
  at.sin_family = AF_INET, at.sin_port = htons(port), at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (fd < 0 || ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 1024) != 0)
    throw std::runtime_error("cannot listen on 127.0.0.1 port " + std::to_string(port));
  return fd;
}

ProcessUse readProcessUse(pid_t pid) {
  ProcessUse out;
  const std::string at = "/proc/" + std::to_string(pid);
  std::ifstream status(at + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0) out.peakKb = std::stol(line.substr(6));
    if (line.rfind("VmRSS:", 0) == 0) out.residentKb = std::stol(line.substr(6));
  }
  for (std::error_code e; const auto& entry : std::filesystem::directory_iterator(at + "/fd", e))
    out.descriptors += !entry.is_directory();
  // utime and stime are the 12th and 13th fields after the name in parentheses (proc(5)).
  std::ifstream stat(at + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
  std::string skipped;
  for (int i = 0; i < 11; ++i) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  out.cpuS = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  return out;
}

// The kernel truncates a process's name to 15 bytes.
constexpr std::string_view kProcessName = "wingslip-gateke";

void killOrphans(const std::filesystem::path& pids) {
  std::ifstream in(pids);
  for (pid_t pid; in >> pid;) {
    std::ifstream comm("/proc/" + std::to_string(pid) + "/comm");
    std::string name;
    if (comm >> name && name == kProcessName) {
      spdlog::warn("event=left_behind pid={} action=kill", pid);
      ::kill(pid, SIGKILL);
    }
  }
}

void callOperatorsPort(asio::io_context& io, unsigned short port, const std::string& call,
                       std::function<void(const std::string&)> then) {
  struct Call {
    explicit Call(asio::io_context& loop) : socket(loop), timer(loop, std::chrono::seconds(1)) {}
    tcp::socket socket;
    asio::steady_timer timer;
    std::string out, in;
  };
  auto pending = std::make_shared<Call>(io);
  pending->out = call + "\n";
  pending->timer.async_wait([pending](const Error& error) {
    Error ignored;
    if (!error) pending->socket.close(ignored);
  });
  auto end = [pending, then = std::move(then)](const std::string& answer) {
    pending->timer.cancel();
    then(answer);
  };
  pending->socket.async_connect(
      tcp::endpoint(asio::ip::address_v4::loopback(), port), [pending, end](const Error& error) {
        if (error) return end("");
        asio::async_write(pending->socket, asio::buffer(pending->out),
                          [pending, end](const Error& e, std::size_t) {
                            if (e) return end("");
                            asio::async_read(pending->socket, asio::dynamic_buffer(pending->in, 1 << 20),
                                             [pending, end](const Error& ended, std::size_t) {
                                               end(ended == asio::error::eof ? pending->in : "");
                                             });
                          });
      });
}

}  // namespace wingslip::lab
