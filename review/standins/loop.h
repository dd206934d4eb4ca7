// A small single-threaded event loop for the stand-ins: TCP on loopback, timers, child processes.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace standins {

inline double unixSeconds() {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

[[noreturn]] inline void cannotRun(const std::string& why) {
    std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
    std::exit(2);
}

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int listenOn(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address = loopback(port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 511) != 0)
        cannotRun("cannot listen");
    return fd;
}

inline int portOf(int fd) {
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

inline int freePort() {
    const int fd = listenOn(0);
    const int port = portOf(fd);
    close(fd);
    return port;
}

struct Connection {
    int fd = -1;
    std::string in, out;
    bool connecting = false, gone = false, paused = false, closeWhenWritten = false;
    std::function<void(Connection&)> onData, onEnd;

    void send(const std::string& bytes) {
        if (gone) return;
        out += bytes;
        write();
    }
    void write() {
        while (!gone && !connecting && !out.empty()) {
            const ssize_t count = ::send(fd, out.data(), out.size(), MSG_NOSIGNAL);
            if (count > 0) {
                out.erase(0, static_cast<std::size_t>(count));
            } else if (errno == EAGAIN) {
                return;
            } else {
                out.clear();
                return;  // the reader notices the end
            }
        }
        if (closeWhenWritten && out.empty()) close();
    }
    void close() {
        if (gone) return;
        gone = true;
        ::close(fd);
    }
};
using ConnectionPtr = std::shared_ptr<Connection>;

class Loop {
public:
    ConnectionPtr add(int fd) {
        const int yes = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        auto connection = std::make_shared<Connection>();
        connection->fd = fd;
        connections_.push_back(connection);
        return connection;
    }
    ConnectionPtr connect(int port) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd < 0) cannotRun("no socket");
        sockaddr_in address = loopback(port);
        const int result = ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
        ConnectionPtr connection = add(fd);
        connection->connecting = result != 0;
        return connection;
    }
    // Returns the port.
    int listen(int port, std::function<void(ConnectionPtr)> onAccept) {
        const int fd = listenOn(port);
        listeners_.emplace_back(fd, std::move(onAccept));
        return portOf(fd);
    }
    void after(double seconds, std::function<void()> work) {
        timers_.emplace(unixSeconds() + seconds, std::move(work));
    }
    void stop() { stopped_ = true; }
    void run() {
        while (!stopped_) turn();
    }

private:
    void turn() {
        double now = unixSeconds();
        while (!timers_.empty() && timers_.begin()->first <= now) {
            auto work = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            work();
            if (stopped_) return;
        }
        connections_.remove_if([](const ConnectionPtr& each) { return each->gone; });
        std::vector<pollfd> fds;
        std::vector<ConnectionPtr> polled;
        for (const auto& [fd, accept] : listeners_) fds.push_back({fd, POLLIN, 0});
        for (const ConnectionPtr& each : connections_) {
            short events = each->paused ? 0 : POLLIN;
            if (each->connecting || !each->out.empty()) events |= POLLOUT;
            fds.push_back({each->fd, events, 0});
            polled.push_back(each);
        }
        now = unixSeconds();
        const double wait = timers_.empty() ? 0.1 : std::max(0.0, std::min(0.1, timers_.begin()->first - now));
        timespec timeout{0, static_cast<long>(wait * 1e9)};
        if (ppoll(fds.data(), fds.size(), &timeout, nullptr) <= 0) return;
        const std::size_t listenerCount = listeners_.size();
        for (std::size_t i = 0; i < listenerCount; ++i) {
            if (fds[i].revents == 0) continue;
            for (;;) {
                const int fd = accept4(listeners_[i].first, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                if (fd < 0) break;
                listeners_[i].second(add(fd));
            }
        }
        for (std::size_t i = 0; i < polled.size(); ++i) {
            Connection& each = *polled[i];
            const short ready = fds[listenerCount + i].revents;
            if (each.gone || ready == 0) continue;
            if (each.connecting && (ready & (POLLOUT | POLLERR | POLLHUP)) != 0) {
                int error = 0;
                socklen_t length = sizeof error;
                getsockopt(each.fd, SOL_SOCKET, SO_ERROR, &error, &length);
                if (error != 0) {  // refused: it stays `connecting`, so that onEnd can tell
                    end(each);
                    continue;
                }
                each.connecting = false;
            }
            if ((ready & POLLOUT) != 0) each.write();
            if (!each.gone && (ready & (POLLIN | POLLHUP | POLLERR)) != 0) read(each);
        }
    }
    void read(Connection& each) {
        char buffer[65536];
        bool ended = false, any = false;
        for (;;) {
            const ssize_t count = recv(each.fd, buffer, sizeof buffer, 0);
            if (count > 0) {
                each.in.append(buffer, static_cast<std::size_t>(count));
                any = true;
                continue;
            }
            ended = count == 0 || errno != EAGAIN;
            break;
        }
        if (any && each.onData) each.onData(each);
        if (ended && !each.gone) end(each);
    }
    static void end(Connection& each) {
        each.close();
        if (each.onEnd) each.onEnd(each);
    }

    std::list<ConnectionPtr> connections_;
    std::vector<std::pair<int, std::function<void(ConnectionPtr)>>> listeners_;
    std::multimap<double, std::function<void()>> timers_;
    bool stopped_ = false;
};

// A process that the case started.
class Child {
public:
    // Runs `command` by /bin/sh -c in `folder`, with `variables` added to the environment and its output in `log`.
    Child(const std::string& command, const std::string& folder, const std::map<std::string, std::string>& variables,
          const std::string& log) {
        pid_ = fork();
        if (pid_ != 0) return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);  // it must not outlive the case
        if (chdir(folder.c_str()) != 0) _exit(127);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        for (const auto& [name, value] : variables) setenv(name.c_str(), value.c_str(), 1);
        execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
        _exit(127);
    }
    ~Child() { kill(); }
    Child(const Child&) = delete;
    void signal(int number) const {
        if (pid_ > 0) ::kill(pid_, number);
    }
    bool running() {
        if (pid_ <= 0) return false;
        if (waitpid(pid_, &status_, WNOHANG) == 0) return true;
        pid_ = -1;
        return false;
    }
    std::string endedBy() const {
        if (WIFSIGNALED(status_)) return "signal " + std::to_string(WTERMSIG(status_));
        return "exit code " + std::to_string(WEXITSTATUS(status_));
    }
    void kill() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        waitpid(pid_, &status_, 0);
        pid_ = -1;
    }

private:
    pid_t pid_ = -1;
    int status_ = 0;
};

// Writes one line for each thing that was sent, answered or run.
class Record {
public:
    explicit Record(const std::string& path) : file_(path, std::ios::trunc), start_(unixSeconds()) {}
    void line(const std::string& text) {
        char time[32];
        std::snprintf(time, sizeof time, "%10.4f ", unixSeconds() - start_);
        file_ << time << text << '\n';
    }
    void flush() { file_.flush(); }

private:
    std::ofstream file_;
    double start_;
};

inline bool troubleWanted() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

}  // namespace standins
