// A process that we started: told by signals, looked at through the system's
// own files, waited for.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "net/loop.h"

namespace cottonwing::loadtest {

class ChildProcess {
public:
    // Its output is appended to the file. Throws std::runtime_error where it
    // can't be started.
    ChildProcess(net::Loop& loop, const std::string& program, std::vector<std::string> arguments,
                 const std::map<std::string, std::string>& environment, const std::string& output,
                 std::function<void(int code, int signal)> onExit);
    ~ChildProcess();  // killed, if it is still there
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void sendSignal(int number);
    bool running() const;
    int pid() const;
    // Of the system's books: seconds of CPU so far and resident megabytes; 0
    // where it is gone.
    double cpuSeconds() const;
    double memoryMb() const;

private:
    struct Handle;
    Handle* handle_;
};

}  // namespace cottonwing::loadtest
