// The decoders: pure, so each is fed whole, cut at every byte, wrongly and at random.
#include "thrift/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "helpers.h"
#include "net/http_reply.h"
#include "worker_pool/protocol.h"

namespace cottonwing {
namespace {

using testing::frames::TBinaryProtocol;
using thrift::FrameState;
using thrift::Message;
using thrift::Method;
namespace frames = testing::frames;
namespace protocol = frames::protocol;

std::optional<Message> decode(const std::string& frame) { return thrift::readMessage(frame.substr(4)); }

const testing::Reply kFields = {{"route", "read"}, {"trace", "9b1f03aa5c7e2d41"}};

TEST(Thrift, ReadsWhatThePublishedLibraryWrites) {
    const auto serve = decode(frames::serve(7, kFields, std::string("a\0b", 3)));
    ASSERT_TRUE(serve);
    EXPECT_EQ(serve->method, Method::Serve);
    EXPECT_EQ(serve->sequence, 7);
    EXPECT_EQ(serve->body, std::string("a\0b", 3));
    EXPECT_EQ(serve->fields->at("trace"), "9b1f03aa5c7e2d41");
    const auto forget = decode(frames::forget(8, 7));
    ASSERT_TRUE(forget && forget->oneway);
    EXPECT_EQ(forget->forgotten, 7);
    EXPECT_TRUE(decode(frames::isWell(9, true))->thorough);
    EXPECT_FALSE(decode(frames::isWell(9, false))->thorough);
    EXPECT_EQ(decode(frames::frame("other", protocol::T_CALL, 1, [](TBinaryProtocol&) {}))->method,
              Method::Unknown);
}

TEST(Thrift, ThePublishedLibraryReadsWhatIsWritten) {
    const auto read = [](const std::string& frame) { return frames::read(frame.substr(4)); };
    const auto answer = read(thrift::writeAnswer("serve", 5, "result", {{"advice", "0.5"}}, true));
    EXPECT_EQ(answer.kind + answer.method + answer.body, "answerserveresult");
    EXPECT_TRUE(answer.good);
    EXPECT_EQ(answer.sequence, 5);
    EXPECT_EQ(answer.fields.at("advice"), "0.5");
    EXPECT_FALSE(read(thrift::writeAnswer("isWell", 5, "", {}, false)).good);
    const auto busy = read(thrift::writeBusy(6, {{"pause", "250"}, {"terminal", "1"}}));
    EXPECT_EQ(busy.kind, "busy");
    EXPECT_EQ(busy.fields.at("pause"), "250");
    EXPECT_EQ(read(thrift::writeFailed(6, {})).kind, "failed");
    const auto refusal = read(thrift::writeRefusal("nope", 6, thrift::Refusal::UnknownMethod, "why"));
    EXPECT_EQ(refusal.kind + refusal.body, "refusalwhy");
    EXPECT_EQ(read(thrift::writeGoaway()).method, "goaway");
}

TEST(Thrift, SkipsFieldsItDoesNotKnow) {
    const auto message = decode(frames::frame("serve", protocol::T_CALL, 3, [](TBinaryProtocol& out) {
        out.writeFieldBegin("new", protocol::T_STRUCT, 9);
        out.writeFieldBegin("list", protocol::T_LIST, 1);
        out.writeListBegin(protocol::T_I64, 2);
        out.writeI64(1), out.writeI64(2);
        out.writeFieldBegin("map", protocol::T_MAP, 2);
        out.writeMapBegin(protocol::T_I16, protocol::T_DOUBLE, 1);
        out.writeI16(1), out.writeDouble(2.5);
        out.writeFieldStop();
        out.writeFieldBegin("body", protocol::T_STRING, 2);
        out.writeBinary("kept");
        out.writeFieldBegin("fields", protocol::T_I32, 1);  // of another type: as if absent
        out.writeI32(4);
    }));
    ASSERT_TRUE(message);
    EXPECT_EQ(message->body, "kept");
    EXPECT_FALSE(message->fields);
}

TEST(Thrift, AFrameIsWholeAtItsLastByteOnly) {
    const std::string frame = frames::serve(1, kFields, "body"), two = frame + frames::forget(2, 1);
    for (std::size_t cut = 0; cut <= two.size(); ++cut) {
        net::Ring ring(32768);
        ASSERT_TRUE(ring.write(std::string_view(two).substr(0, cut)));
        std::size_t length = 0;
        EXPECT_EQ(thrift::lookForFrame(ring, length),
                  cut < frame.size() ? FrameState::Partial : FrameState::Whole);
        // The content cut short is malformed wherever it is cut.
        if (cut < 4 || cut >= frame.size()) continue;
        EXPECT_FALSE(thrift::readMessage(std::string_view(frame).substr(4, cut - 4))) << cut;
    }
    EXPECT_FALSE(decode(frame + "x"));  // bytes behind the end
}

TEST(Thrift, RefusesWhatIsTooLongBeforeItIsStored) {
    net::Ring ring(32768);
    ASSERT_TRUE(ring.write(std::string("\0\0\x40\x01", 4)));
    std::size_t length = 0;
    EXPECT_EQ(thrift::lookForFrame(ring, length), FrameState::TooLong);
}

TEST(Thrift, RefusesWhatIsMalformed) {
    const std::string good = frames::serve(1, kFields, "body").substr(4);
    std::string old = good;
    old[0] = 0;  // no version: the older, unchecked form
    EXPECT_FALSE(thrift::readMessage(old));
    std::string reply = good;
    reply[3] = 2;
    EXPECT_FALSE(thrift::readMessage(reply));
    std::string longer = good;
    longer[4] = 0x7f;  // the name's length
    EXPECT_FALSE(thrift::readMessage(longer));
    std::string deep = good.substr(0, good.find("serve") + 5 + 4);
    for (int i = 0; i < 2000; ++i) deep += std::string("\x0c\0\x09", 3);
    EXPECT_FALSE(thrift::readMessage(deep));
    // A list said to be four thousand million long, of structs that each are one byte.
    std::string huge =
        good.substr(0, good.find("serve") + 5 + 4) + std::string("\x0f\0\x09\x0c\xff\xff\xff\xff", 8);
    EXPECT_FALSE(thrift::readMessage(huge));
}

RC_GTEST_PROP(Thrift, AnyBytesAreReadOrRefused, (const std::string& bytes, std::uint8_t at, char other)) {
    thrift::readMessage(bytes);
    std::string frame = frames::serve(1, kFields, bytes).substr(4);
    RC_ASSERT(thrift::readMessage(frame)->body == bytes);
    frame[at % frame.size()] = other;
    if (const auto message = thrift::readMessage(frame))
        RC_ASSERT(!message->body || message->body->size() <= frame.size());
}

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
