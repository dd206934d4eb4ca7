// One backend on sockets: reads what it is told, then turns the loop until it has left.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "server.h"

namespace {

using namespace cottonwing;

int serve(report::Form form) {
    const launch::Start start = launch::readStart(std::getenv);
    report::Log log(std::cout, start.level, form);
    report::Counters counters;
    net::Loop loop;
    loop.onTrouble([&](const std::string& what) { log.error("trouble", what); });
    Server server(loop, start, log, counters);
    net::Signal term(loop, SIGTERM, [&] { server.leave(); });
    net::Signal hup(loop, SIGHUP, [&] { server.readAgain(std::getenv); });
    net::Signal usr1(loop, SIGUSR1, [&] { counters.print(std::cout); });
    loop.run();
    // The handlers go with this scope, and what the system would do instead is to end the program.
    sigset_t late;
    sigemptyset(&late);
    for (const int signal : {SIGHUP, SIGUSR1, SIGTERM}) sigaddset(&late, signal);
    sigprocmask(SIG_BLOCK, &late, nullptr);
    counters.print(std::cout);
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGHUP, SIG_IGN);  // until there is something that can read the file again
    report::Form form = report::Form::Text;
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
            ->transform(CLI::CheckedTransformer(std::map<std::string, report::Form>{
                {"text", report::Form::Text}, {"json", report::Form::Json}}))
            ->option_text("text|json");
        app.footer(
            "Example:\n  GW_NAME=n3 GW_LISTEN=127.0.0.1:8080 GW_CONFIG=start.json cottonwing --log json\n\n"
            "Exit codes: 0 it has left in order, 1 it failed, 2 it was told something wrong.");
        try {
            app.parse(argc, argv);
        } catch (const CLI::ParseError& error) {
            return app.exit(error) == 0 ? 0 : 2;
        }
    }
    try {
        return serve(form);
    } catch (const launch::BadKey& error) {
        std::cerr << "cottonwing: " << error.what() << " (cottonwing --help tells what it needs)"
                  << std::endl;
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "cottonwing: " << error.what() << std::endl;
        return 1;
    }
}
