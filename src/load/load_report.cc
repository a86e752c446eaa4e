#include "load/load_report.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"

namespace oleander::load {
namespace {

constexpr double kChartWidthPx = 760;
constexpr double kChartHeightPx = 220;
constexpr double kLeftMarginPx = 60;  // space for the labels of the y axis
constexpr double kBottomMarginPx = 30;
constexpr double kTopMarginPx = 10;
constexpr const char* kColors[] = {"#2f6f4f", "#b5651d", "#3b5b92", "#8c3b5a", "#6b6b6b", "#a08a1f"};

using Points = std::vector<std::pair<double, double>>;

std::string Escape(const std::string& text) {
  return absl::StrReplaceAll(text, {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}, {"\"", "&quot;"}});
}

std::string Color(std::size_t index) { return kColors[index % std::size(kColors)]; }

struct Scale {
  double max_x = 1;
  double max_y = 1;
};

double ToX(const Scale& scale, double x) {
  return kLeftMarginPx + x / scale.max_x * (kChartWidthPx - kLeftMarginPx - 10);
}
double ToY(const Scale& scale, double y) {
  return kChartHeightPx - kBottomMarginPx -
         y / scale.max_y * (kChartHeightPx - kBottomMarginPx - kTopMarginPx);
}

std::string RenderAxes(const Scale& scale, const std::string& x_name, const std::string& y_name) {
  std::string out = absl::StrFormat(
      "<line x1='%g' y1='%g' x2='%g' y2='%g' stroke='#999'/><line x1='%g' y1='%g' x2='%g' y2='%g' "
      "stroke='#999'/>",
      kLeftMarginPx, kTopMarginPx, kLeftMarginPx, kChartHeightPx - kBottomMarginPx, kLeftMarginPx,
      kChartHeightPx - kBottomMarginPx, kChartWidthPx - 10, kChartHeightPx - kBottomMarginPx);
  for (const double fraction : {0.0, 0.5, 1.0}) {
    absl::StrAppendFormat(&out, "<text x='%g' y='%g' text-anchor='end'>%.3g</text>", kLeftMarginPx - 6,
                          ToY(scale, fraction * scale.max_y) + 4, fraction * scale.max_y);
    absl::StrAppendFormat(&out, "<text x='%g' y='%g' text-anchor='middle'>%.3g</text>",
                          ToX(scale, fraction * scale.max_x), kChartHeightPx - kBottomMarginPx + 16,
                          fraction * scale.max_x);
  }
  absl::StrAppendFormat(&out, "<text x='%g' y='%g' text-anchor='end'>%s</text>", kChartWidthPx - 10,
                        kChartHeightPx - 2, Escape(x_name));
  absl::StrAppendFormat(&out, "<text x='%g' y='%g'>%s</text>", kLeftMarginPx + 6, kTopMarginPx + 8,
                        Escape(y_name));
  return out;
}

std::string WrapSvg(const std::string& inner) {
  return absl::StrFormat("<svg viewBox='0 0 %g %g' role='img'>%s</svg>\n", kChartWidthPx, kChartHeightPx,
                         inner);
}

std::string Legend(const std::vector<std::string>& names) {
  std::string out = "<p>";
  for (std::size_t it = 0; it < names.size(); ++it) {
    absl::StrAppend(&out, "<span style='color:", Color(it), "'>&#9632; ", Escape(names[it]), "</span> ");
  }
  return out + "</p>\n";
}

std::string LineChart(const std::map<std::string, Points>& lines, const std::string& x_name,
                      const std::string& y_name) {
  Scale scale;
  std::vector<std::string> names;
  for (const auto& it : lines) {
    names.push_back(it.first);
    for (const auto& [x, y] : it.second) {
      scale.max_x = std::max(scale.max_x, x);
      scale.max_y = std::max(scale.max_y, y);
    }
  }
  std::string inner = RenderAxes(scale, x_name, y_name);
  std::size_t index = 0;
  for (const auto& it : lines) {
    std::string points;
    for (const auto& [x, y] : it.second)
      absl::StrAppendFormat(&points, "%.1f,%.1f ", ToX(scale, x), ToY(scale, y));
    absl::StrAppend(&inner, "<polyline fill='none' stroke='", Color(index++), "' points='", points, "'/>");
  }
  return Legend(names) + WrapSvg(inner);
}

std::string BarChart(const std::vector<std::pair<std::string, double>>& bars, const std::string& y_name) {
  Scale scale;
  scale.max_x = std::max<double>(1, static_cast<double>(bars.size()));
  for (const auto& it : bars) scale.max_y = std::max(scale.max_y, it.second);
  std::string inner =
      absl::StrFormat("<text x='%g' y='%g'>%s</text>", kLeftMarginPx + 6, kTopMarginPx + 8, Escape(y_name));
  for (std::size_t it = 0; it < bars.size(); ++it) {
    const double left = ToX(scale, static_cast<double>(it) + 0.1);
    const double right = ToX(scale, static_cast<double>(it) + 0.9);
    const double top = ToY(scale, bars[it].second);
    absl::StrAppendFormat(&inner, "<rect x='%.1f' y='%.1f' width='%.1f' height='%.1f' fill='%s'/>", left, top,
                          right - left, kChartHeightPx - kBottomMarginPx - top, Color(0));
    absl::StrAppendFormat(&inner, "<text x='%.1f' y='%.1f' text-anchor='middle'>%.4g</text>",
                          (left + right) / 2, std::max(top - 3, kTopMarginPx + 8), bars[it].second);
    absl::StrAppendFormat(&inner, "<text x='%.1f' y='%g' text-anchor='middle'>%s</text>", (left + right) / 2,
                          kChartHeightPx - kBottomMarginPx + 14, Escape(bars[it].first));
  }
  return WrapSvg(inner);
}

Json SeriesOf(const Json& summary, const char* name, const Json& default_value) {
  return summary.value("series", Json::object()).value(name, default_value);
}

std::string LatencyChart(const Json& summary, const char* field) {
  std::map<std::string, Points> lines;
  const Json latency = SeriesOf(summary, "latency", Json::object());
  for (const auto& it : latency.items()) {
    for (const Json& point : it.value()) {
      lines[it.key()].emplace_back(point.at("s").get<double>(), point.at(field).get<double>());
    }
  }
  return LineChart(lines, "s since the start of the run", "ms");
}

std::string IdleChart(const Json& summary) {
  std::vector<std::pair<std::string, double>> bars;
  for (const Json& it : summary.value("step_list", Json::array())) {
    const double wait = it.at("wait_s").get<double>();
    const double train = it.at("train_s").get<double>();
    bars.emplace_back(
        absl::StrCat(it.at("job").get<std::string>().substr(0, 5), " ", it.at("step").get<int>()),
        std::round(1000 * wait / std::max(wait + train, 1e-9)) / 10);
  }
  return BarChart(bars, "trainer idle time, % of the step");
}

std::string CountChart(const Json& summary, const char* name, const std::string& y_name) {
  std::vector<std::pair<std::string, double>> bars;
  const Json counts = summary.value(name, Json::object());
  for (const auto& it : counts.items()) {
    bars.emplace_back(it.key(), it.value().get<double>());
  }
  return bars.empty() ? "<p>none</p>\n" : BarChart(bars, y_name);
}

std::string RefusalsOverTime(const Json& summary) {
  std::map<std::string, Points> lines;
  const Json refusals = SeriesOf(summary, "refusals", Json::array());
  for (const Json& it : refusals) {
    for (const auto& reason : it.at("reasons").items()) {
      lines[reason.key()].emplace_back(it.at("s").get<double>(), reason.value().get<double>());
    }
  }
  return lines.empty() ? "" : LineChart(lines, "s since the start of the run", "refusals per second");
}

std::string NumberTable(const Json& summary) {
  std::string out = "<table>";
  for (const auto& it : summary.items()) {
    if (!it.value().is_number()) continue;
    absl::StrAppend(&out, "<tr><td>", Escape(it.key()), "</td><td>", it.value().dump(), "</td></tr>");
  }
  return out + "</table>\n";
}

}  // namespace

