/// The processes under test: their ports, their start with inherited descriptors and environment, and their
/// resource usage.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "faults/system_faults.hpp"

namespace wingslip::lab {

/// A block of ports reserved for this lab. The reservation is a listening socket, the marker, on the block's
/// first port, open for the duration of the run. Concurrent labs (ctest runs several) skip a block whose
/// marker is in use. Otherwise another lab could take the port of a gatekeeper that is down, and this lab's
/// clients would get that lab's answers. The blocks lie below the kernel's ephemeral port range, which the
/// lab's other listeners and connections use.
class Ports {
 public:
  /// @throws std::runtime_error if no block is free.
  explicit Ports(boost::asio::io_context& io);
  /// The gatekeeper's port for clients.
  unsigned short listen(int gatekeeper) const;
  /// The gatekeeper's port for other gatekeepers.
  unsigned short peers(int gatekeeper) const;
  /// The port for operators of the gatekeeper's process number `start`, counted from 0.
  unsigned short ops(int gatekeeper, int start) const;

 private:
  boost::asio::ip::tcp::acceptor marker_;
};

/// A process of a gatekeeper.
struct Process {
  pid_t pid = 0;           ///< 0: no process
  unsigned short ops = 0;  ///< port for operators
};

/// A gatekeeper of the fleet: one process, or two during an upgrade, on the same port.
struct Gatekeeper {
  int index = 0;
  unsigned short port = 0;                   ///< listener for clients, on 127.0.0.1
  std::filesystem::path config, log, state;  ///< state: the $TMPDIR directory; empty: none is set
  std::shared_ptr<FaultFile> faults;         ///< control file of the fault library; null: runs without it
  int listenFd = -1;          ///< the clients' listening socket if the lab owns it; -1 otherwise
  Process current, previous;  ///< previous: the process being replaced by an upgrade, until it exits
  int starts = 0;             ///< number of processes started so far
  bool inRotation = false, stopped = false;  ///< in the load balancer's rotation; stopped by SIGSTOP
  bool shuttingDown = false;  ///< SIGTERM was sent for a graceful shutdown; not restarted since
  int failedChecks = 0;       ///< consecutive failed health checks
};

/// Resource usage of a process since its start.
struct ProcessUse {
  double cpuS = 0;
  long peakKb = 0, residentKb = 0, descriptors = 0;
};

/// Reads the usage from /proc; all zero if the process does not exist.
ProcessUse readProcessUse(pid_t pid);

/// Starts `program` as a process of the gatekeeper. The kernel kills it when the lab exits.
/// @throws std::runtime_error if fork fails.
Process startProcess(Gatekeeper& gatekeeper, const Ports& ports, const std::string& program);

/// Opens a listening socket on 127.0.0.1 for gatekeeper processes to inherit. The caller owns the descriptor.
/// @throws std::runtime_error if the port cannot be bound.
int openListeningSocket(unsigned short port);

/// Kills gatekeepers that still run after an earlier lab was killed. `pids` is the file to which that lab
/// wrote their process ids.
void killOrphans(const std::filesystem::path& pids);

/// Makes one call to the operators' listener on the port. `then` gets the complete answer, or "" on an error
/// or after a timeout of 1 s.
void callOperatorsPort(boost::asio::io_context& io, unsigned short port, const std::string& call,
                       std::function<void(const std::string&)> then);

}  // namespace wingslip::lab
