// The backend's surroundings as the protocol page describes them: worker pool, records service, registry. One
// process, so that the worker pool knows which requests came and which are over.
#pragma once

#include <algorithm>
#include <deque>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "loop.h"

namespace standins {

using Json = nlohmann::json;

inline std::string toBase64(const std::string& bytes) {
    static constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned word = 0;
        for (std::size_t j = 0; j < 3; ++j)
            word = word << 8 | (i + j < bytes.size() ? static_cast<std::uint8_t>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            out.push_back(i + j > bytes.size() ? '=' : kDigits[word >> (18 - 6 * j) & 63]);
    }
    return out;
}

inline std::string fromBase64(const std::string& text) {
    std::string out;
    unsigned word = 0, bits = 0;
    for (const char digit : text) {
        unsigned value = 0;
        if (digit >= 'A' && digit <= 'Z') value = static_cast<unsigned>(digit - 'A');
        else if (digit >= 'a' && digit <= 'z') value = static_cast<unsigned>(digit - 'a') + 26;
        else if (digit >= '0' && digit <= '9') value = static_cast<unsigned>(digit - '0') + 52;
        else if (digit == '+') value = 62;
        else if (digit == '/') value = 63;
        else break;
        word = word << 6 | value;
        bits += 6;
        if (bits < 8) continue;
        bits -= 8;
        out.push_back(static_cast<char>(word >> bits));
    }
    return out;
}

// What the platform knows of a request.
struct KnownRequest {
    std::string route, body;
    bool over = false;  // answered, or its client has left
};

// The worker pool of one backend. Runs take their time without sharing cores, which is kinder than the platform.
class Pool {
public:
    struct Run {
        std::string job, key;
        int calls = 0, call = 0;  // the last call that it has come to
        bool waits = false;
        std::vector<std::string> replies;  // as they were supplied
        double startedAt = 0;
    };

    Pool(Loop& loop, Record& record, std::map<std::string, KnownRequest>& requests, unsigned seed)
        : loop_(loop), record_(record), requests_(requests), random_(seed) {
        port_ = loop.listen(0, [this](ConnectionPtr from) { accepted(std::move(from)); });
    }

    int port() const { return port_; }
    // Work between two calls, in seconds.
    double segmentFrom = 0.002, segmentTo = 0.004;
    std::function<void(const std::string& job)> onRun;               // a run begins
    std::function<void(const Run&, const std::string& reply)> onSupply;  // a run is given the reply it waits for

