#include "kdl/document.h"

#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>
#include <tao/pegtl.hpp>

namespace cottonwing::kdl {

namespace {

namespace p = tao::pegtl;

// ---- the grammar ----------------------------------------------------------------------------------------

struct Newline
    : p::sor<p::string<'\r', '\n'>, p::one<'\n', '\r', '\f', '\v'>, p::utf8::one<0x85, 0x2028, 0x2029>> {};
struct Blank : p::sor<p::one<' ', '\t'>, p::utf8::one<0xFEFF, 0xA0, 0x1680, 0x202F, 0x205F, 0x3000>,
                      p::utf8::range<0x2000, 0x200A>> {};
struct LineComment : p::seq<p::string<'/', '/'>, p::until<p::at<p::sor<Newline, p::eof>>>> {};
struct BlockOpen : p::string<'/', '*'> {};
struct BlockClose : p::string<'*', '/'> {};
struct BlockComment;
struct InBlock : p::sor<BlockComment, p::seq<p::not_at<BlockClose>, p::utf8::any>> {};
struct BlockEnd : BlockClose {};
struct BlockComment : p::seq<BlockOpen, p::star<InBlock>, p::must<BlockEnd>> {};
struct Space : p::sor<Blank, BlockComment> {};
struct AfterBackslash : p::sor<p::seq<LineComment, p::opt<Newline>>, Newline, p::eof> {};
struct GoesOn : p::seq<p::one<'\\'>, p::star<Space>, p::must<AfterBackslash>> {};
struct Gap : p::sor<Space, GoesOn> {};
struct LineGap : p::sor<Gap, Newline, LineComment> {};

struct Special : p::sor<p::one<'\\', '/', '(', ')', '{', '}', '[', ']', ';', '"', '#', '='>, Blank, Newline,
                        p::range<0, 0x20>, p::one<0x7f>> {};
struct WordByte : p::seq<p::not_at<Special>, p::utf8::any> {};
struct Digit : p::digit {};
struct Sign : p::one<'+', '-'> {};
struct NumberStart : p::seq<p::opt<Sign>, p::opt<p::one<'.'>>, Digit> {};
struct Word : p::seq<p::not_at<NumberStart>, p::plus<WordByte>> {};

struct HexDigits : p::rep_min_max<1, 6, p::xdigit> {};
struct EscapeCode
    : p::sor<p::one<'n', 'r', 't', '\\', '"', 'b', 'f', 's'>,
             p::seq<p::one<'u'>, p::one<'{'>, HexDigits, p::one<'}'>>, p::plus<p::sor<Blank, Newline>>> {};
struct Escape : p::seq<p::one<'\\'>, p::must<EscapeCode>> {};
struct Letter : p::seq<p::not_at<p::sor<p::one<'"'>, Newline>>, p::utf8::any> {};
struct StringBody : p::star<p::sor<Escape, p::seq<p::not_at<p::one<'\\'>>, Letter>>> {};
struct StringEnd : p::one<'"'> {};
struct ManyLines : p::seq<p::star<p::one<'#'>>, p::string<'"', '"', '"'>> {};
struct OneLineOnly : p::not_at<ManyLines> {};
struct Quoted : p::seq<p::one<'"'>, StringBody, p::must<StringEnd>> {};
template <char... Hashes>
struct RawEnd : p::string<'"', Hashes...> {};
template <char... Hashes>
struct Raw : p::seq<p::string<Hashes..., '"'>,
                    p::until<RawEnd<Hashes...>, p::seq<p::not_at<Newline>, p::utf8::any>>> {};
struct RawText : p::sor<Raw<'#', '#', '#'>, Raw<'#', '#'>, Raw<'#'>> {};
struct Text : p::seq<p::at<p::sor<p::one<'"'>, p::seq<p::plus<p::one<'#'>>, p::one<'"'>>>>,
                     p::must<OneLineOnly>, p::sor<RawText, Quoted>> {};

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
struct EndOfValue : p::at<p::sor<Special, p::eof>> {};
struct Number : p::seq<p::at<NumberStart>, p::sor<Based, Decimal>, p::opt<Unit>, p::must<EndOfValue>> {};
struct KeywordName
    : p::sor<p::string<'t', 'r', 'u', 'e'>, p::string<'f', 'a', 'l', 's', 'e'>, p::string<'n', 'u', 'l', 'l'>,
             p::string<'-', 'i', 'n', 'f'>, p::string<'i', 'n', 'f'>, p::string<'n', 'a', 'n'>> {};
struct KeywordWhole : p::seq<KeywordName, EndOfValue> {};
struct Keyword : p::seq<p::one<'#'>, p::must<KeywordWhole>> {};

struct TypeName : p::sor<Text, Word> {};
struct TypeNamed : TypeName {};
struct TypeEnd : p::one<')'> {};
struct Type : p::seq<p::one<'('>, p::star<Gap>, p::must<TypeNamed>, p::star<Gap>, p::must<TypeEnd>> {};

struct Plain : p::sor<Text, Number, Keyword, Word> {};
struct Value_ : p::seq<p::opt<Type, p::star<Gap>>, Plain> {};
struct AfterEquals : Value_ {};
struct Key : p::sor<Text, Word> {};
struct Property : p::seq<Key, p::star<Gap>, p::one<'='>, p::star<Gap>, p::must<AfterEquals>> {};
struct Argument : Value_ {};
struct Slash : p::string<'/', '-'> {};
struct EntrySlash : p::seq<Slash, p::star<LineGap>> {};
struct Entry : p::seq<p::opt<EntrySlash>, p::sor<Property, Argument>> {};

struct Nodes;
struct Open : p::one<'{'> {};
struct Close : p::one<'}'> {};
struct BlockSlash : p::seq<Slash, p::star<LineGap>, p::at<p::one<'{'>>> {};
struct Block : p::seq<p::opt<BlockSlash>, Open, Nodes, p::must<Close>> {};
struct NodeName : p::sor<Text, Word> {};
struct NodeType : Type {};
struct NodeSlash : p::seq<Slash, p::star<LineGap>> {};
struct AfterSlash : p::at<p::sor<p::one<'('>, p::one<'"'>, p::one<'#'>, Word>> {};
struct NodeEnd : p::sor<p::one<';'>, Newline, LineComment, p::at<p::one<'}'>>, p::eof> {};
struct NodeClosed : NodeEnd {};
struct NodeBody : p::seq<p::star<p::seq<p::plus<Gap>, p::not_at<BlockSlash>, Entry>>,
                         p::star<p::seq<p::star<Gap>, Block>>, p::star<Gap>, p::must<NodeClosed>> {};
struct NodeStart : p::seq<p::opt<NodeType, p::star<Gap>>, NodeName> {};
struct Node_ : p::seq<p::opt<NodeSlash, p::must<AfterSlash>>, NodeStart, NodeBody> {};
struct Nodes : p::seq<p::star<LineGap>, p::star<Node_, p::star<LineGap>>> {};
struct End : p::eof {};
struct Document : p::seq<p::opt<p::utf8::bom>, Nodes, p::must<End>> {};

// What stands where one of these was missing.
template <typename Rule>
inline constexpr const char* kExpected = nullptr;
template <>
inline constexpr auto kExpected<BlockEnd> = "the end '*/' of a comment was expected";
template <>
inline constexpr auto kExpected<AfterBackslash> = "the end of the line was expected after '\\'";
template <>
inline constexpr auto kExpected<EscapeCode> =
    "one of n, r, t, b, f, s, \\, \" or u{1F600} was expected after '\\' in a text";
template <>
inline constexpr auto kExpected<StringEnd> = "the closing '\"' of a text was expected on this line";
template <>
inline constexpr auto kExpected<OneLineOnly> =
    "a text in one line was expected (\"\"\" is not supported: write \\n for a new line)";
template <>
inline constexpr auto kExpected<EndOfValue> =
    "a blank or the end of the number was expected (a unit is %, or letters such as ms, MiB or /s)";
template <>
inline constexpr auto kExpected<KeywordWhole> = "#true, #false or #null was expected";
template <>
inline constexpr auto kExpected<TypeNamed> = "the name of a type was expected after '('";
template <>
inline constexpr auto kExpected<TypeEnd> = "')' was expected after the name of a type";
template <>
inline constexpr auto kExpected<AfterEquals> = "a value was expected after '='";
template <>
inline constexpr auto kExpected<Close> = "the name of a node or '}' was expected";
template <>
inline constexpr auto kExpected<AfterSlash> = "a node was expected after '/-'";
template <>
inline constexpr auto kExpected<NodeClosed> = "a value, '{' or the end of the line was expected";
template <>
inline constexpr auto kExpected<End> = "the name of a node was expected";

struct Expectations {
    template <typename Rule>
    static constexpr auto message = kExpected<Rule>;
    template <typename Rule>
    static constexpr bool raise_on_failure = false;
};
template <typename Rule>
using Control = typename p::must_if<Expectations>::template control<Rule>;

// ---- the nodes ------------------------------------------------------------------------------------------

struct Builder {
    std::string file;
    std::vector<Node> open = std::vector<Node>(1);  // the document itself stands first
    std::vector<bool> dropped = {false};            // the node is behind a '/-'
    std::vector<bool> blockDropped;                 // its block is
    std::string word, type, key;
    Value plain;
    bool dropNode = false, dropEntry = false, dropBlock = false;