std::string RenderReport(const Json& summary) {
  const Json broken = summary.value("broken_promises", Json::array());
  return absl::StrCat(
      "<!doctype html><html lang='en'><meta charset='utf-8'><title>oleanderrun load run</title>\n<style>",
      "body{font:15px sans-serif;max-width:820px;margin:2em auto}svg{width:100%}text{font-size:11px}",
      "td{padding:1px 12px 1px 0}</style>\n<h1>Load run, seed ", summary.value("seed", Json()).dump(),
      "</h1>\n<p>Broken promises: ", broken.empty() ? "none" : Escape(broken.dump()), "</p>\n",
      "<h2>Latency over time, median of each second</h2>\n", LatencyChart(summary, "p50"),
      "<h2>Latency over time, slowest call of each second</h2>\n", LatencyChart(summary, "max"),
      "<h2>Trainer idle time by step</h2>\n", IdleChart(summary), "<h2>Staleness</h2>\n",
      CountChart(summary, "staleness", "samples by number of versions behind the trainer"),
      "<h2>Refusals by reason</h2>\n", CountChart(summary, "refusals", "refused attempts"),
      RefusalsOverTime(summary), "<h2>Retries by reason</h2>\n",
      CountChart(summary, "retries", "retries made by the hosts"), "<h2>Numbers</h2>\n", NumberTable(summary),
      "</html>\n");
}

}  // namespace oleander::load
