// Measures how the processor time of an operation grows with the size of its input, to detect quadratic work.
#pragma once

#include <algorithm>
#include <cstddef>
#include <ctime>

namespace growth {

// Ratio of the two sizes that are compared. From the small to the large size, the time of linear and
// linearithmic work grows by a factor of 16 to 25, that of quadratic work by 256. The limit kMaxFactor is
// more than a factor of two away from either.
constexpr std::size_t kSizeRatio = 16;
constexpr double kMaxFactor = 64;

// Processor time of this thread in milliseconds. Other load on the machine is not included.
inline double threadCpuTimeMs() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

// Factor by which the time of `measure` grows from size `small` to kSizeRatio times that size. `measure(n)`
// returns the milliseconds for size n. Uses the minimum of several runs; the large size is run again only
// while the factor is above kMaxFactor.
template <class Measure>
double growthFactor(std::size_t small, Measure measure) {
  constexpr int kRuns = 3;
  constexpr double kMinMs = 0.02;  // shorter times are within the noise of the measurement
  double smallMs = measure(small), largeMs = measure(small * kSizeRatio);
  for (int run = 1; run < kRuns; ++run) {
    smallMs = std::min(smallMs, measure(small));
    if (largeMs > kMaxFactor * std::max(smallMs, kMinMs))
      largeMs = std::min(largeMs, measure(small * kSizeRatio));
  }
  return largeMs / std::max(smallMs, kMinMs);
}

}  // namespace growth
