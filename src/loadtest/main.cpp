/// @file
/// The command line of cottonwing_lab: load tests, emulated servers, experiments and their reports.
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

// Runs a load to its end, with a progress line if stderr is a terminal. The first interrupt stops sending,
// the second also stops waiting for open requests.
LoadResult runLoad(const LoadConfig& config) {
    LoadRun load(config);
    net::Loop loop;
    int interrupts = 0;
    const auto interrupted = [&] {
        if (++interrupts == 1) {
            std::cerr << "\ninterrupted: sending stopped, open requests may still end "
                         "(interrupt again to stop at once)\n";
            load.stop();
        } else {
            load.abort();
        }
    };
    net::Signal onInt(loop, SIGINT, interrupted), onTerm(loop, SIGTERM, interrupted);
    const bool showProgress = isatty(STDERR_FILENO) != 0;
    const Duration start = steadyNow() + 50ms;
    load.start(start);
    std::unique_ptr<net::Timer> tick;
    tick = std::make_unique<net::Timer>(loop, [&] {
        if (load.done()) return loop.stop();
        if (showProgress) {
            const double now = std::max(0.0, std::chrono::duration<double>(steadyNow() - start).count());
            std::fprintf(stderr, "\r%6.1f s  %llu due, %llu ended, %llu handled ", now,
                         static_cast<unsigned long long>(load.scheduled()),
                         static_cast<unsigned long long>(load.ended()),
                         static_cast<unsigned long long>(load.completed()));
        }
        tick->start(100ms);
    });
    tick->start(100ms);
    loop.run();
    if (showProgress) std::fprintf(stderr, "\n");
    return load.finish();
}

// Prints an error and returns false if the file could not be written completely.
bool writeFile(const std::string& path, const std::string& text) {
    std::ofstream out(path, std::ios::binary);
    out << text;
    out.flush();
    if (out) return true;
    std::cerr << "cottonwing_lab: " << path << " can't be written: " << std::strerror(errno) << std::endl;
    return false;
}

int loadCommand(const std::string& path, const std::string& jsonPath, const std::string& exportPath,
                std::int64_t seed) {
    auto config = readLoadConfig(kdl::parseFile(path), path, true);
    if (seed >= 0) config->schedule.seed = static_cast<std::uint64_t>(seed);
    const LoadResult result = runLoad(*config);
    const std::string resultsText = toJson(result, *config).dump(2) + "\n";
    if (jsonPath == "-")
        std::cout << resultsText;
    else
        std::cout << toText(result, *config);
    std::cout.flush();
    bool written = jsonPath.empty() || jsonPath == "-" || writeFile(jsonPath, resultsText);
    if (!exportPath.empty()) {
        // The same seed generates the same requests again: those due by the end of the run are exported.
        const auto plan = makeRequestSchedule(config->schedule);
        TraceWriter writer(exportPath, config->schedule.requestClasses);
        std::uint64_t left = result.statistics.scheduled();
        while (const auto planned = plan->next()) {
            if (left == 0) break;
            --left;
            writer.add(*planned);
        }
        if (!writer.close()) {
            std::cerr << "cottonwing_lab: " << exportPath << " could not be written completely" << std::endl;
            written = false;
        }
    }
    if (!result.valid)
        std::cerr << "cottonwing_lab: the run is INVALID: " << result.invalidReason << std::endl;
    return result.valid && written && result.statistics.violations.total() == 0 ? 0 : 1;
}

using Json = nlohmann::json;

std::string siblingProgramPath(const std::string& name) {
    std::error_code error;
    const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
    return error ? name : (self.parent_path() / name).string();
}

Json readResults(const std::string& folder) {
    const std::string path = folder + "/results.json";
    std::ifstream in(path);
    if (!in)
        throw std::runtime_error(path + " can't be opened: is this the results folder of an experiment?");
    const Json results = Json::parse(in, nullptr, false);
    if (!results.is_object() || !results.contains("plays"))
        throw std::runtime_error(path + " contains no experiment results");
    return results;
}

Json ratioJson(const PairedRatio& ratio) {
    Json json = {
        {"mean", ratio.mean}, {"low", ratio.low}, {"pairs", ratio.pairs}, {"told", ratio.significant}};
    json["high"] = std::isfinite(ratio.high) ? Json(ratio.high) : Json("unbounded");
    return json;
}

std::string ratioText(const PairedRatio& ratio) {
    char text[200];
    std::snprintf(text, sizeof text, "A over B: %.3f, 95%% interval %.3f to %.3f (%zu pairs)%s", ratio.mean,
                  ratio.low, ratio.high, ratio.pairs, ratio.significant ? "" : ": not significant");
    return text;
}

