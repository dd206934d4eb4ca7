// A process that we started: told by signals, looked at through the system's
// own files, waited for.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "net/loop.h"

namespace cottonwing::loadtest {

class Process {
public:
    // Its output is appended to the file. Throws std::runtime_error where it
    // can't be started.
    Process(net::Loop& loop, const std::string& program, std::vector<std::string> arguments,
            const std::map<std::string, std::string>& environment, const std::string& output,
            std::function<void(int code, int signal)> ended);
    ~Process();  // killed, if it is still there
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number);
    bool there() const;
    int id() const;
    // Of the system's books: seconds of CPU so far and resident megabytes; 0
    // where it is gone.
    double cpuSeconds() const;
    double memoryMb() const;

private:
    struct Handle;
    Handle* handle_;
};

}  // namespace cottonwing::loadtest
