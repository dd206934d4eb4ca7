// The laboratory: load, stand-ins, experiments and their reports.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "loadtest/emulators/scgi_server.h"
#include "loadtest/emulators/thrift_server.h"
#include "loadtest/experiment.h"
#include "loadtest/paired_comparison.h"
#include "loadtest/report.h"
#include "net/signal.h"

namespace {

using namespace cottonwing;
using namespace cottonwing::loadtest;
using namespace std::chrono_literals;

// Turns a loop of its own until all is done, with a line of progress on a
// terminal; the first interrupt sends nothing more, the second waits for
// nothing more.
LoadResult play(const LoadConfig& terms) {
    LoadRun load(terms);
    net::Loop loop;
    int interrupts = 0;
    const auto interrupted = [&] {
        if (++interrupts == 1) {
            std::cerr << "\ninterrupted: nothing more is sent, what is open may "
                         "still end (again: stop at once)\n";
            load.stop();
        } else {
            load.abort();
        }
    };
    net::Signal onInt(loop, SIGINT, interrupted), onTerm(loop, SIGTERM, interrupted);
    const bool shows = isatty(STDERR_FILENO) != 0;
    const Duration start = steadyNow() + 50ms;
    load.start(start);
    std::unique_ptr<net::Timer> tick;
    tick = std::make_unique<net::Timer>(loop, [&] {
        if (load.done()) return loop.stop();
        if (shows) {
            const double now = std::max(0.0, std::chrono::duration<double>(steadyNow() - start).count());
            std::fprintf(stderr, "\r%6.1f s  %llu sent for, %llu ended, %llu handled ", now,
                         static_cast<unsigned long long>(load.scheduled()),
                         static_cast<unsigned long long>(load.ended()),
                         static_cast<unsigned long long>(load.completed()));
        }
        tick->start(100ms);
    });
    tick->start(100ms);
    loop.run();
    if (shows) std::fprintf(stderr, "\n");
    return load.finish();
}

// False, with a word on the error stream, where it could not be written whole.
bool writeFile(const std::string& path, const std::string& text) {
    std::ofstream out(path, std::ios::binary);
    out << text;
    out.flush();
    if (out) return true;
    std::cerr << "cottonwing_lab: " << path << " can't be written: " << std::strerror(errno) << std::endl;
    return false;
}

int load(const std::string& path, const std::string& json, const std::string& exported, std::int64_t seed) {
    auto terms = readLoadConfig(kdl::parseFile(path), path, true);
    if (seed >= 0) terms->schedule.seed = static_cast<std::uint64_t>(seed);
    const LoadResult result = play(*terms);
    const std::string figures = toJson(result, *terms).dump(2) + "\n";
    if (json == "-")
        std::cout << figures;
    else
        std::cout << toText(result, *terms);
    std::cout.flush();
    bool whole = json.empty() || json == "-" || writeFile(json, figures);
    if (!exported.empty()) {
        // What was due by the end is drawn once more: it is the same.
        const auto plan = makeRequestSchedule(terms->schedule);
        TraceWriter writer(exported, terms->schedule.requestClasses);
        std::uint64_t left = result.statistics.scheduled();
        while (const auto planned = plan->next()) {
            if (left == 0) break;
            --left;
            writer.add(*planned);
        }
        if (!writer.close()) {
            std::cerr << "cottonwing_lab: " << exported << " can't be written whole" << std::endl;
            whole = false;
        }
    }
    if (!result.valid)
        std::cerr << "cottonwing_lab: the run is INVALID: " << result.invalidReason << std::endl;
    return result.valid && whole && result.statistics.violations.total() == 0 ? 0 : 1;
}

using Json = nlohmann::json;

std::string besideUs(const std::string& name) {
    std::error_code error;
    const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
    return error ? name : (self.parent_path() / name).string();
}

Json readResults(const std::string& folder) {
    const std::string path = folder + "/results.json";
    std::ifstream in(path);
    if (!in) throw std::runtime_error(path + " can't be opened: is this the folder of an experiment?");
    const Json all = Json::parse(in, nullptr, false);
    if (!all.is_object() || !all.contains("plays"))
        throw std::runtime_error(path + " holds no results of an experiment");
    return all;
}

Json ratioJson(const PairedRatio& ratio) {
    Json all = {
        {"mean", ratio.mean}, {"low", ratio.low}, {"pairs", ratio.pairs}, {"told", ratio.significant}};
    all["high"] = std::isfinite(ratio.high) ? Json(ratio.high) : Json("unbounded");
    return all;
}

std::string ratioText(const PairedRatio& ratio) {
    char text[200];
    std::snprintf(text, sizeof text, "A over B: %.3f, 95%% interval %.3f to %.3f (%zu pairs)%s", ratio.mean,
                  ratio.low, ratio.high, ratio.pairs, ratio.significant ? "" : ": chance may explain it");
    return text;
}

struct RunWishes {
    std::string file, build, vs, folder, json;
    int rounds = 1;
    std::int64_t seed = -1;
};

bool interrupted = false;

int runExperiment(const RunWishes& wishes) {
    const std::string build = wishes.build.empty() ? besideUs("cottonwing") : wishes.build;
    auto terms = readExperiment(wishes.file);
    if (wishes.seed >= 0) terms->load->schedule.seed = static_cast<std::uint64_t>(wishes.seed);
    const std::string folder = wishes.folder.empty() ? "lab-results/" + terms->name : wishes.folder;
    const std::uint64_t firstSeed = terms->load->schedule.seed;
    const bool shows = isatty(STDERR_FILENO) != 0;
    struct sigaction action {};
    action.sa_handler = [](int) { interrupted = true; };
    sigaction(SIGINT, &action, nullptr);
    sigaction(SIGTERM, &action, nullptr);
    Json results = {{"plays", Json::array()}};
    std::vector<double> earned[2];
    std::uint64_t broken = 0;
    bool valid = true;
    // In turn, on the same seeds: what changes in the machine meanwhile meets
    // both.
    for (int round = 0; round < wishes.rounds && !interrupted; ++round)
        for (int side = 0; side < (wishes.vs.empty() ? 1 : 2) && !interrupted; ++side) {
            terms->load->schedule.seed = firstSeed + static_cast<std::uint64_t>(round);
            terms->records.seed = terms->load->schedule.seed;
            terms->load->client.targets.clear();
            terms->load->client.scgiTargets.clear();
            const std::string name = side == 0 ? "A" : "B";
            const std::string logs = folder + "/" + name + "-" + std::to_string(terms->load->schedule.seed);
            Experiment experiment(*terms, side == 0 ? build : wishes.vs, logs);
            const double length = std::chrono::duration<double>(terms->load->schedule.duration).count();
            auto result = experiment.run(
                [&](double now, const LoadRun& load) {
                    if (shows)
                        std::fprintf(stderr,
                                     "\r%s seed %llu  %5.1f of %.0f s  %llu due, %llu ended, %llu "
                                     "handled   ",
                                     name.c_str(),
                                     static_cast<unsigned long long>(terms->load->schedule.seed), now, length,
                                     static_cast<unsigned long long>(load.scheduled()),
                                     static_cast<unsigned long long>(load.ended()),
                                     static_cast<unsigned long long>(load.completed()));
                },
                &interrupted);
            if (shows) std::fprintf(stderr, "\n");
            result.figures["side"] = name;
            earned[side].push_back(result.earnedShare);
            broken += result.broken;
            valid = valid && result.valid;
            const Json& load = result.figures["load"];
            char line[300];
            std::snprintf(line, sizeof line,
                          "%s seed %llu: earned %.1f%%, p99 %.0f ms, wasted %.1f%% of core "
                          "time, %llu broken rules%s\n",
                          name.c_str(), static_cast<unsigned long long>(terms->load->schedule.seed),
                          result.earnedShare * 100, load["latency"]["p99_ms"].get<double>(),
                          result.figures["work"]["wasted_share"].get<double>() * 100,
                          static_cast<unsigned long long>(result.broken), result.valid ? "" : ", INVALID");
            if (wishes.json != "-") std::cout << line << std::flush;
            for (const Json& example : result.figures["broken"]["examples"])
                std::cerr << "  " << example.get<std::string>() << "\n";
            for (const Json& note : result.figures["notes"])
                std::cerr << "  " << note.get<std::string>() << "\n";
            if (!result.valid) std::cerr << "  INVALID: " << load["why"].get<std::string>() << "\n";
            results["plays"].push_back(std::move(result.figures));
        }
    if (!wishes.vs.empty()) {
        const PairedRatio ratio = compareInPairs(earned[0], earned[1]);
        results["ratio"] = ratioJson(ratio);
        if (wishes.json != "-") std::cout << ratioText(ratio) << "\n";
    }
    const std::string figures = results.dump(1) + "\n";
    if (wishes.json == "-") std::cout << figures;
    bool whole = wishes.json.empty() || wishes.json == "-" || writeFile(wishes.json, figures);
    whole = writeFile(folder + "/results.json", figures) && whole;
    whole = writeFile(folder + "/report.html", pageOf(results)) && whole;
    if (wishes.json != "-") std::cout << "report: " << folder << "/report.html\n";
    return whole && valid && broken == 0 ? 0 : 1;
}

int report(const std::string& folder) {
    if (!writeFile(folder + "/report.html", pageOf(readResults(folder)))) return 1;
    std::cout << folder << "/report.html\n";
    return 0;
}

int compare(const std::string& a, const std::string& b) {
    std::map<std::string, double> earned[2];
    int side = 0;
    for (const std::string& folder : {a, b}) {
        for (const Json& play : readResults(folder)["plays"])
            if (play.at("side") == "A")
                earned[side]
                      [play.at("name").get<std::string>() + " seed " + play.at("load").at("seed").dump()] =
                          play.at("load").at("earned_share").get<double>();
        ++side;
    }
    std::vector<double> pairs[2];
    for (const auto& [play, share] : earned[0])
        if (const auto other = earned[1].find(play); other != earned[1].end()) {
            pairs[0].push_back(share), pairs[1].push_back(other->second);
            std::printf("%s: %.1f%% and %.1f%%\n", play.c_str(), share * 100, other->second * 100);
        }
    if (pairs[0].empty()) throw std::runtime_error("the two have no experiment with the same name and seed");
    std::cout << ratioText(compareInPairs(pairs[0], pairs[1])) << std::endl;
    return 0;
}

int drawTrace(const std::string& path, const std::string& to) {
    const auto terms = readLoadConfig(kdl::parseFile(path), path, false);
    const auto plan = makeRequestSchedule(terms->schedule);
    TraceWriter writer(to, terms->schedule.requestClasses);
    std::uint64_t count = 0;
    for (; const auto planned = plan->next(); ++count) writer.add(*planned);
    if (!writer.close()) throw std::runtime_error(to + " can't be written whole");
    std::cout << count << " commands\n";
    if (plan->skippedLines() > 0)
        std::cout << plan->skippedLines() << " lines of the trace could not be read\n";
    return 0;
}

net::Address addressOf(const std::string& at) {
    const std::size_t colon = at.rfind(':');
    if (colon == at.npos)
        throw std::runtime_error("--listen: an address such as 127.0.0.1:8080 was expected, not '" + at +
                                 "'");
    return {at.substr(0, colon), std::atoi(at.c_str() + colon + 1)};
}

int scgiServers(const std::vector<std::string>& each, const ScgiServerTerms& terms) {
    net::Loop loop;
    std::vector<std::unique_ptr<ScgiServer>> servers;
    for (const std::string& at : each)
        servers.push_back(std::make_unique<ScgiServer>(loop, addressOf(at), terms));
    net::Signal onInt(loop, SIGINT, [&] { loop.stop(); }), onTerm(loop, SIGTERM, [&] { loop.stop(); });
    std::cout << servers.size() << " SCGI servers" << std::endl;
    loop.run();
    for (const auto& server : servers) std::cout << server->requests() << " requests" << std::endl;
    return 0;
}

int answer(const std::string& at, const AnsweringTerms& terms) {
    net::Loop loop;
    Answering answering(loop, addressOf(at), terms);
    net::Signal onInt(loop, SIGINT, [&] { loop.stop(); }), onTerm(loop, SIGTERM, [&] { loop.stop(); });
    std::cout << "answering on " << answering.address().host << ":" << answering.address().port << std::endl;
    loop.run();
    std::cout << answering.requests() << " commands answered" << std::endl;
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app(
        "cottonwing_lab: load on a schedule that waits for nobody, and "
        "experiments in an emulated world.",
        "cottonwing_lab");
    app.set_version_flag("--version", "cottonwing_lab " COTTONWING_VERSION);
    app.require_subcommand(1);
    app.footer(
        "Exit codes: 0 done, 1 failed (an invalid run and a broken rule "
        "too), 2 told something wrong.");

    std::string file, json, exported, to, listen = "127.0.0.1:8080";
    std::int64_t seed = -1;
    CLI::App* const loads = app.add_subcommand("load", "send the load of a file and tell what became of it");
    loads->add_option("FILE", file, "what to send, in KDL")->required();
    loads->add_option("--json", json, "write all figures there; - for standard output instead of the table");
    loads->add_option("--export", exported, "write what was due as a trace that plays the same again");
    loads->add_option("--seed", seed, "another seed than the file's");
    loads->footer("Example:\n  cottonwing_lab load deploy/lab/hello.kdl --json hello.json");

    CLI::App* const draws =
        app.add_subcommand("draw", "write the commands of a file as a trace, sending nothing");
    draws->add_option("FILE", file, "what to draw, in KDL")->required();
    draws->add_option("--to", to, "the trace")->required();
    draws->footer("Example:\n  cottonwing_lab draw deploy/lab/hello.kdl --to hello.csv");

    AnsweringTerms answering;
    double takes = 0;
    CLI::App* const answers =
        app.add_subcommand("answer", "a server that answers every command by itself, to try a load on");
    answers->add_option("--listen", listen, "where to listen");
    answers->add_option("--takes-ms", takes, "milliseconds that an answer takes");
    answers->footer("Example:\n  cottonwing_lab answer --listen 127.0.0.1:8080 --takes-ms 5");
    std::vector<std::string> listens;
    CLI::App* const scgis = app.add_subcommand("scgi",
                                               "SCGI servers that answer every request, to "
                                               "stand behind cottonwing serve");
    scgis->add_option("--listen", listens, "where to listen; may be given several times")->required();
    scgis->add_option("--takes-ms", takes, "milliseconds that an answer takes");
    scgis->footer(
        "Example:\n  cottonwing_lab scgi --listen 127.0.0.1:9001 "
        "--listen 127.0.0.1:9002 --takes-ms 5");

    RunWishes wishes;
    CLI::App* const runs =
        app.add_subcommand("run", "play an experiment: backends, the world around them, load and troubles");
    runs->add_option("FILE", wishes.file, "the experiment, in KDL")->required();
    runs->add_option("--build", wishes.build,
                     "the program to play; the one beside this, where none is named");
    runs->add_option("--vs", wishes.vs, "another build, played in turn on the same seeds");
    runs->add_option("--rounds", wishes.rounds, "how many seeds")->check(CLI::Range(1, 1000));
    runs->add_option("--seed", wishes.seed, "the first seed, in place of the file's");
    runs->add_option("--to", wishes.folder,
                     "folder for figures, report and logs; lab-results/NAME "
                     "where none is named");
    runs->add_option("--json", wishes.json, "write all figures there too; - for standard output");
    runs->footer(
        "Examples:\n  cottonwing_lab run deploy/lab/morning-spike.kdl\n "
        " cottonwing_lab run "
        "deploy/lab/morning-spike.kdl --vs ../before/build/cottonwing "
        "--rounds 5");

    std::string folder, other;
    CLI::App* const reports =
        app.add_subcommand("report", "make the page of an experiment anew from its figures");
    reports->add_option("DIR", folder, "its folder")->required();
    CLI::App* const compares =
        app.add_subcommand("compare", "what one folder's plays earned beside another's, by name and seed");
    compares->add_option("A", folder, "a folder")->required();
    compares->add_option("B", other, "another")->required();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    try {
        if (loads->parsed()) return load(file, json, exported, seed);
        if (runs->parsed()) return runExperiment(wishes);
        if (reports->parsed()) return report(folder);
        if (compares->parsed()) return compare(folder, other);
        if (draws->parsed()) return drawTrace(file, to);
        if (scgis->parsed()) {
            ScgiServerTerms scgi;
            scgi.takes = Duration(static_cast<std::int64_t>(takes * 1e6));
            return scgiServers(listens, scgi);
        }
        answering.takes = Duration(static_cast<std::int64_t>(takes * 1e6));
        return answer(listen, answering);
    } catch (const kdl::DocumentError& problem) {
        std::cerr << problem.what() << std::endl;
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "cottonwing_lab: " << error.what() << std::endl;
        return 1;
    }
}