struct RunOptions {
    std::string file, program, comparedProgram, outputFolder, jsonPath;
    int rounds = 1;
    std::int64_t seed = -1;
};

bool interruptRequested = false;

int runCommand(const RunOptions& options) {
    const std::string program = options.program.empty() ? siblingProgramPath("cottonwing") : options.program;
    auto config = readExperimentConfig(options.file);
    if (options.seed >= 0) config->load->schedule.seed = static_cast<std::uint64_t>(options.seed);
    const std::string folder =
        options.outputFolder.empty() ? "lab-results/" + config->name : options.outputFolder;
    const std::uint64_t firstSeed = config->load->schedule.seed;
    const bool showProgress = isatty(STDERR_FILENO) != 0;
    struct sigaction action {};
    action.sa_handler = [](int) { interruptRequested = true; };
    sigaction(SIGINT, &action, nullptr);
    sigaction(SIGTERM, &action, nullptr);
    Json results = {{"plays", Json::array()}};
    std::vector<double> earnedFractions[2];
    std::uint64_t violations = 0;
    bool valid = true;
    // The builds alternate on the same seeds, so that changes on the machine in the meantime affect both.
    for (int round = 0; round < options.rounds && !interruptRequested; ++round)
        for (int side = 0; side < (options.comparedProgram.empty() ? 1 : 2) && !interruptRequested; ++side) {
            config->load->schedule.seed = firstSeed + static_cast<std::uint64_t>(round);
            config->dependency.seed = config->load->schedule.seed;
            config->load->client.targets.clear();
            config->load->client.scgiTargets.clear();
            const std::string name = side == 0 ? "A" : "B";
            const std::string logFolder =
                folder + "/" + name + "-" + std::to_string(config->load->schedule.seed);
            Experiment experiment(*config, side == 0 ? program : options.comparedProgram, logFolder);
            const double length = std::chrono::duration<double>(config->load->schedule.duration).count();
            auto result = experiment.run(
                [&](double now, const LoadRun& load) {
                    if (showProgress)
                        std::fprintf(stderr,
                                     "\r%s seed %llu  %5.1f of %.0f s  %llu due, %llu ended, %llu "
                                     "handled   ",
                                     name.c_str(),
                                     static_cast<unsigned long long>(config->load->schedule.seed), now,
                                     length, static_cast<unsigned long long>(load.scheduled()),
                                     static_cast<unsigned long long>(load.ended()),
                                     static_cast<unsigned long long>(load.completed()));
                },
                &interruptRequested);
            if (showProgress) std::fprintf(stderr, "\n");
            result.metrics["side"] = name;
            earnedFractions[side].push_back(result.earnedFraction);
            violations += result.violations;
            valid = valid && result.valid;
            const Json& load = result.metrics["load"];
            char line[300];
            std::snprintf(line, sizeof line,
                          "%s seed %llu: earned %.1f%%, p99 %.0f ms, wasted %.1f%% of core "
                          "time, %llu violations%s\n",
                          name.c_str(), static_cast<unsigned long long>(config->load->schedule.seed),
                          result.earnedFraction * 100, load["latency"]["p99_ms"].get<double>(),
                          result.metrics["work"]["wasted_share"].get<double>() * 100,
                          static_cast<unsigned long long>(result.violations),
                          result.valid ? "" : ", INVALID");
            if (options.jsonPath != "-") std::cout << line << std::flush;
            for (const Json& example : result.metrics["broken"]["examples"])
                std::cerr << "  " << example.get<std::string>() << "\n";
            for (const Json& note : result.metrics["notes"])
                std::cerr << "  " << note.get<std::string>() << "\n";
            if (!result.valid) std::cerr << "  INVALID: " << load["why"].get<std::string>() << "\n";
            results["plays"].push_back(std::move(result.metrics));
        }
    if (!options.comparedProgram.empty()) {
        const PairedRatio ratio = compareInPairs(earnedFractions[0], earnedFractions[1]);
        results["ratio"] = ratioJson(ratio);
        if (options.jsonPath != "-") std::cout << ratioText(ratio) << "\n";
    }
    const std::string resultsText = results.dump(1) + "\n";
    if (options.jsonPath == "-") std::cout << resultsText;
    bool written =
        options.jsonPath.empty() || options.jsonPath == "-" || writeFile(options.jsonPath, resultsText);
    written = writeFile(folder + "/results.json", resultsText) && written;
    written = writeFile(folder + "/report.html", renderReport(results)) && written;
    if (options.jsonPath != "-") std::cout << "report: " << folder << "/report.html\n";
    return written && valid && violations == 0 ? 0 : 1;
}

