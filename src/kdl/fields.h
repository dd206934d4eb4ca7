// A node read by what its owner expects in it. Whatever nobody asked for is an error that names what may
// stand there, so that a misspelt or misplaced word is never passed over.
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

// Values with their units. Each throws DocumentError where another kind of value stands, or one outside its
// range.
Duration duration(const Value& value);    // ns, us, ms, s, min, h, d; 0 may stand alone; never below 0
double fraction(const Value& value);      // 35% or 0.35; at least 0
double rate(const Value& value);          // a second: 120/s, 90/min, 3600/h; at least 0
std::uint64_t bytes(const Value& value);  // B, kB, KiB, MB, MiB, GB, GiB
double number(const Value& value);        // without a unit
std::int64_t integer(const Value& value, std::int64_t min, std::int64_t max);
const std::string& text(const Value& value);
bool boolean(const Value& value);
// whole() for a setting or a property.
inline auto integerBetween(std::int64_t min, std::int64_t max) {
    return [=](const Value& value) { return integer(value, min, max); };
}

class NodeReader {
public:
    explicit NodeReader(const Node& node) : node_(node) {}
    NodeReader(const NodeReader&) = delete;
    NodeReader& operator=(const NodeReader&) = delete;

    const Node& node() const { return node_; }
    [[noreturn]] void fail(const std::string& message) const;

    // The argument at that place, counted from 0. what tells what is expected, as "a duration such as 250ms".
    const Value& argument(std::size_t index, const std::string& what);
    const Value* optionalArgument(std::size_t index);
    std::vector<const Value*> remainingArguments(std::size_t from);  // the arguments from there on
    const Value* property(const std::string& name);                  // nothing where there is none
    // Read into `to`, which keeps its value where there is none.
    template <typename T, typename Read>
    void property(const std::string& name, T& to, Read&& readValue) {
        if (const Value* const value = property(name)) to = static_cast<T>(readValue(*value));
    }
    // The one child of that name; more than one is an error.
    const Node* child(const std::string& name);
    std::vector<const Node*> children(const std::string& name);
    std::vector<const Node*> allChildren();  // whatever their names

    // The only argument of the child of that name, read by one of the above, or else otherwise.
    template <typename Read, typename T>
    T setting(const std::string& name, Read&& readValue, T defaultValue) {
        const Node* const found = child(name);
        if (found == nullptr) return defaultValue;
        NodeReader inner(*found);
        T result = static_cast<T>(readValue(inner.argument(0, "a value")));
        inner.rejectUnknown();
        return result;
    }
    // One of the words, as its place in the list.
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

    // Everything in the node was asked for; throws DocumentError at the first that was not.
    void rejectUnknown() const;

private:
    const Node& node_;
    std::set<std::size_t> readArguments_;
    std::set<std::string> readProperties_, readChildren_;
    bool acceptsAnyChild_ = false;
};

}  // namespace cottonwing::kdl
