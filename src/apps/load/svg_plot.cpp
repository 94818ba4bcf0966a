// SPDX-License-Identifier: MIT
#include "apps/load/svg_plot.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>
#include <string_view>

namespace fordwood::apps {

namespace {

// Sizes in CSS pixels.
constexpr double kWidth = 760;
constexpr double kHeight = 300;
constexpr double kLeft = 60;
constexpr double kRight = 190; // for the legend
constexpr double kTop = 30;
constexpr double kBottom = 30;
constexpr double kLegendLineHeight = 16;
constexpr int kTicks = 4;

constexpr std::array<std::string_view, 8> kColours
    = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#34495e", "#16a085", "#7f8c8d"};

// Maps rounds and values to coordinates.
struct Scale
{
    std::size_t rounds = 0;
    double minValue = 0.0;
    double maxValue = 1.0;

    double x(std::size_t round) const
    {
        const double span = kWidth - kLeft - kRight;
        return kLeft
               + (rounds > 1 ? span * static_cast<double>(round) / static_cast<double>(rounds - 1)
                             : span / 2);
    }
    double y(double value) const
    {
        return kTop + (kHeight - kTop - kBottom) * (maxValue - value) / (maxValue - minValue);
    }
};

std::optional<Scale> computeScale(const Plot &plot)
{
    Scale scale;
    std::vector<double> values;
    for (const PlotSeries &series : plot.series) {
        scale.rounds = std::max(scale.rounds, series.values.size());
        for (const auto &it : series.values) {
            if (it)
                values.push_back(*it);
        }
    }
    if (values.empty())
        return std::nullopt;
    const auto [minValue, maxValue] = std::minmax_element(values.begin(), values.end());
    scale.minValue = std::min(0.0, *minValue);
    scale.maxValue = std::max(*maxValue, scale.minValue + 1e-6);
    return scale;
}

void drawAxes(std::ostream &out, const Plot &plot, const Scale &scale)
{
    out << "<text x=\"" << kLeft << "\" y=\"16\" font-weight=\"bold\">" << escapeHtml(plot.title)
        << " (" << escapeHtml(plot.unit) << ")</text>\n";
    for (int it = 0; it <= kTicks; ++it) {
        const double value = scale.minValue + (scale.maxValue - scale.minValue) * it / kTicks;
        const double y = scale.y(value);
        out << "<line x1=\"" << kLeft << "\" x2=\"" << kWidth - kRight << "\" y1=\"" << y
            << "\" y2=\"" << y << "\" stroke=\"#ddd\"/>\n"
            << "<text x=\"" << kLeft - 6 << "\" y=\"" << y + 4 << "\" text-anchor=\"end\">" << value
            << "</text>\n";
    }
}

void drawSeries(std::ostream &out, const PlotSeries &series, std::size_t index, const Scale &scale)
{
    const std::string_view colour = kColours[index % kColours.size()];
    std::ostringstream points;
    points << std::fixed << std::setprecision(1);
    for (std::size_t it = 0; it < series.values.size(); ++it) {
        if (!series.values[it])
            continue;
        const double x = scale.x(it);
        const double y = scale.y(*series.values[it]);
        points << x << "," << y << " ";
        out << "<circle cx=\"" << x << "\" cy=\"" << y << "\" r=\"2.5\" fill=\"" << colour
            << "\"><title>" << escapeHtml(series.name) << ": " << *series.values[it]
            << "</title></circle>\n";
    }
    const double y = kTop + kLegendLineHeight * static_cast<double>(index + 1);
    out << "<polyline points=\"" << points.str() << "\" fill=\"none\" stroke=\"" << colour
        << "\" stroke-width=\"1.5\"/>\n"
        << "<text x=\"" << kWidth - kRight + 12 << "\" y=\"" << y << "\" fill=\"" << colour << "\">"
        << escapeHtml(series.name) << "</text>\n";
}

} // namespace

std::string escapeHtml(const std::string &text)
{
    std::string out;
    for (const char it : text) {
        switch (it) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += it;
        }
    }
    return out;
}

std::string drawSvg(const Plot &plot)
{
    const auto scale = computeScale(plot);
    if (!scale)
        return "<p>" + escapeHtml(plot.title) + ": no values.</p>\n";
    std::ostringstream out;
    out << std::setprecision(4) << "<svg width=\"" << kWidth << "\" height=\"" << kHeight
        << "\" font-size=\"12\" font-family=\"sans-serif\" role=\"img\">\n";
    drawAxes(out, plot, *scale);
    for (std::size_t index = 0; index < plot.series.size(); ++index)
        drawSeries(out, plot.series[index], index, *scale);
    out << "</svg>\n";
    return out.str();
}

} // namespace fordwood::apps
