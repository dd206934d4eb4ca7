// Hosts the instances of one process: batches on standard input, replies on standard output.
#include <cstdio>
#include <exception>
#include <iostream>

#include "simulator/instance_host.h"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    cottonwing::simulator::InstanceHost host;
    std::string reply;
    try {
        while (host.serve(std::cin, reply)) {
            if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() ||
                std::fflush(stdout) != 0) {
                std::fputs("cottonwing_wirehost: standard output is closed\n", stderr);
                return 1;
            }
            reply.clear();
        }
    } catch (const std::exception& error) {
        std::fprintf(stderr, "cottonwing_wirehost: %s\n", error.what());
        return 2;
    }
    return 0;
}
