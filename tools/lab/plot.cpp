#include "plot.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace wingslip::lab {
namespace {

// In pixels.
constexpr double kLeft = 60, kWidth = 860, kPanelHeight = 120, kGap = 34, kTop = 96;

// An area of the plot: the outcomes that are drawn in one colour.
struct Band {
  const char* label;
  const char* colour;
};
constexpr std::array<Band, 4> kBands{
    {{"served", "#4c9f70"}, {"refused", "#e0a030"}, {"failed", "#c0392b"}, {"no answer", "#555555"}}};

std::size_t bandOf(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::served:
      return 0;
    case RequestOutcome::refused:
      return 1;
    case RequestOutcome::failed:
    case RequestOutcome::wrongBody:
      return 2;
    default:
      return 3;
  }
}

std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<')
      out += "&lt;";
    else if (c == '&')
      out += "&amp;";
    else
      out += c;
  }
  return out;
}

class Drawing {
 public:
  Drawing(double width, double height) {
    out_ << std::fixed << std::setprecision(1) << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
         << width << "\" height=\"" << height
         << "\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" "
            "fill=\"white\"/>\n";
  }
  void rect(double x, double y, double w, double h, const char* fill) {
    out_ << "<rect x=\"" << x << "\" y=\"" << y << "\" width=\"" << w << "\" height=\"" << h << "\" fill=\""
         << fill << "\"/>\n";
  }
  void line(double x1, double y1, double x2, double y2, const char* stroke, const char* dash = "") {
    out_ << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2 << "\" y2=\"" << y2 << "\" stroke=\""
         << stroke << "\" stroke-dasharray=\"" << dash << "\"/>\n";
  }
  void text(double x, double y, const std::string& what, const char* anchor = "start",
            double rotationDeg = 0) {
    out_ << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\" transform=\"rotate("
         << rotationDeg << " " << x << " " << y << ")\">" << escaped(what) << "</text>\n";
  }
  std::string end() { return out_.str() + "</svg>\n"; }

 private:
  std::ostringstream out_;
};

using Counts = std::vector<std::array<long, kBands.size()>>;  // [second of sending][band]

// Counts the requests of one gatekeeper, or of all if `gatekeeper` is -1.
Counts countsOf(const std::vector<Request>& requests, double lengthS, int gatekeeper) {
  Counts out(static_cast<std::size_t>(std::max(1.0, std::ceil(lengthS))));
  for (const Request& r : requests) {
    const auto second = static_cast<std::size_t>(std::max(0.0, r.sentMs / 1000));
    if ((gatekeeper < 0 || r.gatekeeper == gatekeeper) && second < out.size())
      ++out[second][bandOf(r.outcome)];
  }
  return out;
}

void panel(Drawing& d, const Counts& counts, double top, const std::string& label) {
  long most = 1;
  for (const auto& second : counts) {
    long sum = 0;
    for (const long n : second) sum += n;
    most = std::max(most, sum);
  }
  const double step = kWidth / static_cast<double>(counts.size());
  for (std::size_t i = 0; i < counts.size(); ++i) {
    double base = top + kPanelHeight;
    for (std::size_t band = 0; band < kBands.size(); ++band) {
      const double height = kPanelHeight * static_cast<double>(counts[i][band]) / static_cast<double>(most);
      if (height > 0)
        d.rect(kLeft + step * static_cast<double>(i), base - height, std::max(0.5, step - 1), height,
               kBands[band].colour);
      base -= height;
    }
  }
  d.line(kLeft, top + kPanelHeight, kLeft + kWidth, top + kPanelHeight, "black");
  d.text(kLeft - 6, top + 10, std::to_string(most), "end");
  d.text(kLeft - 6, top + kPanelHeight, "0", "end");
  d.text(kLeft, top - 4, label);
}

}  // namespace

std::string plotSvg(const Plot& plot, const std::vector<Request>& requests) {
  const int panels = 1 + (plot.gatekeepers > 1 ? std::min(plot.gatekeepers, kMaxGatekeeperPanels) : 0);
  const double height = kTop + panels * (kPanelHeight + kGap) + 20;
  Drawing d(kLeft + kWidth + 30, height);
  d.text(kLeft, 18, plot.title + ": requests a second by the second they were sent");
  double x = kLeft;
  for (const Band& band : kBands) {
    d.rect(x, 26, 10, 10, band.colour);
    d.text(x + 14, 35, band.label);
    x += 90;
  }
  const double bottom = height - 30;
  for (int p = 0; p < panels; ++p)
    panel(d, countsOf(requests, plot.lengthS, p - 1), kTop + p * (kPanelHeight + kGap),
          p == 0 ? "all gatekeepers" : "gatekeeper " + std::to_string(p - 1));
  for (const PlotMark& mark : plot.marks) {
    const double at = kLeft + kWidth * std::clamp(mark.atS / plot.lengthS, 0.0, 1.0);
    d.line(at, kTop - 8, at, bottom, "#3355bb", "3,3");
    d.text(at + 2, kTop - 12, mark.label, "start", -25);
  }
  for (int tick = 0; tick <= 10; ++tick) {
    std::ostringstream seconds;
    seconds << std::setprecision(3) << plot.lengthS * tick / 10 << " s";
    d.text(kLeft + kWidth * tick / 10, bottom + 14, seconds.str(), "middle");
  }
  return d.end();
}

}  // namespace wingslip::lab
