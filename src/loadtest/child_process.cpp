#include "loadtest/child_process.h"

#include <fcntl.h>
#include <unistd.h>
#include <uv.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>
#include <stdexcept>

namespace cottonwing::loadtest {

struct ChildProcess::Handle {
    uv_process_t process;
    std::function<void(int, int)> onExit;
    bool running = false, ownerAlive = true;
};

ChildProcess::ChildProcess(net::Loop& loop, const std::string& program, std::vector<std::string> arguments,
                           const std::map<std::string, std::string>& environment, const std::string& output,
                           std::function<void(int, int)> onExit)
    : handle_(new Handle{{}, std::move(onExit), false, true}) {
    std::vector<std::string> variables;
    for (const auto& [name, value] : environment) variables.push_back(name + "=" + value);
    // Variables that are passed on because builds with sanitizers or local libraries need them.
    for (const char* name : {"PATH", "ASAN_OPTIONS", "UBSAN_OPTIONS", "LD_LIBRARY_PATH", "TMPDIR"})
        if (const char* value = std::getenv(name)) variables.push_back(std::string(name) + "=" + value);
    std::vector<char*> environmentPointers;
    for (std::string& variable : variables) environmentPointers.push_back(variable.data());
    environmentPointers.push_back(nullptr);
    const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (file < 0) {
        delete handle_;
        throw std::runtime_error(output + " can't be written: " + std::strerror(errno));
    }
    std::string name = program;
    std::vector<char*> argumentPointers = {name.data()};
    for (std::string& argument : arguments) argumentPointers.push_back(argument.data());
    argumentPointers.push_back(nullptr);
    uv_stdio_container_t streams[3];
    streams[0].flags = UV_IGNORE;
    streams[1].flags = streams[2].flags = UV_INHERIT_FD;
    streams[1].data.fd = streams[2].data.fd = file;
    uv_process_options_t options{};
    options.file = program.c_str();
    options.args = argumentPointers.data();
    options.env = environmentPointers.data();
    options.stdio = streams;
    options.stdio_count = 3;
    options.exit_cb = [](uv_process_t* process, std::int64_t code, int signal) {
        auto* handle = static_cast<Handle*>(process->data);
        handle->running = false;
        const auto onExit = handle->onExit;
        net::Loop& loop = net::Loop::of(process->loop);
        if (handle->ownerAlive && onExit) loop.runGuarded([&] { onExit(static_cast<int>(code), signal); });
    };
    const int error = uv_spawn(loop.uvLoop(), &handle_->process, &options);
    handle_->process.data = handle_;
    close(file);
    if (error != 0) {
        uv_close(reinterpret_cast<uv_handle_t*>(&handle_->process),
                 [](uv_handle_t* closed) { delete static_cast<Handle*>(closed->data); });
        throw std::runtime_error(program + " can't be started: " + uv_strerror(error));
    }
    handle_->running = true;
}

ChildProcess::~ChildProcess() {
    handle_->ownerAlive = false;
    if (handle_->running) uv_process_kill(&handle_->process, SIGKILL);
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->process),
             [](uv_handle_t* closed) { delete static_cast<Handle*>(closed->data); });
}

void ChildProcess::sendSignal(int number) {
    if (handle_->running) uv_process_kill(&handle_->process, number);
}
bool ChildProcess::running() const { return handle_->running; }
int ChildProcess::pid() const { return handle_->process.pid; }

double ChildProcess::cpuSeconds() const {
    std::ifstream in("/proc/" + std::to_string(pid()) + "/stat");
    std::string all;
    std::getline(in, all);
    const std::size_t end = all.rfind(')');  // the process name may contain spaces
    if (!handle_->running || end == all.npos) return 0;
    long long user = 0, system = 0;
    if (std::sscanf(all.c_str() + end + 1, " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lld %lld", &user,
                    &system) != 2)
        return 0;
    return static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ChildProcess::memoryMb() const {
    std::ifstream in("/proc/" + std::to_string(pid()) + "/statm");
    double pages = 0, resident = 0;
    if (!handle_->running || !(in >> pages >> resident)) return 0;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

}  // namespace cottonwing::loadtest
