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

constexpr int kLockTries = 20;
constexpr auto kLockPause = std::chrono::milliseconds(1);
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
    const ssize_t n = uninterrupted([&] { return ::write(descriptor, bytes.data(), bytes.size()); });
    if (n < 0) return lastError();
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return {};
}

std::error_code sync(int descriptor) {
  return uninterrupted([&] { return ::fsync(descriptor); }) < 0 ? lastError() : std::error_code{};
}

std::error_code writeAside(const std::string& aside, std::string_view bytes, Durability durability) {
  const Descriptor file(aside, O_WRONLY | O_CREAT | O_TRUNC);
  if (file.number() < 0) return lastError();
  if (const std::error_code error = writeAll(file.number(), bytes)) return error;
  return durability == Durability::on_disk ? sync(file.number()) : std::error_code{};
}

/// Until its folder is synced a power cut may undo a rename.
std::error_code syncFolderOf(const std::string& path) {
  const Descriptor folder(path.substr(0, path.rfind('/') + 1), O_RDONLY | O_DIRECTORY);
  return folder.number() < 0 ? lastError() : sync(folder.number());
}

}  // namespace

std::error_code replaceFile(const std::string& path, std::string_view bytes, Durability durability) {
  // Of this process's own: another one may be writing the same file.
  const std::string aside = path + "." + std::to_string(::getpid());
  std::error_code error = writeAside(aside, bytes, durability);
  if (!error && std::rename(aside.c_str(), path.c_str()) != 0) error = lastError();
  if (error) {
    ::unlink(aside.c_str());
    return error;
  }
  return durability == Durability::on_disk ? syncFolderOf(path) : std::error_code{};
}

std::error_code readFile(const std::string& path, std::size_t most, std::string& bytes) {
  bytes.clear();
  const Descriptor file(path, O_RDONLY);
  if (file.number() < 0) return lastError();
  for (char piece[4096];;) {
    const ssize_t n = uninterrupted([&] { return ::read(file.number(), piece, sizeof piece); });
    if (n < 0) return lastError();
    if (n == 0) return {};
    bytes.append(piece, static_cast<std::size_t>(n));
    if (bytes.size() > most) return std::make_error_code(std::errc::file_too_large);
  }
}

FileLock::FileLock(const std::string& path) {
  descriptor_ = uninterrupted([&] { return ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly); });
  if (descriptor_ < 0) {
    error_ = lastError();
    return;
  }
  for (int left = kLockTries; left > 0; --left) {
    if (uninterrupted([&] { return ::flock(descriptor_, LOCK_EX | LOCK_NB); }) == 0) {
      error_ = {};
      return;
    }
    error_ = lastError();
    std::this_thread::sleep_for(kLockPause);
  }
}

FileLock::~FileLock() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

}  // namespace wingslip
