#include "fit.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace wingslip::lab {
namespace {

// A simpler shape is taken while its residual is at most this many times the best one's and this much above.
constexpr double kClearlyWorseTimes = 1.5;
constexpr double kClearlyWorseBy = 0.05;
constexpr double kLeastValue = 1e-12;  // below it a value weighs no more: it is 0 for every figure

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
  const double value = std::max(sample.value, kLeastValue);
  return 1 / (value * value);
}

void check(const std::vector<Sample>& samples) {
  if (samples.empty()) throw BadSamples("no samples to fit");
  for (const Sample& sample : samples) {
    if (!(sample.size >= 1) || !std::isfinite(sample.size)) throw BadSamples("a sample's size is below 1");
    if (!(sample.value >= 0) || !std::isfinite(sample.value))
      throw BadSamples("a sample's value is negative or no number");
  }
}

// Sums of the normal equations of the two coefficients.
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
  check(samples);
  const Sums sums = sumsOf(samples, shape);
  const double determinant = sums.weight * sums.termSquared - sums.term * sums.term;
  Fit out;
  out.shape = shape;
  out.offset = sums.value / sums.weight;
  // One size alone, or the constant shape, decides no slope.
  const bool slopeKnown = determinant > 1e-9 * sums.weight * sums.termSquared;
  if (slopeKnown) {
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
  check(samples);
  const Sample& largest = samples.back();
  if (size < samples.front().size) return fit.at(size);
  if (size > largest.size) {
    const double from = fit.at(largest.size);
    return from > 0 ? largest.value * fit.at(size) / from : largest.value;
  }
  const auto above =
      std::find_if(samples.begin(), samples.end(), [&](const Sample& sample) { return sample.size >= size; });
  if (above->size == size || above == samples.begin()) return above->value;
  const auto below = std::prev(above);
  const double share = std::log(size / below->size) / std::log(above->size / below->size);
  const double low = std::log(std::max(below->value, kLeastValue));
  const double high = std::log(std::max(above->value, kLeastValue));
  return std::exp(low + share * (high - low));
}

Fit bestFit(const std::vector<Sample>& samples) {
  std::vector<Fit> fits;
  fits.reserve(std::size(kShapes));
  for (const Shape shape : kShapes) fits.push_back(fitShape(samples, shape));
  double least = fits.front().residual;
  for (const Fit& fit : fits) least = std::min(least, fit.residual);
  const double bound = std::max(least * kClearlyWorseTimes, least + kClearlyWorseBy);
  return *std::find_if(fits.begin(), fits.end(), [&](const Fit& fit) { return fit.residual <= bound; });
}

}  // namespace wingslip::lab
