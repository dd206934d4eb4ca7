/// @file
/// A client of the Thrift server (a sidecar) on the event loop of the program under test.
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

/// One connection of a Thrift client. Requests are numbered; answers are kept by that sequence number.
class ThriftTestClient : private net::ConnectionHandler {
public:
    ThriftTestClient(net::Loop& loop, int port)
        : connection(new net::Connection(loop, {"127.0.0.1", port}, *this, {1 << 20, 1 << 20})) {}

    /// @return a request id as the wire gives it: 16 hex digits.
    static std::string trace(int number) {
        char text[17];
        std::snprintf(text, sizeof text, "%016x", number);
        return text;
    }
    /// @return the fields of a valid request; `patience` in milliseconds.
    static FieldMap fields(int number, const std::string& route = "read", int patience = 4000) {
        return {{"route", route}, {"trace", trace(number)}, {"born", std::to_string(net::unixNow() / 1ms)},
                {"client", "4"},  {"customer", "acme"},     {"patience", std::to_string(patience)},
                {"size", "12.5"}, {"weight", "20.00"},      {"order", "0.5"}};
    }
    /// Sends a request under a new sequence number.
    /// @return the sequence number.
    std::int32_t ask(int number, const std::string& body = "body", const std::string& route = "read",
                     int patience = 4000) {
        say(frames::serve(++sequence, fields(number, route, patience), body));
        return sequence;
    }
    void say(const std::string& bytes) { connection->send(bytes); }
    void hangUp() { connection.reset(); }

    std::unique_ptr<net::Connection> connection;
    std::int32_t sequence = 0;
    std::vector<frames::Read> heard;
    std::map<std::int32_t, frames::Read> answers;  // by sequence number
    int twice = 0;                                 // second answers under one number
    int goaways = 0;
    bool gone = false;

private:
    void arrived(net::Connection& from) override {
        std::size_t length = 0;
        std::string scratch;
        while (thrift::peekFrame(from.input(), length) == thrift::FrameState::Complete) {
            heard.push_back(frames::read(std::string(from.input().peek(4 + length, scratch).substr(4))));
            from.input().drop(4 + length);
            if (heard.back().method == "goaway")
                ++goaways;
            else if (!answers.emplace(heard.back().sequence, heard.back()).second)
                ++twice;
        }
    }
    void ended(net::Connection&, net::ConnectionEnd) override {
        gone = true;
        connection.reset();
    }
};

}  // namespace cottonwing::testing
