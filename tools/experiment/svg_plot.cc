#include "tools/experiment/svg_plot.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <sstream>

#include "base/error.h"

namespace quetzalridge {

namespace {

constexpr double kWidth = 640;
constexpr double kHeight = 360;
constexpr double kLeft = 70;
constexpr double kRight = 20;
constexpr double kTop = 36;
constexpr double kBottom = 50;
constexpr int kTicks = 5;
constexpr const char* kColours[] = {"#1b6ca8", "#c8553d", "#3a7d44", "#7b4b94", "#8a6d1b"};
constexpr size_t kColourCount = sizeof(kColours) / sizeof(kColours[0]);

struct Range {
  double low = 0;
  double high = 0;

  double Part(double value) const { return high > low ? (value - low) / (high - low) : 0.5; }
};

void WriteText(std::ostream& os, double x, double y, const std::string& anchor, const std::string& text) {
  os << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << text << "</text>\n";
}

}  // namespace

SvgPlot::SvgPlot(std::string title, std::string x_label, std::string y_label)
    : m_title(std::move(title)), m_x_label(std::move(x_label)), m_y_label(std::move(y_label)) {}

void SvgPlot::AddLine(const std::string& label, std::vector<std::pair<double, double>> points) {
  m_lines.push_back({label, std::move(points)});
}

void SvgPlot::Write(const std::string& path) const {
  std::ofstream os(path);
  Range x_range;
  Range y_range;
  bool first = true;
  for (const Line& line : m_lines) {
    for (const auto& [x, y] : line.points) {
      x_range.low = first ? x : std::min(x_range.low, x);
      x_range.high = first ? x : std::max(x_range.high, x);
      y_range.high = std::max(y_range.high, y);
      first = false;
    }
  }
  const double plot_width = kWidth - kLeft - kRight;
  const double plot_height = kHeight - kTop - kBottom;
  const auto x_of = [&](double x) { return kLeft + x_range.Part(x) * plot_width; };
  const auto y_of = [&](double y) { return kHeight - kBottom - y_range.Part(y) * plot_height; };
  os << std::fixed << std::setprecision(1) << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
     << "\" height=\"" << kHeight << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
     << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  WriteText(os, kWidth / 2, 20, "middle", m_title);
  WriteText(os, kWidth / 2, kHeight - 12, "middle", m_x_label);
  os << "<text transform=\"translate(14," << kHeight / 2 << ") rotate(-90)\" text-anchor=\"middle\">" << m_y_label
     << "</text>\n";
  for (int tick = 0; tick <= kTicks; ++tick) {
    const double x = x_range.low + (x_range.high - x_range.low) * tick / kTicks;
    const double y = y_range.high * tick / kTicks;
    os << "<line x1=\"" << kLeft << "\" x2=\"" << kWidth - kRight << "\" y1=\"" << y_of(y) << "\" y2=\"" << y_of(y)
       << "\" stroke=\"#dddddd\"/>\n";
    std::ostringstream x_text;
    std::ostringstream y_text;
    x_text << std::setprecision(4) << x;
    y_text << std::setprecision(3) << y;
    WriteText(os, x_of(x), kHeight - kBottom + 16, "middle", x_text.str());
    WriteText(os, kLeft - 6, y_of(y) + 4, "end", y_text.str());
  }
  for (size_t i = 0; i < m_lines.size(); ++i) {
    const char* colour = kColours[i % kColourCount];
    os << "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" << colour << "\" points=\"";
    for (const auto& [x, y] : m_lines[i].points) {
      os << x_of(x) << ',' << y_of(y) << ' ';
    }
    os << "\"/>\n<g fill=\"" << colour << "\">";
    WriteText(os, kWidth - kRight - 4, kTop + 14.0 * static_cast<double>(i + 1), "end", m_lines[i].label);
    os << "</g>\n";
  }
  os << "</svg>\n";
  os.close();
  if (!os) {
    throw Error(ErrorCode::kInternal, "cannot write " + path + "; check that the folder exists");
  }
}

}  // namespace quetzalridge
