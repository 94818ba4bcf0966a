// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_LOAD_SVG_PLOT_HPP_INCLUDED
#define FORDWOOD_APPS_LOAD_SVG_PLOT_HPP_INCLUDED

#include <optional>
#include <string>
#include <vector>

namespace fordwood::apps {

// One line of a plot: an optional value for each round.
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

// Escapes the characters that are special in HTML.
std::string escapeHtml(const std::string &text);

// Draws the plot as an SVG element with axes and a legend; the x axis shows the rounds. If the plot
// has no values, returns a paragraph that says so.
std::string drawSvg(const Plot &plot);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_LOAD_SVG_PLOT_HPP_INCLUDED
