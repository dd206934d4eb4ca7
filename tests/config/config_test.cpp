/// @file
/// The configuration readers: the values that each accepts, and the complete error message for those that it
/// rejects.
#include <gtest/gtest.h>

#include "config/json_reader.h"
#include "config/parse.h"
#include "net/address.h"

namespace cottonwing::config {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

template <typename Read>
std::string errorOf(Read&& read) {
    try {
        read();
    } catch (const ConfigError& error) {
        return error.what();
    }
    return "no error";
}

TEST(ConfigError, StoresItsPartsAndFormatsThemAsItsMessage) {
    const ConfigError error("limits.sockets", "at least 64", "8");
    EXPECT_STREQ(error.what(), "limits.sockets: expected at least 64, found 8");
    EXPECT_EQ(error.path(), "limits.sockets");
    EXPECT_EQ(error.expected(), "at least 64");
    EXPECT_EQ(error.found(), "8");
    EXPECT_STREQ(ConfigError("pool", "a non-empty string").what(), "pool: expected a non-empty string");
}

TEST(JsonReader, ReadsFieldsByType) {
    const Json document = Json::parse(R"({"text": "a", "number": 2.5, "time_us": 1500, "flag": true,
        "list": [{"x": 1}, {"x": 2}], "texts": ["a", "b"], "null": null, "word": "two", "empty": ""})");
    const JsonReader reader(document, "");
    EXPECT_EQ(reader.requiredString("text"), "a");
    EXPECT_EQ(reader.requiredPositive("number"), 2.5);
    EXPECT_EQ(reader.microsecondsOr("time_us", 0ns), 1500us);
    EXPECT_TRUE(reader.flagOr("flag", false));
    EXPECT_EQ(reader.listOrEmpty("list")[1].valueOr("x", 0), 2);
    EXPECT_EQ(reader.stringsOrEmpty("texts"), (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(reader.choiceOr<int>("word", {{"one", 1}, {"two", 2}}, 0), 2);
    EXPECT_EQ(reader.choiceOr<int>("empty", {{"one", 1}}, 7), 7);
}

TEST(JsonReader, UsesTheFallbackForMissingAndNullFields) {
    const Json document = Json::parse(R"({"null": null, "number": 4})");
    const JsonReader reader(document, "");
    for (const char* key : {"null", "missing"}) {
        EXPECT_EQ(reader.valueOr(key, 3), 3);
        EXPECT_EQ(reader.microsecondsOr(key, 5us), 5us);
    }
    EXPECT_TRUE(reader.flagOr("missing", true));
    EXPECT_TRUE(reader.listOrEmpty("missing").empty());
    EXPECT_EQ(reader.objectOrEmpty("number").valueOr("x", 3), 3);
}

TEST(JsonReader, ErrorsNameThePathAndTheValueFound) {
    const Json document =
        Json::parse(R"({"a": {"number": -1, "word": "x", "list": [{"x": "y"}], "null": null}})");
    const JsonReader reader = JsonReader(document, "").requiredObject("a");
    EXPECT_EQ(errorOf([&] { reader.requiredString("b"); }), "a.b: expected a value, found nothing");
    EXPECT_EQ(errorOf([&] { reader.requiredString("number"); }),
              "a.number: expected a non-empty string, found -1");
    EXPECT_EQ(errorOf([&] { reader.requiredPositive("number"); }),
              "a.number: expected a number above 0, found -1");
    EXPECT_EQ(errorOf([&] { reader.requiredObject("word"); }), "a.word: expected an object, found \"x\"");
    EXPECT_EQ(errorOf([&] { reader.listOrEmpty("word"); }), "a.word: expected a list, found \"x\"");
    EXPECT_EQ(errorOf([&] { reader.flagOr("null", true); }), "a.null: expected true or false, found null");
    EXPECT_EQ(errorOf([&] { reader.stringsOrEmpty("number"); }),
              "a.number: expected a list of names, found -1");
    EXPECT_EQ(errorOf([&] { reader.listOrEmpty("list")[0].valueOr("x", 0); }),
              "a.list[0].x: expected a value of a different type, found \"y\"");
    EXPECT_EQ(errorOf([&] {
                  reader.choiceOr<int>("word", {{"one", 1}, {"two", 2}}, 0);
              }),
              "a.word: expected one of one, two, found 'x'");
}

TEST(ParseAddress, AcceptsANumericHostAndAPort) {
    EXPECT_EQ(net::Address::parse("127.0.0.1:8080"), (net::Address{"127.0.0.1", 8080}));
    EXPECT_EQ(net::Address::parse("127.0.0.1:0"), (net::Address{"127.0.0.1", 0}));
    for (const char* text : {"", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:80 ",
                             "127.0.0.1:-1", "127.0.0.1:65536", ":80"})
        EXPECT_FALSE(net::Address::parse(text)) << text;
}

TEST(ParseSeed, AcceptsUpTo64BitsInHexDigits) {
    EXPECT_EQ(parseSeed("8c1f30d27a5be964"), 0x8c1f30d27a5be964U);
    EXPECT_EQ(parseSeed("0"), 0U);
    for (const char* text : {"", "xyz", "12 ", "-1", "18c1f30d27a5be964"})
        EXPECT_FALSE(parseSeed(text)) << text;
}

}  // namespace
}  // namespace cottonwing::config
