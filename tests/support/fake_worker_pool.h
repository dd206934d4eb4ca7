/// @file
/// A fake worker pool that speaks the published protocol: JSON lines over TCP.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fake_server.h"
#include "net/loop.h"
#include "worker_pool/protocol.h"

namespace cottonwing::testing {

using Json = nlohmann::json;

/// Records what the server sends, and sends what a test requests. Notices are numbered; on a new connection
/// those after the number in the `bind` message are sent again.
class FakeWorkerPool {
public:
    explicit FakeWorkerPool(net::Loop& loop)
        : server(loop, [this](net::Connection&, std::string& text) { handleInput(text); }) {}

    /// Sends a numbered notice, now or on the next connection.
    void sendNotice(Json notice) {
        notice["n"] = ++lastNumber;
        notices.push_back(notice);
        if (!server.connections.empty() && boundConnection == server.acceptedCount) send(notice);
    }
    /// Ends a run.
    void finish(const std::string& job, const std::string& state = "ok", const std::string& result = "") {
        running.erase(job);
        sendNotice({{"type", "finished"},
                    {"job", job},
                    {"state", state},
                    {"took", 5},
                    {"data", worker_pool::encodeBase64(result)}});
    }
    /// Reports that a run waits for its dependency call.
    void block(const std::string& job, const std::string& body) {
        waitingCalls[job] = body;
        sendNotice({{"type", "blocked"}, {"job", job}, {"data", worker_pool::encodeBase64(body)}});
    }
    /// Sends a message that is not a numbered notice.
    void send(const Json& message) { server.connections.back().connection->send(message.dump() + "\n"); }

    /// A reply as it was supplied.
    struct SuppliedReply {
        std::string job;
        std::string waitingCall;  ///< Body of the call that the run waited for; empty: it did not wait.
        std::string reply;
    };

    bool available = true, answersPolls = true;
    bool losesCommands = false;  ///< Whether messages to runs are lost instead of carried out.
    /// Called with the reference of each poll, before it is answered and after.
    std::function<void(const std::string&reference)> beforePollAnswer, afterPollAnswer;
    std::map<std::string, std::string> waitingCalls;  ///< By job: body of the call that its run waits for.
    std::vector<SuppliedReply> suppliedReplies;
    std::string verificationState = "ok";
    std::map<std::string, std::string> running, dependencyResponses,
        requestClasses;  // by job: body, reply, class
    std::vector<std::string> suspendedRuns, unknownRequests, skippedCalls;
    std::vector<Json> bindMessages, notices;
    int startCount = 0, pollCount = 0, verificationCount = 0, boundConnection = 0;
    std::uint64_t lastNumber = 0;
    FakeServer server;

private:
    void handleInput(std::string& text) {
        for (std::size_t end; (end = text.find('\n')) != text.npos; text.erase(0, end + 1)) {
            const Json message = Json::parse(text.substr(0, end));
            const std::string type = message["type"], job = message.value("job", "");
            const std::string data = worker_pool::decodeBase64(message.value("data", "")).value();
            if (type == "bind") {
                bindMessages.push_back(message);
                boundConnection = server.acceptedCount;
                if (!available) continue;
                send({{"type", "bound"}, {"state", "warm"}, {"took", 60000}});
                for (const Json& notice : notices)
                    if (notice["n"] > message["n"]) send(notice);
            } else if (losesCommands && type != "poll" && type != "verify") {
                continue;
            } else if (type == "spawn") {
                ++startCount;
                requestClasses[job] = message["kind"];
                if (std::erase(unknownRequests, job) > 0)
                    send({{"type", "unknown"}, {"state", "spawn"}, {"job", job}});
                else
                    running.emplace(job, data);
            } else if (type == "suspend") {
                suspendedRuns.push_back(job);
                if (running.contains(job)) finish(job, "halted");
            } else if (type == "supply") {
                dependencyResponses[job] = data;
                suppliedReplies.push_back({job, waitingCalls[job], data});
                waitingCalls.erase(job);
            } else if (type == "pass") {
                skippedCalls.push_back(job);
                waitingCalls.erase(job);
            } else if (type == "poll") {
                ++pollCount;
                if (beforePollAnswer) beforePollAnswer(message["ref"]);
                if (answersPolls)
                    send({{"type", "polled"}, {"ref", message["ref"]}, {"gauges", {0.4, 2.0, 0.3, 5}}});
                if (afterPollAnswer) afterPollAnswer(message["ref"]);
            } else if (type == "verify") {
                ++verificationCount;
                if (!verificationState.empty())
                    send({{"type", "verified"}, {"ref", message["ref"]}, {"state", verificationState}});
            } else {
                ADD_FAILURE() << "message of an unknown type: " << type;
            }
        }
    }
};

}  // namespace cottonwing::testing
