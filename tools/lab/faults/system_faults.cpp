#include "system_faults.hpp"

#include <errno.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cmath>
#include <new>
#include <stdexcept>

namespace wingslip::lab {
namespace fs = std::filesystem;

std::optional<CallFault> callFaultOf(const std::string& name) {
  for (std::size_t i = 0; i < kCallFaultCount; ++i)
    if (name == kCallFaultNames[i]) return static_cast<CallFault>(i);
  return std::nullopt;
}

std::optional<int> diskErrorOf(const std::string& name) {
  if (name == "none") return 0;
  if (name == "ENOSPC") return ENOSPC;
  if (name == "EIO") return EIO;
  return std::nullopt;
}

FaultFile::FaultFile(const fs::path& path, const SystemFaults& initial) : path_(path) {
  const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0 || ::ftruncate(file, sizeof(FaultControl)) != 0)
    throw std::runtime_error("cannot create the fault file " + path.string());
  void* at = ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  ::close(file);
  if (at == MAP_FAILED) throw std::runtime_error("cannot map the fault file " + path.string());
  control_ = new (at) FaultControl{};
  for (const auto& [kind, share] : initial.shares) setShare(kind, share);
  stepWallClock(initial.wallOffsetMs);
  control_->version.store(kFaultControlVersion);
}

FaultFile::~FaultFile() { ::munmap(control_, sizeof(FaultControl)); }

void FaultFile::setShare(CallFault kind, double share) {
  control_->sharePerMillion[static_cast<std::size_t>(kind)] =
      static_cast<std::uint32_t>(std::lround(share * kPartsPerMillion));
}

void FaultFile::stepWallClock(double byMs) { control_->wallOffsetMs += std::llround(byMs); }

void FaultFile::setDiskError(int error) { control_->diskError = error; }

std::map<CallFault, std::uint64_t> FaultFile::injected() const {
  std::map<CallFault, std::uint64_t> out;
  for (std::size_t i = 0; i < kCallFaultCount; ++i)
    if (const std::uint64_t n = control_->injected[i]) out[static_cast<CallFault>(i)] = n;
  return out;
}

std::uint64_t FaultFile::diskFailed() const { return control_->diskFailed; }

fs::path faultLibrary() {
  std::error_code ignored;
  return fs::read_symlink("/proc/self/exe", ignored).parent_path() / "libwingslip_faults.so";
}

}  // namespace wingslip::lab
