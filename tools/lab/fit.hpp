/// Least-squares fits of measured figures to shapes of growth: constant, log n (such as the gossip messages
/// per change), n, n log n and n². Pure functions.
#pragma once

#include <array>
#include <stdexcept>
#include <string>
#include <vector>

namespace wingslip::lab {

/// The shapes of growth, in order of increasing complexity.
enum class Shape { constant, logarithmic, linear, linearithmic, quadratic };
constexpr std::array<Shape, 5> kShapes{Shape::constant, Shape::logarithmic, Shape::linear,
                                       Shape::linearithmic, Shape::quadratic};
/// Returns the name of a shape: "constant", "log n", "n", "n log n" or "n^2".
const char* nameOf(Shape shape);

/// The value of a figure at one size. `value` is in the figure's unit and at least 0; `size` is at least 1.
struct Sample {
  double size = 0, value = 0;
};

/// A fitted curve: value = offset + slope * f(size). `residual` is the root mean square of the errors
/// relative to the measured values: 0.1 means 10 %.
struct Fit {
  Shape shape = Shape::constant;
  double offset = 0, slope = 0, residual = 0;
  /// Returns the fitted value at `size`, in the unit of the figure.
  double at(double size) const;
};

/// Thrown when samples cannot be fitted.
struct InvalidSamples : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Fits one shape. Samples are weighted by 1/value² so that relative errors count equally at all sizes.
/// Neither offset nor slope is below 0. Throws InvalidSamples if there are no samples, a size is below 1 or
/// not finite, or a value is negative or not finite.
Fit fitShape(const std::vector<Sample>& samples, Shape shape);

/// The smallest number of sizes with which the shape of a fit is reliable.
constexpr std::size_t kMinSamples = 4;
/// Fits every shape and returns the simplest one whose residual is close to the smallest residual of all
/// shapes. With fewer than `kMinSamples` sizes the shape is a guess, and callers should report it as such.
/// Throws InvalidSamples as `fitShape` does.
Fit bestFit(const std::vector<Sample>& samples);

/// Estimates the value at `size`. Between measured sizes it interpolates linearly on logarithmic axes. Beyond
/// the largest size it scales the largest sample by the growth of the fit from there, so that a fit that is
/// poor at large sizes does not understate the measured value. Below the smallest size it returns the fitted
/// value. `samples` must be sorted by ascending size. Throws InvalidSamples as `fitShape` does.
double valueAt(const std::vector<Sample>& samples, const Fit& fit, double size);

}  // namespace wingslip::lab
