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

void DecisionWriter::appendField(std::string_view text) { out_.append(" ").append(text); }

void DecisionWriter::appendField(std::uint64_t number) {
    appendField(std::string_view(std::to_string(number)));
}

template <typename... Fields>
void DecisionWriter::writeLine(std::string_view name, Fields... fields) {
    out_.append(name).append(" ").append(instance_);
    (appendField(fields), ...);
    out_.append("\n");
}

void DecisionWriter::startRun(RequestId id) { writeLine(wire::kStartRun, id); }

void DecisionWriter::reject(RequestId id, const Pushback& pushback) {
    writeLine(wire::kReject, id, microseconds(pushback.retryAfter), flag(!pushback.retryElsewhere));
}

void DecisionWriter::fail(RequestId id) { writeLine(wire::kFail, id); }

void DecisionWriter::cancelRun(RequestId id) { writeLine(wire::kCancelRun, id); }

// At least 1 us, because 0 on the wire stands for the full timeout of the request class.
void DecisionWriter::callDependency(RequestId id, Duration timeout) {
    writeLine(wire::kCallDependency, id, microseconds(std::max(timeout, Duration(1us))));
}

void DecisionWriter::skipDependencyCall(RequestId id) { writeLine(wire::kSkipDependencyCall, id); }

void DecisionWriter::retainKey(RequestId id, Duration lifetime) {
    writeLine(wire::kRetainKey, id, microseconds(lifetime));
}

void DecisionWriter::releaseKey(RequestId id) { writeLine(wire::kReleaseKey, id); }

void DecisionWriter::joinDuplicate(RequestId id) { writeLine(wire::kJoinDuplicate, id); }

// The first flag says that health checks are answered from this setting, without work of their own.
void DecisionWriter::setHealth(bool healthy) { writeLine(wire::kSetHealth, kTrue, flag(healthy)); }

void DecisionWriter::advertiseLoadShare(double share) {
    char text[32];
    const auto end =
        std::to_chars(text, text + sizeof text, share, std::chars_format::fixed, kLoadShareDecimals).ptr;
    writeLine(wire::kAdvertiseLoadShare, std::string_view(text, static_cast<std::size_t>(end - text)));
}

void DecisionWriter::setIdleTimeout(Duration idleTimeout) {
    writeLine(wire::kCloseIdleConnections, microseconds(idleTimeout));
}

void DecisionWriter::scheduleTick(Duration delay) {
    writeLine(wire::kScheduleTick, microseconds(delay), std::string_view(wire::kTickTag));
}

void DecisionWriter::log(std::string_view message) { writeLine(wire::kLog, message); }

void DecisionWriter::reportBug(std::string_view what) { writeLine(wire::kBug, what); }

}  // namespace cottonwing::simulator
