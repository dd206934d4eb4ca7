#include "simulator/decision_writer.h"

#include <algorithm>
#include <charconv>

#include "simulator/wire_names.h"

namespace cottonwing::simulator {

namespace {

using namespace std::chrono_literals;

constexpr int kLoadShareDecimals = 4;
constexpr std::string_view kTrue = "1";
constexpr std::string_view kFalse = "0";

std::string_view flag(bool value) { return value ? kTrue : kFalse; }

std::uint64_t microseconds(Duration value) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(value.count() / 1000, 0));
}

}  // namespace

DecisionWriter::DecisionWriter(int instance, std::string& out)
    : instance_(std::to_string(instance)), out_(out) {}

void DecisionWriter::put(std::string_view text) { out_.append(" ").append(text); }

void DecisionWriter::put(std::uint64_t number) { put(std::string_view(std::to_string(number))); }

template <typename... Parts>
void DecisionWriter::write(std::string_view name, Parts... parts) {
    out_.append(name).append(" ").append(instance_);
    (put(parts), ...);
    out_.append("\n");
}

void DecisionWriter::startRun(RequestId id) { write(wire::kStartRun, id); }

void DecisionWriter::reject(RequestId id, const Pushback& pushback) {
    write(wire::kReject, id, microseconds(pushback.retryAfter), flag(!pushback.retryElsewhere));
}

void DecisionWriter::fail(RequestId id) { write(wire::kFail, id); }

void DecisionWriter::cancelRun(RequestId id) { write(wire::kCancelRun, id); }

// On the wire, 0 would mean the whole timeout of the request class.
void DecisionWriter::callDependency(RequestId id, Duration timeout) {
    write(wire::kCallDependency, id, microseconds(std::max(timeout, Duration(1us))));
}

void DecisionWriter::skipDependencyCall(RequestId id) { write(wire::kSkipDependencyCall, id); }

void DecisionWriter::retainKey(RequestId id, Duration lifetime) {
    write(wire::kRetainKey, id, microseconds(lifetime));
}

void DecisionWriter::releaseKey(RequestId id) { write(wire::kReleaseKey, id); }

void DecisionWriter::joinDuplicate(RequestId id) { write(wire::kJoinDuplicate, id); }

// The first flag: checks are answered from this setting, without work of their own.
void DecisionWriter::setHealth(bool good) { write(wire::kSetHealth, kTrue, flag(good)); }

void DecisionWriter::advertiseLoadShare(double value) {
    char text[32];
    const auto end =
        std::to_chars(text, text + sizeof text, value, std::chars_format::fixed, kLoadShareDecimals).ptr;
    write(wire::kAdvertiseLoadShare, std::string_view(text, static_cast<std::size_t>(end - text)));
}

void DecisionWriter::setIdleTimeout(Duration idleTimeout) {
    write(wire::kCloseIdleConnections, microseconds(idleTimeout));
}

void DecisionWriter::scheduleTick(Duration wait) {
    write(wire::kScheduleTick, microseconds(wait), std::string_view(wire::kTickTag));
}

void DecisionWriter::log(std::string_view line) { write(wire::kLog, line); }

void DecisionWriter::bug(std::string_view what) { write(wire::kBug, what); }

}  // namespace cottonwing::simulator
