/// @file
/// Drives an overload controller on a simulated clock, records its decisions and checks them.
#pragma once

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "overload/overload_controller.h"
#include "reference_model.h"
#include "request_generator.h"

namespace cottonwing::testing {

/// A controller and its decision sink. A test passes event batches and reads the decisions; the reference
/// model checks the invariants after each batch.
class ControllerHarness : public ReferenceModel {
public:
    explicit ControllerHarness(const ControllerConfig& config)
        : ReferenceModel(config), controller(makeOverloadController(config)) {}

    std::unique_ptr<OverloadController> controller;
    std::optional<double> coreDemand;  ///< Core demand in the gauges; default: runs on the cores.

    // Number of decisions of each kind.
    int starts = 0;
    int runCancellations = 0;
    int rejections = 0;
    int failures = 0;
    int calls = 0;
    int skippedCalls = 0;

    // The last value of each decision that carries one.
    Duration attemptTimeout{0};   ///< Attempt timeout of the last call.
    Duration retryAfter{0};       ///< Retry-After of the last rejection.
    Duration idleTimeout{-1};     ///< Idle time after which client connections are closed.
    bool healthReported = false;  ///< Last health reported.
    std::vector<std::string> logs;

    /// @return a first attempt that arrives now.
    Request newRequest(RequestId id, int requestClass = 0, Duration timeLeft = 5s) const {
        return makeRequest(id, requestClass, now, timeLeft);
    }

    /// Advances the clock, delivers the batch (with gauges if a control tick is due) and checks the
    /// decisions.
    void step(EventBatch batch, Duration passed = 20ms) {
        now += passed;
        batch.now = now;
        if (nextTickAt_ >= 0ns && now >= nextTickAt_ && !batch.gauges) {
            batch.gauges = Gauges{0.5, coreDemand.value_or(countInState(RequestState::OnCores)), 0.1, 3.0};
            nextTickAt_ = -1ns;
        }
        observe(batch);
        controller->decide(batch, *this);
        checkInvariants();
    }
    void step(Duration passed = 20ms) { step(EventBatch{}, passed); }

    /// @return whether a log line contains this text.
    bool logged(std::string_view text) const {
        return std::any_of(logs.begin(), logs.end(),
                           [&](const std::string& line) { return line.find(text) != line.npos; });
    }

    void startRun(RequestId id) override {
        ++starts;
        ReferenceModel::startRun(id);
    }
    void reject(RequestId id, const Pushback& pushback) override {
        ++rejections;
        retryAfter = pushback.retryAfter;
        ReferenceModel::reject(id, pushback);
    }
    void fail(RequestId id) override {
        ++failures;
        ReferenceModel::fail(id);
    }
    void cancelRun(RequestId id) override {
        ++runCancellations;
        ReferenceModel::cancelRun(id);
    }
    void callDependency(RequestId id, Duration timeout) override {
        ++calls;
        attemptTimeout = timeout;
        ReferenceModel::callDependency(id, timeout);
    }
    void skipDependencyCall(RequestId id) override {
        ++skippedCalls;
        ReferenceModel::skipDependencyCall(id);
    }
    void setHealth(bool healthy) override { healthReported = healthy; }
    void setIdleTimeout(Duration timeout) override { idleTimeout = timeout; }
    void scheduleTick(Duration delay) override { nextTickAt_ = now + delay; }
    void log(std::string_view line) override { logs.emplace_back(line); }

private:
    Timestamp nextTickAt_{-1};
};

}  // namespace cottonwing::testing
