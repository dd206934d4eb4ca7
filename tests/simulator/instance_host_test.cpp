// Malformed input is never interpreted on a guess: it ends with an error that names the line and the field.
#include "simulator/instance_host.h"

#include <gtest/gtest.h>

#include <sstream>

namespace cottonwing::simulator {
namespace {

const char* const kHello =
    "HELLO 3 77 {\"classes\": [{\"aim_us\": 2000000, \"deadline_us\": 5000000, \"name\": \"read\", "
    "\"repeat\": "
    "\"free\"}], \"family_info\": {\"cores\": 2, \"heap_kb\": 9000, \"new_key\": 1}}\n";

std::string serve(const std::string& text) {
    InstanceHost host;
    std::istringstream in(text);
    std::string reply;
    while (host.serve(in, reply)) {
    }
    return reply;
}

void expectMalformed(const std::string& events, const std::string& expectedText) {
    try {
        serve("CLOCK 10\n" + events + "YOUR_TURN\n");
        FAIL() << "accepted: " << events;
    } catch (const MalformedBatch& error) {
        EXPECT_NE(std::string(error.what()).find(expectedText), std::string::npos) << error.what();
    }
}

TEST(InstanceHost, ServesABatch) {
    EXPECT_EQ(serve("CLOCK 10\nYOUR_TURN\n"), "READY\n");
    const std::string reply = serve(std::string("CLOCK 10\n") + kHello +
                                    "INBOUND 3 55 read - - 4000010 - 12 0.5 0 1 0 -\nYOUR_TURN\n");
    EXPECT_NE(reply.find("START 3 55\n"), std::string::npos) << reply;
    EXPECT_NE(reply.find("REPORT_HEALTH 3 1 1\n"), std::string::npos) << reply;
    EXPECT_EQ(reply.substr(reply.size() - 6), "READY\n");
}

TEST(InstanceHost, RejectsMalformedInput) {
    const std::string hello = kHello;
    expectMalformed("NEWS 3\n", "line 2: NEWS");
    expectMalformed("GONE 3 5\n", "unknown instance");
    expectMalformed(hello + "GONE 3\n", "expected 2 fields");
    expectMalformed(hello + "GONE 3 x5\n", "field 'req': not a number");
    expectMalformed(hello + "INBOUND 3 55 write - - 4000010 - 12 0.5 0 1 0 -\n", "unknown request class");
    expectMalformed(hello + "INBOUND 3 55 read - - 4000010 - 12kb 0.5 0 1 0 -\n", "held_kb");
    expectMalformed(hello + "ENDED 3 55 fine 10\n", "unknown outcome");
    expectMalformed(hello + "BELL 3 wake on_cores\n", "health_info");
    expectMalformed("HELLO 3 77 {\"classes\": 1\n", "settings");
    EXPECT_THROW(serve("CLOCK 10\nGONE 3"), MalformedBatch);
    EXPECT_THROW(serve("YOUR_TURN\n"), MalformedBatch);
}

TEST(InstanceHost, AnInstanceNumberCanBeReusedWithinABatch) {
    const std::string reply = serve(std::string("CLOCK 10\n") + kHello + "YOUR_TURN\nCLOCK 20\nRETIRE 3\n" +
                                    kHello + "YOUR_TURN\n");
    EXPECT_NE(reply.rfind("REPORT_HEALTH 3 1 1\n"), reply.find("REPORT_HEALTH 3 1 1\n"));
}

}  // namespace
}  // namespace cottonwing::simulator