int reportCommand(const std::string& folder) {
    if (!writeFile(folder + "/report.html", renderReport(readResults(folder)))) return 1;
    std::cout << folder << "/report.html\n";
    return 0;
}

int compareCommand(const std::string& firstFolder, const std::string& secondFolder) {
    std::map<std::string, double> earnedFractions[2];
    int side = 0;
    for (const std::string& folder : {firstFolder, secondFolder}) {
        for (const Json& run : readResults(folder)["plays"])
            if (run.at("side") == "A")
                earnedFractions[side][run.at("name").get<std::string>() + " seed " +
                                      run.at("load").at("seed").dump()] =
                    run.at("load").at("earned_share").get<double>();
        ++side;
    }
    std::vector<double> pairs[2];
    for (const auto& [run, fraction] : earnedFractions[0])
        if (const auto match = earnedFractions[1].find(run); match != earnedFractions[1].end()) {
            pairs[0].push_back(fraction), pairs[1].push_back(match->second);
            std::printf("%s: %.1f%% and %.1f%%\n", run.c_str(), fraction * 100, match->second * 100);
        }
    if (pairs[0].empty())
        throw std::runtime_error("the two folders share no run with the same name and seed");
    std::cout << ratioText(compareInPairs(pairs[0], pairs[1])) << std::endl;
    return 0;
}

int drawCommand(const std::string& path, const std::string& tracePath) {
    const auto config = readLoadConfig(kdl::parseFile(path), path, false);
    const auto plan = makeRequestSchedule(config->schedule);
    TraceWriter writer(tracePath, config->schedule.requestClasses);
    std::uint64_t count = 0;
    for (; const auto planned = plan->next(); ++count) writer.add(*planned);
    if (!writer.close()) throw std::runtime_error(tracePath + " could not be written completely");
    std::cout << count << " requests\n";
    if (plan->skippedLines() > 0) std::cout << plan->skippedLines() << " unreadable trace lines skipped\n";
    return 0;
}

net::Address parseAddress(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::runtime_error("--listen: an address such as 127.0.0.1:8080 was expected, not '" + address +
                                 "'");
    return {address.substr(0, colon), std::atoi(address.c_str() + colon + 1)};
}

int scgiCommand(const std::vector<std::string>& addresses, const EmulatedScgiServerConfig& config) {
    net::Loop loop;
    std::vector<std::unique_ptr<EmulatedScgiServer>> servers;
    for (const std::string& address : addresses)
        servers.push_back(std::make_unique<EmulatedScgiServer>(loop, parseAddress(address), config));
    net::Signal onInt(loop, SIGINT, [&] { loop.stop(); }), onTerm(loop, SIGTERM, [&] { loop.stop(); });
    std::cout << servers.size() << " SCGI servers" << std::endl;
    loop.run();
    for (const auto& server : servers) std::cout << server->requests() << " requests" << std::endl;
    return 0;
}

