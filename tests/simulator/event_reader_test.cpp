// Tests of single lines of the simulator's wire format: fields, events, decisions and errors.
#include "simulator/event_reader.h"

#include <gtest/gtest.h>

#include "simulator/decision_writer.h"

namespace cottonwing::simulator {
namespace {

using namespace std::chrono_literals;

config::NameTables nameTables() {
    config::NameTables nameTables;
    nameTables.requestClasses = {{"read", 0}, {"write", 1}};
    nameTables.tenants = {{"acme", 0}, {"other", 1}};
    return nameTables;
}

Request request(const std::string& text) { return readRequest(WireLine(text, 1), nameTables()); }

template <typename Read>
MalformedBatch errorOf(Read&& read) {
    try {
        read();
    } catch (const MalformedBatch& error) {
        return error;
    }
    return MalformedBatch::truncated(0);
}

TEST(WireLine, SplitsAtEachSpace) {
    const std::string text = "HELLO 3 77 {\"a\": 1, \"b\": 2}";
    const WireLine line(text, 1);
    EXPECT_EQ(line.messageName(), "HELLO");
    EXPECT_EQ(line.instance(), 3);
    EXPECT_EQ(line.textToEnd(wire::kSettings), "{\"a\": 1, \"b\": 2}");
    EXPECT_THROW(WireLine("HELLO 3 77", 1).textToEnd(wire::kSettings), MalformedBatch);
    EXPECT_EQ(WireLine("", 1).messageName(), "");
}

TEST(WireLine, ErrorsNameLineMessageFieldAndProblem) {
    const MalformedBatch error = errorOf([] { WireLine("GONE 3 x5", 7).id(wire::kRequestId); });
    EXPECT_STREQ(error.what(), "line 7: GONE: field 'req': not a number");
    EXPECT_EQ(error.line(), 7U);
    EXPECT_EQ(error.message(), "GONE");
    EXPECT_EQ(error.field(), "req");
    EXPECT_EQ(error.problem(), "not a number");
    EXPECT_STREQ(errorOf([] { WireLine("GONE 3", 2).expectFields(2); }).what(),
                 "line 2: GONE: field 'count': expected 2 fields, found 1");
    EXPECT_STREQ(errorOf([] { (void)WireLine("GONE -3 5", 2).instance(); }).what(),
                 "line 2: GONE: field 'i': negative");
    EXPECT_STREQ(errorOf([] { WireLine("CLOCK -1", 2).microseconds(wire::kClockUs); }).what(),
                 "line 2: CLOCK: field 'clock': out of range");
    EXPECT_STREQ(errorOf([] { WireLine("CLOCK", 2).microseconds(wire::kClockUs); }).what(),
                 "line 2: CLOCK: field 'clock': missing");
    EXPECT_STREQ(MalformedBatch::truncated(4).what(), "line 4: input ended inside a batch");
}

TEST(EventReader, MapsEachFieldOfARequest) {
    const Request full = request("INBOUND 3 55 write other 456 8652250 12000 24.5 0.625 3 17 1850 54");
    EXPECT_EQ(full.id, 55U);
    EXPECT_EQ(full.requestClass, 1);
    EXPECT_EQ(full.tenant, 1);
    EXPECT_EQ(full.deadline, 8652250us);
    EXPECT_EQ(full.expectedWork, 12000us);
    EXPECT_EQ(full.memoryKb, 24.5);
    EXPECT_EQ(full.rank, 0.625);
    EXPECT_TRUE(full.isRetry);
    EXPECT_EQ(full.queuedBeforeRead, 1850us);
    EXPECT_EQ(full.duplicateOf, 54U);
}

TEST(EventReader, LeavesAbsentFieldsOfARequestAtTheirDefaults) {
    const Request plain = request("INBOUND 3 55 read - - - - 12 - 0 - - -");
    EXPECT_EQ(plain.tenant, -1);
    EXPECT_FALSE(plain.deadline);
    EXPECT_FALSE(plain.expectedWork);
    EXPECT_FALSE(plain.isRetry);
    EXPECT_EQ(plain.duplicateOf, std::nullopt);
    EXPECT_EQ(request("INBOUND 3 55 read - - - - 12 - 0 - - 0").duplicateOf, std::nullopt);
    EXPECT_EQ(request("INBOUND 3 55 read 0 - 0 - 12 - 0 - - -").tenant, -1);
    EXPECT_FALSE(request("INBOUND 3 55 read 0 - 0 - 12 - 0 - - -").deadline);
    EXPECT_FALSE(request("INBOUND 3 55 read - - - 12000 12 - 2 - - -").expectedWork);  // the flag is not set
}

TEST(EventReader, RejectsAMalformedRequestAndNamesItsField) {
    const auto malformedFieldOf = [](const std::string& text) {
        return errorOf([&] { request(text); }).field();
    };
    EXPECT_EQ(malformedFieldOf("INBOUND 3 55 read - - - - 12 - 0 - -"), "count");
    EXPECT_EQ(malformedFieldOf("INBOUND 3 55 news - - - - 12 - 0 - - -"), "service");
    EXPECT_EQ(malformedFieldOf("INBOUND 3 55 read nobody - - - 12 - 0 - - -"), "realm");
    EXPECT_EQ(malformedFieldOf("INBOUND 3 55 read - x - - 12 - 0 - - -"), "object");
    EXPECT_EQ(malformedFieldOf("INBOUND 3 55 read - - x - 12 - 0 - - -"), "give_up_at_us");
    EXPECT_EQ(malformedFieldOf("INBOUND 3 55 read - - - x 12 - 0 - - -"), "work_us");
    EXPECT_EQ(malformedFieldOf("INBOUND 3 55 read - - - - -1 - 0 - - -"), "held_kb");
    EXPECT_EQ(malformedFieldOf("INBOUND 3 55 read - - - - 12 nan 0 - - -"), "precedence");
    EXPECT_EQ(malformedFieldOf("INBOUND 3 55 read - - - - 12 - - - - -"), "bitmap");
    EXPECT_EQ(malformedFieldOf("INBOUND 3 55 read - - - - 12 - 0 x - -"), "author");
    EXPECT_EQ(malformedFieldOf("INBOUND 3 55 read - - - - 12 - 0 - x -"), "backlog_time_us");
    EXPECT_EQ(malformedFieldOf("INBOUND 3 55 read - - - - 12 - 0 - - x"), "repeats");
}

TEST(EventReader, ReadsCompletions) {
    const Completion ended = readCompletion(WireLine("ENDED 3 55 moot 10", 1));
    EXPECT_EQ(ended.id, 55U);
    EXPECT_EQ(ended.outcome, Outcome::Superseded);
    EXPECT_EQ(ended.elapsed, 10us);
    EXPECT_EQ(readCompletion(WireLine("ENDED 3 55 connect_failed -", 1)).outcome, Outcome::Unreachable);
}

TEST(EventReader, ReadsTheGaugesItKnows) {
    const Gauges gauges =
        readGauges(WireLine("BELL 3 wake core_use:0.62,on_cores:3,heap_share:0.41,links:120,new:1", 1));
    EXPECT_EQ(gauges.coreUtilization, 0.62);
    EXPECT_EQ(gauges.coreDemand, 3);
    EXPECT_EQ(gauges.memoryUtilization, 0.41);
    EXPECT_EQ(gauges.openConnections, 120);
    EXPECT_FALSE(readGauges(WireLine("BELL 3 wake -", 1)).coreDemand);
    for (const char* text :
         {"on_cores", "on_cores:", "on_cores:x", "on_cores:inf", ",", "on_cores:1,,links:1"})
        EXPECT_THROW(readGauges(WireLine("BELL 3 wake " + std::string(text), 1)), MalformedBatch) << text;
}

TEST(DecisionWriter, WritesEachDecisionAsALine) {
    std::string out;
    DecisionWriter writer(3, out);
    writer.startRun(55);
    writer.reject(55, {.retryAfter = 2500us, .retryElsewhere = true});
    writer.reject(55, {.retryAfter = 0ns, .retryElsewhere = false});
    writer.fail(55);
    writer.cancelRun(55);
    writer.callDependency(55, 1999ns);
    writer.callDependency(55, 0ns);
    writer.skipDependencyCall(55);
    writer.retainKey(55, 1s);
    writer.releaseKey(55);
    writer.joinDuplicate(55);
    writer.setHealth(false);
    writer.advertiseLoadShare(0.25);
    writer.setIdleTimeout(2s);
    writer.scheduleTick(500ms);
    writer.log("two servers known");
    writer.reportBug("fault");
    EXPECT_EQ(out,
              "START 3 55\nDENY 3 55 2500 0\nDENY 3 55 0 1\nFAIL 3 55\nSUSPEND 3 55\nREACH_OUT 3 55 1\n"
              "REACH_OUT 3 55 1\nGO_ON 3 55\nRETAIN 3 55 1000000\nDROP_KEY 3 55\nECHO 3 55\n"
              "REPORT_HEALTH 3 1 0\nANNOUNCE 3 0.2500\nIDLE 3 2000000\nSET_ALARM 3 500000 wake\n"
              "DEBUG 3 two servers known\nBUG 3 fault\n");
}

}  // namespace
}  // namespace cottonwing::simulator
