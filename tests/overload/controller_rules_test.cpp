// Property test with random scenarios: arrivals of every class, duplicates, cancellations, every outcome,
// runs that possibly wait for a call that has ended, stalls, a shutdown notice, little memory, cold starts.
// The reference model of the harness checks its four rules after every batch.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <utility>

#include "helpers.h"

namespace cottonwing::testing {
namespace {

int randomUpTo(int max) { return *rc::gen::resize(1000, rc::gen::inRange(0, max + 1)); }
bool oneIn(int n) { return randomUpTo(n - 1) == 0; }

ControllerConfig randomConfig() {
    ControllerConfig config = plainControllerConfig();
    config.seed = static_cast<std::uint64_t>(randomUpTo(1000000));
    config.startsCold = oneIn(2);
    config.cores = 1 + randomUpTo(5);
    config.memoryLimitKb = 400 + 400 * randomUpTo(10);
    config.runCancellation = static_cast<RunCancellation>(randomUpTo(2));
    config.loadSignal = static_cast<LoadSignal>(randomUpTo(3));
    config.dependency = static_cast<DependencyKind>(1 + randomUpTo(1));
    config.dependencyQuota = 0.4 + 0.6 * randomUpTo(5);
    config.clientCount = randomUpTo(2) * 500;
    if (oneIn(3)) config.tenants = {{5}, {10}};
    return config;
}

RC_GTEST_PROP(ControllerRules, HoldAfterEveryBatch, ()) {
    ControllerHarness harness(randomConfig());
    const int batches = 150 + randomUpTo(250), maxArrivals = randomUpTo(4), failureOneIn = 1 + randomUpTo(9),
              runStepOneIn = 1 + randomUpTo(19), earlyResultOneIn = 1 + randomUpTo(99),
              lossOneIn = 2 + randomUpTo(100);
    const int shutdownBatch = oneIn(2) ? randomUpTo(batches) : -1;
    RequestId nextId = 1;
    for (int i = 0; i < batches && harness.violations.empty(); ++i) {
        EventBatch batch;
        const bool shutdownIsNear = harness.processEnd >= 0ns && harness.now + 700ms > harness.processEnd;
        for (int n = shutdownIsNear ? 0 : randomUpTo(maxArrivals); n > 0; --n) {
            Request request = harness.newRequest(nextId++, randomUpTo(2), 10ms * randomUpTo(500));
            request.memoryKb = 1 + randomUpTo(40);
            request.queuedBeforeRead = 1ms * randomUpTo(30);
            request.isRetry = oneIn(5);
            if (!harness.config.tenants.empty()) request.tenant = randomUpTo(1);
            if (oneIn(4)) request.deadline.reset();
            if (oneIn(3)) request.expectedWork = 1ms * (1 + randomUpTo(500));
            // The server recognizes a duplicate by the retained key of the earlier attempt.
            if (request.requestClass == 1 && !harness.retainedKeys.empty() && oneIn(2)) {
                auto original = harness.retainedKeys.begin();
                std::advance(original, randomUpTo(static_cast<int>(harness.retainedKeys.size()) - 1));
                if (original->second > harness.now + 700ms) request.duplicateOf = original->first;
            }
            batch.arrivals.push_back(request);
        }
        std::vector<RequestId> ids;
        for (const auto& [id, tracked] : harness.requests) ids.push_back(id);
        for (const RequestId id : ids) {
            const ControllerHarness::TrackedRequest& tracked = harness.requests.at(id);
            if (tracked.state == ControllerHarness::RequestState::CallInFlight &&
                (harness.now >= tracked.callEnds || oneIn(earlyResultOneIn))) {
                const auto outcome = harness.now >= tracked.callEnds ? Outcome::TimedOut
                                     : oneIn(failureOneIn)           ? static_cast<Outcome>(1 + randomUpTo(4))
                                                                     : Outcome::Ok;
                if (tracked.answered || tracked.cancelled)
                    batch.runResults.push_back({id, Outcome::Cancelled, 100ms});
                else if (tracked.repeatsCall && oneIn(3))
                    batch.waitingForDependency.push_back(id);
                else
                    batch.dependencyResults.push_back(
                        {id, tracked.repeatsCall && oneIn(2) ? Outcome::Superseded : outcome, 50ms});
            } else if (tracked.state == ControllerHarness::RequestState::WaitingForCall &&
                       (tracked.answered || tracked.cancelled)) {
                batch.runResults.push_back({id, Outcome::Cancelled, 100ms});
            } else if (tracked.state == ControllerHarness::RequestState::OnCores && !tracked.answered &&
                       !tracked.cancelled && tracked.callEnds > 0ns && oneIn(lossOneIn)) {
                batch.possiblyStillWaiting.push_back(id);
            } else if ((tracked.state == ControllerHarness::RequestState::OnCores ||
                        tracked.state == ControllerHarness::RequestState::PossiblyWaiting) &&
                       oneIn(runStepOneIn)) {
                if (oneIn(2) && !tracked.answered && !tracked.cancelled)
                    batch.waitingForDependency.push_back(id);
                else
                    batch.runResults.push_back({id, oneIn(9) ? Outcome::Error : Outcome::Ok, 100ms});
            } else if (tracked.state == ControllerHarness::RequestState::JoinedDuplicate && oneIn(20)) {
                batch.runResults.push_back({id, Outcome::Ok, 100ms});
            } else if (!tracked.cancelled && !tracked.answered && oneIn(60)) {
                batch.clientCancellations.push_back(id);
            }
        }
        if (i == shutdownBatch) batch.processEndsAt = harness.now + 2s + 10ms * randomUpTo(300);
        if (harness.processEnd >= 0ns && harness.now + 60ms > harness.processEnd) break;
        harness.step(batch, oneIn(40) && harness.processEnd < 0ns ? 60ms : 20ms);
    }
    const std::vector<std::string> violations = std::exchange(harness.violations, {});
    RC_ASSERT(violations == std::vector<std::string>{});
}

}  // namespace
}  // namespace cottonwing::testing
