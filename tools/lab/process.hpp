// The processes under test: their block of ports, their start with what they inherit, their signals and ends.
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

// A block of ports of this lab's own, and its marker, a listening socket on the block's first port held for
// the whole run. Labs that run at once (ctest runs several) skip a block whose marker is taken, so that a
// port of a gatekeeper that is down is not taken by another lab's, whose answers this lab's clients would
// then get. The blocks lie below the kernel's ephemeral range, from which the lab's own listeners and
// connections come.
class Ports {
 public:
  explicit Ports(boost::asio::io_context& io);  // throws std::runtime_error where no block is free
  unsigned short listen(int gatekeeper) const;
  unsigned short peers(int gatekeeper) const;           // where other gatekeepers reach it
  unsigned short ops(int gatekeeper, int start) const;  // where its `start`-th process hears operators

 private:
  boost::asio::ip::tcp::acceptor marker_;
};

struct Process {
  pid_t pid = 0;
  unsigned short ops = 0;
};

// One gatekeeper: a name, a port, and one process, or two during an upgrade.
struct Gatekeeper {
  int index = 0;
  unsigned short port = 0;
  std::filesystem::path config, log, state;  // state: its $TMPDIR; empty: it has none
  std::shared_ptr<FaultFile> faults;         // of its system; null: it runs without the fault library
  int held = -1;                             // the clients' listening socket, where the lab holds it
  Process now, old;                          // old: of an upgrade, until it ends
  int starts = 0;
  bool inFront = false, stopped = false;
  bool shuttingDown = false;  // told to end in order, and not started again
  int misses = 0;
};

// What a process has used since its start.
struct ProcessUse {
  double cpuS = 0;
  long peakKb = 0, residentKb = 0, descriptors = 0;
};

// From /proc; all zero where the process is gone.
ProcessUse useOf(pid_t pid);

// Starts `program` for it; the process dies with the lab. Throws std::runtime_error where fork fails.
Process start(Gatekeeper& gatekeeper, const Ports& ports, const std::string& program);

// Listens at the port on 127.0.0.1 for processes to inherit; throws std::runtime_error.
int holdSocket(unsigned short port);

// Ends the gatekeepers that a lab killed before it could end them, by the ids it wrote to `pids`.
void endLeftBehind(const std::filesystem::path& pids);

// One call to an operators' listener; `then` gets the whole answer, or "" after 1 s or where nobody listens.
void askOps(boost::asio::io_context& io, unsigned short port, const std::string& call,
            std::function<void(const std::string&)> then);

}  // namespace wingslip::lab
