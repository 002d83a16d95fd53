// Measurements of the calling process for scale cases: processor time and memory.
#pragma once

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cstddef>
#include <fstream>
#include <limits>
#include <string>

namespace wingslip::lab {

// Processor time of this process in seconds, over all threads.
inline double processorSeconds() {
  timespec now{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

// The minimum processor time in seconds over `repeats` calls. Other processes share the machine, so any
// excess over the minimum is attributed to them.
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

// Bytes allocated and not yet freed; 0 under a sanitizer's allocator.
inline double heapBytes() {
  const struct mallinfo2 info = ::mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

// A field of /proc/PID/status in bytes, such as VmHWM (peak resident size); 0 if the field is missing.
inline double statusBytes(const std::string& process, const std::string& name) {
  std::ifstream in("/proc/" + process + "/status");
  for (std::string word; in >> word;) {
    double kilobytes = 0;
    if (word == name + ":" && in >> kilobytes) return kilobytes * 1024;
  }
  return 0;
}

// Resets the peak resident size (VmHWM) of this process to its present size.
inline void resetPeakResidentSize() { std::ofstream("/proc/self/clear_refs") << 5; }

}  // namespace wingslip::lab
