#include "report/internal/plots.h"

#include <algorithm>

#include "report/internal/text.h"

namespace savoryrill::report {

namespace {

// Sizes in CSS pixels.
constexpr double kBarLeft = 260;
constexpr double kBarRoom = 400;
constexpr double kLabelRoom = 100;
constexpr double kBarStep = 20;
constexpr double kBarHeight = 14;
constexpr double kTextDrop = 12;
constexpr double kTextGap = 6;
constexpr std::size_t kMaxNameBytes = 38;
constexpr double kPlotWidth = 220;
constexpr double kPlotHeight = 48;
constexpr double kPlotScaleRoom = 48;

std::string
pixels(double aValue)
{
  return fixed(aValue, 1);
}

std::string
svgStart(double aWidth, double aHeight, const std::string& aTitle)
{
  return "<svg role=\"img\" width=\"" + pixels(aWidth) + "\" height=\"" +
         pixels(aHeight) + "\"><title>" + escaped(aTitle) + "</title>\n";
}

/// `aName` cut to the room beside the bars, at a whole UTF-8 character.
std::string
shortName(const std::string& aName)
{
  if (aName.size() <= kMaxNameBytes) {
    return aName;
  }
  std::size_t size = kMaxNameBytes - 3;
  while (size > 0 && (static_cast<unsigned char>(aName[size]) & 0xC0U) == 0x80U) {
    --size;
  }
  return aName.substr(0, size) + "...";
}

std::string
timeOf(const BurnPoint& aPoint)
{
  constexpr std::int64_t kMillisecondsPerMinute = 60'000;
  return timeText(aPoint.endMinute * kMillisecondsPerMinute);
}

} // namespace

std::string
barPlot(const std::vector<Bar>& aBars, const std::string& aTitle)
{
  if (aBars.empty()) {
    return "<p class=\"muted\">none recorded</p>\n";
  }
  double most = 0;
  for (const auto& bar : aBars) {
    most = std::max(most, bar.value);
  }
  const double height = kBarStep * static_cast<double>(aBars.size());
  std::string result = svgStart(kBarLeft + kBarRoom + kLabelRoom, height, aTitle);
  double top = 0;
  for (const auto& bar : aBars) {
    const double width = most > 0 ? bar.value / most * kBarRoom : 0;
    const std::string baseline = pixels(top + kTextDrop);
    result += "<text text-anchor=\"end\" x=\"" + pixels(kBarLeft - kTextGap) + "\" y=\"" +
              baseline + "\">" + escaped(shortName(bar.name)) +
              "</text><rect class=\"bar\" x=\"" + pixels(kBarLeft) + "\" y=\"" +
              pixels(top) + "\" width=\"" + pixels(width) + "\" height=\"" +
              pixels(kBarHeight) + "\"/><text x=\"" +
              pixels(kBarLeft + width + kTextGap) + "\" y=\"" + baseline + "\">" +
              escaped(bar.label) + "</text>\n";
    top += kBarStep;
  }
  return result + "</svg>\n";
}

std::string
burnPlot(const ObjectiveReport& aObjective)
{
  if (aObjective.series.empty()) {
    return "<span class=\"muted\">no records</span>";
  }
  double most = 1;
  for (const auto& point : aObjective.series) {
    most = std::max(most, point.burn);
  }
  // A margin keeps lines at the top and bottom inside the picture.
  const auto level = [&](double aBurn) {
    return pixels(kPlotHeight - 2 - aBurn / most * (kPlotHeight - 4));
  };
  const double step = kPlotWidth / static_cast<double>(aObjective.series.size());
  std::string points;
  double left = 0;
  for (const auto& point : aObjective.series) {
    points += pixels(left) + "," + level(point.burn) + " " + pixels(left + step) + "," +
              level(point.burn) + " ";
    left += step;
  }
  points.pop_back();
  const std::string right = pixels(kPlotWidth);
  return svgStart(kPlotWidth + kPlotScaleRoom,
                  kPlotHeight,
                  "Burn rate of " + nameOf(aObjective.kind) + " of " +
                    aObjective.deployment + ", " + timeOf(aObjective.series.front()) +
                    " to " + timeOf(aObjective.series.back()) + " UTC") +
         "<line class=\"axis\" x1=\"0\" x2=\"" + right + "\" y1=\"" + level(0) +
         "\" y2=\"" + level(0) + "\"/><line class=\"limit\" x1=\"0\" x2=\"" + right +
         "\" y1=\"" + level(1) + "\" y2=\"" + level(1) +
         "\"/><polyline class=\"burn\" points=\"" + points + "\"/><text x=\"" +
         pixels(kPlotWidth + kTextGap) + "\" y=\"" + pixels(kTextDrop) + "\">" +
         fixed(most, 1) + "</text></svg>";
}

} // namespace savoryrill::report
