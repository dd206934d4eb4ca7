#include "kdl/node_reader.h"

#include <cmath>

namespace cottonwing::kdl {

namespace {

using Units = std::vector<std::pair<std::string, double>>;

const Units kTimeUnits = {{"ns", 1},  {"us", 1e3},   {"\xC2\xB5s", 1e3}, {"\xCE\xBCs", 1e3}, {"ms", 1e6},
                          {"s", 1e9}, {"min", 60e9}, {"h", 3600e9},      {"d", 86400e9}};
const Units kByteUnits = {{"B", 1},
                          {"kB", 1e3},
                          {"KiB", 1024.0},
                          {"MB", 1e6},
                          {"MiB", 1 << 20},
                          {"GB", 1e9},
                          {"GiB", 1024.0 * 1024 * 1024}};
const Units kRateUnits = {{"/s", 1}, {"/min", 1.0 / 60}, {"/h", 1.0 / 3600}};

[[noreturn]] void throwUnexpected(const Value& value, const std::string& expected) {
    const std::string what =
        value.kind == Value::Kind::String ? "the string '" + value.text + "'" : "'" + value.text + "'";
    throw DocumentError(value.location, what + " was found", expected + " was expected");
}

std::string joinUnitNames(const Units& units) {
    std::string all;
    for (const auto& [unit, factor] : units)
        if (unit.front() > 0) all += (all.empty() ? "" : ", ") + unit;
    return all;
}

// Plain KDL has no units, so a number with a unit may also be given as a string: "250ms".
Value parseQuotedNumber(const Value& value) {
    if (value.kind != Value::Kind::String) return value;
    try {
        const auto nodes = parse("v " + value.text, value.location.file);
        if (nodes.size() == 1 && nodes[0].arguments.size() == 1 &&
            nodes[0].arguments[0].kind == Value::Kind::Number) {
            Value inner = nodes[0].arguments[0];
            inner.location = value.location;
            return inner;
        }
    } catch (const DocumentError&) {
    }
    return value;
}

double convertUnit(const Value& given, const Units& units, const std::string& expected) {
    const Value value = parseQuotedNumber(given);
    if (value.kind != Value::Kind::Number || !std::isfinite(value.number)) throwUnexpected(given, expected);
    if (value.number < 0) throwUnexpected(given, expected + " of 0 or more");
    for (const auto& [unit, factor] : units)
        if (value.unit == unit) return value.number * factor;
    if (value.number == 0 && value.unit.empty()) return 0;
    if (value.unit.empty()) throwUnexpected(given, expected + " with a unit (" + joinUnitNames(units) + ")");
    throw DocumentError(given.location, "the unit '" + value.unit + "' was found",
                        expected + " in " + joinUnitNames(units) + " was expected");
}

}  // namespace

Duration duration(const Value& value) {
    const double nanos = convertUnit(value, kTimeUnits, "a duration such as 250ms");
    if (nanos > 9e18) throwUnexpected(value, "a duration of less than 290 years");
    return Duration(static_cast<std::int64_t>(std::llround(nanos)));
}

double fraction(const Value& value) {
    const Value parsed = parseQuotedNumber(value);
    if (parsed.kind != Value::Kind::Number || !std::isfinite(parsed.number) || parsed.number < 0 ||
        (!parsed.unit.empty() && parsed.unit != "%"))
        throwUnexpected(value, "a fraction such as 35% or 0.35");
    return parsed.unit == "%" ? parsed.number / 100 : parsed.number;
}

double rate(const Value& value) { return convertUnit(value, kRateUnits, "a rate such as 120/s"); }

std::uint64_t bytes(const Value& value) {
    const double count = convertUnit(value, kByteUnits, "a size such as 4MiB");
    if (count > 1e15) throwUnexpected(value, "a size of less than 1000 TB");
    return static_cast<std::uint64_t>(std::llround(count));
}

double number(const Value& value) {
    if (value.kind != Value::Kind::Number || !std::isfinite(value.number)) throwUnexpected(value, "a number");
    if (!value.unit.empty()) throwUnexpected(value, "a number without a unit");
    return value.number;
}

std::int64_t integer(const Value& value, std::int64_t min, std::int64_t max) {
    const std::string expected = "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
    if (value.kind != Value::Kind::Number || !value.unit.empty() ||
        value.number != std::floor(value.number) || value.number < static_cast<double>(min) ||
        value.number > static_cast<double>(max))
        throwUnexpected(value, expected);
    return static_cast<std::int64_t>(value.number);
}

const std::string& text(const Value& value) {
    if (value.kind != Value::Kind::String) throwUnexpected(value, "a string");
    return value.text;
}

bool boolean(const Value& value) {
    if (value.kind != Value::Kind::Boolean) throwUnexpected(value, "#true or #false");
    return value.boolean;
}

void NodeReader::fail(const std::string& message) const { throw DocumentError(node_.location, message); }

const Value& NodeReader::argument(std::size_t index, const std::string& what) {
    readArguments_.insert(index);
    if (index < node_.arguments.size()) return node_.arguments[index];
    throw DocumentError(
        node_.location,
        "'" + node_.name + "' was found with " + std::to_string(node_.arguments.size()) + " values",
        what + " was expected after it");
}

const Value* NodeReader::optionalArgument(std::size_t index) {
    readArguments_.insert(index);
    return index < node_.arguments.size() ? &node_.arguments[index] : nullptr;
}

std::vector<const Value*> NodeReader::remainingArguments(std::size_t from) {
    std::vector<const Value*> result;
    for (std::size_t index = from; index < node_.arguments.size(); ++index)
        result.push_back(optionalArgument(index));
    return result;
}

const Value* NodeReader::property(const std::string& name) {
    readProperties_.insert(name);
    const auto found = node_.properties.find(name);
    return found == node_.properties.end() ? nullptr : &found->second;
}

const Node* NodeReader::child(const std::string& name) {
    const auto all = children(name);
    if (all.size() > 1)
        throw DocumentError(all[1]->location, "a second '" + name + "' was found",
                            "one was expected, as on line " + std::to_string(all[0]->location.line));
    return all.empty() ? nullptr : all[0];
}

std::vector<const Node*> NodeReader::children(const std::string& name) {
    readChildren_.insert(name);
    std::vector<const Node*> result;
    for (const Node& child : node_.children)
        if (child.name == name) result.push_back(&child);
    return result;
}

std::vector<const Node*> NodeReader::allChildren() {
    acceptsAnyChild_ = true;
    std::vector<const Node*> result;
    for (const Node& child : node_.children) result.push_back(&child);
    return result;
}

void NodeReader::rejectUnknown() const {
    const auto acceptedNames = [](const std::set<std::string>& names, const char* what) {
        std::string all;
        for (const std::string& name : names) all += (all.empty() ? "" : ", ") + name;
        return all.empty() ? std::string("no ") + what + " was expected" : "one of " + all + " was expected";
    };
    for (std::size_t index = 0; index < node_.arguments.size(); ++index) {
        if (readArguments_.contains(index)) continue;
        throw DocumentError(node_.arguments[index].location,
                            "'" + node_.arguments[index].text + "' was found",
                            "no further value was expected after '" + node_.name + "'");
    }
    for (const auto& [name, value] : node_.properties)
        if (!readProperties_.contains(name))
            throw DocumentError(value.location, "'" + name + "=' was found",
                                acceptedNames(readProperties_, "property"));
    for (const Node& child : node_.children)
        if (!acceptsAnyChild_ && !readChildren_.contains(child.name))
            throw DocumentError(child.location, "'" + child.name + "' was found",
                                acceptedNames(readChildren_, "node"));
}

}  // namespace cottonwing::kdl
