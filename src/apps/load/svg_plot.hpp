// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_LOAD_SVG_PLOT_HPP_INCLUDED
#define FORDWOOD_APPS_LOAD_SVG_PLOT_HPP_INCLUDED

#include <optional>
#include <string>
#include <vector>

namespace fordwood::apps {

// One line of a plot: a value for each round, or none where the round has none.
struct PlotSeries
{
    std::string name;
    std::vector<std::optional<double>> values;
};

struct Plot
{
    std::string title;
    std::string unit; // of the values
    std::vector<PlotSeries> series;
};

// The text with what HTML gives a meaning written out.
std::string escapeHtml(const std::string &text);

// Draws the plot as an SVG element with axes and a legend; rounds stand side by side. Without any
// value it says so.
std::string drawSvg(const Plot &plot);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_LOAD_SVG_PLOT_HPP_INCLUDED
