/// Loaded into a process under test with LD_PRELOAD. Makes system calls fail as Linux documents, steps the
/// wall clock and fails file operations, as the mapped FaultControl specifies. Without a control file it has
/// no effect.
///
/// Disk errors apply to files below $TMPDIR, and to every rename. Writes to the standard streams never fail,
/// so that the log of the process on standard error is complete.
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

constexpr int kMaxDescriptors = 65536;
constexpr std::int64_t kNsPerMs = 1000000, kNsPerS = 1000000000, kMsPerS = 1000, kUsPerMs = 1000;

FaultControl* faultControl = nullptr;
std::uint64_t randomState = 0x9e3779b97f4a7c15ULL;
/// Descriptors connected by this process; only these connections may be broken.
std::array<bool, kMaxDescriptors> outgoingConnection{};

/// The next definition of the symbol in the search order, which is that of the C library.
template <class Function>
Function* realFunction(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

/// xorshift64* generator; the same seed gives the same choices in a process.
std::uint64_t nextRandom() {
  randomState ^= randomState >> 12, randomState ^= randomState << 25, randomState ^= randomState >> 27;
  return randomState * 0x2545f4914f6cdd1dULL;
}

bool shouldFail(CallFault kind) {
  if (!faultControl) return false;
  const auto index = static_cast<std::size_t>(kind);
  const std::uint32_t share = faultControl->sharePerMillion[index].load(std::memory_order_relaxed);
  if (share == 0 || nextRandom() % wingslip::lab::kPartsPerMillion >= share) return false;
  faultControl->injected[index].fetch_add(1, std::memory_order_relaxed);
  return true;
}

int randomErrno(std::initializer_list<int> errors) { return errors.begin()[nextRandom() % errors.size()]; }

template <class T>
T failWith(int error) {
  errno = error;
  return static_cast<T>(-1);
}

/// Whether the descriptor is a file or directory below $TMPDIR, where the process stores its persistent
/// state.
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

int diskError() { return faultControl ? faultControl->diskError.load(std::memory_order_relaxed) : 0; }

int countDiskFailure() {
  const int error = diskError();
  if (error != 0) faultControl->diskFailed.fetch_add(1, std::memory_order_relaxed);
  return error;
}

/// Breaks an outgoing connection with the probability of CallFault::broken; returns whether it did.
bool breakConnection(int descriptor) {
  if (descriptor < 0 || descriptor >= kMaxDescriptors ||
      !outgoingConnection[static_cast<std::size_t>(descriptor)])
    return false;
  if (!shouldFail(CallFault::broken)) return false;
  ::shutdown(descriptor, SHUT_RDWR);
  return true;
}

/// The errno with which a transfer fails; 0 if it is executed.
int transferError(int descriptor) {
  if (shouldFail(CallFault::interrupted)) return EINTR;
  if (shouldFail(CallFault::memory)) return randomErrno({ENOBUFS, ENOMEM});
  if (breakConnection(descriptor)) return randomErrno({ETIMEDOUT, EHOSTUNREACH});
  return 0;
}

/// The number of bytes to transfer, at most `requested`.
std::size_t transferLength(std::size_t requested) {
  if (requested < 2 || !shouldFail(CallFault::short_transfer)) return requested;
  return 1 + nextRandom() % (requested - 1);
}

/// A copy of the message limited to `most` bytes. `parts` stores its buffer descriptors and must outlive the
/// copy.
msghdr truncated(const msghdr* message, std::size_t most, std::array<iovec, 64>& parts) {
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

/// Returns the accepted connection, or fails with ECONNABORTED as if the peer had aborted it in the accept
/// queue.
int maybeAborted(int accepted) {
  if (accepted < 0 || !shouldFail(CallFault::aborted)) return accepted;
  const linger reset{1, 0};
  ::setsockopt(accepted, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  realFunction<int(int)>("close")(accepted);
  return failWith<int>(ECONNABORTED);
}

std::int64_t wallOffsetMs() {
  return faultControl ? faultControl->wallOffsetMs.load(std::memory_order_relaxed) : 0;
}

__attribute__((constructor)) void mapControl() {
  if (const char* seed = std::getenv(wingslip::lab::kFaultSeedVariable))
    randomState ^= std::strtoull(seed, nullptr, 10) * 0xbf58476d1ce4e5b9ULL + 1;
  const char* path = std::getenv(wingslip::lab::kFaultFileVariable);
  if (!path) return;
  const int file = ::open(path, O_RDWR | O_CLOEXEC);
  if (file < 0) return;
  void* at = ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  realFunction<int(int)>("close")(file);
  if (at == MAP_FAILED) return;
  auto* mapped = static_cast<FaultControl*>(at);
  if (mapped->version.load() == wingslip::lab::kFaultControlVersion) faultControl = mapped;
}

}  // namespace

extern "C" {

ssize_t recv(int descriptor, void* to, size_t length, int flags) {
  static const auto real = realFunction<ssize_t(int, void*, size_t, int)>("recv");
  if (const int error = transferError(descriptor)) return failWith<ssize_t>(error);
  return real(descriptor, to, transferLength(length), flags);
}

ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  static const auto real = realFunction<ssize_t(int, msghdr*, int)>("recvmsg");
  if (const int error = transferError(descriptor)) return failWith<ssize_t>(error);
  const std::size_t requested = bytesOf(message), length = transferLength(requested);
  if (length == requested) return real(descriptor, message, flags);
  std::array<iovec, 64> parts;
  msghdr shortened = truncated(message, length, parts);
  return real(descriptor, &shortened, flags);
}

ssize_t send(int descriptor, const void* from, size_t length, int flags) {
  static const auto real = realFunction<ssize_t(int, const void*, size_t, int)>("send");
  if (const int error = transferError(descriptor)) return failWith<ssize_t>(error);
  return real(descriptor, from, transferLength(length), flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static const auto real = realFunction<ssize_t(int, const msghdr*, int)>("sendmsg");
  if (const int error = transferError(descriptor)) return failWith<ssize_t>(error);
  const std::size_t requested = bytesOf(message), length = transferLength(requested);
  if (length == requested) return real(descriptor, message, flags);
  std::array<iovec, 64> parts;
  const msghdr shortened = truncated(message, length, parts);
  return real(descriptor, &shortened, flags);
}

ssize_t read(int descriptor, void* to, size_t length) {
  static const auto real = realFunction<ssize_t(int, void*, size_t)>("read");
  if (shouldFail(CallFault::interrupted)) return failWith<ssize_t>(EINTR);
  if (diskError() == EIO && isStateFile(descriptor)) return failWith<ssize_t>(countDiskFailure());
  return real(descriptor, to, length);
}

ssize_t write(int descriptor, const void* from, size_t length) {
  static const auto real = realFunction<ssize_t(int, const void*, size_t)>("write");
  if (descriptor <= STDERR_FILENO) return real(descriptor, from, length);
  if (shouldFail(CallFault::interrupted)) return failWith<ssize_t>(EINTR);
  if (diskError() == 0 || !isStateFile(descriptor)) return real(descriptor, from, transferLength(length));
  const int error = countDiskFailure();
  // In half of the cases, half of the bytes are written as if the disk then became full.
  if (length > 1 && nextRandom() % 2 == 0) return real(descriptor, from, length / 2);
  return failWith<ssize_t>(error);
}

int fsync(int descriptor) {
  static const auto real = realFunction<int(int)>("fsync");
  if (shouldFail(CallFault::interrupted)) return failWith<int>(EINTR);
  if (diskError() != 0 && isStateFile(descriptor)) return failWith<int>(countDiskFailure());
  return real(descriptor);
}

int rename(const char* from, const char* to) {
  static const auto real = realFunction<int(const char*, const char*)>("rename");
  if (diskError() != 0) return failWith<int>(countDiskFailure());
  return real(from, to);
}

int epoll_wait(int descriptor, epoll_event* events, int most, int timeout) {
  static const auto real = realFunction<int(int, epoll_event*, int, int)>("epoll_wait");
  if (shouldFail(CallFault::interrupted)) return failWith<int>(EINTR);
  return real(descriptor, events, most, timeout);
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static const auto real = realFunction<int(pollfd*, nfds_t, int)>("poll");
  if (shouldFail(CallFault::interrupted)) return failWith<int>(EINTR);
  return real(descriptors, count, timeout);
}

int accept(int descriptor, sockaddr* address, socklen_t* length) {
  static const auto real = realFunction<int(int, sockaddr*, socklen_t*)>("accept");
  if (shouldFail(CallFault::accept_full)) return failWith<int>(randomErrno({EMFILE, ENFILE}));
  if (shouldFail(CallFault::accept))
    return failWith<int>(randomErrno({ECONNABORTED, EINTR, ENFILE, ENOBUFS, EPROTO, ENETUNREACH}));
  return maybeAborted(real(descriptor, address, length));
}

int accept4(int descriptor, sockaddr* address, socklen_t* length, int flags) {
  static const auto real = realFunction<int(int, sockaddr*, socklen_t*, int)>("accept4");
  if (shouldFail(CallFault::accept_full)) return failWith<int>(randomErrno({EMFILE, ENFILE}));
  if (shouldFail(CallFault::accept))
    return failWith<int>(randomErrno({ECONNABORTED, EINTR, ENFILE, ENOBUFS, EPROTO, ENETUNREACH}));
  return maybeAborted(real(descriptor, address, length, flags));
}

int socket(int domain, int type, int protocol) {
  static const auto real = realFunction<int(int, int, int)>("socket");
  if (shouldFail(CallFault::socket)) return failWith<int>(randomErrno({ENFILE, ENOBUFS, ENOMEM}));
  return real(domain, type, protocol);
}

int connect(int descriptor, const sockaddr* address, socklen_t length) {
  static const auto real = realFunction<int(int, const sockaddr*, socklen_t)>("connect");
  if (shouldFail(CallFault::connect))
    return failWith<int>(randomErrno({EADDRNOTAVAIL, ENETUNREACH, ECONNREFUSED, ETIMEDOUT}));
  if (descriptor >= 0 && descriptor < kMaxDescriptors)
    outgoingConnection[static_cast<std::size_t>(descriptor)] = true;
  return real(descriptor, address, length);
}

int close(int descriptor) {
  static const auto real = realFunction<int(int)>("close");
  if (descriptor >= 0 && descriptor < kMaxDescriptors)
    outgoingConnection[static_cast<std::size_t>(descriptor)] = false;
  return real(descriptor);
}

int clock_gettime(clockid_t clock, timespec* out) noexcept {
  static const auto real = realFunction<int(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, out);
  if (result != 0 || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)) return result;
  const std::int64_t ns = out->tv_sec * kNsPerS + out->tv_nsec + wallOffsetMs() * kNsPerMs;
  out->tv_sec = ns / kNsPerS;
  out->tv_nsec = ns % kNsPerS;
  return 0;
}

int gettimeofday(timeval* out, void* zone) noexcept {
  static const auto real = realFunction<int(timeval*, void*)>("gettimeofday");
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
