// How the processor time of some work grows with its size: tells a walk within a walk from a single one.
#pragma once

#include <algorithm>
#include <cstddef>
#include <ctime>

namespace growth {

// Between the sizes that are compared. Work in proportion to the size (and its logarithm) grows by 16 to 25,
// work in proportion to its square by 256; the limit between the two leaves each a factor of more than two.
constexpr std::size_t kLarger = 16;
constexpr double kMost = 64;

// Milliseconds of this thread's processor time; what else the machine does is not in it.
inline double processorTime() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

// `measure(n)` returns the milliseconds that work of size n took; the least of some runs counts.
template <class Measure>
double between(std::size_t small, Measure measure) {
  constexpr int kRuns = 3;
  constexpr double kLeast = 0.02;  // ms; less is not told from nothing
  double first = measure(small), second = measure(small * kLarger);
  for (int run = 1; run < kRuns; ++run) {
    first = std::min(first, measure(small));
    if (second > kMost * std::max(first, kLeast)) second = std::min(second, measure(small * kLarger));
  }
  return second / std::max(first, kLeast);
}

}  // namespace growth
