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

/// Makes the call until it is not interrupted.
template <class Call>
auto uninterrupted(Call call) {
  auto result = call();
  while (result < 0 && errno == EINTR) result = call();
  return result;
}

/// A descriptor that is closed with its scope.
class Descriptor {
 public:
  Descriptor(const std::string& path, int flags)
      : number_(uninterrupted([&] { return ::open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly); })) {}
  ~Descriptor() {
    if (number_ >= 0) ::close(number_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int number() const { return number_; }

 private:
  const int number_;
};

std::error_code writeAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = uninterrupted([&] { return ::write(descriptor, bytes.data(), bytes.size()); });
    if (count < 0) return lastError();
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return {};
}

std::error_code sync(int descriptor) {
  return uninterrupted([&] { return ::fsync(descriptor); }) < 0 ? lastError() : std::error_code{};
}

std::error_code writeTemporary(const std::string& temporary, std::string_view bytes, Durability durability) {
  const Descriptor file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
  if (file.number() < 0) return lastError();
  if (const std::error_code error = writeAll(file.number(), bytes)) return error;
  return durability == Durability::onDisk ? sync(file.number()) : std::error_code{};
}

/// Until its folder is synced a power cut may undo a rename.
std::error_code syncFolderOf(const std::string& path) {
  const Descriptor folder(path.substr(0, path.rfind('/') + 1), O_RDONLY | O_DIRECTORY);
  return folder.number() < 0 ? lastError() : sync(folder.number());
}

}  // namespace

std::error_code replaceFile(const std::string& path, std::string_view bytes, Durability durability) {
  // A name of this process's own: another process may be writing the same file.
  const std::string temporary = path + "." + std::to_string(::getpid());
  std::error_code error = writeTemporary(temporary, bytes, durability);
  if (!error && std::rename(temporary.c_str(), path.c_str()) != 0) error = lastError();
  if (error) {
    ::unlink(temporary.c_str());
    return error;
  }
  return durability == Durability::onDisk ? syncFolderOf(path) : std::error_code{};
}

std::error_code readFile(const std::string& path, std::size_t maxBytes, std::string& bytes) {
  bytes.clear();
  const Descriptor file(path, O_RDONLY);
  if (file.number() < 0) return lastError();
  for (char piece[4096];;) {
    const ssize_t count = uninterrupted([&] { return ::read(file.number(), piece, sizeof piece); });
    if (count < 0) return lastError();
    if (count == 0) return {};
    bytes.append(piece, static_cast<std::size_t>(count));
    if (bytes.size() > maxBytes) return std::make_error_code(std::errc::file_too_large);
  }
}

FileLock::FileLock(const std::string& path) {
  descriptor_ = uninterrupted([&] { return ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly); });
  if (descriptor_ < 0) {
    error_ = lastError();
    return;
  }
  for (int triesLeft = kMaxLockTries; triesLeft > 0; --triesLeft) {
    if (uninterrupted([&] { return ::flock(descriptor_, LOCK_EX | LOCK_NB); }) == 0) {
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
