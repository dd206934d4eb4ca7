/// @file
/// A child process: started, signalled, measured through /proc and waited for.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "net/loop.h"

namespace cottonwing::loadtest {

/// Runs one program; its exit is reported on the loop.
class ChildProcess {
public:
    /// Starts the program. Standard output and standard error are appended to the file `output`. The callback
    /// is not called if the object is destroyed first. Throws std::runtime_error if the file can't be opened
    /// or the program can't be started.
    ChildProcess(net::Loop& loop, const std::string& program, std::vector<std::string> arguments,
                 const std::map<std::string, std::string>& environment, const std::string& output,
                 std::function<void(int code, int signal)> onExit);
    /// Kills the process if it is still running.
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void sendSignal(int number);
    bool running() const;
    int pid() const;
    /// The CPU time used so far, user and system; 0 if the process has ended.
    double cpuSeconds() const;
    /// The resident memory in MiB; 0 if the process has ended.
    double memoryMb() const;

private:
    struct Handle;
    Handle* handle_;
};

}  // namespace cottonwing::loadtest
