// A document in KDL 2, the language of our settings, read into nodes that know where they stand. Beside plain
// KDL a number may carry a unit (250ms, 4MiB, 150%, 120/s). What of KDL 2 is not supported (strings over
// several lines) is an error, never passed over.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace cottonwing::kdl {

// Where something stands; lines and columns count from 1, columns in bytes.
struct SourceLocation {
    std::string file;
    std::size_t line = 0, column = 0;
};

// What can't be taken, as `file:line:column: what was found, what was expected`.
class DocumentError : public std::runtime_error {
public:
    DocumentError(const SourceLocation& location, const std::string& found, const std::string& expected);
    DocumentError(const SourceLocation& location, const std::string& message);
};

struct Value {
    enum class Kind { String, Number, Boolean, Null };
    Kind kind = Kind::Null;
    std::string text;  // of a Text its content, else as it is written
    double number = 0;
    std::string unit;  // of a Number: what follows its digits, or its type in round brackets; else empty
    bool boolean = false;
    SourceLocation location;
};

struct Node {
    std::string name, type;
    std::vector<Value> arguments;
    std::map<std::string, Value> properties;  // of one given twice the last counts, as KDL has it
    std::vector<Node> children;
    SourceLocation location;
};

inline constexpr std::size_t kMaxDepth = 64;               // nodes in nodes
inline constexpr std::size_t kMaxDocumentBytes = 4 << 20;  // bytes of one document

// Throws DocumentError. file is only a name for messages.
std::vector<Node> parse(std::string_view text, const std::string& file);
// Throws DocumentError also where the file can't be opened or is longer than kMaxDocumentBytes.
std::vector<Node> parseFile(const std::string& path);

}  // namespace cottonwing::kdl
