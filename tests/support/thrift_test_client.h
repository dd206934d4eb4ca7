/// @file
/// A Thrift client that runs on the event loop of the server under test.
#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/connection.h"
#include "net/loop.h"
#include "plain_config.h"
#include "thrift/codec.h"
#include "thrift_frames.h"

namespace cottonwing::testing {

/// One connection of a Thrift client. Requests are numbered; answers are stored by that sequence number.
class ThriftTestClient : private net::ConnectionHandler {
public:
    ThriftTestClient(net::Loop& loop, int port)
        : connection(new net::Connection(loop, {"127.0.0.1", port}, *this, {1 << 20, 1 << 20})) {}

    /// @return a request id as it is sent (field `trace`): 16 hexadecimal digits.
    static std::string requestId(int number) {
        char text[17];
        std::snprintf(text, sizeof text, "%016x", number);
        return text;
    }
    /// @param patience timeout in milliseconds
    /// @return the fields of a valid request.
    static FieldMap requestFields(int number, const std::string& route = "read", int patience = 4000) {
        return {
            {"route", route}, {"trace", requestId(number)}, {"born", std::to_string(net::unixNow() / 1ms)},
            {"client", "4"},  {"customer", "acme"},         {"patience", std::to_string(patience)},
            {"size", "12.5"}, {"weight", "20.00"},          {"order", "0.5"}};
    }
    /// Sends a request under a new sequence number.
    /// @return the sequence number.
    std::int32_t sendRequest(int number, const std::string& body = "body", const std::string& route = "read",
                             int patience = 4000) {
        send(frames::serve(++sequence, requestFields(number, route, patience), body));
        return sequence;
    }
    void send(const std::string& bytes) { connection->send(bytes); }
    void close() { connection.reset(); }

    std::unique_ptr<net::Connection> connection;
    std::int32_t sequence = 0;
    std::vector<frames::Message> messages;
    std::map<std::int32_t, frames::Message> answers;  // by sequence number
    int duplicateAnswers = 0;                         // further answers to one sequence number
    int goawayCount = 0;
    bool closed = false;

private:
    void arrived(net::Connection& from) override {
        std::size_t length = 0;
        std::string scratch;
        while (thrift::peekFrame(from.input(), length) == thrift::FrameState::Complete) {
            messages.push_back(
                frames::readMessage(std::string(from.input().peek(4 + length, scratch).substr(4))));
            from.input().drop(4 + length);
            if (messages.back().method == "goaway")
                ++goawayCount;
            else if (!answers.emplace(messages.back().sequence, messages.back()).second)
                ++duplicateAnswers;
        }
    }
    void ended(net::Connection&, net::ConnectionEnd) override {
        closed = true;
        connection.reset();
    }
};

}  // namespace cottonwing::testing
