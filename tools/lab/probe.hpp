// What a scale case reads of its own process: processor time and memory.
#pragma once

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cstddef>
#include <fstream>
#include <limits>
#include <string>

namespace wingslip::lab {

// Seconds of processor time that this process has used, all threads.
inline double processorSeconds() {
  timespec now{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

// The least processor time in seconds of `repeats` calls. The machine is shared: more than the least is other
// processes' doing.
template <class Call>
double leastProcessor(int repeats, Call call) {
  double least = std::numeric_limits<double>::infinity();
  for (int i = 0; i < repeats; ++i) {
    const double start = processorSeconds();
    call();
    least = std::min(least, processorSeconds() - start);
  }
  return least;
}

// Bytes that the allocator has handed out and not had back; 0 under a sanitizer's allocator.
inline double heapBytes() {
  const struct mallinfo2 info = ::mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

// A line of /proc/PID/status in bytes, such as VmHWM (the most that was resident); 0 where it is missing.
inline double statusBytes(const std::string& process, const std::string& name) {
  std::ifstream in("/proc/" + process + "/status");
  for (std::string word; in >> word;) {
    double kilobytes = 0;
    if (word == name + ":" && in >> kilobytes) return kilobytes * 1024;
  }
  return 0;
}

// From now on VmHWM counts anew.
inline void resetPeak() { std::ofstream("/proc/self/clear_refs") << 5; }

}  // namespace wingslip::lab
