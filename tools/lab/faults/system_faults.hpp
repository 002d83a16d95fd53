/// The lab's side of the fault library: one control file a gatekeeper, and what is set in it.
#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fault_control.hpp"

namespace wingslip::lab {

/// The kind of this name in scenario files; none: there is no such kind.
std::optional<CallFault> callFaultOf(const std::string& name);

/// The errno of this name (`none`, `ENOSPC`, `EIO`); none: there is no such error.
std::optional<int> diskErrorOf(const std::string& name);

/// What a gatekeeper's system does from its start on: the share of calls that fail by kind, and how far its
/// wall clock is off.
struct SystemFaults {
  std::map<CallFault, double> shares;
  double wallOffsetMs = 0;
};

/// The control file of one gatekeeper, mapped for as long as this lives.
class FaultFile {
 public:
  /// Makes the file and maps it; throws std::runtime_error where that fails.
  FaultFile(const std::filesystem::path& path, const SystemFaults& first);
  ~FaultFile();
  FaultFile(const FaultFile&) = delete;
  FaultFile& operator=(const FaultFile&) = delete;

  const std::filesystem::path& path() const { return path_; }
  void setShare(CallFault kind, double share);
  void stepWallClock(double byMs);
  void setDiskError(int error);

  /// Calls failed so far, by kind.
  std::map<CallFault, std::uint64_t> injected() const;
  std::uint64_t diskFailed() const;

 private:
  std::filesystem::path path_;
  FaultControl* control_ = nullptr;
};

/// Where the library lies: beside the lab's program.
std::filesystem::path faultLibrary();

}  // namespace wingslip::lab
