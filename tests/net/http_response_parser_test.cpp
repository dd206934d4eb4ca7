/// @file
/// Parsing of HTTP responses: complete, split at each byte, malformed and random.
#include "net/http_response_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "support/fake_http_server.h"

namespace cottonwing::net {
namespace {

TEST(HttpResponseParser, ParsesResponsesSplitAtAnyByte) {
    const std::string first = testing::FakeHttpServer::reply(503, "body", "Op-Not-Begun: 1\r\n");
    const std::string second = testing::FakeHttpServer::reply(204);
    for (std::size_t cut = 0; cut < first.size(); ++cut) {
        std::vector<HttpResponseParser::Response> responses;
        HttpResponseParser parser(
            [&](HttpResponseParser::Response&& response) { responses.push_back(std::move(response)); });
        EXPECT_TRUE(parser.parse(first.substr(0, cut)));
        EXPECT_TRUE(responses.empty());
        EXPECT_TRUE(parser.parse(first.substr(cut)));
        EXPECT_TRUE(parser.parse(second));
        ASSERT_EQ(responses.size(), 2U);
        EXPECT_EQ(responses[0].status, 503);
        EXPECT_EQ(responses[0].body, "body");
        EXPECT_TRUE(responses[0].hasHeader("op-not-begun", "1"));
        EXPECT_EQ(responses[1].status, 204);
        EXPECT_TRUE(responses[1].keepAlive);
        EXPECT_FALSE(responses[1].hasHeader("op-not-begun", "1"));
    }
}

RC_GTEST_PROP(HttpResponseParser, StoresNoMoreThanItsInput,
              (const std::string& bytes, std::uint8_t at, char other)) {
    std::size_t stored = 0;
    const auto onResponse = [&](HttpResponseParser::Response&& response) {
        stored = response.body.size() + response.headers.size();
    };
    HttpResponseParser(onResponse).parse(bytes);
    std::string reply = testing::FakeHttpServer::reply(200, bytes, "A: b\r\n");
    reply[at % reply.size()] = other;
    HttpResponseParser(onResponse).parse(reply);
    RC_ASSERT(stored <= reply.size() + 4);
}

TEST(HttpResponseParser, RejectsMalformedTooLongAndUnboundedResponses) {
    using testing::FakeHttpServer;
    const std::string gigabytes = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n";
    std::string interim;
    for (int i = 0; i < 20; ++i) interim += "HTTP/1.1 100 Continue\r\n\r\n";
    for (const std::string& malformed :
         {FakeHttpServer::reply(200, std::string(70000, 'x')), gigabytes, interim,
          std::string("\x7f\0\xff?", 4), std::string("HTTP/1.1 200 OK\r\n\r\nof unspecified length"),
          "HTTP/1.1 200 OK\r\nA: " + std::string(90000, 'x'),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nabcd"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc"),
          std::string("HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n")}) {
        int responses = 0;
        EXPECT_FALSE(
            HttpResponseParser([&](HttpResponseParser::Response&&) { ++responses; }).parse(malformed))
            << malformed;
        EXPECT_EQ(responses, 0);
    }
}

// Interim responses before a response are skipped. Surplus bytes after it only prevent reuse of the
// connection.
TEST(HttpResponseParser, DeliversAResponseAfterInterimOnesAndBeforeSurplusBytes) {
    using testing::FakeHttpServer;
    const std::string good = FakeHttpServer::reply(200, "body");
    const std::string interim = "HTTP/1.1 102 Wait\r\nA: b\r\n\r\n";
    const std::vector<std::pair<std::string, bool>> cases = {
        {interim + interim + good, true}, {good + good, false}, {good + "\x7fnoise", false}};
    for (const auto& [bytes, keepAlive] : cases)
        for (std::size_t cut = 0; cut <= (keepAlive ? bytes.size() - 1 : 0); ++cut) {
            std::vector<HttpResponseParser::Response> responses;
            HttpResponseParser parser(
                [&](HttpResponseParser::Response&& response) { responses.push_back(std::move(response)); });
            EXPECT_TRUE(parser.parse(bytes.substr(0, cut)));
            EXPECT_TRUE(parser.parse(bytes.substr(cut)));
            ASSERT_EQ(responses.size(), 1U);
            EXPECT_EQ(responses[0].body, "body");
            EXPECT_EQ(responses[0].keepAlive, keepAlive);
        }
}

}  // namespace
}  // namespace cottonwing::net
