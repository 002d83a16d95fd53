// Least-squares fits of measured figures on the shapes of growth: constant, log n (what gossip tells of a
// change), n, n log n, n². Pure.
#pragma once

#include <array>
#include <stdexcept>
#include <string>
#include <vector>

namespace wingslip::lab {

enum class Shape { constant, logarithmic, linear, linearithmic, quadratic };  // the simplest first
constexpr std::array<Shape, 5> kShapes{Shape::constant, Shape::logarithmic, Shape::linear,
                                       Shape::linearithmic, Shape::quadratic};
const char* nameOf(Shape shape);  // "constant", "log n", "n", "n log n", "n^2"

// A figure at one size. `value` is in the figure's unit and at least 0.
struct Sample {
  double size = 0, value = 0;
};

// value = offset + slope * f(size). `residual` is the root mean square of the errors relative to the measured
// values: 0.1 stands for ten in a hundred.
struct Fit {
  Shape shape = Shape::constant;
  double offset = 0, slope = 0, residual = 0;
  double at(double size) const;
};

struct BadSamples : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The fit of one shape, weighted by 1/value² so that small sizes count as much as large ones; neither offset
// nor slope is below 0. Throws BadSamples on no samples, a size below 1 or a value that is negative or not
// finite.
Fit fitShape(const std::vector<Sample>& samples, Shape shape);

// The simplest shape whose residual is not clearly worse than the best one's. With fewer than
// `kLeastSamples` sizes it is a guess, and the caller should say so.
constexpr std::size_t kLeastSamples = 4;
Fit bestFit(const std::vector<Sample>& samples);

// The value at `size`: between measured sizes along the straight line through the two neighbours on
// logarithmic axes; beyond the largest, its value times the growth of the fit from there, so that a fit that
// is poor at the large end does not belittle what was measured; below the smallest, the fit. `samples` by
// rising size.
double valueAt(const std::vector<Sample>& samples, const Fit& fit, double size);

}  // namespace wingslip::lab
