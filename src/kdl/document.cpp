#include "kdl/document.h"

#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>
#include <tao/pegtl.hpp>

namespace cottonwing::kdl {

namespace {

namespace p = tao::pegtl;

// ---- grammar

struct Newline
    : p::sor<p::string<'\r', '\n'>, p::one<'\n', '\r', '\f', '\v'>, p::utf8::one<0x85, 0x2028, 0x2029>> {};
struct Blank : p::sor<p::one<' ', '\t'>, p::utf8::one<0xFEFF, 0xA0, 0x1680, 0x202F, 0x205F, 0x3000>,
                      p::utf8::range<0x2000, 0x200A>> {};
struct LineComment : p::seq<p::string<'/', '/'>, p::until<p::at<p::sor<Newline, p::eof>>>> {};
struct BlockCommentStart : p::string<'/', '*'> {};
struct BlockCommentEnd : p::string<'*', '/'> {};
struct BlockComment;
struct BlockCommentContent : p::sor<BlockComment, p::seq<p::not_at<BlockCommentEnd>, p::utf8::any>> {};
struct RequiredBlockCommentEnd : BlockCommentEnd {};
struct BlockComment
    : p::seq<BlockCommentStart, p::star<BlockCommentContent>, p::must<RequiredBlockCommentEnd>> {};
struct Whitespace : p::sor<Blank, BlockComment> {};
struct LineContinuationEnd : p::sor<p::seq<LineComment, p::opt<Newline>>, Newline, p::eof> {};
struct LineContinuation : p::seq<p::one<'\\'>, p::star<Whitespace>, p::must<LineContinuationEnd>> {};
struct Gap : p::sor<Whitespace, LineContinuation> {};
struct LineGap : p::sor<Gap, Newline, LineComment> {};

struct NonIdentifierCharacter : p::sor<p::one<'\\', '/', '(', ')', '{', '}', '[', ']', ';', '"', '#', '='>,
                                       Blank, Newline, p::range<0, 0x20>, p::one<0x7f>> {};
struct IdentifierCharacter : p::seq<p::not_at<NonIdentifierCharacter>, p::utf8::any> {};
struct Digit : p::digit {};
struct Sign : p::one<'+', '-'> {};
struct NumberStart : p::seq<p::opt<Sign>, p::opt<p::one<'.'>>, Digit> {};
struct Identifier : p::seq<p::not_at<NumberStart>, p::plus<IdentifierCharacter>> {};

struct HexDigits : p::rep_min_max<1, 6, p::xdigit> {};
struct EscapeCode
    : p::sor<p::one<'n', 'r', 't', '\\', '"', 'b', 'f', 's'>,
             p::seq<p::one<'u'>, p::one<'{'>, HexDigits, p::one<'}'>>, p::plus<p::sor<Blank, Newline>>> {};
struct Escape : p::seq<p::one<'\\'>, p::must<EscapeCode>> {};
struct StringCharacter : p::seq<p::not_at<p::sor<p::one<'"'>, Newline>>, p::utf8::any> {};
struct StringBody : p::star<p::sor<Escape, p::seq<p::not_at<p::one<'\\'>>, StringCharacter>>> {};
struct StringEnd : p::one<'"'> {};
struct MultiLineStringStart : p::seq<p::star<p::one<'#'>>, p::string<'"', '"', '"'>> {};
struct SingleLineString : p::not_at<MultiLineStringStart> {};
struct QuotedString : p::seq<p::one<'"'>, StringBody, p::must<StringEnd>> {};
template <char... Hashes>
struct RawStringEnd : p::string<'"', Hashes...> {};
template <char... Hashes>
struct RawStringOf : p::seq<p::string<Hashes..., '"'>,
                            p::until<RawStringEnd<Hashes...>, p::seq<p::not_at<Newline>, p::utf8::any>>> {};
struct RawString : p::sor<RawStringOf<'#', '#', '#'>, RawStringOf<'#', '#'>, RawStringOf<'#'>> {};
struct String : p::seq<p::at<p::sor<p::one<'"'>, p::seq<p::plus<p::one<'#'>>, p::one<'"'>>>>,
                       p::must<SingleLineString>, p::sor<RawString, QuotedString>> {};

struct Digits : p::seq<Digit, p::star<p::sor<Digit, p::one<'_'>>>> {};
struct Decimal : p::seq<p::opt<Sign>, Digits, p::opt<p::one<'.'>, Digits>,
                        p::opt<p::one<'e', 'E'>, p::opt<Sign>, Digits>> {};
struct Based : p::seq<p::opt<Sign>, p::one<'0'>,
                      p::sor<p::seq<p::one<'x'>, p::plus<p::sor<p::xdigit, p::one<'_'>>>>,
                             p::seq<p::one<'o'>, p::plus<p::sor<p::range<'0', '7'>, p::one<'_'>>>>,
                             p::seq<p::one<'b'>, p::plus<p::one<'0', '1', '_'>>>>> {};
struct UnitLetters : p::plus<p::sor<p::alpha, p::utf8::one<0xB5, 0x3BC>>> {};
struct Unit : p::sor<p::one<'%'>, p::seq<p::one<'/'>, UnitLetters>,
                     p::seq<UnitLetters, p::opt<p::one<'/'>, UnitLetters>>> {};
struct ValueEnd : p::at<p::sor<NonIdentifierCharacter, p::eof>> {};
struct Number : p::seq<p::at<NumberStart>, p::sor<Based, Decimal>, p::opt<Unit>, p::must<ValueEnd>> {};
struct KeywordName
    : p::sor<p::string<'t', 'r', 'u', 'e'>, p::string<'f', 'a', 'l', 's', 'e'>, p::string<'n', 'u', 'l', 'l'>,
             p::string<'-', 'i', 'n', 'f'>, p::string<'i', 'n', 'f'>, p::string<'n', 'a', 'n'>> {};
struct CompleteKeyword : p::seq<KeywordName, ValueEnd> {};
struct Keyword : p::seq<p::one<'#'>, p::must<CompleteKeyword>> {};

struct TypeName : p::sor<String, Identifier> {};
struct RequiredTypeName : TypeName {};
struct TypeEnd : p::one<')'> {};
struct Type : p::seq<p::one<'('>, p::star<Gap>, p::must<RequiredTypeName>, p::star<Gap>, p::must<TypeEnd>> {};

struct UntypedValue : p::sor<String, Number, Keyword, Identifier> {};
struct ValueRule : p::seq<p::opt<Type, p::star<Gap>>, UntypedValue> {};
struct PropertyValue : ValueRule {};
struct Key : p::sor<String, Identifier> {};
struct Property : p::seq<Key, p::star<Gap>, p::one<'='>, p::star<Gap>, p::must<PropertyValue>> {};
struct Argument : ValueRule {};
struct SlashDash : p::string<'/', '-'> {};
struct EntrySlashDash : p::seq<SlashDash, p::star<LineGap>> {};
struct Entry : p::seq<p::opt<EntrySlashDash>, p::sor<Property, Argument>> {};

struct Nodes;
struct OpeningBrace : p::one<'{'> {};
struct ClosingBrace : p::one<'}'> {};
struct BlockSlashDash : p::seq<SlashDash, p::star<LineGap>, p::at<p::one<'{'>>> {};
struct Block : p::seq<p::opt<BlockSlashDash>, OpeningBrace, Nodes, p::must<ClosingBrace>> {};
struct NodeName : p::sor<String, Identifier> {};
struct NodeType : Type {};
struct NodeSlashDash : p::seq<SlashDash, p::star<LineGap>> {};
struct NodeAfterSlashDash : p::at<p::sor<p::one<'('>, p::one<'"'>, p::one<'#'>, Identifier>> {};
struct NodeEnd : p::sor<p::one<';'>, Newline, LineComment, p::at<p::one<'}'>>, p::eof> {};
struct RequiredNodeEnd : NodeEnd {};
struct NodeBody : p::seq<p::star<p::seq<p::plus<Gap>, p::not_at<BlockSlashDash>, Entry>>,
                         p::star<p::seq<p::star<Gap>, Block>>, p::star<Gap>, p::must<RequiredNodeEnd>> {};
struct NodeStart : p::seq<p::opt<NodeType, p::star<Gap>>, NodeName> {};
struct NodeRule : p::seq<p::opt<NodeSlashDash, p::must<NodeAfterSlashDash>>, NodeStart, NodeBody> {};
struct Nodes : p::seq<p::star<LineGap>, p::star<NodeRule, p::star<LineGap>>> {};
struct DocumentEnd : p::eof {};
struct Document : p::seq<p::opt<p::utf8::bom>, Nodes, p::must<DocumentEnd>> {};

// The second half of the error message when a rule that must match does not.
template <typename Rule>
inline constexpr const char* kExpected = nullptr;
template <>
inline constexpr auto kExpected<RequiredBlockCommentEnd> = "the end '*/' of a comment was expected";
template <>
inline constexpr auto kExpected<LineContinuationEnd> = "the end of the line was expected after '\\'";
template <>
inline constexpr auto kExpected<EscapeCode> =
    "one of n, r, t, b, f, s, \\, \" or u{1F600} was expected after '\\' in a string";
template <>
inline constexpr auto kExpected<StringEnd> = "the closing '\"' of a string was expected on this line";
template <>
inline constexpr auto kExpected<SingleLineString> =
    "a single-line string was expected (\"\"\" is not supported: write \\n for a new line)";
template <>
inline constexpr auto kExpected<ValueEnd> =
    "whitespace or the end of the number was expected (a unit is %, or letters such as ms, MiB or /s)";
template <>
inline constexpr auto kExpected<CompleteKeyword> = "#true, #false or #null was expected";
template <>
inline constexpr auto kExpected<RequiredTypeName> = "the name of a type was expected after '('";
template <>
inline constexpr auto kExpected<TypeEnd> = "')' was expected after the name of a type";
template <>
inline constexpr auto kExpected<PropertyValue> = "a value was expected after '='";
template <>
inline constexpr auto kExpected<ClosingBrace> = "the name of a node or '}' was expected";
template <>
inline constexpr auto kExpected<NodeAfterSlashDash> = "a node was expected after '/-'";
template <>
inline constexpr auto kExpected<RequiredNodeEnd> = "a value, '{' or the end of the line was expected";
template <>
inline constexpr auto kExpected<DocumentEnd> = "the name of a node was expected";

// The names of the members are those that PEGTL's must_if looks for.
struct ExpectationMessages {
    template <typename Rule>
    static constexpr auto message = kExpected<Rule>;  // NOLINT(readability-identifier-naming)
    template <typename Rule>
    static constexpr bool raise_on_failure = false;  // NOLINT(readability-identifier-naming)
};
template <typename Rule>
using Control = typename p::must_if<ExpectationMessages>::template control<Rule>;

// ---- tree of nodes

struct Builder {
    std::string file;
    std::vector<Node> openNodes = std::vector<Node>(1);  // the first one stands for the document
    std::vector<bool> droppedNodes = {false};            // per open node: it follows a '/-'
    std::vector<bool> droppedBlocks;                     // per open block: it follows a '/-'
    std::string lastString, type, key;
    Value lastValue;
    bool dropNode = false, dropEntry = false, dropBlock = false;

