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

struct Process::Handle {
    uv_process_t process;
    std::function<void(int, int)> ended;
    bool there = false, mine = true;
};

Process::Process(net::Loop& loop, const std::string& program, std::vector<std::string> words,
                 const std::map<std::string, std::string>& environment, const std::string& output,
                 std::function<void(int, int)> ended)
    : handle_(new Handle{{}, std::move(ended), false, true}) {
    std::vector<std::string> variables;
    for (const auto& [name, value] : environment) variables.push_back(name + "=" + value);
    // What the tools around a build need of ours: sanitizers' options, and where
    // libraries are.
    for (const char* name : {"PATH", "ASAN_OPTIONS", "UBSAN_OPTIONS", "LD_LIBRARY_PATH", "TMPDIR"})
        if (const char* value = std::getenv(name)) variables.push_back(std::string(name) + "=" + value);
    std::vector<char*> each;
    for (std::string& variable : variables) each.push_back(variable.data());
    each.push_back(nullptr);
    const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (file < 0) {
        delete handle_;
        throw std::runtime_error(output + " can't be written: " + std::strerror(errno));
    }
    std::string name = program;
    std::vector<char*> arguments = {name.data()};
    for (std::string& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    uv_stdio_container_t streams[3];
    streams[0].flags = UV_IGNORE;
    streams[1].flags = streams[2].flags = UV_INHERIT_FD;
    streams[1].data.fd = streams[2].data.fd = file;
    uv_process_options_t options{};
    options.file = program.c_str();
    options.args = arguments.data();
    options.env = each.data();
    options.stdio = streams;
    options.stdio_count = 3;
    options.exit_cb = [](uv_process_t* process, std::int64_t code, int signal) {
        auto* handle = static_cast<Handle*>(process->data);
        handle->there = false;
        const auto ended = handle->ended;
        net::Loop& loop = net::Loop::of(process->loop);
        if (handle->mine && ended) loop.runGuarded([&] { ended(static_cast<int>(code), signal); });
    };
    const int error = uv_spawn(loop.uvLoop(), &handle_->process, &options);
    handle_->process.data = handle_;
    close(file);
    if (error != 0) {
        uv_close(reinterpret_cast<uv_handle_t*>(&handle_->process),
                 [](uv_handle_t* closed) { delete static_cast<Handle*>(closed->data); });
        throw std::runtime_error(program + " can't be started: " + uv_strerror(error));
    }
    handle_->there = true;
}

Process::~Process() {
    handle_->mine = false;
    if (handle_->there) uv_process_kill(&handle_->process, SIGKILL);
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_->process),
             [](uv_handle_t* closed) { delete static_cast<Handle*>(closed->data); });
}

void Process::signal(int number) {
    if (handle_->there) uv_process_kill(&handle_->process, number);
}
bool Process::there() const { return handle_->there; }
int Process::id() const { return handle_->process.pid; }

double Process::cpuSeconds() const {
    std::ifstream in("/proc/" + std::to_string(id()) + "/stat");
    std::string all;
    std::getline(in, all);
    const std::size_t end = all.rfind(')');  // the name may hold blanks
    if (!handle_->there || end == all.npos) return 0;
    long long user = 0, system = 0;
    if (std::sscanf(all.c_str() + end + 1, " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lld %lld", &user,
                    &system) != 2)
        return 0;
    return static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double Process::memoryMb() const {
    std::ifstream in("/proc/" + std::to_string(id()) + "/statm");
    double pages = 0, resident = 0;
    if (!handle_->there || !(in >> pages >> resident)) return 0;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

}  // namespace cottonwing::loadtest
