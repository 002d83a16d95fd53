/// The lab's side of the fault library: one control file for each gatekeeper, and its settings.
#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fault_control.hpp"

namespace wingslip::lab {

/// The kind with this name in scenario files; none for an unknown name.
std::optional<CallFault> callFaultOf(const std::string& name);

/// The errno for this name (`none`, `ENOSPC`, `EIO`); no value for an unknown name.
std::optional<int> diskErrorOf(const std::string& name);

/// The system faults of a gatekeeper from its start: the share of calls that fail (0 to 1), by kind, and the
/// offset of its wall clock.
struct SystemFaults {
  std::map<CallFault, double> shares;
  double wallOffsetMs = 0;
};

/// The control file of one gatekeeper, mapped during the lifetime of this object. The file remains
/// afterwards.
class FaultFile {
 public:
  /// Creates and maps the file, with the faults `initial`.
  /// @throws std::runtime_error if that fails.
  FaultFile(const std::filesystem::path& path, const SystemFaults& initial);
  ~FaultFile();
  FaultFile(const FaultFile&) = delete;
  FaultFile& operator=(const FaultFile&) = delete;

  const std::filesystem::path& path() const { return path_; }
  /// Sets the share of calls of this kind that fail, 0 to 1.
  void setShare(CallFault kind, double share);
  /// Adds `byMs` to the offset of the wall clock.
  void stepWallClock(double byMs);
  /// Sets the errno with which writes, syncs and renames of files fail, and reads if it is EIO; 0: they
  /// succeed.
  void setDiskError(int error);

  /// The number of calls failed so far, by kind.
  std::map<CallFault, std::uint64_t> injected() const;
  /// The number of file operations failed so far with the disk error.
  std::uint64_t diskFailed() const;

 private:
  std::filesystem::path path_;
  FaultControl* control_ = nullptr;
};

/// The path of the library, in the directory of the lab's program.
std::filesystem::path faultLibrary();

}  // namespace wingslip::lab