    template <typename Input>
    SourceLocation place(const Input& in) const {
        const auto at = in.position();
        return {file, at.line, at.column};
    }
    Value takeValue() {
        Value value = std::move(plain);
        plain = Value{};
        if (!type.empty() && value.kind == Value::Kind::Number && value.unit.empty()) value.unit = type;
        type.clear();
        return value;
    }
};

void addUtf8(std::string& to, unsigned long code) {
    if (code < 0x80) {
        to.push_back(static_cast<char>(code));
    } else if (code < 0x800) {
        to.push_back(static_cast<char>(0xC0 | code >> 6));
        to.push_back(static_cast<char>(0x80 | (code & 0x3F)));
    } else if (code < 0x10000) {
        to.push_back(static_cast<char>(0xE0 | code >> 12));
        to.push_back(static_cast<char>(0x80 | (code >> 6 & 0x3F)));
        to.push_back(static_cast<char>(0x80 | (code & 0x3F)));
    } else {
        to.push_back(static_cast<char>(0xF0 | code >> 18));
        to.push_back(static_cast<char>(0x80 | (code >> 12 & 0x3F)));
        to.push_back(static_cast<char>(0x80 | (code >> 6 & 0x3F)));
        to.push_back(static_cast<char>(0x80 | (code & 0x3F)));
    }
}

// The content of a text as it is written, with its quotes; the grammar has seen to its form.
std::string contentOf(std::string_view written) {
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
        static constexpr std::string_view kCodes = "nrt\\\"bfs", kMeant = "\n\r\t\\\"\b\f ";
        if (code == 'u') {
            const std::size_t close = inner.find('}');
            addUtf8(content, std::strtoul(std::string(inner.substr(2, close - 2)).c_str(), nullptr, 16));
            inner.remove_prefix(close + 1);
        } else if (const std::size_t at = kCodes.find(code); at != kCodes.npos) {
            content.push_back(kMeant[at]);
            inner.remove_prefix(1);
        } else {  // blanks behind a backslash are left out
            inner.remove_prefix(std::min(inner.find_first_not_of(" \t\r\n"), inner.size()));
        }
    }
    return content;
}

double numberOf(std::string written) {
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
struct Action<Text> {
    template <typename Input>
    static void apply(const Input& in, Builder& to) {
        to.word = contentOf(in.string_view());
        to.plain = {Value::Kind::String, to.word, 0, "", false, to.place(in)};
    }
};
template <>
struct Action<Word> {
    template <typename Input>
    static void apply(const Input& in, Builder& to) {
        to.word = in.string();
        for (const char* keyword : {"true", "false", "null", "inf", "-inf", "nan"})
            if (to.word == keyword)
                throw DocumentError(to.place(in), "'" + to.word + "' was found",
                                    "'#" + to.word + "' or a text in quotes was expected");
        to.plain = {Value::Kind::String, to.word, 0, "", false, to.place(in)};
    }
};
template <>
struct Action<Number> {
    template <typename Input>
    static void apply(const Input& in, Builder& to) {
        const std::string written = in.string();
        std::size_t digits = written.size();
        const bool based = written.find_first_of("xob") != written.npos && written.size() > 2 &&
                           std::isalpha(static_cast<unsigned char>(written[written.find('0') + 1]));
        if (!based) {
            digits = std::min(written.find_first_not_of("0123456789_.+-"), written.size());
            // An exponent belongs to the digits, a unit that begins with an e does not.
            if (digits < written.size() && (written[digits] | 32) == 'e') {
                std::size_t end = digits + 1;
                if (end < written.size() && (written[end] == '+' || written[end] == '-')) ++end;
                if (end < written.size() && std::isdigit(static_cast<unsigned char>(written[end])))
                    digits = std::min(written.find_first_not_of("0123456789_", end), written.size());
            }
        }
        to.plain = {Value::Kind::Number,    written, numberOf(written.substr(0, digits)),
                    written.substr(digits), false,   to.place(in)};
    }
};
template <>
struct Action<Keyword> {
    template <typename Input>
    static void apply(const Input& in, Builder& to) {
        const std::string written = in.string();
        to.plain = {Value::Kind::Number, written, 0, "", false, to.place(in)};
        if (written == "#true" || written == "#false")
            to.plain.kind = Value::Kind::Boolean, to.plain.boolean = written == "#true";
        else if (written == "#null")
            to.plain.kind = Value::Kind::Null;
        else
            to.plain.number = written == "#nan" ? std::nan("") : written == "#inf" ? HUGE_VAL : -HUGE_VAL;
    }
};
template <>
struct Action<TypeNamed> {
    static void apply0(Builder& to) { to.type = to.word; }
};
template <>
struct Action<Key> {
    static void apply0(Builder& to) { to.key = to.word; }
};
template <>
struct Action<AfterEquals> {
    static void apply0(Builder& to) {
        Value value = to.takeValue();
        if (!std::exchange(to.dropEntry, false)) to.open.back().properties[to.key] = std::move(value);
    }
};
template <>
struct Action<Argument> {
    static void apply0(Builder& to) {
        Value value = to.takeValue();
        if (!std::exchange(to.dropEntry, false)) to.open.back().arguments.push_back(std::move(value));
    }
};
template <>
struct Action<EntrySlash> {
    static void apply0(Builder& to) { to.dropEntry = true; }
};
template <>
struct Action<BlockSlash> {
    static void apply0(Builder& to) { to.dropBlock = true; }
};
template <>
struct Action<NodeSlash> {
    static void apply0(Builder& to) { to.dropNode = true; }
};
template <>
struct Action<NodeStart> {
    template <typename Input>
    static void apply(const Input& in, Builder& to) {
        Node node;
        node.name = to.word;
        node.type = std::exchange(to.type, "");
        node.location = to.place(in);
        to.open.push_back(std::move(node));
        to.dropped.push_back(std::exchange(to.dropNode, false));
    }
};
template <>
struct Action<Open> {
    template <typename Input>
    static void apply(const Input& in, Builder& to) {
        to.blockDropped.push_back(std::exchange(to.dropBlock, false));
        if (to.blockDropped.size() > kMaxDepth)
            throw DocumentError(to.place(in), "'{' was found",
                                "at most " + std::to_string(kMaxDepth) + " nodes in nodes were expected");
    }
};
template <>
struct Action<Close> {
    static void apply0(Builder& to) {
        if (to.blockDropped.back()) to.open.back().children.clear();
        to.blockDropped.pop_back();
    }
};
template <>
struct Action<NodeClosed> {
    static void apply0(Builder& to) {
        Node node = std::move(to.open.back());
        to.open.pop_back();
        const bool drop = to.dropped.back();
        to.dropped.pop_back();
        if (!drop) to.open.back().children.push_back(std::move(node));
    }
};

// What stands at a place, for a message: a word of it, in quotes.
std::string foundAt(std::string_view text, std::size_t byte) {
    if (byte >= text.size()) return "the end of the file was found";
    const std::string_view rest = text.substr(byte);
    if (rest.front() == '\n' || rest.front() == '\r') return "the end of the line was found";
    std::size_t length = std::min(rest.find_first_of(" \t\r\n;{}"), rest.size());
    return "'" + std::string(rest.substr(0, std::clamp<std::size_t>(length, 1, 30))) + "' was found";
}

}  // namespace

DocumentError::DocumentError(const SourceLocation& at, const std::string& found, const std::string& expected)
    : DocumentError(at, found + ", " + expected) {}
DocumentError::DocumentError(const SourceLocation& at, const std::string& what)
    : runtime_error(at.file +
                    (at.line > 0 ? ":" + std::to_string(at.line) + ":" + std::to_string(at.column) : "") +
                    ": " + what) {}

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
        throw DocumentError({file, at.line, at.column}, foundAt(text, at.byte), std::string(error.message()));
    }
    return std::move(builder.open.front().children);
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
