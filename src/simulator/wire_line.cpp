#include "simulator/wire_line.h"

namespace cottonwing::simulator {

namespace {

constexpr std::int64_t kMaxMicroseconds = INT64_MAX / 1000;  // the most that fits into 64 bits as nanoseconds

std::string prefix(std::size_t line) { return "line " + std::to_string(line) + ": "; }

}  // namespace

MalformedBatch::MalformedBatch(std::size_t line, std::string_view message, std::string_view field,
                               std::string_view problem)
    : std::runtime_error(prefix(line) + std::string(message) + ": field '" + std::string(field) +
                         "': " + std::string(problem)),
      line_(line),
      message_(message),
      field_(field),
      problem_(problem) {}

MalformedBatch::MalformedBatch(std::size_t line, const std::string& problem)
    : std::runtime_error(prefix(line) + problem), line_(line), problem_(problem) {}

MalformedBatch MalformedBatch::truncated(std::size_t line) { return {line, "input ended inside a batch"}; }

WireLine::WireLine(std::string_view text, std::size_t number) : text_(text), number_(number) {
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = text.find(' ', begin);
        if (end == std::string_view::npos) break;
        parts_.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    parts_.push_back(text.substr(begin));
}

void WireLine::fail(std::string_view field, std::string_view problem) const {
    throw MalformedBatch(number_, messageName(), field, problem);
}

void WireLine::fail(const wire::Field& field, std::string_view problem) const { fail(field.name, problem); }

void WireLine::expectFields(std::size_t count) const {
    const std::size_t found = parts_.size() - 1;
    if (found == count) return;
    fail(wire::kFieldCount, "expected " + std::to_string(count) + " fields, found " + std::to_string(found));
}

std::string_view WireLine::textToEnd(const wire::Field& field) const {
    if (field.position >= parts_.size()) fail(field, "missing");
    return text_.substr(static_cast<std::size_t>(parts_[field.position].data() - text_.data()));
}

Duration WireLine::microseconds(const wire::Field& field) const {
    const auto value = number<std::int64_t>(field);
    if (value < 0 || value > kMaxMicroseconds) fail(field, "out of range");
    return std::chrono::microseconds(value);
}

int WireLine::instance() const {
    const int instance = number<int>(wire::kInstance);
    if (instance < 0) fail(wire::kInstance, "negative");
    return instance;
}

}  // namespace cottonwing::simulator
