/// @file
/// Parser for KDL 2, the format of our configuration files. The result is a tree of nodes that know their
/// location in the file. As an extension, a number may carry a unit (250ms, 4MiB, 150%, 120/s). The part of
/// KDL 2 that is not supported (multi-line strings) is reported as an error and never ignored.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace cottonwing::kdl {

/// Lines and columns count from 1, columns in bytes. Line 0 stands for the file as a whole.
struct SourceLocation {
    std::string file;
    std::size_t line = 0, column = 0;
};

/// An error in a document. The message has the form `file:line:column: what was found, what was expected`;
/// line and column are omitted if the line is 0.
class DocumentError : public std::runtime_error {
public:
    DocumentError(const SourceLocation& location, const std::string& found, const std::string& expected);
    DocumentError(const SourceLocation& location, const std::string& message);
};

/// An argument, or the value of a property.
struct Value {
    enum class Kind { String, Number, Boolean, Null };
    Kind kind = Kind::Null;
    std::string text;  // content of a String; otherwise the value as written
    double number = 0;
    std::string unit;  // of a Number: its suffix, or its type annotation; otherwise empty
    bool boolean = false;
    SourceLocation location;
};

/// A node with its arguments, properties and child nodes.
struct Node {
    std::string name, type;
    std::vector<Value> arguments;
    std::map<std::string, Value> properties;  // the last one wins if a name repeats, as KDL requires
    std::vector<Node> children;
    SourceLocation location;
};

inline constexpr std::size_t kMaxDepth = 64;  // levels of nested child blocks
inline constexpr std::size_t kMaxDocumentBytes = 4 << 20;

/// Parses a document of at most kMaxDocumentBytes. Throws DocumentError.
/// @param file only a name for error messages; nothing is opened.
std::vector<Node> parse(std::string_view text, const std::string& file);
/// Reads and parses a file. Throws DocumentError, also if the file can't be opened or read, or is longer than
/// kMaxDocumentBytes.
std::vector<Node> parseFile(const std::string& path);

}  // namespace cottonwing::kdl
