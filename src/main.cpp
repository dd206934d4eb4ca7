// One backend on sockets: reads what it is told, then turns the loop until it has left.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "serve/gateway.h"
#include "server.h"

namespace {

using namespace cottonwing;

// Turns the loop until it has left; what is served is told of the signals, and prints its counters at the
// end.
template <typename Served, typename Again, typename Print>
int turn(net::Loop& loop, Served& served, Again&& again, Print&& print) {
    {
        net::Signal term(loop, SIGTERM, [&] { served.leave(); });
        net::Signal hup(loop, SIGHUP, again);
        net::Signal usr1(loop, SIGUSR1, print);
        loop.run();
        // The handlers go with this scope, and what the system would do instead is to end the program.
        sigset_t late;
        sigemptyset(&late);
        for (const int signal : {SIGHUP, SIGUSR1, SIGTERM}) sigaddset(&late, signal);
        sigprocmask(SIG_BLOCK, &late, nullptr);
    }
    print();
    return 0;
}

int asThePlatformStartsIt(telemetry::Form form) {
    const config::ProcessConfig start = config::readProcessConfig(std::getenv);
    telemetry::Log log(std::cout, start.level, form);
    telemetry::Counters counters;
    net::Loop loop;
    loop.onTrouble([&](const std::string& what) { log.error("trouble", what); });
    Server server(loop, start, log, counters);
    return turn(
        loop, server, [&] { server.readAgain(std::getenv); }, [&] { counters.print(std::cout); });
}

int asAFileSays(const std::string& path, telemetry::Level level, telemetry::Form form) {
    const serve::ServeTerms terms = serve::readServe(path);
    telemetry::Log log(std::cout, level, form);
    telemetry::Counters counters;
    net::Loop loop;
    loop.onTrouble([&](const std::string& what) { log.error("trouble", what); });
    serve::Gateway gateway(loop, terms, log, counters);
    return turn(
        loop, gateway, [&] { gateway.readAgain(path); }, [&] { gateway.print(std::cout); });
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGHUP, SIG_IGN);  // until there is something that can read the file again
    telemetry::Form form = telemetry::Form::Text;
    telemetry::Level level = telemetry::Level::Info;
    std::string file;
    bool serves = false, checks = false;
    {
        // Gone before the service starts: it rests on no more memory than it needs.
        CLI::App app(
            "cottonwing: an overload controller inside each server of a fleet.\n\n"
            "Without a sub-command it serves: it takes its name from GW_NAME, the address to listen on from\n"
            "GW_LISTEN and a JSON file from GW_CONFIG, and logs at the level in GW_LOG (error, warn, info,\n"
            "debug). SIGHUP reads the file again, SIGUSR1 prints the counters, SIGTERM is the notice to "
            "leave.",
            "cottonwing");
        app.set_version_flag("--version", "cottonwing " COTTONWING_VERSION);
        app.add_option("--log", form, "form of the log: text, or json with one object a line")
            ->transform(CLI::CheckedTransformer(std::map<std::string, telemetry::Form>{
                {"text", telemetry::Form::Text}, {"json", telemetry::Form::Json}}))
            ->option_text("text|json");
        CLI::App* const serving =
            app.add_subcommand("serve", "stand before other servers, as a file in KDL says");
        serving->add_option("FILE", file, "the file")->required();
        serving->add_option("--level", level, "of the log")
            ->transform(CLI::CheckedTransformer(
                std::map<std::string, telemetry::Level>{{"error", telemetry::Level::Error},
                                                        {"warn", telemetry::Level::Warn},
                                                        {"info", telemetry::Level::Info},
                                                        {"debug", telemetry::Level::Debug}}))
            ->option_text("error|warn|info|debug");
        serving->footer(
            "Example:\n  cottonwing serve deploy/kiosks.kdl\n\nSIGHUP reads the servers of its groups "
            "again.");
        CLI::App* const checking =
            app.add_subcommand("check", "read a file of serve, and say what is wrong with it");
        checking->add_option("FILE", file, "the file")->required();
        app.footer(
            "Example:\n  GW_NAME=n3 GW_LISTEN=127.0.0.1:8080 GW_CONFIG=start.json cottonwing --log json\n\n"
            "Exit codes: 0 it has left in order, 1 it failed, 2 it was told something wrong.");
        try {
            app.parse(argc, argv);
            serves = serving->parsed();
            checks = checking->parsed();
        } catch (const CLI::ParseError& error) {
            return app.exit(error) == 0 ? 0 : 2;
        }
    }
    try {
        if (checks) {
            serve::readServe(file);
            std::cout << file << ": all is well" << std::endl;
            return 0;
        }
        return serves ? asAFileSays(file, level, form) : asThePlatformStartsIt(form);
    } catch (const kdl::Problem& problem) {
        std::cerr << problem.what() << std::endl;
        return 2;
    } catch (const config::ConfigError& error) {
        std::cerr << "cottonwing: " << error.what() << " (cottonwing --help tells what it needs)"
                  << std::endl;
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "cottonwing: " << error.what() << std::endl;
        return 1;
    }
}
