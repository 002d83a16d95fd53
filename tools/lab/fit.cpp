#include "fit.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace wingslip::lab {
namespace {

// The simplest shape is chosen whose residual is at most the larger of two bounds: the smallest residual of
// all shapes times the factor, and that residual plus the margin.
constexpr double kResidualFactor = 1.5;
constexpr double kResidualMargin = 0.05;
constexpr double kMinValue = 1e-12;  // smaller values are raised to this one in weights and logarithms

// f(size) of a shape, as in value = offset + slope * f(size).
double termOf(Shape shape, double size) {
  switch (shape) {
    case Shape::constant:
      return 0;
    case Shape::logarithmic:
      return std::log2(std::max(size, 1.0));
    case Shape::linear:
      return size;
    case Shape::linearithmic:
      return size * std::log2(std::max(size, 1.0));
    case Shape::quadratic:
      return size * size;
  }
  return 0;
}

double weightOf(const Sample& sample) {
  const double value = std::max(sample.value, kMinValue);
  return 1 / (value * value);
}

void validate(const std::vector<Sample>& samples) {
  if (samples.empty()) throw InvalidSamples("no samples to fit");
  for (const Sample& sample : samples) {
    if (!(sample.size >= 1) || !std::isfinite(sample.size))
      throw InvalidSamples("a sample's size is below 1 or not finite");
    if (!(sample.value >= 0) || !std::isfinite(sample.value))
      throw InvalidSamples("a sample's value is negative or not finite");
  }
}

// The weighted sums in the normal equations for offset and slope.
struct Sums {
  double weight = 0, term = 0, termSquared = 0, value = 0, termValue = 0;
};

Sums sumsOf(const std::vector<Sample>& samples, Shape shape) {
  Sums out;
  for (const Sample& sample : samples) {
    const double weight = weightOf(sample);
    const double term = termOf(shape, sample.size);
    out.weight += weight;
    out.term += weight * term;
    out.termSquared += weight * term * term;
    out.value += weight * sample.value;
    out.termValue += weight * term * sample.value;
  }
  return out;
}

double residualOf(const std::vector<Sample>& samples, const Fit& fit) {
  double sum = 0;
  for (const Sample& sample : samples) {
    const double error = fit.at(sample.size) - sample.value;
    sum += error * error * weightOf(sample);
  }
  return std::sqrt(sum / static_cast<double>(samples.size()));
}

}  // namespace

const char* nameOf(Shape shape) {
  switch (shape) {
    case Shape::constant:
      return "constant";
    case Shape::logarithmic:
      return "log n";
    case Shape::linear:
      return "n";
    case Shape::linearithmic:
      return "n log n";
    case Shape::quadratic:
      return "n^2";
  }
  return "";
}

double Fit::at(double size) const { return offset + slope * termOf(shape, size); }

Fit fitShape(const std::vector<Sample>& samples, Shape shape) {
  validate(samples);
  const Sums sums = sumsOf(samples, shape);
  const double determinant = sums.weight * sums.termSquared - sums.term * sums.term;
  Fit out;
  out.shape = shape;
  out.offset = sums.value / sums.weight;
  // With a single size or the constant shape the determinant is 0 (apart from rounding), and only the offset
  // can be fitted.
  const bool slopeDetermined = determinant > 1e-9 * sums.weight * sums.termSquared;
  if (slopeDetermined) {
    out.offset = (sums.value * sums.termSquared - sums.term * sums.termValue) / determinant;
    out.slope = (sums.weight * sums.termValue - sums.term * sums.value) / determinant;
    if (out.slope < 0) {
      out.slope = 0;
      out.offset = sums.value / sums.weight;
    } else if (out.offset < 0) {
      out.offset = 0;
      out.slope = sums.termValue / sums.termSquared;
    }
  }
  out.residual = residualOf(samples, out);
  return out;
}

double valueAt(const std::vector<Sample>& samples, const Fit& fit, double size) {
  validate(samples);
  const Sample& largest = samples.back();
  if (size < samples.front().size) return fit.at(size);
  if (size > largest.size) {
    const double fitAtLargest = fit.at(largest.size);
    return fitAtLargest > 0 ? largest.value * fit.at(size) / fitAtLargest : largest.value;
  }
  const auto above =
      std::find_if(samples.begin(), samples.end(), [&](const Sample& sample) { return sample.size >= size; });
  if (above->size == size || above == samples.begin()) return above->value;
  const auto below = std::prev(above);
  const double fraction = std::log(size / below->size) / std::log(above->size / below->size);
  const double low = std::log(std::max(below->value, kMinValue));
  const double high = std::log(std::max(above->value, kMinValue));
  return std::exp(low + fraction * (high - low));
}

Fit bestFit(const std::vector<Sample>& samples) {
  std::vector<Fit> fits;
  fits.reserve(std::size(kShapes));
  for (const Shape shape : kShapes) fits.push_back(fitShape(samples, shape));
  double smallestResidual = fits.front().residual;
  for (const Fit& fit : fits) smallestResidual = std::min(smallestResidual, fit.residual);
  const double bound = std::max(smallestResidual * kResidualFactor, smallestResidual + kResidualMargin);
  return *std::find_if(fits.begin(), fits.end(), [&](const Fit& fit) { return fit.residual <= bound; });
}

}  // namespace wingslip::lab
