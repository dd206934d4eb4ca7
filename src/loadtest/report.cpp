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

std::string number(double value, int digits = 1) {
    char text[40];
    std::snprintf(text, sizeof text, "%.*f", digits, value);
    return text;
}

// Short enough for an axis.
std::string shortly(double value) {
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

std::string escaped(const std::string& text) {
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

// A step of 1, 2 or 5 times a power of ten that gives about so many of them.
double stepOf(double span, int wanted) {
    const double raw = std::max(span, 1e-12) / wanted, power = std::pow(10, std::floor(std::log10(raw)));
    for (const double step : {1.0, 2.0, 5.0, 10.0})
        if (raw <= step * power) return step * power;
    return 10 * power;
}

struct Scale {
    double from, to, at, length;
    bool log;
    double operator()(double value) const {
        const double part = log ? (std::log10(std::max(value, 1e-12)) - std::log10(from)) /
                                      (std::log10(to) - std::log10(from))
                                : (value - from) / (to - from);
        return at + std::clamp(part, 0.0, 1.0) * length;
    }
};

mstch::map textNode(const std::string& text) { return mstch::map{{"text", text}}; }

}  // namespace

std::string svgOf(const Plot& plot) {
    double left = 1e300, right = -1e300, low = plot.logarithmic ? 1e300 : 0, high = -1e300;
    for (const Curve& curve : plot.curves)
        for (const auto& [x, y] : curve.points) {
            left = std::min(left, x), right = std::max(right, x);
            if (!plot.logarithmic || y > 0) low = std::min(low, y), high = std::max(high, y);
        }
    if (right < left) left = 0, right = 1;
    if (high < low) low = plot.logarithmic ? 0.1 : 0, high = 1;
    if (right - left < 1e-12) right = left + 1;
    if (plot.logarithmic) {
        low = std::pow(10, std::floor(std::log10(low)));
        high = std::pow(10, std::ceil(std::log10(std::max(high, low * 1.001))));
        if (high <= low) high = low * 10;
    } else if (high <= low) {
        high = low + 1;
    }
    // To the right the tail falls from all to one in many: at equal widths for
    // each factor of ten.
    const Scale across = plot.tail ? Scale{right, left, kLeft, kWidth - kLeft - kRight, true}
                                   : Scale{left, right, kLeft, kWidth - kLeft - kRight, false};
    const Scale up{low, high * (plot.logarithmic ? 1 : 1.05), kHeight - kBottom, -(kHeight - kTop - kBottom),
                   plot.logarithmic};
    std::string svg = "<svg viewBox=\"0 0 560 250\" role=\"img\" aria-label=\"" + escaped(plot.title) + "\">";
    const auto line = [&](double x1, double y1, double x2, double y2) {
        svg += "<line class=\"grid\" x1=\"" + number(x1) + "\" y1=\"" + number(y1) + "\" x2=\"" + number(x2) +
               "\" y2=\"" + number(y2) + "\"/>";
    };
    const auto text = [&](double x, double y, const char* anchor, const std::string& words) {
        svg += "<text x=\"" + number(x) + "\" y=\"" + number(y) + "\" text-anchor=\"" + anchor + "\">" +
               escaped(words) + "</text>";
    };
    for (const Band& band : plot.bands) {
        const double from = across(band.from), to = std::max(across(band.to), from + 2);
        svg += "<rect class=\"band\" x=\"" + number(from) + "\" y=\"" + number(kTop) + "\" width=\"" +
               number(to - from) + "\" height=\"" + number(kHeight - kTop - kBottom) + "\"><title>" +
               escaped(band.text) + "</title></rect>";
    }
    const auto tickUp = [&](double value) {
        const double y = up(value);
        line(kLeft, y, kWidth - kRight, y);
        text(kLeft - 5, y + 4, "end", shortly(value));
    };
    if (plot.logarithmic)
        for (double value = low; value <= high * 1.0001; value *= 10) tickUp(value);
    else
        for (double value = low, step = stepOf(high - low, 5); value <= high * 1.05; value += step)
            tickUp(value);
    if (plot.tail) {
        for (double part = 1; part >= left * 0.999; part /= 10) {
            const std::string words =
                part > 0.5    ? "p0"
                : part > 0.05 ? "p90"
                : part > 0.005
                    ? "p99"
                    : "p99." + std::string(static_cast<std::size_t>(std::lround(-std::log10(part))) - 2, '9');
            text(across(part), kHeight - 8, "middle", words);
        }
    } else {
        for (double step = stepOf(right - left, 8), value = std::ceil(left / step) * step; value <= right;
             value += step)
            text(across(value), kHeight - 8, "middle", shortly(value) + (value + step > right ? " s" : ""));
    }
    text(4, kTop + 4, "start", plot.unit);
    for (const Curve& curve : plot.curves) {
        std::string points;
        for (const auto& [x, y] : curve.points)
            if (!plot.logarithmic || y > 0) points += number(across(x)) + "," + number(up(y)) + " ";
        svg += "<polyline class=\"curve " + curve.kind + "\" points=\"" + points + "\"/>";
    }
    return svg + "</svg>";
}

namespace {

struct Side {
    std::string name, dash;
    const Json* first;               // whose curves are drawn
    std::vector<const Json*> plays;  // all of it
};

mstch::map plotNode(const Plot& plot) {
    mstch::array legend;
    for (const Curve& curve : plot.curves)
        legend.push_back(mstch::map{{"kind", curve.kind}, {"name", curve.name}});
    return {{"title", plot.title}, {"svg", svgOf(plot)}, {"legend", legend}};
}

// Of each stretch of a play one figure, a second.
template <typename Figure>
std::vector<std::pair<double, double>> overTime(const Json& play, Figure&& figure) {
    std::vector<std::pair<double, double>> points;
    for (const Json& stretch : play.at("load").at("seconds"))
        points.emplace_back(stretch.at("at_s").get<double>() + stretch.at("width_s").get<double>() / 2,
                            figure(stretch));
    return points;
}

mstch::map tableNode(const std::string& title, const std::vector<std::string>& head,
                     const std::vector<std::vector<std::string>>& rows) {
    mstch::array heads, all;
    for (const std::string& text : head) heads.push_back(textNode(text));
    for (const auto& row : rows) {
        mstch::array cells;
        for (const std::string& text : row) cells.push_back(textNode(text));
        all.push_back(mstch::map{{"cells", cells}});
    }
    return {{"title", title}, {"head", heads}, {"rows", all}};
}

}  // namespace

std::string pageOf(const Json& results) {
    std::vector<Side> sides;
    for (const Json& play : results.at("plays")) {
        const std::string side = play.at("side");
        auto at =
            std::find_if(sides.begin(), sides.end(), [&](const Side& each) { return each.name == side; });
        if (at == sides.end())
            at = sides.insert(sides.end(), {side, sides.empty() ? "" : " dash", &play, {}});
        at->plays.push_back(&play);
    }
    if (sides.empty()) throw std::runtime_error("there is no play to report");
    const Json& first = *sides[0].first;
    const bool two = sides.size() > 1;
    const auto named = [&](const Side& side, const std::string& what) {
        return two ? side.name + " " + what : what;
    };

    mstch::array warnings, cards, plots, tables, listed;
    mstch::array broken, notes;
    for (const Side& side : sides)
        for (const Json* play : side.plays) {
            if (!play->at("load").at("valid").get<bool>())
                warnings.push_back(textNode(named(side, "play is INVALID: ") +
                                            play->at("load").at("why").get<std::string>()));
            if (play->at("broken").at("all").get<std::uint64_t>() > 0)
                warnings.push_back(textNode(named(side, "play broke rules ") +
                                            play->at("broken").at("all").dump() + " times"));
            for (const Json& example : play->at("broken").at("examples"))
                broken.push_back(textNode(named(side, "") + example.get<std::string>()));
            for (const Json& note : play->at("notes"))
                notes.push_back(textNode(named(side, "") + note.get<std::string>()));
        }
    const auto card = [&](const std::string& label, const std::string& value, const std::string& note,
                          const std::string& kind = "") {
        cards.push_back(mstch::map{{"label", label}, {"value", value}, {"note", note}, {"kind", kind}});
    };
    for (const Side& side : sides) {
        double share = 0, wasted = 0;
        for (const Json* play : side.plays) {
            share +=
                play->at("load").at("earned_share").get<double>() / static_cast<double>(side.plays.size());
            wasted +=
                play->at("work").at("wasted_share").get<double>() / static_cast<double>(side.plays.size());
        }
        const Json& load = side.first->at("load");
        card(named(side, "earned in time"), number(share * 100) + "%", "of what all commands were worth");
        card(named(side, "p99"), number(load.at("latency").at("p99_ms").get<double>(), 0) + " ms",
             "from the scheduled time, of what was handled");
        card(named(side, "work wasted"), number(wasted * 100) + "%",
             "of core time, for commands that were not handled");
        const auto rules = side.first->at("broken").at("all").get<std::uint64_t>();
        card(named(side, "rules broken"), std::to_string(rules),
             rules == 0 ? "lost, twice, drain, fall-over, crashes" : "see below",
             rules == 0 ? "good" : "bad");
    }
    if (results.contains("ratio")) {
        const Json& ratio = results.at("ratio");
        const auto at = [&](const char* key) {
            return ratio.at(key).is_number() ? number(ratio.at(key).get<double>(), 3) : std::string("?");
        };
        card("A over B", at("mean"),
             "95% interval " + at("low") + " to " + at("high") + ", " + ratio.at("pairs").dump() + " pairs" +
                 (ratio.at("told").get<bool>() ? "" : ": chance may explain it"));
    }

    std::vector<Band> bands;
    for (const Json& fault : first.at("troubles")) {
        const double at = fault.at("at_s");
        bands.push_back({at, at + std::max(0.2, fault.at("for_s").get<double>()), fault.at("text")});
    }
    static const std::vector<std::pair<std::string, std::string>> kShown = {
        {"handled", "k4"},   {"handled late", "k5"},    {"bounced", "k1"},        {"scrapped", "k2"},
        {"no answer", "k3"}, {"connection lost", "k6"}, {"never sent", "k6 dash"}};
    for (const Side& side : sides) {
        Plot rates{named(side, "commands a second, by what became of them"), "/s", {}, bands};
        rates.curves.push_back({"due", "k0", overTime(*side.first, [](const Json& s) {
                                    double sum = 0;
                                    for (const auto& [end, count] : s.at("ends").items())
                                        sum += count.get<double>();
                                    return sum / s.at("width_s").get<double>();
                                })});
        for (const auto& [end, kind] : kShown) {
            auto points = overTime(*side.first, [&](const Json& s) {
                return s.at("ends").at(end).get<double>() / s.at("width_s").get<double>();
            });
            const bool any =
                std::any_of(points.begin(), points.end(), [](const auto& point) { return point.second > 0; });
            if (any) rates.curves.push_back({end, kind, std::move(points)});
        }
        plots.push_back(plotNode(rates));
    }
    Plot over{"latency over time, from the scheduled time", "ms", {}, bands, true};
    Plot tail{"tail of the latency", "ms", {}, {}, true, true};
    Plot earned{"earned in time, part of what was due", "%", {}, bands};
    Plot open{"commands open at the callers", "", {}, bands};
    Plot memory{"memory of the backends", "MB", {}, bands},
        cpu{"CPU of the backends, seconds a second", "s", {}, bands},
        cores{"runs on the cores of a pool", "", {}, bands};
    int tone = 0;
    for (const Side& side : sides) {
        const Json& play = *side.first;
        for (const auto& [key, name, kind] :
             {std::tuple{"p50_ms", "p50", "k0"}, std::tuple{"p99_ms", "p99", "k1"},
              std::tuple{"p999_ms", "p99.9", "k2"}})
            over.curves.push_back(
                {named(side, name), kind + side.dash,
                 overTime(play, [key = key](const Json& s) { return s.at(key).get<double>(); })});
        Curve curve{named(side, "all handled"), "k" + std::to_string(tone++), {}};
        for (const Json& point : play.at("load").at("tail"))
            curve.points.emplace_back(point[0].get<double>(), point[1].get<double>());
        tail.curves.push_back(std::move(curve));
        earned.curves.push_back({named(side, "earned"), "k4" + side.dash, overTime(play, [](const Json& s) {
                                     const double value = s.at("worth");
                                     return value > 0 ? 100 * s.at("earned").get<double>() / value : 100;
                                 })});
        open.curves.push_back({named(side, "open"), "k0" + side.dash,
                               overTime(play, [](const Json& s) { return s.at("open").get<double>(); })});
        std::size_t at = 0;
        for (const Json& backend : play.at("backends")) {
            if (at >= 7) break;
            const std::string kind = "k" + std::to_string(at++) + side.dash;
            const auto curveOf = [&](const char* key) {
                Curve one{named(side, backend.at("name")), kind, {}};
                for (const Json& sample : backend.at("samples"))
                    one.points.emplace_back(sample.at("at_s").get<double>(), sample.at(key).get<double>());
                return one;
            };
            memory.curves.push_back(curveOf("memory_mb"));
            cpu.curves.push_back(curveOf("cpu_s"));
            cores.curves.push_back(curveOf("on_cores"));
        }
    }
    for (const Plot* plot : {&over, &tail, &earned, &open, &cores, &memory, &cpu})
        plots.push_back(plotNode(*plot));

    std::vector<std::vector<std::string>> rows;
    for (const Side& side : sides)
        for (const Json& requestClass : side.first->at("load").at("profiles")) {
            std::vector<std::string> row = {named(side, requestClass.at("name")),
                                            requestClass.at("planned").dump()};
            for (const auto& [end, kind] : kShown) row.push_back(requestClass.at("ends").at(end).dump());
            const double value = requestClass.at("worth");
            row.push_back(number(value > 0 ? 100 * requestClass.at("earned").get<double>() / value : 0) +
                          "%");
            for (const char* key : {"p50_ms", "p99_ms", "p999_ms", "max_ms"})
                row.push_back(number(requestClass.at("latency").at(key).get<double>()));
            rows.push_back(row);
        }
    tables.push_back(tableNode("Profiles",
                               {"profile", "due", "handled", "late", "bounced", "scrapped", "no answer",
                                "conn. lost", "unsent", "earned", "p50 ms", "p99 ms", "p99.9 ms", "max ms"},
                               rows));
    rows.clear();
    for (const Side& side : sides)
        for (const Json* play : side.plays) {
            const Json& load = play->at("load");
            rows.push_back(
                {side.name, load.at("seed").dump(), number(load.at("earned_share").get<double>() * 100) + "%",
                 load.at("planned").dump(), load.at("tries").dump(), play->at("broken").at("all").dump(),
                 number(play->at("work").at("wasted_share").get<double>() * 100) + "%",
                 play->at("records").at("calls").dump(),
                 number(play->at("records").at("most_mean_in_hands").get<double>(), 2) + " of " +
                     number(play->at("records").at("share").get<double>(), 1),
                 number(load.at("lag").at("p999_ms").get<double>(), 2)});
        }
    tables.push_back(tableNode("Plays",
                               {"build", "seed", "earned", "commands", "tries", "broken", "wasted", "calls",
                                "most in records' hands", "sent late p99.9 ms"},
                               rows));
    rows.clear();
    for (const Json& fault : first.at("troubles"))
        rows.push_back({fault.at("text"), number(fault.at("at_s").get<double>()) + " s",
                        number(fault.at("for_s").get<double>()) + " s"});
    if (!rows.empty()) tables.push_back(tableNode("Troubles", {"what", "at", "for"}, rows));
    if (!broken.empty())
        listed.push_back(mstch::map{{"title", std::string("Broken rules")}, {"items", broken}});
    if (!notes.empty()) listed.push_back(mstch::map{{"title", std::string("Notes")}, {"items", notes}});

    std::string made = "Made by cottonwing_lab " COTTONWING_VERSION ".";
    for (const Side& side : sides)
        made += " " + side.name + ": " + side.first->at("build").get<std::string>() + ".";
    return mstch::render(kReportTemplate, mstch::map{{"name", first.at("name").get<std::string>()},
                                                     {"about", first.at("about").get<std::string>()},
                                                     {"warnings", warnings},
                                                     {"cards", cards},
                                                     {"plots", plots},
                                                     {"tables", tables},
                                                     {"listed", listed},
                                                     {"made", made}});
}

}  // namespace cottonwing::loadtest
