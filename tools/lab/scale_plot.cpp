#include "scale_plot.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace wingslip::lab {
namespace {

constexpr int kColumns = 4;
// In pixels.
constexpr double kPanelWidth = 260, kPanelHeight = 170, kMargin = 46, kPlotWidth = 190, kPlotHeight = 100;
constexpr int kCurvePoints = 40;
constexpr double kMinValue = 1e-12;  // smaller values, such as 0, are drawn at this value

// Maps the values from `low` to `high` to 0 to `length` pixels on a logarithmic scale. Values outside the
// range are clamped.
class LogAxis {
 public:
  LogAxis(double low, double high, double length)
      : low_(std::log10(std::max(low, kMinValue))),
        span_(std::max(0.3, std::log10(std::max(high, kMinValue)) - low_)),
        length_(length) {}
  double at(double value) const {
    const double fraction = (std::log10(std::max(value, kMinValue)) - low_) / span_;
    return std::clamp(fraction, 0.0, 1.0) * length_;
  }

 private:
  double low_, span_, length_;
};

std::string shortNumber(double value) {
  std::ostringstream out;
  out << std::setprecision(3) << value;
  return out.str();
}

double largestOf(const std::vector<Sample>& samples) {
  double out = 0;
  for (const Sample& sample : samples) out = std::max(out, sample.value);
  return out;
}

double smallestOf(const std::vector<Sample>& samples) {
  double out = samples.front().value;
  for (const Sample& sample : samples) out = std::min(out, sample.value);
  return out;
}

void text(std::ostream& out, double x, double y, const std::string& content) {
  out << "<text x=\"" << x << "\" y=\"" << y << "\">" << content << "</text>\n";
}

void panel(std::ostream& out, const Series& series, double left, double top) {
  const auto& samples = series.samples;
  const LogAxis xAxis(samples.front().size, samples.back().size, kPlotWidth);
  const LogAxis yAxis(smallestOf(samples), largestOf(samples), kPlotHeight);
  const double x0 = left + kMargin, y0 = top + 34 + kPlotHeight;
  out << "<rect x=\"" << x0 << "\" y=\"" << y0 - kPlotHeight << "\" width=\"" << kPlotWidth << "\" height=\""
      << kPlotHeight << "\" fill=\"none\" stroke=\"#999\"/>\n";
  text(out, x0, top + 14,
       series.first.mechanism + ": " + series.first.figure + " (" + series.first.unit + ")");
  text(out, x0, top + 28, std::string("fit: ") + nameOf(series.fit.shape));
  text(out, x0, y0 + 12,
       shortNumber(samples.front().size) + " to " + shortNumber(samples.back().size) + " " +
           series.first.varies);
  text(out, left, y0 - kPlotHeight + 10, shortNumber(largestOf(samples)));
  text(out, left, y0, shortNumber(smallestOf(samples)));
  out << "<polyline fill=\"none\" stroke=\"#3355bb\" points=\"";
  const double ratio = samples.back().size / samples.front().size;
  for (int i = 0; i <= kCurvePoints; ++i) {
    const double size = samples.front().size * std::pow(ratio, static_cast<double>(i) / kCurvePoints);
    out << x0 + xAxis.at(size) << "," << y0 - yAxis.at(series.fit.at(size)) << " ";
  }
  out << "\"/>\n";
  for (const Sample& sample : samples)
    out << "<circle cx=\"" << x0 + xAxis.at(sample.size) << "\" cy=\"" << y0 - yAxis.at(sample.value)
        << "\" r=\"3\" fill=\"#c0392b\"/>\n";
}

}  // namespace

std::string scaleSvg(const std::vector<Series>& series) {
  const auto rows = (series.size() + kColumns - 1) / kColumns;
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kColumns * kPanelWidth << "\" height=\""
      << static_cast<double>(rows) * kPanelHeight
      << "\" font-family=\"sans-serif\" font-size=\"9\">\n<rect width=\"100%\" height=\"100%\" "
         "fill=\"white\"/>\n";
  for (std::size_t i = 0; i < series.size(); ++i) {
    const std::size_t column = i % kColumns;
    const std::size_t row = i / kColumns;
    panel(out, series[i], static_cast<double>(column) * kPanelWidth, static_cast<double>(row) * kPanelHeight);
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace wingslip::lab
