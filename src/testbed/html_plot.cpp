#include "testbed/html_plot.hpp"

#include <algorithm>

#include "testbed/text_format.hpp"

namespace meadowgauge::testbed {

namespace {

// The plot's size and margins, in SVG units.
constexpr double width_px = 860;
constexpr double height_px = 190;
constexpr double left_margin_px = 60;
constexpr double bottom_margin_px = 30;
constexpr double top_margin_px = 36;
constexpr double right_margin_px = 26;
// The number of intervals between the labels of an axis.
constexpr int value_steps = 4;
constexpr int time_steps = 5;

// Draws one plot; the arguments of the constructor outlive it.
class Plot {
 public:
  Plot(const Experiment& experiment, const RunMetrics& metrics, const std::vector<Series>& series)
      : experiment_(experiment), metrics_(metrics), series_(series) {
    for (const auto& each : series)
      for (const auto& slice : metrics.slices) max_value_ = std::max(max_value_, each.value(slice));
    if (max_value_ <= 0) max_value_ = 1;
  }

  [[nodiscard]] std::string svg(const std::string& title, const std::string& unit) const {
    return formatted(R"(<svg viewBox="0 0 %.0f %.0f" role="img"><text x="%.0f" y="14" class="t">)", width_px,
                     height_px, left_margin_px) +
           html_escaped(title) + "</text>\n" + faults() + axes() + lines() +
           R"(<text x="4" y="14" class="a">)" + html_escaped(unit) + "</text></svg>\n";
  }

 private:
  [[nodiscard]] double x(double ms) const {
    return left_margin_px + ms / experiment_.ms() * (width_px - left_margin_px - right_margin_px);
  }
  [[nodiscard]] double y(double value) const {
    return height_px - bottom_margin_px - value / max_value_ * (height_px - bottom_margin_px - top_margin_px);
  }

  [[nodiscard]] std::string faults() const {
    std::string svg;
    for (const auto& fault : experiment_.faults) {
      double end_ms = std::min(fault.at_ms + fault.for_ms, experiment_.ms());
      svg += formatted(
          "<rect x=\"%.1f\" y=\"%.0f\" width=\"%.1f\" height=\"%.0f\" class=\"f\"><title>%s</title></rect>\n",
          x(fault.at_ms), top_margin_px, std::max(1.5, x(end_ms) - x(fault.at_ms)),
          height_px - bottom_margin_px - top_margin_px, html_escaped(fault.text()).c_str());
    }
    return svg;
  }

  [[nodiscard]] std::string axes() const {
    std::string svg;
    for (int i = 0; i <= value_steps; ++i) {
      double value = max_value_ * i / value_steps;
      svg += formatted(
          "<line x1=\"%.0f\" y1=\"%.1f\" x2=\"%.0f\" y2=\"%.1f\" class=\"g\"/><text x=\"%.0f\" y=\"%.1f\" "
          "class=\"a\" text-anchor=\"end\">%.4g</text>\n",
          left_margin_px, y(value), width_px - right_margin_px, y(value), left_margin_px - 5, y(value) + 4,
          value);
    }
    for (int i = 0; i <= time_steps; ++i)
      svg += formatted("<text x=\"%.1f\" y=\"%.0f\" class=\"a\" text-anchor=\"middle\">%.4g s</text>\n",
                       x(experiment_.ms() * i / time_steps), height_px - bottom_margin_px + 16,
                       experiment_.seconds * i / time_steps);
    return svg;
  }

  [[nodiscard]] std::string lines() const {
    std::string svg;
    double legend_x = left_margin_px;
    for (const auto& each : series_) {
      svg += R"(<polyline fill="none" stroke=")" + each.colour + R"(" stroke-width="1.6" points=")";
      for (const auto& slice : metrics_.slices)
        svg += formatted("%.1f,%.1f ", x(slice.at_ms + metrics_.slice_ms / 2), y(each.value(slice)));
      svg += "\"/>\n";
      svg += formatted("<text x=\"%.0f\" y=\"29\" class=\"a\" fill=\"%s\">%s</text>\n", legend_x,
                       each.colour.c_str(), html_escaped(each.name).c_str());
      legend_x += 14 + 7.0 * static_cast<double>(each.name.size());
    }
    return svg;
  }

  const Experiment& experiment_;
  const RunMetrics& metrics_;
  const std::vector<Series>& series_;
  double max_value_ = 0;
};

}  // namespace

std::string html_escaped(std::string_view text) {
  std::string escaped;
  for (char c : text) {
    if (c == '<')
      escaped += "&lt;";
    else if (c == '&')
      escaped += "&amp;";
    else if (c == '"')
      escaped += "&quot;";
    else
      escaped += c;
  }
  return escaped;
}

std::string svg_plot(const Experiment& experiment, const RunMetrics& metrics, const std::string& title,
                     const std::string& unit, const std::vector<Series>& series) {
  return Plot(experiment, metrics, series).svg(title, unit);
}

}  // namespace meadowgauge::testbed
