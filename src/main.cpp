// One backend on sockets: reads what it is told, then turns the loop until it has left.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "server.h"

int main() {
    using namespace cottonwing;
    std::signal(SIGHUP, SIG_IGN);  // until there is something that can read the file again
    try {
        const launch::Start start = launch::readStart(std::getenv);
        report::Log log(std::cout, start.level);
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
    } catch (const launch::BadKey& error) {
        std::cerr << "cottonwing: " << error.what() << std::endl;
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "cottonwing: " << error.what() << std::endl;
        return 1;
    }
}
