// One self-contained page of what an experiment showed: tables, and plots as
// inline SVG; A beside B where two builds were played.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace cottonwing::loadtest {

// runs: the figures of experiments as they were written, in the order they were
// played, of one build or of two
// ("side" is "A" or "B"). Throws std::runtime_error where a figure is missing.
std::string renderReport(const nlohmann::json& results);

// One plot, for itself.
struct Curve {
    std::string name, cssClass;  // kind: a class of the style sheet
    std::vector<std::pair<double, double>> points;
};
struct Band {
    double from, to;
    std::string text;
};
struct Plot {
    std::string title, unit;
    std::vector<Curve> curves;
    std::vector<Band> bands;
    bool logarithmicY = false;   // the axis upwards
    bool tailFractionX = false;  // the axis to the right is a part that took longer,
                                 // logarithmic, falling
};
std::string renderSvg(const Plot& plot);

}  // namespace cottonwing::loadtest
