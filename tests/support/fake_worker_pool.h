/// @file
/// A worker pool that speaks the published protocol: JSON lines over TCP.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fake_server.h"
#include "net/loop.h"
#include "worker_pool/protocol.h"

namespace cottonwing::testing {

using Json = nlohmann::json;

/// Keeps what the program sends, and sends what a test makes it say. Notices are numbered and are repeated on
/// a new connection from the number that the `bind` message names.
class FakeWorkerPool {
public:
    explicit FakeWorkerPool(net::Loop& loop)
        : server(loop, [this](net::Connection& on, std::string& t) { hear(on, t); }) {}

    /// Sends a numbered notice, at once or on the next connection.
    void say(Json notice) {
        notice["n"] = ++last;
        said.push_back(notice);
        if (!server.lines.empty() && boundOn == server.accepted) send(notice);
    }
    /// Ends a run.
    void finish(const std::string& job, const std::string& state = "ok", const std::string& result = "") {
        running.erase(job);
        say({{"type", "finished"},
             {"job", job},
             {"state", state},
             {"took", 5},
             {"data", worker_pool::encodeBase64(result)}});
    }
    /// Has a run wait for its dependency call.
    void block(const std::string& job, const std::string& body) {
        say({{"type", "blocked"}, {"job", job}, {"data", worker_pool::encodeBase64(body)}});
    }
    /// Sends a message without a number.
    void send(const Json& line) { server.lines.back().connection->send(line.dump() + "\n"); }

    bool up = true, answersPolls = true;
    std::string verifies = "ok";
    std::map<std::string, std::string> running, supplied, kinds;  // by job: body, reply, class
    std::vector<std::string> halted, refused, passed;
    std::vector<Json> binds, said;
    int starts = 0, polls = 0, checks = 0, boundOn = 0;
    std::uint64_t last = 0;
    FakeServer server;

private:
    void hear(net::Connection&, std::string& text) {
        for (std::size_t end; (end = text.find('\n')) != text.npos; text.erase(0, end + 1)) {
            const Json all = Json::parse(text.substr(0, end));
            const std::string type = all["type"], job = all.value("job", "");
            const std::string data = worker_pool::decodeBase64(all.value("data", "")).value();
            if (type == "bind") {
                binds.push_back(all);
                boundOn = server.accepted;
                if (!up) continue;
                send({{"type", "bound"}, {"state", "warm"}, {"took", 60000}});
                for (const Json& notice : said)
                    if (notice["n"] > all["n"]) send(notice);
            } else if (type == "spawn") {
                ++starts;
                kinds[job] = all["kind"];
                if (std::erase(refused, job) > 0)
                    send({{"type", "unknown"}, {"state", "spawn"}, {"job", job}});
                else
                    running.emplace(job, data);
            } else if (type == "suspend") {
                halted.push_back(job);
                if (running.contains(job)) finish(job, "halted");
            } else if (type == "supply") {
                supplied[job] = data;
            } else if (type == "pass") {
                passed.push_back(job);
            } else if (type == "poll") {
                ++polls;
                if (answersPolls)
                    send({{"type", "polled"}, {"ref", all["ref"]}, {"gauges", {0.4, 2.0, 0.3, 5}}});
            } else if (type == "verify") {
                ++checks;
                if (!verifies.empty()) send({{"type", "verified"}, {"ref", all["ref"]}, {"state", verifies}});
            } else {
                ADD_FAILURE() << "message of an unknown type: " << type;
            }
        }
    }
};

}  // namespace cottonwing::testing
