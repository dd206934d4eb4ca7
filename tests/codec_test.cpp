// The decoders: pure, so each is fed whole, cut at every byte, wrongly and at random.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "helpers.h"
#include "net/http_reply.h"
#include "worker_pool/protocol.h"

namespace cottonwing {
namespace {

TEST(HttpReplies, AreWholeHoweverTheyAreCut) {
    const std::string first = testing::HttpStandIn::reply(503, "body", "Op-Not-Begun: 1\r\n"),
                      second = testing::HttpStandIn::reply(204);
    for (std::size_t cut = 0; cut < first.size(); ++cut) {
        std::vector<net::HttpReplies::Reply> replies;
        net::HttpReplies reader(
            [&](net::HttpReplies::Reply&& reply) { replies.push_back(std::move(reply)); });
        EXPECT_TRUE(reader.read(first.substr(0, cut)));
        EXPECT_TRUE(replies.empty());
        EXPECT_TRUE(reader.read(first.substr(cut)));
        EXPECT_TRUE(reader.read(second));
        ASSERT_EQ(replies.size(), 2U);
        EXPECT_EQ(replies[0].status, 503);
        EXPECT_EQ(replies[0].body, "body");
        EXPECT_TRUE(replies[0].has("op-not-begun", "1"));
        EXPECT_EQ(replies[1].status, 204);
        EXPECT_TRUE(replies[1].keepsOpen);
        EXPECT_FALSE(replies[1].has("op-not-begun", "1"));
    }
}

RC_GTEST_PROP(HttpReplies, AnyBytesAreReadOrRefused,
              (const std::string& bytes, std::uint8_t at, char other)) {
    std::size_t stored = 0;
    const auto hear = [&](net::HttpReplies::Reply&& reply) {
        stored = reply.body.size() + reply.headers.size();
    };
    net::HttpReplies(hear).read(bytes);
    std::string reply = testing::HttpStandIn::reply(200, bytes, "A: b\r\n");
    reply[at % reply.size()] = other;
    net::HttpReplies(hear).read(reply);
    RC_ASSERT(stored <= reply.size() + 4);
}

TEST(HttpReplies, RefusesWhatCannotBeReadToItsEnd) {
    using testing::HttpStandIn;
    const std::string gigabytes = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n";
    std::string interim;
    for (int i = 0; i < 20; ++i) interim += "HTTP/1.1 100 Continue\r\n\r\n";
    for (const std::string& spoilt :
         {HttpStandIn::reply(200, std::string(70000, 'x')), gigabytes, interim, std::string("\x7f\0\xff?", 4),
          std::string("HTTP/1.1 200 OK\r\n\r\nno end is told"),
          "HTTP/1.1 200 OK\r\nA: " + std::string(90000, 'x'),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nabcd"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc"),
          std::string("HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n")}) {
        int heard = 0;
        EXPECT_FALSE(net::HttpReplies([&](net::HttpReplies::Reply&&) { ++heard; }).read(spoilt)) << spoilt;
        EXPECT_EQ(heard, 0);
    }
}

// What stands in front of a good reply or behind it spoils nothing but the connection.
TEST(HttpReplies, AGoodReplyCountsWithMoreThanBelongsToIt) {
    using testing::HttpStandIn;
    const std::string good = HttpStandIn::reply(200, "body"), interim = "HTTP/1.1 102 Wait\r\nA: b\r\n\r\n";
    const std::vector<std::pair<std::string, bool>> cases = {
        {interim + interim + good, true}, {good + good, false}, {good + "\x7fnoise", false}};
    for (const auto& [bytes, keepsOpen] : cases)
        for (std::size_t cut = 0; cut <= (keepsOpen ? bytes.size() - 1 : 0); ++cut) {
            std::vector<net::HttpReplies::Reply> replies;
            net::HttpReplies reader(
                [&](net::HttpReplies::Reply&& reply) { replies.push_back(std::move(reply)); });
            EXPECT_TRUE(reader.read(bytes.substr(0, cut)));
            EXPECT_TRUE(reader.read(bytes.substr(cut)));
            ASSERT_EQ(replies.size(), 1U);
            EXPECT_EQ(replies[0].body, "body");
            EXPECT_EQ(replies[0].keepsOpen, keepsOpen);
        }
}

}  // namespace
}  // namespace cottonwing
