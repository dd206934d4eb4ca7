/// @file
/// The program: reads the command line and the configuration, then serves on the loop until it has shut down.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>
#include <string>

#include "net/signal.h"
#include "serve/gateway.h"
#include "server.h"

namespace {

using namespace cottonwing;

// Exit codes of the program.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;  // invalid command line, environment or file

/// The parsed command line.
struct CommandLine {
    enum class Action {
        RunBackend,  ///< one backend, configured by the environment
        RunGateway,  ///< a gateway in front of other servers, configured by a file
        CheckFile    ///< validate such a file
    };
    Action action = Action::RunBackend;
    std::string file;                                    // of RunGateway and CheckFile
    telemetry::Level logLevel = telemetry::Level::Info;  // of RunGateway; a backend reads GW_LOG
    telemetry::LogFormat logFormat = telemetry::LogFormat::Text;
};

/// The command line, or the exit code if the program is done: help, version or an error was printed.
struct ParsedCommandLine {
    CommandLine commandLine;
    std::optional<int> exitCode;
};

ParsedCommandLine parseCommandLine(int argc, char** argv) {
    static const std::map<std::string, telemetry::LogFormat> kFormats = {
        {"text", telemetry::LogFormat::Text}, {"json", telemetry::LogFormat::Json}};
    static const std::map<std::string, telemetry::Level> kLevels = {{"error", telemetry::Level::Error},
                                                                    {"warn", telemetry::Level::Warn},
                                                                    {"info", telemetry::Level::Info},
                                                                    {"debug", telemetry::Level::Debug}};
    ParsedCommandLine result;
    CommandLine& commandLine = result.commandLine;
    CLI::App app(
        "cottonwing: an overload controller that runs in each server of a fleet.\n\n"
        "Without a subcommand it runs one backend. GW_NAME is its name, GW_LISTEN the address to listen on,\n"
        "GW_CONFIG a JSON file with its configuration, GW_LOG the log level (error, warn, info or debug).\n"
        "SIGHUP reads the file again, SIGUSR1 prints the counters, SIGTERM starts the graceful shutdown.",
        "cottonwing");
    app.set_version_flag("--version", "cottonwing " COTTONWING_VERSION);
    app.add_option("--log", commandLine.logFormat, "log format: text, or json with one object per line")
        ->transform(CLI::CheckedTransformer(kFormats))
        ->option_text("text|json");
    app.footer(
        "Example:\n  GW_NAME=n3 GW_LISTEN=127.0.0.1:8080 GW_CONFIG=start.json cottonwing --log json\n\n"
        "Exit codes: 0 graceful shutdown, 1 failure, 2 wrong command line, environment or file.");

    CLI::App* const serve = app.add_subcommand("serve", "run a gateway in front of other servers");
    serve->add_option("FILE", commandLine.file, "the gateway's configuration, in KDL")->required();
    serve->add_option("--level", commandLine.logLevel, "log level")
        ->transform(CLI::CheckedTransformer(kLevels))
        ->option_text("error|warn|info|debug");
    serve->footer(
        "Example:\n  cottonwing serve deploy/kiosks.kdl\n\nSIGHUP reads the file again and takes over the "
        "servers of its groups.");

    CLI::App* const check =
        app.add_subcommand("check", "read a configuration file of serve and report what is wrong with it");
    check->add_option("FILE", commandLine.file, "the file")->required();

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        const bool isHelp = app.exit(error) == 0;  // prints the help, the version or the error
        result.exitCode = isHelp ? kExitOk : kExitBadInput;
        return result;
    }
    if (serve->parsed()) commandLine.action = CommandLine::Action::RunGateway;
    if (check->parsed()) commandLine.action = CommandLine::Action::CheckFile;
    return result;
}

/// Runs the loop until it is stopped, and passes the signals on meanwhile: SIGTERM to
/// service.beginShutdown(), SIGHUP to reload, SIGUSR1 to printCounters, which is also called at the end.
template <typename Service, typename Reload, typename PrintCounters>
void runUntilShutDown(net::Loop& loop, Service& service, Reload&& reload, PrintCounters&& printCounters) {
    {
        const net::Signal onTerm(loop, SIGTERM, [&] { service.beginShutdown(); });
        const net::Signal onHup(loop, SIGHUP, reload);
        const net::Signal onUsr1(loop, SIGUSR1, printCounters);
        loop.run();
        // The handlers end with this scope. Without them a signal that arrives late would end the program by
        // the system's default action, with another exit code.
        sigset_t lateSignals;
        sigemptyset(&lateSignals);
        for (const int signal : {SIGHUP, SIGUSR1, SIGTERM}) sigaddset(&lateSignals, signal);
        sigprocmask(SIG_BLOCK, &lateSignals, nullptr);
    }
    printCounters();
}

void runBackend(telemetry::LogFormat logFormat) {
    const config::ProcessConfig config = config::readProcessConfig(std::getenv);
    telemetry::Log log(std::cout, config.level, logFormat);
    telemetry::Counters counters;
    net::Loop loop;
    loop.onUncaughtException([&](const std::string& what) { log.error("exception", what); });
    Server server(loop, config, log, counters);
    runUntilShutDown(
        loop, server, [&] { server.reload(std::getenv); }, [&] { counters.print(std::cout); });
}

void runGateway(const CommandLine& commandLine) {
    const serve::GatewayConfig config = serve::readGatewayConfig(commandLine.file);
    telemetry::Log log(std::cout, commandLine.logLevel, commandLine.logFormat);
    telemetry::Counters counters;
    net::Loop loop;
    loop.onUncaughtException([&](const std::string& what) { log.error("exception", what); });
    serve::Gateway gateway(loop, config, log, counters);
    runUntilShutDown(
        loop, gateway, [&] { gateway.reload(commandLine.file); }, [&] { gateway.printCounters(std::cout); });
}

void checkFile(const std::string& file) {
    serve::readGatewayConfig(file);
    std::cout << file << ": configuration is valid" << std::endl;
}

void perform(const CommandLine& commandLine) {
    switch (commandLine.action) {
        case CommandLine::Action::RunBackend:
            return runBackend(commandLine.logFormat);
        case CommandLine::Action::RunGateway:
            return runGateway(commandLine);
        case CommandLine::Action::CheckFile:
            return checkFile(commandLine.file);
    }
}

/// Parses the command line and performs the action.
/// @return the exit code; errors have been printed.
int run(int argc, char** argv) {
    try {
        // The parser's memory is released before the service starts, which has little.
        const ParsedCommandLine parsed = parseCommandLine(argc, argv);
        if (parsed.exitCode) return *parsed.exitCode;
        perform(parsed.commandLine);
        return kExitOk;
    } catch (const kdl::DocumentError& error) {
        std::cerr << error.what() << std::endl;
        return kExitBadInput;
    } catch (const config::ConfigError& error) {
        std::cerr << "cottonwing: " << error.what() << " (see cottonwing --help)" << std::endl;
        return kExitBadInput;
    } catch (const std::exception& error) {
        std::cerr << "cottonwing: " << error.what() << std::endl;
        return kExitFailed;
    }
}

}  // namespace

int main(int argc, char** argv) {
    // Ignored until a service can handle it: a reload that is requested early must not end the program.
    std::signal(SIGHUP, SIG_IGN);
    return run(argc, argv);
}
