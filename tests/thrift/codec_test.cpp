// The Thrift codec against the published Thrift library, and with truncated, malformed and random input.
#include "thrift/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "helpers.h"

namespace cottonwing {
namespace {

using testing::frames::TBinaryProtocol;
using thrift::FrameState;
using thrift::Message;
using thrift::Method;
namespace frames = testing::frames;
namespace protocol = frames::protocol;

std::optional<Message> decode(const std::string& frame) { return thrift::readMessage(frame.substr(4)); }

const testing::FieldMap kFields = {{"route", "read"}, {"trace", "9b1f03aa5c7e2d41"}};

TEST(ThriftCodec, DecodesMessagesOfThePublishedLibrary) {
    const auto serve = decode(frames::serve(7, kFields, std::string("a\0b", 3)));
    ASSERT_TRUE(serve);
    EXPECT_EQ(serve->method, Method::Serve);
    EXPECT_EQ(serve->sequence, 7);
    EXPECT_EQ(serve->body, std::string("a\0b", 3));
    EXPECT_EQ(serve->fields->at("trace"), "9b1f03aa5c7e2d41");
    const auto forget = decode(frames::forget(8, 7));
    ASSERT_TRUE(forget && forget->oneway);
    EXPECT_EQ(forget->cancelledSequence, 7);
    EXPECT_TRUE(decode(frames::isWell(9, true))->deepHealthCheck);
    EXPECT_FALSE(decode(frames::isWell(9, false))->deepHealthCheck);
    EXPECT_EQ(decode(frames::frame("other", protocol::T_CALL, 1, [](TBinaryProtocol&) {}))->method,
              Method::Unknown);
}

TEST(ThriftCodec, ThePublishedLibraryDecodesTheReplies) {
    const auto read = [](const std::string& frame) { return frames::readMessage(frame.substr(4)); };
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
    const auto refusal =
        read(thrift::writeApplicationException("nope", 6, thrift::ApplicationError::UnknownMethod, "why"));
    EXPECT_EQ(refusal.kind + refusal.body, "refusalwhy");
    EXPECT_EQ(read(thrift::writeGoaway()).method, "goaway");
}

TEST(ThriftCodec, SkipsUnknownFields) {
    const auto message = decode(frames::frame("serve", protocol::T_CALL, 3, [](TBinaryProtocol& out) {
        out.writeFieldBegin("new", protocol::T_STRUCT, 9);
        out.writeFieldBegin("list", protocol::T_LIST, 1);
        out.writeListBegin(protocol::T_I64, 2);
        out.writeI64(1);
        out.writeI64(2);
        out.writeFieldBegin("map", protocol::T_MAP, 2);
        out.writeMapBegin(protocol::T_I16, protocol::T_DOUBLE, 1);
        out.writeI16(1);
        out.writeDouble(2.5);
        out.writeFieldStop();
        out.writeFieldBegin("body", protocol::T_STRING, 2);
        out.writeBinary("kept");
        out.writeFieldBegin("fields", protocol::T_I32, 1);  // of another type, so treated as absent
        out.writeI32(4);
    }));
    ASSERT_TRUE(message);
    EXPECT_EQ(message->body, "kept");
    EXPECT_FALSE(message->fields);
}

TEST(ThriftCodec, AFrameIsCompleteOnlyAtItsLastByte) {
    const std::string frame = frames::serve(1, kFields, "body");
    const std::string two = frame + frames::forget(2, 1);
    for (std::size_t cut = 0; cut <= two.size(); ++cut) {
        net::ByteRing ring(32768);
        ASSERT_TRUE(ring.write(std::string_view(two).substr(0, cut)));
        std::size_t length = 0;
        EXPECT_EQ(thrift::peekFrame(ring, length),
                  cut < frame.size() ? FrameState::Partial : FrameState::Complete);
        // Truncated content is malformed wherever it is cut.
        if (cut < 4 || cut >= frame.size()) continue;
        EXPECT_FALSE(thrift::readMessage(std::string_view(frame).substr(4, cut - 4))) << cut;
    }
    EXPECT_FALSE(decode(frame + "x"));  // surplus bytes after the message
}

TEST(ThriftCodec, RejectsATooLongFrameByItsLengthPrefix) {
    net::ByteRing ring(32768);
    ASSERT_TRUE(ring.write(std::string("\0\0\x40\x01", 4)));
    std::size_t length = 0;
    EXPECT_EQ(thrift::peekFrame(ring, length), FrameState::TooLong);
}

TEST(ThriftCodec, RejectsMalformedMessages) {
    const std::string good = frames::serve(1, kFields, "body").substr(4);
    std::string old = good;
    old[0] = 0;  // the older, non-strict encoding, which has no version
    EXPECT_FALSE(thrift::readMessage(old));
    std::string reply = good;
    reply[3] = 2;
    EXPECT_FALSE(thrift::readMessage(reply));
    std::string longer = good;
    longer[4] = 0x7f;  // the length of the method name
    EXPECT_FALSE(thrift::readMessage(longer));
    std::string deep = good.substr(0, good.find("serve") + 5 + 4);
    for (int i = 0; i < 2000; ++i) deep += std::string("\x0c\0\x09", 3);
    EXPECT_FALSE(thrift::readMessage(deep));
    // A list with a claimed length of 2^32 - 1, of structs of one byte each.
    std::string huge =
        good.substr(0, good.find("serve") + 5 + 4) + std::string("\x0f\0\x09\x0c\xff\xff\xff\xff", 8);
    EXPECT_FALSE(thrift::readMessage(huge));
}

RC_GTEST_PROP(ThriftCodec, AnyBytesAreDecodedOrRejected,
              (const std::string& bytes, std::uint8_t at, char other)) {
    thrift::readMessage(bytes);
    std::string frame = frames::serve(1, kFields, bytes).substr(4);
    RC_ASSERT(thrift::readMessage(frame)->body == bytes);
    frame[at % frame.size()] = other;
    if (const auto message = thrift::readMessage(frame))
        RC_ASSERT(!message->body || message->body->size() <= frame.size());
}

}  // namespace
}  // namespace cottonwing
