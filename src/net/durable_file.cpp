// Implementation of file replacement and file locks with Linux system calls.
#include "net/durable_file.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <thread>

namespace wingslip {
namespace {

constexpr int kMaxLockTries = 20;
constexpr auto kLockRetryDelay = std::chrono::milliseconds(1);
constexpr mode_t kOwnerOnly = 0600;

std::error_code lastError() { return {errno, std::system_category()}; }

/// Repeats a system call as long as a signal interrupts it.
template <class Call>
auto retryOnInterrupt(Call call) {
  auto result = call();
  while (result < 0 && errno == EINTR) result = call();
  return result;
}

/// An open file or directory, closed on destruction. `number` is negative if it could not be opened.
class ScopedDescriptor {
 public:
  ScopedDescriptor(const std::string& path, int flags)
      : number_(retryOnInterrupt([&] { return ::open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly); })) {}
  ~ScopedDescriptor() {
    if (number_ >= 0) ::close(number_);
  }
  ScopedDescriptor(const ScopedDescriptor&) = delete;
  ScopedDescriptor& operator=(const ScopedDescriptor&) = delete;
  int number() const { return number_; }

 private:
  const int number_;
};

std::error_code writeAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = retryOnInterrupt([&] { return ::write(descriptor, bytes.data(), bytes.size()); });
    if (count < 0) return lastError();
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return {};
}

std::error_code sync(int descriptor) {
  return retryOnInterrupt([&] { return ::fsync(descriptor); }) < 0 ? lastError() : std::error_code{};
}

std::error_code writeTemporary(const std::string& temporary, std::string_view bytes, Durability durability) {
  const ScopedDescriptor file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
  if (file.number() < 0) return lastError();
  if (const std::error_code error = writeAll(file.number(), bytes)) return error;
  return durability == Durability::onDisk ? sync(file.number()) : std::error_code{};
}

/// Syncs the file's directory: until then, a power failure may undo a rename.
std::error_code syncDirectoryOf(const std::string& path) {
  const ScopedDescriptor directory(path.substr(0, path.rfind('/') + 1), O_RDONLY | O_DIRECTORY);
  return directory.number() < 0 ? lastError() : sync(directory.number());
}

}  // namespace

std::error_code replaceFile(const std::string& path, std::string_view bytes, Durability durability) {
  // The name contains the process id, because another process may be replacing the same file.
  const std::string temporary = path + "." + std::to_string(::getpid());
  std::error_code error = writeTemporary(temporary, bytes, durability);
  if (!error && std::rename(temporary.c_str(), path.c_str()) != 0) error = lastError();
  if (error) {
    ::unlink(temporary.c_str());
    return error;
  }
  return durability == Durability::onDisk ? syncDirectoryOf(path) : std::error_code{};
}

std::error_code readFile(const std::string& path, std::size_t maxBytes, std::string& bytes) {
  bytes.clear();
  const ScopedDescriptor file(path, O_RDONLY);
  if (file.number() < 0) return lastError();
  for (char chunk[4096];;) {
    const ssize_t count = retryOnInterrupt([&] { return ::read(file.number(), chunk, sizeof chunk); });
    if (count < 0) return lastError();
    if (count == 0) return {};
    bytes.append(chunk, static_cast<std::size_t>(count));
    if (bytes.size() > maxBytes) return std::make_error_code(std::errc::file_too_large);
  }
}

FileLock::FileLock(const std::string& path) {
  descriptor_ =
      retryOnInterrupt([&] { return ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly); });
  if (descriptor_ < 0) {
    error_ = lastError();
    return;
  }
  for (int remainingTries = kMaxLockTries; remainingTries > 0; --remainingTries) {
    if (retryOnInterrupt([&] { return ::flock(descriptor_, LOCK_EX | LOCK_NB); }) == 0) {
      error_ = {};
      return;
    }
    error_ = lastError();
    std::this_thread::sleep_for(kLockRetryDelay);
  }
}

FileLock::~FileLock() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

}  // namespace wingslip
