/// @file
/// The program that the simulator starts: reads batches from standard input and writes replies to standard
/// output. Exit status: 0 at the end of the input, 1 if standard output is closed, 2 on a malformed batch.
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

#include "simulator/instance_host.h"

namespace {

constexpr int kOutputClosed = 1;
constexpr int kInputMalformed = 2;

bool writeReply(const std::string& reply) {
    return std::fwrite(reply.data(), 1, reply.size(), stdout) == reply.size() && std::fflush(stdout) == 0;
}

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    cottonwing::simulator::InstanceHost host;
    std::string reply;
    try {
        while (host.serve(std::cin, reply)) {
            if (!writeReply(reply)) {
                std::fputs("cottonwing_wirehost: standard output is closed\n", stderr);
                return kOutputClosed;
            }
            reply.clear();
        }
    } catch (const std::exception& error) {
        std::fprintf(stderr, "cottonwing_wirehost: %s\n", error.what());
        return kInputMalformed;
    }
    return 0;
}
