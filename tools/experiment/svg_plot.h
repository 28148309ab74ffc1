#pragma once

#include <string>
#include <utility>
#include <vector>

namespace quetzalridge {

// Draws lines over two axes as an SVG picture.
class SvgPlot {
 public:
  SvgPlot(std::string title, std::string x_label, std::string y_label);

  void AddLine(const std::string& label, std::vector<std::pair<double, double>> points);
  // Throws Error(kInternal) when the file cannot be written.
  void Write(const std::string& path) const;

 private:
  struct Line {
    std::string label;
    std::vector<std::pair<double, double>> points;
  };

  std::string m_title;
  std::string m_x_label;
  std::string m_y_label;
  std::vector<Line> m_lines;
};

}  // namespace quetzalridge
