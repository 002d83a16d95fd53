/// The ids of requests that have been sent to a worker. See sent_requests.hpp.
#include "gatekeeper/sent_requests.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <new>
#include <system_error>

#include "net/log.hpp"

namespace wingslip {
namespace {

constexpr std::size_t kGroupSlots = 8;
// The name changes with the layout, since the processes of two versions run side by side in an upgrade.
constexpr const char* kFileName = "/sent-requests-1";

void* mapPrivate(std::size_t bytes) {
  return ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
}

// Maps the file, which is created if it does not exist. All its blocks are allocated first: a write to a
// mapped page without one would end the process.
void* mapShared(const std::string& path, std::size_t bytes) {
  const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (file < 0) return MAP_FAILED;
  void* mapped = MAP_FAILED;
  const int error = ::posix_fallocate(file, 0, static_cast<off_t>(bytes));
  if (error == 0) mapped = ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  const int reason = error != 0 ? error : errno;
  ::close(file);
  errno = reason;
  return mapped;
}

}  // namespace

SentRequests::SentRequests(const std::string& stateDir) {
  void* mapped = MAP_FAILED;
  if (!stateDir.empty()) {
    mapped = mapShared(stateDir + kFileName, kBytes);
    if (mapped == MAP_FAILED)
      processLog().warn("event=sent_requests text=\"not shared with the next process: {}\"",
                        std::generic_category().message(errno));
  }
  if (mapped == MAP_FAILED) mapped = mapPrivate(kBytes);
  if (mapped == MAP_FAILED) throw std::bad_alloc();
  slots_ = static_cast<Slot*>(mapped);
}

SentRequests::~SentRequests() { ::munmap(slots_, kBytes); }

std::span<SentRequests::Slot> SentRequests::groupOf(std::uint64_t id) const {
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15;  // spreads ids that differ in few bits
  constexpr std::uint64_t kGroups = kSlots / kGroupSlots;
  const std::size_t group = (id * kMultiplier >> 32) % kGroups;
  return {slots_ + group * kGroupSlots, kGroupSlots};
}

SentRequests::Slot* SentRequests::slotOf(std::uint64_t id) const {
  for (Slot& slot : groupOf(id))
    if (slot.sentAt.load(std::memory_order_acquire) > 0 && slot.id.load(std::memory_order_relaxed) == id)
      return &slot;
  return nullptr;
}

std::optional<SentRequest> SentRequests::find(std::uint64_t id) const {
  const Slot* slot = slotOf(id);
  if (!slot) return std::nullopt;
  return SentRequest{slot->sentAt.load(std::memory_order_relaxed),
                     slot->worker.load(std::memory_order_relaxed)};
}

// The time is written last, and makes the entry visible to the other process.
void SentRequests::add(std::uint64_t id, const SentRequest& sent) {
  if (slotOf(id)) return;
  Slot* oldest = nullptr;
  for (Slot& slot : groupOf(id))
    if (!oldest ||
        slot.sentAt.load(std::memory_order_relaxed) < oldest->sentAt.load(std::memory_order_relaxed))
      oldest = &slot;
  oldest->sentAt.store(0, std::memory_order_release);
  oldest->id.store(id, std::memory_order_relaxed);
  oldest->worker.store(sent.worker, std::memory_order_relaxed);
  oldest->sentAt.store(sent.sentAt, std::memory_order_release);
}

void SentRequests::remove(std::uint64_t id) {
  if (Slot* slot = slotOf(id)) slot->sentAt.store(0, std::memory_order_release);
}

}  // namespace wingslip
