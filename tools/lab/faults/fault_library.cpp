/// Loaded into a process under test (LD_PRELOAD): lets system calls fail as Linux documents, steps the wall
/// clock and fails writes to files, as the mapped FaultControl says. Without a control file it does nothing.
///
/// Only calls of descriptors that the fault makes sense for are touched: transfers on sockets and pipes, and
/// files past the standard streams. The process's log goes to standard error and is left alone.
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <initializer_list>
#include <string>

#include "fault_control.hpp"

namespace {

using wingslip::lab::CallFault;
using wingslip::lab::FaultControl;

constexpr int kMostDescriptors = 65536;
constexpr std::int64_t kNsPerMs = 1000000, kNsPerS = 1000000000, kMsPerS = 1000, kUsPerMs = 1000;

FaultControl* control = nullptr;
std::uint64_t state = 0x9e3779b97f4a7c15ULL;
std::array<bool, kMostDescriptors> connected{};  // by this process: the only ones that may be broken

/// The next definition of the symbol, the C library's.
template <class Function>
Function* next(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

/// xorshift64*: the choices of one process repeat with its seed.
std::uint64_t draw() {
  state ^= state >> 12, state ^= state << 25, state ^= state >> 27;
  return state * 0x2545f4914f6cdd1dULL;
}

bool strikes(CallFault kind) {
  if (!control) return false;
  const auto index = static_cast<std::size_t>(kind);
  const std::uint32_t share = control->sharePerMillion[index].load(std::memory_order_relaxed);
  if (share == 0 || draw() % wingslip::lab::kCertain >= share) return false;
  control->injected[index].fetch_add(1, std::memory_order_relaxed);
  return true;
}

int oneOf(std::initializer_list<int> errors) { return errors.begin()[draw() % errors.size()]; }

template <class T>
T failed(int error) {
  errno = error;
  return static_cast<T>(-1);
}

/// Whether it is a file below $TMPDIR, where the process keeps what outlives it.
bool isStateFile(int descriptor) {
  struct stat info {};
  if (descriptor <= STDERR_FILENO || ::fstat(descriptor, &info) != 0) return false;
  if (!S_ISREG(info.st_mode) && !S_ISDIR(info.st_mode)) return false;
  const char* folder = std::getenv("TMPDIR");
  if (!folder) return false;
  std::array<char, 4096> path{};
  const std::string link = "/proc/self/fd/" + std::to_string(descriptor);
  if (::readlink(link.c_str(), path.data(), path.size() - 1) < 0) return false;
  return std::strncmp(path.data(), folder, std::strlen(folder)) == 0;
}

int diskError() { return control ? control->diskError.load(std::memory_order_relaxed) : 0; }

int diskFails() {
  const int error = diskError();
  if (error != 0) control->diskFailed.fetch_add(1, std::memory_order_relaxed);
  return error;
}

bool breaksConnection(int descriptor) {
  if (descriptor < 0 || descriptor >= kMostDescriptors || !connected[static_cast<std::size_t>(descriptor)])
    return false;
  if (!strikes(CallFault::broken)) return false;
  ::shutdown(descriptor, SHUT_RDWR);
  return true;
}

/// The error with which a transfer fails; 0: it goes on.
int transferError(int descriptor) {
  if (strikes(CallFault::interrupted)) return EINTR;
  if (strikes(CallFault::memory)) return oneOf({ENOBUFS, ENOMEM});
  if (breaksConnection(descriptor)) return oneOf({ETIMEDOUT, EHOSTUNREACH});
  return 0;
}

/// How much of a transfer goes through.
std::size_t lengthOf(std::size_t asked) {
  if (asked < 2 || !strikes(CallFault::short_transfer)) return asked;
  return 1 + draw() % (asked - 1);
}

/// The message with its buffers cut to `most` bytes; `parts` holds them.
msghdr cutTo(const msghdr* message, std::size_t most, std::array<iovec, 64>& parts) {
  msghdr out = *message;
  std::size_t count = 0;
  for (; count < std::min<std::size_t>(message->msg_iovlen, parts.size()) && most > 0; ++count) {
    parts[count] = message->msg_iov[count];
    parts[count].iov_len = std::min(parts[count].iov_len, most);
    most -= parts[count].iov_len;
  }
  out.msg_iov = parts.data();
  out.msg_iovlen = count;
  return out;
}

std::size_t bytesOf(const msghdr* message) {
  std::size_t out = 0;
  for (std::size_t i = 0; i < message->msg_iovlen; ++i) out += message->msg_iov[i].iov_len;
  return out;
}

/// The accepted connection, or none where its peer aborts it while it waits in the queue.
int abortedOr(int accepted) {
  if (accepted < 0 || !strikes(CallFault::aborted)) return accepted;
  const linger reset{1, 0};
  ::setsockopt(accepted, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  next<int(int)>("close")(accepted);
  return failed<int>(ECONNABORTED);
}

std::int64_t wallOffsetMs() { return control ? control->wallOffsetMs.load(std::memory_order_relaxed) : 0; }

__attribute__((constructor)) void mapControl() {
  if (const char* seed = std::getenv(wingslip::lab::kFaultSeedVariable))
    state ^= std::strtoull(seed, nullptr, 10) * 0xbf58476d1ce4e5b9ULL + 1;
  const char* path = std::getenv(wingslip::lab::kFaultFileVariable);
  if (!path) return;
  const int file = ::open(path, O_RDWR | O_CLOEXEC);
  if (file < 0) return;
  void* at = ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  next<int(int)>("close")(file);
  if (at == MAP_FAILED) return;
  auto* mapped = static_cast<FaultControl*>(at);
  if (mapped->version.load() == wingslip::lab::kFaultControlVersion) control = mapped;
}

}  // namespace

extern "C" {

ssize_t recv(int descriptor, void* to, size_t length, int flags) {
  static const auto real = next<ssize_t(int, void*, size_t, int)>("recv");
  if (const int error = transferError(descriptor)) return failed<ssize_t>(error);
  return real(descriptor, to, lengthOf(length), flags);
}

ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  static const auto real = next<ssize_t(int, msghdr*, int)>("recvmsg");
  if (const int error = transferError(descriptor)) return failed<ssize_t>(error);
  const std::size_t asked = bytesOf(message), length = lengthOf(asked);
  if (length == asked) return real(descriptor, message, flags);
  std::array<iovec, 64> parts;
  msghdr cut = cutTo(message, length, parts);
  return real(descriptor, &cut, flags);
}

ssize_t send(int descriptor, const void* from, size_t length, int flags) {
  static const auto real = next<ssize_t(int, const void*, size_t, int)>("send");
  if (const int error = transferError(descriptor)) return failed<ssize_t>(error);
  return real(descriptor, from, lengthOf(length), flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static const auto real = next<ssize_t(int, const msghdr*, int)>("sendmsg");
  if (const int error = transferError(descriptor)) return failed<ssize_t>(error);
  const std::size_t asked = bytesOf(message), length = lengthOf(asked);
  if (length == asked) return real(descriptor, message, flags);
  std::array<iovec, 64> parts;
  const msghdr cut = cutTo(message, length, parts);
  return real(descriptor, &cut, flags);
}

ssize_t read(int descriptor, void* to, size_t length) {
  static const auto real = next<ssize_t(int, void*, size_t)>("read");
  if (strikes(CallFault::interrupted)) return failed<ssize_t>(EINTR);
  if (diskError() == EIO && isStateFile(descriptor)) return failed<ssize_t>(diskFails());
  return real(descriptor, to, length);
}

ssize_t write(int descriptor, const void* from, size_t length) {
  static const auto real = next<ssize_t(int, const void*, size_t)>("write");
  if (descriptor <= STDERR_FILENO) return real(descriptor, from, length);
  if (strikes(CallFault::interrupted)) return failed<ssize_t>(EINTR);
  if (diskError() == 0 || !isStateFile(descriptor)) return real(descriptor, from, lengthOf(length));
  const int error = diskFails();
  // Half of what fits is written before the disk is full.
  if (length > 1 && draw() % 2 == 0) return real(descriptor, from, length / 2);
  return failed<ssize_t>(error);
}

int fsync(int descriptor) {
  static const auto real = next<int(int)>("fsync");
  if (strikes(CallFault::interrupted)) return failed<int>(EINTR);
  if (diskError() != 0 && isStateFile(descriptor)) return failed<int>(diskFails());
  return real(descriptor);
}

int rename(const char* from, const char* to) {
  static const auto real = next<int(const char*, const char*)>("rename");
  if (diskError() != 0) return failed<int>(diskFails());
  return real(from, to);
}

int epoll_wait(int descriptor, epoll_event* events, int most, int timeout) {
  static const auto real = next<int(int, epoll_event*, int, int)>("epoll_wait");
  if (strikes(CallFault::interrupted)) return failed<int>(EINTR);
  return real(descriptor, events, most, timeout);
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static const auto real = next<int(pollfd*, nfds_t, int)>("poll");
  if (strikes(CallFault::interrupted)) return failed<int>(EINTR);
  return real(descriptors, count, timeout);
}

int accept(int descriptor, sockaddr* address, socklen_t* length) {
  static const auto real = next<int(int, sockaddr*, socklen_t*)>("accept");
  if (strikes(CallFault::accept_full)) return failed<int>(oneOf({EMFILE, ENFILE}));
  if (strikes(CallFault::accept))
    return failed<int>(oneOf({ECONNABORTED, EINTR, ENFILE, ENOBUFS, EPROTO, ENETUNREACH}));
  return abortedOr(real(descriptor, address, length));
}

int accept4(int descriptor, sockaddr* address, socklen_t* length, int flags) {
  static const auto real = next<int(int, sockaddr*, socklen_t*, int)>("accept4");
  if (strikes(CallFault::accept_full)) return failed<int>(oneOf({EMFILE, ENFILE}));
  if (strikes(CallFault::accept))
    return failed<int>(oneOf({ECONNABORTED, EINTR, ENFILE, ENOBUFS, EPROTO, ENETUNREACH}));
  return abortedOr(real(descriptor, address, length, flags));
}

int socket(int domain, int type, int protocol) {
  static const auto real = next<int(int, int, int)>("socket");
  if (strikes(CallFault::socket)) return failed<int>(oneOf({ENFILE, ENOBUFS, ENOMEM}));
  return real(domain, type, protocol);
}

int connect(int descriptor, const sockaddr* address, socklen_t length) {
  static const auto real = next<int(int, const sockaddr*, socklen_t)>("connect");
  if (strikes(CallFault::connect))
    return failed<int>(oneOf({EADDRNOTAVAIL, ENETUNREACH, ECONNREFUSED, ETIMEDOUT}));
  if (descriptor >= 0 && descriptor < kMostDescriptors)
    connected[static_cast<std::size_t>(descriptor)] = true;
  return real(descriptor, address, length);
}

int close(int descriptor) {
  static const auto real = next<int(int)>("close");
  if (descriptor >= 0 && descriptor < kMostDescriptors)
    connected[static_cast<std::size_t>(descriptor)] = false;
  return real(descriptor);
}

int clock_gettime(clockid_t clock, timespec* out) noexcept {
  static const auto real = next<int(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, out);
  if (result != 0 || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)) return result;
  const std::int64_t ns = out->tv_sec * kNsPerS + out->tv_nsec + wallOffsetMs() * kNsPerMs;
  out->tv_sec = ns / kNsPerS;
  out->tv_nsec = ns % kNsPerS;
  return 0;
}

int gettimeofday(timeval* out, void* zone) noexcept {
  static const auto real = next<int(timeval*, void*)>("gettimeofday");
  const int result = real(out, zone);
  if (result != 0) return result;
  const std::int64_t us = out->tv_sec * kMsPerS * kUsPerMs + out->tv_usec + wallOffsetMs() * kUsPerMs;
  out->tv_sec = us / (kMsPerS * kUsPerMs);
  out->tv_usec = us % (kMsPerS * kUsPerMs);
  return 0;
}

time_t time(time_t* out) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (out) *out = now.tv_sec;
  return now.tv_sec;
}

}  // extern "C"
