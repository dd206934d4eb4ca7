#include "loadtest/report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <mstch/mstch.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "loadtest/report_template.h"

namespace cottonwing::loadtest {

using Json = nlohmann::json;

namespace {

constexpr double kWidth = 560, kHeight = 250, kLeft = 52, kRight = 12, kTop = 10, kBottom = 28;

std::string formatNumber(double value, int digits = 1) {
    char text[40];
    std::snprintf(text, sizeof text, "%.*f", digits, value);
    return text;
}

// Short enough for an axis label: 12.5k, 3M.
std::string axisLabel(double value) {
    const double size = std::abs(value);
    char text[40];
    if (size >= 1e6)
        std::snprintf(text, sizeof text, "%.3gM", value / 1e6);
    else if (size >= 1e4)
        std::snprintf(text, sizeof text, "%.4gk", value / 1e3);
    else
        std::snprintf(text, sizeof text, "%.4g", value);
    return text;
}

std::string escapeHtml(const std::string& text) {
    std::string result;
    for (const char byte : text) switch (byte) {
            case '&':
                result += "&amp;";
                break;
            case '<':
                result += "&lt;";
                break;
            case '>':
                result += "&gt;";
                break;
            case '"':
                result += "&quot;";
                break;
            default:
                result += byte;
        }
    return result;
}

// A step of 1, 2 or 5 times a power of ten that divides the span into at most `wanted` parts.
double tickStep(double span, int wanted) {
    const double raw = std::max(span, 1e-12) / wanted, power = std::pow(10, std::floor(std::log10(raw)));
    for (const double step : {1.0, 2.0, 5.0, 10.0})
        if (raw <= step * power) return step * power;
    return 10 * power;
}

struct Scale {
    double from, to, origin, length;
    bool log;
    double operator()(double value) const {
        const double fraction = log ? (std::log10(std::max(value, 1e-12)) - std::log10(from)) /
                                          (std::log10(to) - std::log10(from))
                                    : (value - from) / (to - from);
        return origin + std::clamp(fraction, 0.0, 1.0) * length;
    }
};

mstch::map textNode(const std::string& text) { return mstch::map{{"text", text}}; }

}  // namespace

std::string renderSvg(const Plot& plot) {
    double minX = 1e300, maxX = -1e300, minY = plot.logarithmicY ? 1e300 : 0, maxY = -1e300;
    for (const Curve& curve : plot.curves)
        for (const auto& [x, y] : curve.points) {
            minX = std::min(minX, x), maxX = std::max(maxX, x);
            if (!plot.logarithmicY || y > 0) minY = std::min(minY, y), maxY = std::max(maxY, y);
        }
    if (maxX < minX) minX = 0, maxX = 1;
    if (maxY < minY) minY = plot.logarithmicY ? 0.1 : 0, maxY = 1;
    if (maxX - minX < 1e-12) maxX = minX + 1;
    if (plot.logarithmicY) {
        minY = std::pow(10, std::floor(std::log10(minY)));
        maxY = std::pow(10, std::ceil(std::log10(std::max(maxY, minY * 1.001))));
        if (maxY <= minY) maxY = minY * 10;
    } else if (maxY <= minY) {
        maxY = minY + 1;
    }
    // The tail runs from all requests on the left to the rarest on the right, with equal width for each
    // factor of ten.
    const Scale xScale = plot.tailFractionX ? Scale{maxX, minX, kLeft, kWidth - kLeft - kRight, true}
                                            : Scale{minX, maxX, kLeft, kWidth - kLeft - kRight, false};
    const Scale yScale{minY, maxY * (plot.logarithmicY ? 1 : 1.05), kHeight - kBottom,
                       -(kHeight - kTop - kBottom), plot.logarithmicY};
    std::string svg =
        "<svg viewBox=\"0 0 560 250\" role=\"img\" aria-label=\"" + escapeHtml(plot.title) + "\">";
    const auto addLine = [&](double x1, double y1, double x2, double y2) {
        svg += "<line class=\"grid\" x1=\"" + formatNumber(x1) + "\" y1=\"" + formatNumber(y1) + "\" x2=\"" +
               formatNumber(x2) + "\" y2=\"" + formatNumber(y2) + "\"/>";
    };
    const auto addText = [&](double x, double y, const char* anchor, const std::string& label) {
        svg += "<text x=\"" + formatNumber(x) + "\" y=\"" + formatNumber(y) + "\" text-anchor=\"" + anchor +
               "\">" + escapeHtml(label) + "</text>";
    };
    for (const Band& band : plot.bands) {
        const double from = xScale(band.from), to = std::max(xScale(band.to), from + 2);
        svg += "<rect class=\"band\" x=\"" + formatNumber(from) + "\" y=\"" + formatNumber(kTop) +
               "\" width=\"" + formatNumber(to - from) + "\" height=\"" +
               formatNumber(kHeight - kTop - kBottom) + "\"><title>" + escapeHtml(band.text) +
               "</title></rect>";
    }
    const auto addYTick = [&](double value) {
        const double y = yScale(value);
        addLine(kLeft, y, kWidth - kRight, y);
        addText(kLeft - 5, y + 4, "end", axisLabel(value));
    };
    if (plot.logarithmicY)
        for (double value = minY; value <= maxY * 1.0001; value *= 10) addYTick(value);
    else
        for (double value = minY, step = tickStep(maxY - minY, 5); value <= maxY * 1.05; value += step)
            addYTick(value);
    if (plot.tailFractionX) {
        for (double fraction = 1; fraction >= minX * 0.999; fraction /= 10) {
            const std::string label =
                fraction > 0.5    ? "p0"
                : fraction > 0.05 ? "p90"
                : fraction > 0.005
                    ? "p99"
                    : "p99." +
                          std::string(static_cast<std::size_t>(std::lround(-std::log10(fraction))) - 2, '9');
            addText(xScale(fraction), kHeight - 8, "middle", label);
        }
    } else {
        for (double step = tickStep(maxX - minX, 8), value = std::ceil(minX / step) * step; value <= maxX;
             value += step)
            addText(xScale(value), kHeight - 8, "middle",
                    axisLabel(value) + (value + step > maxX ? " s" : ""));
    }
    addText(4, kTop + 4, "start", plot.unit);
    for (const Curve& curve : plot.curves) {
        std::string points;
        for (const auto& [x, y] : curve.points)
            if (!plot.logarithmicY || y > 0)
                points += formatNumber(xScale(x)) + "," + formatNumber(yScale(y)) + " ";
        svg += "<polyline class=\"curve " + curve.cssClass + "\" points=\"" + points + "\"/>";
    }
    return svg + "</svg>";
}

namespace {

struct Side {
    std::string name, dashClass;
    const Json* firstRun;           // its curves are drawn
    std::vector<const Json*> runs;  // all runs of this build
};

mstch::map plotNode(const Plot& plot) {
    mstch::array legend;
    for (const Curve& curve : plot.curves)
        legend.push_back(mstch::map{{"kind", curve.cssClass}, {"name", curve.name}});
    return {{"title", plot.title}, {"svg", renderSvg(plot)}, {"legend", legend}};
}

// One point for each interval of a run, at the middle of the interval.
template <typename Metric>
std::vector<std::pair<double, double>> timeSeries(const Json& run, Metric&& metric) {
    std::vector<std::pair<double, double>> points;
    for (const Json& interval : run.at("load").at("seconds"))
        points.emplace_back(interval.at("at_s").get<double>() + interval.at("width_s").get<double>() / 2,
                            metric(interval));
    return points;
}

mstch::map tableNode(const std::string& title, const std::vector<std::string>& head,
                     const std::vector<std::vector<std::string>>& rows) {
    mstch::array headNodes, rowNodes;
    for (const std::string& text : head) headNodes.push_back(textNode(text));
    for (const auto& row : rows) {
        mstch::array cells;
        for (const std::string& text : row) cells.push_back(textNode(text));
        rowNodes.push_back(mstch::map{{"cells", cells}});
    }
    return {{"title", title}, {"head", headNodes}, {"rows", rowNodes}};
}

}  // namespace

std::string renderReport(const Json& results) {
    std::vector<Side> sides;
    for (const Json& run : results.at("plays")) {
        const std::string side = run.at("side");
        auto found =
            std::find_if(sides.begin(), sides.end(), [&](const Side& each) { return each.name == side; });
        if (found == sides.end())
            found = sides.insert(sides.end(), {side, sides.empty() ? "" : " dash", &run, {}});
        found->runs.push_back(&run);
    }
    if (sides.empty()) throw std::runtime_error("the results contain no run");
    const Json& firstRun = *sides[0].firstRun;
    const bool twoSides = sides.size() > 1;
    const auto withSide = [&](const Side& side, const std::string& what) {
        return twoSides ? side.name + " " + what : what;
    };

    mstch::array warnings, cards, plots, tables, lists;
    mstch::array violations, notes;
    for (const Side& side : sides)
        for (const Json* run : side.runs) {
            if (!run->at("load").at("valid").get<bool>())
                warnings.push_back(textNode(withSide(side, "run is INVALID: ") +
                                            run->at("load").at("why").get<std::string>()));
            if (run->at("broken").at("all").get<std::uint64_t>() > 0)
                warnings.push_back(textNode(withSide(side, "run violated invariants ") +
                                            run->at("broken").at("all").dump() + " times"));
            for (const Json& example : run->at("broken").at("examples"))
                violations.push_back(textNode(withSide(side, "") + example.get<std::string>()));
            for (const Json& note : run->at("notes"))
                notes.push_back(textNode(withSide(side, "") + note.get<std::string>()));
        }
    const auto addCard = [&](const std::string& label, const std::string& value, const std::string& note,
                             const std::string& kind = "") {
        cards.push_back(mstch::map{{"label", label}, {"value", value}, {"note", note}, {"kind", kind}});
    };
    for (const Side& side : sides) {
        double earnedFraction = 0, wastedFraction = 0;
        for (const Json* run : side.runs) {
            earnedFraction +=
                run->at("load").at("earned_share").get<double>() / static_cast<double>(side.runs.size());
            wastedFraction +=
                run->at("work").at("wasted_share").get<double>() / static_cast<double>(side.runs.size());
        }
        const Json& load = side.firstRun->at("load");
        addCard(withSide(side, "earned in time"), formatNumber(earnedFraction * 100) + "%",
                "of the value of all requests");
        addCard(withSide(side, "p99"), formatNumber(load.at("latency").at("p99_ms").get<double>(), 0) + " ms",
                "of handled requests, from the scheduled time");
        addCard(withSide(side, "work wasted"), formatNumber(wastedFraction * 100) + "%",
                "of core time, spent on requests that were not handled");
        const auto violationCount = side.firstRun->at("broken").at("all").get<std::uint64_t>();
        addCard(withSide(side, "violated invariants"), std::to_string(violationCount),
                violationCount == 0 ? "lost, twice, drain, fall-over, crashes" : "see below",
                violationCount == 0 ? "good" : "bad");
    }
    if (results.contains("ratio")) {
        const Json& ratio = results.at("ratio");
        const auto valueOf = [&](const char* key) {
            return ratio.at(key).is_number() ? formatNumber(ratio.at(key).get<double>(), 3)
                                             : std::string("?");
        };
        addCard("A over B", valueOf("mean"),
                "95% interval " + valueOf("low") + " to " + valueOf("high") + ", " +
                    ratio.at("pairs").dump() + " pairs" +
                    (ratio.at("told").get<bool>() ? "" : ": not significant"));
    }

    std::vector<Band> bands;
    for (const Json& fault : firstRun.at("troubles")) {
        const double at = fault.at("at_s");
        bands.push_back({at, at + std::max(0.2, fault.at("for_s").get<double>()), fault.at("text")});
    }
    static const std::vector<std::pair<std::string, std::string>> kOutcomes = {
        {"handled", "k4"},   {"handled late", "k5"},    {"bounced", "k1"},        {"scrapped", "k2"},
        {"no answer", "k3"}, {"connection lost", "k6"}, {"never sent", "k6 dash"}};
    for (const Side& side : sides) {
        Plot rates{withSide(side, "requests per second by outcome"), "/s", {}, bands};
        rates.curves.push_back({"due", "k0", timeSeries(*side.firstRun, [](const Json& s) {
                                    double sum = 0;
                                    for (const auto& [end, count] : s.at("ends").items())
                                        sum += count.get<double>();
                                    return sum / s.at("width_s").get<double>();
                                })});
        for (const auto& [end, cssClass] : kOutcomes) {
            auto points = timeSeries(*side.firstRun, [&](const Json& s) {
                return s.at("ends").at(end).get<double>() / s.at("width_s").get<double>();
            });
            const bool any =
                std::any_of(points.begin(), points.end(), [](const auto& point) { return point.second > 0; });
            if (any) rates.curves.push_back({end, cssClass, std::move(points)});
        }
        plots.push_back(plotNode(rates));
    }
    Plot latencyOverTime{"latency over time, from the scheduled time", "ms", {}, bands, true};
    Plot latencyTail{"tail of the latency", "ms", {}, {}, true, true};
    Plot earnedValue{"value earned in time, fraction of the value due", "%", {}, bands};
    Plot openRequests{"open requests at the clients", "", {}, bands};
    Plot backendMemory{"backend memory", "MB", {}, bands},
        backendCpu{"backend CPU, seconds per second", "s", {}, bands},
        runsOnCores{"runs on the cores of each worker pool", "", {}, bands};
    int colorIndex = 0;
    for (const Side& side : sides) {
        const Json& run = *side.firstRun;
        for (const auto& [key, name, cssClass] :
             {std::tuple{"p50_ms", "p50", "k0"}, std::tuple{"p99_ms", "p99", "k1"},
              std::tuple{"p999_ms", "p99.9", "k2"}})
            latencyOverTime.curves.push_back(
                {withSide(side, name), cssClass + side.dashClass,
                 timeSeries(run, [key = key](const Json& s) { return s.at(key).get<double>(); })});
        Curve curve{withSide(side, "all handled"), "k" + std::to_string(colorIndex++), {}};
        for (const Json& point : run.at("load").at("tail"))
            curve.points.emplace_back(point[0].get<double>(), point[1].get<double>());
        latencyTail.curves.push_back(std::move(curve));
        earnedValue.curves.push_back(
            {withSide(side, "earned"), "k4" + side.dashClass, timeSeries(run, [](const Json& s) {
                 const double value = s.at("worth");
                 return value > 0 ? 100 * s.at("earned").get<double>() / value : 100;
             })});
        openRequests.curves.push_back(
            {withSide(side, "open"), "k0" + side.dashClass,
             timeSeries(run, [](const Json& s) { return s.at("open").get<double>(); })});
        std::size_t backendIndex = 0;
        for (const Json& backend : run.at("backends")) {
            if (backendIndex >= 7) break;  // the style sheet has seven colors
            const std::string cssClass = "k" + std::to_string(backendIndex++) + side.dashClass;
            const auto curveOf = [&](const char* key) {
                Curve series{withSide(side, backend.at("name")), cssClass, {}};
                for (const Json& sample : backend.at("samples"))
                    series.points.emplace_back(sample.at("at_s").get<double>(), sample.at(key).get<double>());
                return series;
            };
            backendMemory.curves.push_back(curveOf("memory_mb"));
            backendCpu.curves.push_back(curveOf("cpu_s"));
            runsOnCores.curves.push_back(curveOf("on_cores"));
        }
    }
    for (const Plot* plot : {&latencyOverTime, &latencyTail, &earnedValue, &openRequests, &runsOnCores,
                             &backendMemory, &backendCpu})
        plots.push_back(plotNode(*plot));

    std::vector<std::vector<std::string>> rows;
    for (const Side& side : sides)
        for (const Json& requestClass : side.firstRun->at("load").at("profiles")) {
            std::vector<std::string> row = {withSide(side, requestClass.at("name")),
                                            requestClass.at("planned").dump()};
            for (const auto& [end, cssClass] : kOutcomes)
                row.push_back(requestClass.at("ends").at(end).dump());
            const double value = requestClass.at("worth");
            row.push_back(
                formatNumber(value > 0 ? 100 * requestClass.at("earned").get<double>() / value : 0) + "%");
            for (const char* key : {"p50_ms", "p99_ms", "p999_ms", "max_ms"})
                row.push_back(formatNumber(requestClass.at("latency").at(key).get<double>()));
            rows.push_back(row);
        }
    tables.push_back(tableNode("Profiles",
                               {"profile", "due", "handled", "late", "bounced", "scrapped", "no answer",
                                "conn. lost", "unsent", "earned", "p50 ms", "p99 ms", "p99.9 ms", "max ms"},
                               rows));
    rows.clear();
    for (const Side& side : sides)
        for (const Json* run : side.runs) {
            const Json& load = run->at("load");
            rows.push_back({side.name, load.at("seed").dump(),
                            formatNumber(load.at("earned_share").get<double>() * 100) + "%",
                            load.at("planned").dump(), load.at("tries").dump(),
                            run->at("broken").at("all").dump(),
                            formatNumber(run->at("work").at("wasted_share").get<double>() * 100) + "%",
                            run->at("records").at("calls").dump(),
                            formatNumber(run->at("records").at("most_mean_in_hands").get<double>(), 2) +
                                " of " + formatNumber(run->at("records").at("share").get<double>(), 1),
                            formatNumber(load.at("lag").at("p999_ms").get<double>(), 2)});
        }
    tables.push_back(tableNode("Plays",
                               {"build", "seed", "earned", "commands", "tries", "broken", "wasted", "calls",
                                "max mean dependency calls in flight", "send lag p99.9 ms"},
                               rows));
    rows.clear();
    for (const Json& fault : firstRun.at("troubles"))
        rows.push_back({fault.at("text"), formatNumber(fault.at("at_s").get<double>()) + " s",
                        formatNumber(fault.at("for_s").get<double>()) + " s"});
    if (!rows.empty()) tables.push_back(tableNode("Troubles", {"what", "at", "for"}, rows));
    if (!violations.empty())
        lists.push_back(mstch::map{{"title", std::string("Violated invariants")}, {"items", violations}});
    if (!notes.empty()) lists.push_back(mstch::map{{"title", std::string("Notes")}, {"items", notes}});

    std::string footer = "Generated by cottonwing_lab " COTTONWING_VERSION ".";
    for (const Side& side : sides)
        footer += " " + side.name + ": " + side.firstRun->at("build").get<std::string>() + ".";
    return mstch::render(kReportTemplate, mstch::map{{"name", firstRun.at("name").get<std::string>()},
                                                     {"about", firstRun.at("about").get<std::string>()},
                                                     {"warnings", warnings},
                                                     {"cards", cards},
                                                     {"plots", plots},
                                                     {"tables", tables},
                                                     {"listed", lists},
                                                     {"made", footer}});
}

}  // namespace cottonwing::loadtest
