/// @file
/// Parsing and formatting of worker pool protocol messages.
#include "worker_pool/protocol.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

#include "request/request_id.h"

namespace cottonwing::worker_pool {
namespace {

using namespace std::chrono_literals;

template <typename Content>
Content contentOf(std::string_view line) {
    const std::optional<PoolMessage> message = parsePoolMessage(line);
    if (!message || !std::holds_alternative<Content>(message->content)) {
        ADD_FAILURE() << "parsed as another type: " << line;
        return {};
    }
    return std::get<Content>(message->content);
}

TEST(PoolMessages, AFinishedRunIsParsedWithAllItsFields) {
    const std::string line =
        R"({"type":"finished","n":12,"job":"9b1f03aa5c7e2d41","state":"ok","took":12.5,"data":"AGI=","new":[1]})";
    const auto finished = contentOf<RunFinished>(line);
    EXPECT_EQ(parsePoolMessage(line)->sequenceNumber, 12U);
    EXPECT_EQ(finished.end, RunEnd::Completed);
    EXPECT_EQ(finished.elapsed, Duration(12500000));
    EXPECT_EQ(finished.result, std::string("\0b", 2));
    EXPECT_EQ(request::parseRequestId(finished.job), 0x9b1f03aa5c7e2d41U);
}

TEST(PoolMessages, EachStateOfAFinishedRunHasOneOutcome) {
    const auto outcomeFor = [](const std::string& state) {
        return outcomeOf(
            contentOf<RunFinished>(R"({"type":"finished","job":"x","state":")" + state + "\"}").end);
    };
    EXPECT_EQ(outcomeFor("ok"), Outcome::Ok);
    EXPECT_EQ(outcomeFor("halted"), Outcome::Cancelled);
    EXPECT_EQ(outcomeFor("void"), Outcome::Superseded);
    EXPECT_EQ(outcomeFor("failed"), Outcome::Error);
    EXPECT_EQ(outcomeFor(""), Outcome::Error);
}

TEST(PoolMessages, EachTypeIsParsedAsItsContent) {
    EXPECT_TRUE(contentOf<ConnectionAccepted>(R"({"type":"bound","state":"cold","took":1500})").cold);
    EXPECT_FALSE(contentOf<ConnectionAccepted>(R"({"type":"bound","state":"warm"})").cold);
    EXPECT_EQ(contentOf<ConnectionAccepted>(R"({"type":"bound","took":1500})").uptime, 1500ms);
    EXPECT_EQ(contentOf<RunBlocked>(R"({"type":"blocked","job":"x","data":"Y2FsbA=="})").callBody, "call");
    EXPECT_EQ(contentOf<PollAnswered>(R"({"type":"polled","ref":"a","gauges":[1,2.5]})").gauges.size(), 2U);
    EXPECT_EQ(contentOf<PollAnswered>(R"({"type":"polled","ref":"a"})").reference, "a");
    EXPECT_TRUE(contentOf<WorkVerified>(R"({"type":"verified","ref":"3","state":"ok"})").succeeded);
    EXPECT_FALSE(contentOf<WorkVerified>(R"({"type":"verified","ref":"3","state":"no"})").succeeded);
    EXPECT_TRUE(contentOf<MessageRejected>(R"({"type":"unknown","state":"spawn","job":"x"})").isStart);
    EXPECT_FALSE(contentOf<MessageRejected>(R"({"type":"unknown","state":"supply","job":"x"})").isStart);
    contentOf<InformationalMessage>(R"({"type":"chatter","n":1})");
}

TEST(PoolMessages, MalformedLinesAndUnknownTypesAreRejected) {
    for (const char* line : {"", "[]", "{", R"({"type":"news"})", R"({"type":"blocked","data":"AG="})",
                             R"({"type":"blocked","data":"A-=="})"})
        EXPECT_FALSE(parsePoolMessage(line)) << line;
}

TEST(PoolMessages, FieldsOfAnotherTypeAndTimesOutOfRangeCountAsAbsent) {
    const std::string line = R"({"type":"finished","n":-1,"job":7,"took":-5,"state":"ok"})";
    const auto finished = contentOf<RunFinished>(line);
    EXPECT_EQ(parsePoolMessage(line)->sequenceNumber, 0U);
    EXPECT_EQ(finished.job, "");
    EXPECT_EQ(finished.elapsed, 0ns);
    EXPECT_EQ(contentOf<RunFinished>(R"({"type":"finished","took":1e300})").elapsed, 0ns);
}

RC_GTEST_PROP(PoolMessages, AnyBytesAreParsedOrRejected, (const std::string& bytes)) {
    parsePoolMessage(bytes);
    RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes);
    const auto message =
        parsePoolMessage("{\"type\":\"blocked\",\"job\":\"x\",\"data\":\"" + encodeBase64(bytes) + "\"}");
    RC_ASSERT(message && std::get<RunBlocked>(message->content).callBody == bytes);
    if (const auto decoded = decodeBase64(bytes)) RC_ASSERT(decoded->size() <= bytes.size());
}

TEST(PoolMessages, GaugesAreMatchedByNameAndAbsentWhereNotFinite) {
    const Gauges gauges =
        gaugesOf({"core_use", "unheard_of", "on_cores", "heap_share", "links"}, {0.5, 9, std::nan(""), 0.25});
    EXPECT_EQ(gauges.coreUtilization, 0.5);
    EXPECT_FALSE(gauges.coreDemand);
    EXPECT_EQ(gauges.memoryUtilization, 0.25);
    EXPECT_FALSE(gauges.openConnections);
}

TEST(PoolMessages, AreFormattedByteForByte) {
    EXPECT_EQ(bindLine(7), "{\"n\":7,\"type\":\"bind\"}\n");
    EXPECT_EQ(startLine("j", "read", "body"),
              "{\"data\":\"Ym9keQ==\",\"job\":\"j\",\"kind\":\"read\",\"type\":\"spawn\"}\n");
    EXPECT_EQ(cancelLine("j"), "{\"job\":\"j\",\"type\":\"suspend\"}\n");
    EXPECT_EQ(supplyLine("j", "re"), "{\"data\":\"cmU=\",\"job\":\"j\",\"type\":\"supply\"}\n");
    EXPECT_EQ(skipDependencyCallLine("j"), "{\"job\":\"j\",\"type\":\"pass\"}\n");
    EXPECT_EQ(pollLine("a"), "{\"ref\":\"a\",\"type\":\"poll\"}\n");
    EXPECT_EQ(verifyLine("3"), "{\"ref\":\"3\",\"type\":\"verify\"}\n");
}

}  // namespace
}  // namespace cottonwing::worker_pool
