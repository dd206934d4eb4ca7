/// @file
/// Typed access to the entries of a KDL node. A NodeReader records which arguments, properties and child
/// nodes its caller reads. Entries that nothing has read are reported as errors that list the accepted names,
/// so that misspelt or misplaced settings are never silently ignored.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kdl/document.h"

namespace cottonwing::kdl {

using Duration = std::chrono::nanoseconds;

/// Conversions of values with units. Each throws DocumentError if the value is of another kind or out of
/// range.
Duration duration(const Value& value);    // ns, us, ms, s, min, h, d; 0 needs no unit; not negative
double fraction(const Value& value);      // 35% or 0.35; not negative
double rate(const Value& value);          // per second: 120/s, 90/min, 3600/h; not negative
std::uint64_t bytes(const Value& value);  // B, kB, KiB, MB, MiB, GB, GiB
double number(const Value& value);        // must have no unit
std::int64_t integer(const Value& value, std::int64_t min, std::int64_t max);
const std::string& text(const Value& value);
bool boolean(const Value& value);
/// A conversion by integer() with these bounds, to be passed to setting() or property().
inline auto integerBetween(std::int64_t min, std::int64_t max) {
    return [=](const Value& value) { return integer(value, min, max); };
}

/// Reads the entries of one node and records which were read.
class NodeReader {
public:
    explicit NodeReader(const Node& node) : node_(node) {}
    NodeReader(const NodeReader&) = delete;
    NodeReader& operator=(const NodeReader&) = delete;

    const Node& node() const { return node_; }
    /// Throws DocumentError at the location of the node.
    [[noreturn]] void fail(const std::string& message) const;

    /// Throws DocumentError if there is no such argument.
    /// @param index counted from 0.
    /// @param what the expected value as the error message names it, e.g. "a duration such as 250ms".
    const Value& argument(std::size_t index, const std::string& what);
    /// Null if there is no such argument.
    const Value* optionalArgument(std::size_t index);
    std::vector<const Value*> remainingArguments(std::size_t from);
    /// Null if there is no such property.
    const Value* property(const std::string& name);
    /// Converts a property into `to`, which keeps its value if there is no such property.
    template <typename T, typename Read>
    void property(const std::string& name, T& to, Read&& readValue) {
        if (const Value* const value = property(name)) to = static_cast<T>(readValue(*value));
    }
    /// The only child of that name, or null; more than one is an error.
    const Node* child(const std::string& name);
    std::vector<const Node*> children(const std::string& name);
    std::vector<const Node*> allChildren();

    /// The only argument of the child of that name, converted by one of the functions above, or the default
    /// if there is no such child.
    template <typename Read, typename T>
    T setting(const std::string& name, Read&& readValue, T defaultValue) {
        const Node* const found = child(name);
        if (found == nullptr) return defaultValue;
        NodeReader inner(*found);
        T result = static_cast<T>(readValue(inner.argument(0, "a value")));
        inner.rejectUnknown();
        return result;
    }
    /// The value listed for a word; any other word is an error.
    template <typename T>
    static T choice(const Value& value, const std::vector<std::pair<std::string, T>>& words) {
        std::string acceptedWords;
        for (const auto& [word, meant] : words) {
            if (value.kind == Value::Kind::String && value.text == word) return meant;
            acceptedWords += (acceptedWords.empty() ? "" : ", ") + word;
        }
        throw DocumentError(value.location, "'" + value.text + "' was found",
                            "one of " + acceptedWords + " was expected");
    }

    /// Throws DocumentError at the first entry of the node that was not read.
    void rejectUnknown() const;

private:
    const Node& node_;
    std::set<std::size_t> readArguments_;
    std::set<std::string> readProperties_, readChildren_;
    bool acceptsAnyChild_ = false;
};

}  // namespace cottonwing::kdl