int answerCommand(const std::string& address, const EmulatedThriftServerConfig& config) {
    net::Loop loop;
    EmulatedThriftServer answering(loop, parseAddress(address), config);
    net::Signal onInt(loop, SIGINT, [&] { loop.stop(); }), onTerm(loop, SIGTERM, [&] { loop.stop(); });
    std::cout << "listening on " << answering.address().host << ":" << answering.address().port << std::endl;
    loop.run();
    std::cout << answering.requests() << " requests answered" << std::endl;
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("cottonwing_lab: open-loop load tests, and experiments in an emulated environment.",
                 "cottonwing_lab");
    app.set_version_flag("--version", "cottonwing_lab " COTTONWING_VERSION);
    app.require_subcommand(1);
    app.footer(
        "Exit codes: 0 success, 1 failure (also an invalid run or a violated invariant), 2 invalid "
        "arguments or input file.");

    std::string file, jsonPath, exportPath, tracePath, listen = "127.0.0.1:8080";
    std::int64_t seed = -1;
    CLI::App* const loadSubcommand =
        app.add_subcommand("load", "send the load described in a file and report the results");
    loadSubcommand->add_option("FILE", file, "load description, in KDL")->required();
    loadSubcommand->add_option(
        "--json", jsonPath,
        "write all results to this file as JSON; - for standard output in place of the table");
    loadSubcommand->add_option("--export", exportPath,
                               "write the scheduled requests as a trace that reproduces the load");
    loadSubcommand->add_option("--seed", seed, "seed, in place of the one in the file");
    loadSubcommand->footer("Example:\n  cottonwing_lab load deploy/lab/hello.kdl --json hello.json");

    CLI::App* const drawSubcommand =
        app.add_subcommand("draw", "write the scheduled requests of a file as a trace without sending them");
    drawSubcommand->add_option("FILE", file, "load description, in KDL")->required();
    drawSubcommand->add_option("--to", tracePath, "trace file to write")->required();
    drawSubcommand->footer("Example:\n  cottonwing_lab draw deploy/lab/hello.kdl --to hello.csv");

    EmulatedThriftServerConfig answering;
    double serviceTimeMs = 0;
    CLI::App* const answerSubcommand =
        app.add_subcommand("answer", "Thrift server that answers every request itself, as a target for load");
    answerSubcommand->add_option("--listen", listen, "address to listen on");
    answerSubcommand->add_option("--takes-ms", serviceTimeMs, "service time of each request in milliseconds");
    answerSubcommand->footer("Example:\n  cottonwing_lab answer --listen 127.0.0.1:8080 --takes-ms 5");
    std::vector<std::string> listenAddresses;
    CLI::App* const scgiSubcommand = app.add_subcommand(
        "scgi", "SCGI servers that answer every request, as upstream servers of cottonwing serve");
    scgiSubcommand->add_option("--listen", listenAddresses, "address to listen on; may be repeated")
        ->required();
    scgiSubcommand->add_option("--takes-ms", serviceTimeMs, "service time of each request in milliseconds");
    scgiSubcommand->footer(
        "Example:\n  cottonwing_lab scgi --listen 127.0.0.1:9001 "
        "--listen 127.0.0.1:9002 --takes-ms 5");

    RunOptions options;
    CLI::App* const runSubcommand =
        app.add_subcommand("run", "run an experiment: backends in an emulated environment, load and faults");
    runSubcommand->add_option("FILE", options.file, "experiment description, in KDL")->required();
    runSubcommand->add_option("--build", options.program,
                              "program to test (default: cottonwing beside cottonwing_lab)");
    runSubcommand->add_option("--vs", options.comparedProgram,
                              "another build to compare, run alternately on the same seeds");
    runSubcommand->add_option("--rounds", options.rounds, "number of seeds")->check(CLI::Range(1, 1000));
    runSubcommand->add_option("--seed", options.seed, "first seed, in place of the one in the file");
    runSubcommand->add_option("--to", options.outputFolder,
                              "folder for results, report and logs (default: lab-results/NAME)");
    runSubcommand->add_option("--json", options.jsonPath,
                              "also write all results to this file as JSON; - for standard output");
    runSubcommand->footer(
        "Examples:\n  cottonwing_lab run deploy/lab/morning-spike.kdl\n "
        " cottonwing_lab run "
        "deploy/lab/morning-spike.kdl --vs ../before/build/cottonwing "
        "--rounds 5");

    std::string folder, secondFolder;
    CLI::App* const reportSubcommand =
        app.add_subcommand("report", "regenerate the report page of an experiment from its results");
    reportSubcommand->add_option("DIR", folder, "results folder of the experiment")->required();
    CLI::App* const compareSubcommand = app.add_subcommand(
        "compare", "compare the value earned in two results folders, paired by experiment name and seed");
    compareSubcommand->add_option("A", folder, "first results folder")->required();
    compareSubcommand->add_option("B", secondFolder, "second results folder")->required();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    try {
        if (loadSubcommand->parsed()) return loadCommand(file, jsonPath, exportPath, seed);
        if (runSubcommand->parsed()) return runCommand(options);
        if (reportSubcommand->parsed()) return reportCommand(folder);
        if (compareSubcommand->parsed()) return compareCommand(folder, secondFolder);
        if (drawSubcommand->parsed()) return drawCommand(file, tracePath);
        if (scgiSubcommand->parsed()) {
            EmulatedScgiServerConfig scgi;
            scgi.serviceTime = Duration(static_cast<std::int64_t>(serviceTimeMs * 1e6));
            return scgiCommand(listenAddresses, scgi);
        }
        answering.responseDelay = Duration(static_cast<std::int64_t>(serviceTimeMs * 1e6));
        return answerCommand(listen, answering);
    } catch (const kdl::DocumentError& problem) {
        std::cerr << problem.what() << std::endl;
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "cottonwing_lab: " << error.what() << std::endl;
        return 1;
    }
}
