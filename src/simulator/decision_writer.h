/// @file
/// Encodes the decisions of one instance as lines of a reply, in the order in which they are made.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "overload/decision_sink.h"

namespace cottonwing::simulator {

/// Writes each decision as one line. Durations are truncated to whole microseconds, so that no wait ends
/// later than decided.
class DecisionWriter : public DecisionSink {
public:
    /// @param out  the reply, to which lines are appended; it has to outlive the writer
    DecisionWriter(int instance, std::string& out);

    void startRun(RequestId id) override;
    void reject(RequestId id, const Pushback& pushback) override;
    void fail(RequestId id) override;
    void cancelRun(RequestId id) override;
    void callDependency(RequestId id, Duration timeout) override;
    void skipDependencyCall(RequestId id) override;
    void retainKey(RequestId id, Duration lifetime) override;
    void releaseKey(RequestId id) override;
    void joinDuplicate(RequestId id) override;
    void setHealth(bool healthy) override;
    void advertiseLoadShare(double share) override;
    void setIdleTimeout(Duration idleTimeout) override;
    void scheduleTick(Duration delay) override;
    void log(std::string_view message) override;

    /// Reports a fault of the controller to the simulator.
    void reportBug(std::string_view what);

private:
    void appendField(std::string_view text);
    void appendField(std::uint64_t number);
    template <typename... Fields>
    void writeLine(std::string_view name, Fields... fields);

    std::string instance_;
    std::string& out_;
};

}  // namespace cottonwing::simulator
