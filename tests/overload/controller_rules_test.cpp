// Random worlds: arrivals of every class, duplicates, cancellations, every outcome, stalls, a shutdown
// notice, little memory, cold starts. The machine of helpers.h checks the four rules after every batch.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <utility>

#include "helpers.h"

namespace cottonwing::testing {
namespace {

int upTo(int most) { return *rc::gen::resize(1000, rc::gen::inRange(0, most + 1)); }
bool oneIn(int n) { return upTo(n - 1) == 0; }

ControllerConfig anyConfig() {
    ControllerConfig config = plainControllerConfig();
    config.seed = static_cast<std::uint64_t>(upTo(1000000));
    config.startsCold = oneIn(2);
    config.cores = 1 + upTo(5);
    config.memoryLimitKb = 400 + 400 * upTo(10);
    config.runCancellation = static_cast<RunCancellation>(upTo(2));
    config.loadSignal = static_cast<LoadSignal>(upTo(3));
    config.dependency = static_cast<DependencyKind>(1 + upTo(1));
    config.dependencyQuota = 0.4 + 0.6 * upTo(5);
    config.clientCount = upTo(2) * 500;
    if (oneIn(3)) config.tenants = {{5}, {10}};
    return config;
}

RC_GTEST_PROP(ControllerRules, HoldAfterEveryBatch, ()) {
    ControllerHarness machine(anyConfig());
    const int batches = 150 + upTo(250), rush = upTo(4), fails = 1 + upTo(9), speed = 1 + upTo(19),
              lag = 1 + upTo(99);
    const int leaveAt = oneIn(2) ? upTo(batches) : -1;
    RequestId next = 1;
    for (int i = 0; i < batches && machine.broken.empty(); ++i) {
        EventBatch batch;
        const bool stopped = machine.stopAt >= 0ns && machine.now + 700ms > machine.stopAt;
        for (int n = stopped ? 0 : upTo(rush); n > 0; --n) {
            Request c = machine.command(next++, upTo(2), 10ms * upTo(500));
            c.memoryKb = 1 + upTo(40);
            c.queuedBeforeRead = 1ms * upTo(30);
            c.isRetry = oneIn(5);
            if (!machine.terms.tenants.empty()) c.tenant = upTo(1);
            if (oneIn(4)) c.deadline.reset();
            if (oneIn(3)) c.expectedWork = 1ms * (1 + upTo(500));
            // a duplicate is known by the retained key of the earlier attempt
            if (c.requestClass == 1 && !machine.kept.empty() && oneIn(2)) {
                auto of = machine.kept.begin();
                std::advance(of, upTo(static_cast<int>(machine.kept.size()) - 1));
                if (of->second > machine.now + 700ms) c.duplicateOf = of->first;
            }
            batch.arrivals.push_back(c);
        }
        std::vector<RequestId> ids;
        for (const auto& [id, w] : machine.work) ids.push_back(id);
        for (const RequestId id : ids) {
            const ControllerHarness::Work& w = machine.work.at(id);
            if (w.at == ControllerHarness::At::Below && (machine.now >= w.callEnds || oneIn(lag))) {
                const auto outcome = machine.now >= w.callEnds ? Outcome::TimedOut
                                     : oneIn(fails)            ? static_cast<Outcome>(1 + upTo(4))
                                                               : Outcome::Ok;
                if (w.answered || w.left)
                    batch.runResults.push_back({id, Outcome::Cancelled, 100ms});
                else
                    batch.dependencyResults.push_back({id, outcome, 50ms});
            } else if (w.at == ControllerHarness::At::Call && (w.answered || w.left)) {
                batch.runResults.push_back({id, Outcome::Cancelled, 100ms});
            } else if (w.at == ControllerHarness::At::Cores && oneIn(speed)) {
                if (oneIn(2) && !w.answered && !w.left)
                    batch.waitingForDependency.push_back(id);
                else
                    batch.runResults.push_back({id, oneIn(9) ? Outcome::Error : Outcome::Ok, 100ms});
            } else if (w.at == ControllerHarness::At::Joined && oneIn(20)) {
                batch.runResults.push_back({id, Outcome::Ok, 100ms});
            } else if (!w.left && !w.answered && oneIn(60)) {
                batch.clientCancellations.push_back(id);
            }
        }
        if (i == leaveAt) batch.processEndsAt = machine.now + 2s + 10ms * upTo(300);
        if (machine.stopAt >= 0ns && machine.now + 60ms > machine.stopAt) break;
        machine.step(batch, oneIn(40) && machine.stopAt < 0ns ? 60ms : 20ms);
    }
    const std::vector<std::string> broken = std::exchange(machine.broken, {});
    RC_ASSERT(broken == std::vector<std::string>{});
}

}  // namespace
}  // namespace cottonwing::testing
