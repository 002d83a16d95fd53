/// Processor time and memory of processes, for scale cases.
#pragma once

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cstddef>
#include <fstream>
#include <limits>
#include <string>

namespace wingslip::lab {

/// Returns the processor time of this process in seconds, over all threads.
inline double processorSeconds() {
  timespec now{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

/// Returns the minimum processor time in seconds over `repeats` calls. The minimum is used because other
/// processes on the machine can only increase the time.
template <class Call>
double minProcessorSeconds(int repeats, Call call) {
  double least = std::numeric_limits<double>::infinity();
  for (int i = 0; i < repeats; ++i) {
    const double start = processorSeconds();
    call();
    least = std::min(least, processorSeconds() - start);
  }
  return least;
}

/// Returns the heap memory allocated and not yet freed, in bytes; 0 under a sanitizer's allocator.
inline double heapBytes() {
  const struct mallinfo2 info = ::mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

/// Returns a size from /proc/`process`/status in bytes, such as VmHWM (peak resident size); 0 if it is
/// missing. `process` is a process id or "self".
inline double statusBytes(const std::string& process, const std::string& name) {
  std::ifstream in("/proc/" + process + "/status");
  for (std::string word; in >> word;) {
    double kilobytes = 0;
    if (word == name + ":" && in >> kilobytes) return kilobytes * 1024;
  }
  return 0;
}

/// Resets the peak resident size (VmHWM) of this process to its current resident size.
inline void resetPeakResidentSize() { std::ofstream("/proc/self/clear_refs") << 5; }

}  // namespace wingslip::lab
