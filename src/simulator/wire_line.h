/// @file
/// One line of the simulator's wire format with its typed fields, and the error for a malformed batch.
#pragma once

#include <charconv>
#include <cmath>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "overload/types.h"
#include "simulator/wire_names.h"

namespace cottonwing::simulator {

/// A malformed batch. It is never answered on a guess: the program exits with status 2.
class MalformedBatch : public std::runtime_error {
public:
    /// An error in a field of one line.
    /// @param line     its number in the input, counted from 1
    /// @param message  the name of the message
    /// @param problem  what was expected of the field, or what is wrong with it
    MalformedBatch(std::size_t line, std::string_view message, std::string_view field,
                   std::string_view problem);
    /// The error of an input that ends within a batch, after this line.
    static MalformedBatch truncated(std::size_t line);

    std::size_t line() const { return line_; }
    const std::string& message() const { return message_; }
    const std::string& field() const { return field_; }
    const std::string& problem() const { return problem_; }

private:
    MalformedBatch(std::size_t line, const std::string& problem);

    std::size_t line_;
    std::string message_;
    std::string field_;
    std::string problem_;
};

/// The parts of one line, separated by single spaces. The object refers to the text, which has to outlive it.
/// All functions that read a field throw MalformedBatch.
class WireLine {
public:
    WireLine(std::string_view text, std::size_t number);

    [[noreturn]] void fail(std::string_view field, std::string_view problem) const;
    [[noreturn]] void fail(const wire::Field& field, std::string_view problem) const;

    /// The name of the message.
    std::string_view messageName() const { return parts_.front(); }
    /// Fails unless the line has exactly this number of fields.
    void expectFields(std::size_t count) const;
    bool isAbsent(const wire::Field& field) const { return parts_[field.position] == wire::kAbsent; }
    /// Must only be called for a field whose presence has been checked.
    std::string_view text(const wire::Field& field) const { return parts_[field.position]; }
    /// The text from this field to the end of the line.
    std::string_view textToEnd(const wire::Field& field) const;

    /// The number that makes up the whole field; a floating-point number must be finite.
    template <typename T>
    T number(const wire::Field& field) const {
        if (field.position >= parts_.size()) fail(field, "missing");
        const std::string_view part = parts_[field.position];
        const char* const last = part.data() + part.size();
        T value{};
        const auto [end, error] = std::from_chars(part.data(), last, value);
        if (error != std::errc() || end != last) fail(field, "not a number");
        if constexpr (std::is_floating_point_v<T>) {
            if (!std::isfinite(value)) fail(field, "not finite");
        }
        return value;
    }
    /// A non-negative time in microseconds.
    Duration microseconds(const wire::Field& field) const;
    RequestId id(const wire::Field& field) const { return number<std::uint64_t>(field); }
    /// The number of the instance, which is not negative.
    int instance() const;

private:
    std::string_view text_;
    std::size_t number_;
    std::vector<std::string_view> parts_;
};

}  // namespace cottonwing::simulator
