// The KDL parser and NodeReader: syntax, units, and an error message with its location for each kind of
// error.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "kdl/node_reader.h"

namespace cottonwing::kdl {
namespace {

using namespace std::chrono_literals;

std::string parseErrorOf(const std::string& text) {
    try {
        parse(text, "f.kdl");
    } catch (const DocumentError& error) {
        return error.what();
    }
    return "none";
}

std::string readErrorOf(const std::function<void()>& reads) {
    try {
        reads();
    } catch (const DocumentError& error) {
        return error.what();
    }
    return "none";
}

TEST(Kdl, ReadsNodesArgumentsPropertiesAndChildren) {
    const auto nodes = parse(
        "// a comment\nload \"evening\" seed=7 {\n  rate 120/s; profile board-item weight=2.5 { aim 250ms }\n"
        "  /* one /* in */ another */ body 1KiB \\ // goes on\n    4KiB\n}\nlast #true #null (ms)250 -0x1F "
        "1_000 1e3",
        "f.kdl");
    ASSERT_EQ(nodes.size(), 2U);
    EXPECT_EQ(nodes[0].arguments[0].text, "evening");
    EXPECT_EQ(nodes[0].properties.at("seed").number, 7);
    ASSERT_EQ(nodes[0].children.size(), 3U);
    EXPECT_EQ(rate(nodes[0].children[0].arguments[0]), 120);
    EXPECT_EQ(nodes[0].children[1].arguments[0].text, "board-item");
    EXPECT_EQ(duration(nodes[0].children[1].children[0].arguments[0]), 250ms);
    EXPECT_EQ(bytes(nodes[0].children[2].arguments[1]), 4096U);
    EXPECT_EQ(nodes[0].children[2].location.line, 4U);
    const auto& last = nodes[1].arguments;
    EXPECT_TRUE(boolean(last[0]));
    EXPECT_EQ(last[1].kind, Value::Kind::Null);
    EXPECT_EQ(duration(last[2]), 250ms);
    EXPECT_EQ(last[3].number, -31);
    EXPECT_EQ(last[4].number, 1000);
    EXPECT_EQ(last[5].number, 1000);
}

TEST(Kdl, StringEscapesAreDecoded) {
    const auto nodes =
        parse(R"(a "tab\there \"q\" \u{20AC}" #"raw \n "quoted" text"# ##"with "# in it"##)", "f.kdl");
    EXPECT_EQ(nodes[0].arguments[0].text, "tab\there \"q\" \xE2\x82\xAC");
    EXPECT_EQ(nodes[0].arguments[1].text, "raw \\n \"quoted\" text");
    EXPECT_EQ(nodes[0].arguments[2].text, "with \"# in it");
}

TEST(Kdl, SlashDashSkipsWhatFollows) {
    const auto nodes = parse("/-gone { a }\nkept /-1 2 /-x=3 y=4 /-{ lost }\n/- also gone\nend", "f.kdl");
    ASSERT_EQ(nodes.size(), 2U);
    EXPECT_EQ(nodes[0].arguments.size(), 1U);
    EXPECT_EQ(nodes[0].arguments[0].number, 2);
    EXPECT_EQ(nodes[0].properties.size(), 1U);
    EXPECT_TRUE(nodes[0].children.empty());
}

TEST(Kdl, QuotedNumbersWithUnitsAreAccepted) {
    const auto nodes = parse("a \"250ms\" \"35%\" \"90/min\" 1.5s 35%", "f.kdl");
    EXPECT_EQ(duration(nodes[0].arguments[0]), 250ms);
    EXPECT_DOUBLE_EQ(fraction(nodes[0].arguments[1]), 0.35);
    EXPECT_DOUBLE_EQ(rate(nodes[0].arguments[2]), 1.5);
    EXPECT_EQ(duration(nodes[0].arguments[3]), 1500ms);
    EXPECT_DOUBLE_EQ(fraction(nodes[0].arguments[4]), 0.35);
}

// Mistakes that are easily made in a configuration file. Each message names the location and what is
// expected.
TEST(Kdl, EachSyntaxErrorIsReportedWithItsLocation) {
    EXPECT_EQ(parseErrorOf("a {\n  b 1\n"),
              "f.kdl:3:1: the end of the file was found, the name of a node or '}' was expected");
    EXPECT_EQ(parseErrorOf("a }"), "f.kdl:1:3: '}' was found, the name of a node was expected");
    EXPECT_EQ(parseErrorOf("a b=\n"),
              "f.kdl:1:5: the end of the line was found, a value was expected after '='");
    EXPECT_EQ(
        parseErrorOf("a \"open\nb"),
        "f.kdl:1:8: the end of the line was found, the closing '\"' of a string was expected on this line");
    EXPECT_EQ(parseErrorOf("a \"x\\q\""),
              "f.kdl:1:6: 'q\"' was found, one of n, r, t, b, f, s, \\, \" or u{1F600} was expected after "
              "'\\' in a string");
    EXPECT_EQ(parseErrorOf("a true"), "f.kdl:1:3: 'true' was found, '#true' or a quoted string was expected");
    EXPECT_EQ(parseErrorOf("a #maybe"), "f.kdl:1:4: 'maybe' was found, #true, #false or #null was expected");
    EXPECT_EQ(parseErrorOf("x /* never closed"),
              "f.kdl:1:18: the end of the file was found, the end '*/' of a comment was expected");
    EXPECT_NE(parseErrorOf("a \"\"\"\nmany\n\"\"\"").find("f.kdl:1:3"), std::string::npos);
    EXPECT_NE(parseErrorOf("a 250m_s").find("f.kdl:1:7: '_s' was found"), std::string::npos);
    EXPECT_NE(parseErrorOf("ok\n\n  a [1]").find("f.kdl:3:5: '[1]' was found"), std::string::npos);
}

TEST(Kdl, NestingDepthIsLimited) {
    std::string deep;
    for (int i = 0; i < 100000; ++i) deep += "a {\n";
    EXPECT_NE(parseErrorOf(deep).find("at most 64 levels of nested nodes"), std::string::npos);
}

TEST(Kdl, WrongUnitsAreReported) {
    const auto nodes = parse("a 250 5MiB \"soon\" -3s 12/s 1.5", "f.kdl");
    const auto& values = nodes[0].arguments;
    EXPECT_EQ(readErrorOf([&] { duration(values[0]); }),
              "f.kdl:1:3: '250' was found, a duration such as 250ms with a unit (ns, us, ms, s, min, h, d) "
              "was expected");
    EXPECT_NE(readErrorOf([&] { duration(values[1]); }).find("f.kdl:1:7: the unit 'MiB' was found"),
              std::string::npos);
    EXPECT_NE(readErrorOf([&] { duration(values[2]); }).find("the string 'soon' was found"),
              std::string::npos);
    EXPECT_NE(readErrorOf([&] { duration(values[3]); }).find("of 0 or more"), std::string::npos);
    EXPECT_NE(readErrorOf([&] { bytes(values[4]); }).find("the unit '/s' was found"), std::string::npos);
    EXPECT_NE(readErrorOf([&] { integer(values[5], 1, 9); }).find("a whole number from 1 to 9"),
              std::string::npos);
}

TEST(Kdl, UnreadEntriesAreErrors) {
    const auto nodes = parse("pool 1 2 speed=3 sped=4 {\n  cores 2\n  core 3\n}", "f.kdl");
    NodeReader reader(nodes[0]);
    reader.argument(0, "a number");
    EXPECT_NE(readErrorOf([&] { reader.rejectUnknown(); }).find("f.kdl:1:8: '2' was found, no further value"),
              std::string::npos);
    reader.optionalArgument(1);
    reader.property("speed");
    EXPECT_NE(readErrorOf([&] { reader.rejectUnknown(); }).find("'sped=' was found, one of speed"),
              std::string::npos);
    reader.property("sped");
    EXPECT_EQ(reader.setting("cores", number, 1.0), 2);
    EXPECT_EQ(readErrorOf([&] { reader.rejectUnknown(); }),
              "f.kdl:3:3: 'core' was found, one of cores was expected");
}

// For any input the parser returns nodes or throws one error, and never reads past the end.
RC_GTEST_PROP(Kdl, ArbitraryInputParsesOrThrows, ()) {
    static const std::vector<std::string> kFragments = {
        "a",  "{", "}",  "\"", "#", "/-", "/*", "*/",   "//",           "\n",    " ", "=", "(", ")",
        "\\", "1", "ms", ";",  "-", ".",  "0x", "\xC3", "\xE2\x82\xAC", "#true", "e", "_", "%", "\"\"\""};
    std::string text;
    for (int n = *rc::gen::inRange(0, 40); n > 0; --n) text += *rc::gen::elementOf(kFragments);
    try {
        parse(text, "f");
    } catch (const DocumentError& error) {
        RC_ASSERT(std::string(error.what()).find("f:") == 0U);
    }
}

}  // namespace
}  // namespace cottonwing::kdl