    Run* waiting(const std::string& job) {
        const auto found = runs_.find(job);
        return found != runs_.end() && found->second.waits ? &found->second : nullptr;
    }
    static std::string callBody(const Run& run) { return "call " + std::to_string(run.call) + " of " + run.job; }
    // The link breaks; runs go on.
    void breakLink() {
        if (!link_ || link_->gone) return;
        record_.line("pool: the link breaks");
        link_->close();
        link_.reset();
        bound_ = false;
    }
    std::size_t runs() const { return runs_.size(); }
    // The backend was started anew: so is its worker pool.
    void restart() {
        ++life_;
        runs_.clear(), notices_.clear();
        lastNotice_ = 0;
        bound_ = false;
    }

private:
    void accepted(ConnectionPtr from) {
        if (link_ && !link_->gone) link_->close();  // a new link replaces the one before it
        link_ = from;
        bound_ = false;
        from->onData = [this](Connection& c) {
            std::size_t at = 0, end = 0;
            while (!c.gone && (end = c.in.find('\n', at)) != std::string::npos) {
                const std::string line = c.in.substr(at, end - at);
                at = end + 1;
                command(c, Json::parse(line, nullptr, false));
            }
            c.in.erase(0, at);
        };
    }
    void write(const Json& message) {
        if (link_ && !link_->gone) link_->send(message.dump() + "\n");
    }
    void notice(Json message) {
        message["n"] = ++lastNotice_;
        notices_.push_back(message);
        if (notices_.size() > 4000) notices_.pop_front();
        if (bound_) write(message);
    }
    void command(Connection& from, const Json& message) {
        if (!message.is_object()) return from.close();
        const std::string type = message.value("type", ""), job = message.value("job", "");
        if (type == "bind") {
            write({{"type", "bound"}, {"state", "warm"}, {"took", 60000}});
            bound_ = true;
            const auto after = message.value("n", std::uint64_t{0});
            for (const Json& each : notices_)
                if (each["n"].get<std::uint64_t>() > after) write(each);
        } else if (type == "spawn") {
            spawn(job, message);
        } else if (type == "suspend") {
            const auto found = runs_.find(job);
            if (found != runs_.end()) finish(found->second, "halted", "");
        } else if (type == "supply") {
            const auto found = runs_.find(job);
            if (found == runs_.end() || !found->second.waits) return;
            Run& run = found->second;
            const std::string reply = fromBase64(message.value("data", ""));
            if (onSupply) onSupply(run, reply);
            run.replies.push_back(reply);
            run.waits = false;
            work(run);
        } else if (type == "poll") {
            write({{"type", "polled"},
                   {"ref", message.value("ref", "")},
                   {"gauges", {std::min(1.0, static_cast<double>(working()) / 6), working(), 0.2, 10}}});
        } else if (type == "verify") {
            write({{"type", "verified"}, {"ref", message.value("ref", "")}, {"state", "ok"}});
        } else {
            write({{"type", "unknown"}, {"state", type}, {"job", job}});
        }
    }
    int working() const {
        return static_cast<int>(
            std::count_if(runs_.begin(), runs_.end(), [](const auto& each) { return !each.second.waits; }));
    }
    void spawn(const std::string& job, const Json& message) {
        if (runs_.contains(job)) return;  // it runs already
        const auto known = requests_.find(job);
        if (known == requests_.end() || known->second.route != message.value("kind", "") ||
            known->second.body != fromBase64(message.value("data", "")))
            return write({{"type", "unknown"}, {"state", "spawn"}, {"job", job}});
        if (known->second.over)
            return notice({{"type", "finished"}, {"job", job}, {"state", "void"}, {"took", 0}, {"data", ""}});
        Run& run = runs_[job];
        run.job = job;
        run.startedAt = unixSeconds();
        const std::size_t at = known->second.body.find("calls=");
        run.calls = at == std::string::npos ? 0 : std::atoi(known->second.body.c_str() + at + 6);
        if (onRun) onRun(job);
        work(run);
    }
    void work(Run& run) {
        const double seconds = std::uniform_real_distribution<double>(segmentFrom, segmentTo)(random_);
        loop_.after(seconds, [this, job = run.job, call = run.call, life = life_, began = run.startedAt] {
            const auto found = runs_.find(job);
            if (life != life_ || found == runs_.end() || found->second.call != call || found->second.startedAt != began)
                return;
            Run& each = found->second;
            if (each.call == each.calls) {
                std::string result = "result of " + each.job;
                for (const std::string& reply : each.replies) result += "; " + reply;
                return finish(each, "ok", result);
            }
            ++each.call;
            each.waits = true;
            notice({{"type", "blocked"}, {"job", job}, {"data", toBase64(callBody(each))}});
        });
    }
    void finish(const Run& run, const std::string& state, const std::string& result) {
        const std::string job = run.job;
        const double took = (unixSeconds() - run.startedAt) * 1000;
        runs_.erase(job);
        notice({{"type", "finished"}, {"job", job}, {"state", state}, {"took", took}, {"data", toBase64(result)}});
    }

    Loop& loop_;
    Record& record_;
    std::map<std::string, KnownRequest>& requests_;
    std::mt19937 random_;
    int port_ = 0, life_ = 0;
    ConnectionPtr link_;
    bool bound_ = false;
    std::deque<Json> notices_;
    std::uint64_t lastNotice_ = 0;
    std::map<std::string, Run> runs_;
};

// An HTTP/1.1 server with one call at a time on a connection.
class HttpServer {
public:
    struct Request {
        std::string head, body;
        std::string header(const std::string& name) const {
            const std::size_t at = head.find("\r\n" + name + ": ");
            if (at == std::string::npos) return {};
            const std::size_t from = at + name.size() + 4;
            return head.substr(from, head.find("\r\n", from) - from);
        }
    };
    using Handler = std::function<void(ConnectionPtr, const Request&)>;

    HttpServer(Loop& loop, Handler handler) : handler_(std::move(handler)) {
        port_ = loop.listen(0, [this](ConnectionPtr from) {
            from->onData = [this, weak = std::weak_ptr<Connection>(from)](Connection& c) {
                for (;;) {
                    const std::size_t end = c.in.find("\r\n\r\n");
                    if (c.gone || end == std::string::npos) return;
                    Request request{c.in.substr(0, end + 2), {}};
                    const std::size_t length = static_cast<std::size_t>(std::atoi(request.header("Content-Length").c_str()));
                    if (c.in.size() < end + 4 + length) return;
                    request.body = c.in.substr(end + 4, length);
                    c.in.erase(0, end + 4 + length);
                    handler_(weak.lock(), request);
                }
            };
        });
    }
    int port() const { return port_; }

private:
    Handler handler_;
    int port_ = 0;
};

inline std::string httpReply(const std::string& status, const std::string& body, const std::string& headers = {}) {
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline void answerRegistry(const ConnectionPtr& from, const HttpServer::Request&) {
    from->send("HTTP/1.1 204 No Content\r\n\r\n");
}

inline void writeFile(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

}  // namespace standins
