/// @file
/// Renders the results of experiments as one self-contained HTML page: tables, and plots as inline SVG. Two
/// builds, A and B, are shown side by side.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace cottonwing::loadtest {

/// @param results contents of results.json: the runs of one build or of two, in the order in which they ran
///     ("side" is "A" or "B").
/// @throws std::exception if there is no run or a value is missing.
std::string renderReport(const nlohmann::json& results);

/// One line of a plot.
struct Curve {
    std::string name, cssClass;  // cssClass: a class of the page's style sheet
    std::vector<std::pair<double, double>> points;
};
/// A shaded range of the x axis, such as the duration of a fault.
struct Band {
    double from, to;
    std::string text;
};
/// A line plot with linear axes unless set otherwise.
struct Plot {
    std::string title, unit;
    std::vector<Curve> curves;
    std::vector<Band> bands;
    bool logarithmicY = false;
    // The x axis shows the fraction of requests that took longer: logarithmic and falling, labelled as
    // percentiles.
    bool tailFractionX = false;
};
/// Renders a plot as an `svg` element.
std::string renderSvg(const Plot& plot);

}  // namespace cottonwing::loadtest