    template <typename Input>
    SourceLocation locationOf(const Input& in) const {
        const auto at = in.position();
        return {file, at.line, at.column};
    }
    Value takeValue() {
        Value value = std::move(lastValue);
        lastValue = Value{};
        if (!type.empty() && value.kind == Value::Kind::Number && value.unit.empty()) value.unit = type;
        type.clear();
        return value;
    }
};

void appendUtf8(std::string& out, unsigned long code) {
    if (code < 0x80) {
        out.push_back(static_cast<char>(code));
    } else if (code < 0x800) {
        out.push_back(static_cast<char>(0xC0 | code >> 6));
        out.push_back(static_cast<char>(0x80 | (code & 0x3F)));
    } else if (code < 0x10000) {
        out.push_back(static_cast<char>(0xE0 | code >> 12));
        out.push_back(static_cast<char>(0x80 | (code >> 6 & 0x3F)));
        out.push_back(static_cast<char>(0x80 | (code & 0x3F)));
    } else {
        out.push_back(static_cast<char>(0xF0 | code >> 18));
        out.push_back(static_cast<char>(0x80 | (code >> 12 & 0x3F)));
        out.push_back(static_cast<char>(0x80 | (code >> 6 & 0x3F)));
        out.push_back(static_cast<char>(0x80 | (code & 0x3F)));
    }
}

// Decodes a string literal, given with its quotes. The grammar has already validated its form.
std::string stringContent(std::string_view written) {
    const std::size_t hashes = written.find('"');
    std::string_view inner = written.substr(hashes + 1, written.size() - 2 * hashes - 2);
    if (hashes > 0) return std::string(inner);
    std::string content;
    while (!inner.empty()) {
        const char byte = inner.front();
        inner.remove_prefix(1);
        if (byte != '\\') {
            content.push_back(byte);
            continue;
        }
        const char code = inner.front();
        static constexpr std::string_view kCodes = "nrt\\\"bfs";
        static constexpr std::string_view kDecoded = "\n\r\t\\\"\b\f ";
        if (code == 'u') {
            const std::size_t close = inner.find('}');
            appendUtf8(content, std::strtoul(std::string(inner.substr(2, close - 2)).c_str(), nullptr, 16));
            inner.remove_prefix(close + 1);
        } else if (const std::size_t at = kCodes.find(code); at != kCodes.npos) {
            content.push_back(kDecoded[at]);
            inner.remove_prefix(1);
        } else {  // whitespace after a backslash is not part of the string
            inner.remove_prefix(std::min(inner.find_first_not_of(" \t\r\n"), inner.size()));
        }
    }
    return content;
}

double parseNumber(std::string written) {
    std::erase(written, '_');
    const bool negative = written.front() == '-';
    if (negative || written.front() == '+') written.erase(0, 1);
    double value = 0;
    const char* const last = written.data() + written.size();
    if (written.size() > 2 && written[0] == '0' && std::isalpha(static_cast<unsigned char>(written[1])) &&
        written[1] != 'e' && written[1] != 'E') {
        const int base = written[1] == 'x' ? 16 : written[1] == 'o' ? 8 : 2;
        for (const char* at = written.data() + 2; at != last; ++at)
            value = value * base +
                    (std::isdigit(static_cast<unsigned char>(*at)) ? *at - '0' : (*at | 32) - 'a' + 10);
    } else {
        std::from_chars(written.data(), last, value);
    }
    return negative ? -value : value;
}

template <typename Rule>
struct Action {};

template <>
struct Action<String> {
    template <typename Input>
    static void apply(const Input& in, Builder& builder) {
        builder.lastString = stringContent(in.string_view());
        builder.lastValue = {Value::Kind::String, builder.lastString, 0, "", false, builder.locationOf(in)};
    }
};
template <>
struct Action<Identifier> {
    template <typename Input>
    static void apply(const Input& in, Builder& builder) {
        builder.lastString = in.string();
        for (const char* keyword : {"true", "false", "null", "inf", "-inf", "nan"})
            if (builder.lastString == keyword)
                throw DocumentError(builder.locationOf(in), "'" + builder.lastString + "' was found",
                                    "'#" + builder.lastString + "' or a quoted string was expected");
        builder.lastValue = {Value::Kind::String, builder.lastString, 0, "", false, builder.locationOf(in)};
    }
};
template <>
struct Action<Number> {
    template <typename Input>
    static void apply(const Input& in, Builder& builder) {
        const std::string written = in.string();
        std::size_t digits = written.size();
        const bool hasBasePrefix = written.find_first_of("xob") != written.npos && written.size() > 2 &&
                                   std::isalpha(static_cast<unsigned char>(written[written.find('0') + 1]));
        if (!hasBasePrefix) {
            digits = std::min(written.find_first_not_of("0123456789_.+-"), written.size());
            // An exponent belongs to the digits; a unit that begins with an e does not.
            if (digits < written.size() && (written[digits] | 32) == 'e') {
                std::size_t end = digits + 1;
                if (end < written.size() && (written[end] == '+' || written[end] == '-')) ++end;
                if (end < written.size() && std::isdigit(static_cast<unsigned char>(written[end])))
                    digits = std::min(written.find_first_not_of("0123456789_", end), written.size());
            }
        }
        builder.lastValue = {Value::Kind::Number,    written, parseNumber(written.substr(0, digits)),
                             written.substr(digits), false,   builder.locationOf(in)};
    }
};
template <>
struct Action<Keyword> {
    template <typename Input>
    static void apply(const Input& in, Builder& builder) {
        const std::string written = in.string();
        builder.lastValue = {Value::Kind::Number, written, 0, "", false, builder.locationOf(in)};
        if (written == "#true" || written == "#false")
            builder.lastValue.kind = Value::Kind::Boolean, builder.lastValue.boolean = written == "#true";
        else if (written == "#null")
            builder.lastValue.kind = Value::Kind::Null;
        else
            builder.lastValue.number = written == "#nan"   ? std::nan("")
                                       : written == "#inf" ? HUGE_VAL
                                                           : -HUGE_VAL;
    }
};
template <>
struct Action<RequiredTypeName> {
    static void apply0(Builder& builder) { builder.type = builder.lastString; }
};
template <>
struct Action<Key> {
    static void apply0(Builder& builder) { builder.key = builder.lastString; }
};
template <>
struct Action<PropertyValue> {
    static void apply0(Builder& builder) {
        Value value = builder.takeValue();
        if (!std::exchange(builder.dropEntry, false))
            builder.openNodes.back().properties[builder.key] = std::move(value);
    }
};
template <>
struct Action<Argument> {
    static void apply0(Builder& builder) {
        Value value = builder.takeValue();
        if (!std::exchange(builder.dropEntry, false))
            builder.openNodes.back().arguments.push_back(std::move(value));
    }
};
template <>
struct Action<EntrySlashDash> {
    static void apply0(Builder& builder) { builder.dropEntry = true; }
};
template <>
struct Action<BlockSlashDash> {
    static void apply0(Builder& builder) { builder.dropBlock = true; }
};
template <>
struct Action<NodeSlashDash> {
    static void apply0(Builder& builder) { builder.dropNode = true; }
};
template <>
struct Action<NodeStart> {
    template <typename Input>
    static void apply(const Input& in, Builder& builder) {
        Node node;
        node.name = builder.lastString;
        node.type = std::exchange(builder.type, "");
        node.location = builder.locationOf(in);
        builder.openNodes.push_back(std::move(node));
        builder.droppedNodes.push_back(std::exchange(builder.dropNode, false));
    }
};
template <>
struct Action<OpeningBrace> {
    template <typename Input>
    static void apply(const Input& in, Builder& builder) {
        builder.droppedBlocks.push_back(std::exchange(builder.dropBlock, false));
        if (builder.droppedBlocks.size() > kMaxDepth)
            throw DocumentError(
                builder.locationOf(in), "'{' was found",
                "at most " + std::to_string(kMaxDepth) + " levels of nested nodes were expected");
    }
};
template <>
struct Action<ClosingBrace> {
    static void apply0(Builder& builder) {
        if (builder.droppedBlocks.back()) builder.openNodes.back().children.clear();
        builder.droppedBlocks.pop_back();
    }
};
template <>
struct Action<RequiredNodeEnd> {
    static void apply0(Builder& builder) {
        Node node = std::move(builder.openNodes.back());
        builder.openNodes.pop_back();
        const bool drop = builder.droppedNodes.back();
        builder.droppedNodes.pop_back();
        if (!drop) builder.openNodes.back().children.push_back(std::move(node));
    }
};

// The first half of an error message: the word at an offset, in quotes.
std::string describeTextAt(std::string_view text, std::size_t byte) {
    if (byte >= text.size()) return "the end of the file was found";
    const std::string_view rest = text.substr(byte);
    if (rest.front() == '\n' || rest.front() == '\r') return "the end of the line was found";
    std::size_t length = std::min(rest.find_first_of(" \t\r\n;{}"), rest.size());
    return "'" + std::string(rest.substr(0, std::clamp<std::size_t>(length, 1, 30))) + "' was found";
}

}  // namespace

DocumentError::DocumentError(const SourceLocation& location, const std::string& found,
                             const std::string& expected)
    : DocumentError(location, found + ", " + expected) {}
DocumentError::DocumentError(const SourceLocation& location, const std::string& message)
    : runtime_error(location.file +
                    (location.line > 0
                         ? ":" + std::to_string(location.line) + ":" + std::to_string(location.column)
                         : "") +
                    ": " + message) {}

std::vector<Node> parse(std::string_view text, const std::string& file) {
    if (text.size() > kMaxDocumentBytes)
        throw DocumentError({file, 0, 0}, std::to_string(text.size()) + " bytes were found",
                            "at most " + std::to_string(kMaxDocumentBytes) + " were expected");
    Builder builder;
    builder.file = file;
    p::memory_input in(text.data(), text.size(), file);
    try {
        if (!p::parse<Document, Action, Control>(in, builder))
            throw DocumentError({file, 1, 1}, "no KDL document was found");
    } catch (const p::parse_error& error) {
        const auto& at = error.positions().front();
        throw DocumentError({file, at.line, at.column}, describeTextAt(text, at.byte),
                            std::string(error.message()));
    }
    return std::move(builder.openNodes.front().children);
}

std::vector<Node> parseFile(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw DocumentError({path, 0, 0}, "the file can't be opened");
    std::ostringstream all;
    all << in.rdbuf();
    if (in.bad() || !all) throw DocumentError({path, 0, 0}, "the file can't be read");
    return parse(all.str(), path);
}

}  // namespace cottonwing::kdl
