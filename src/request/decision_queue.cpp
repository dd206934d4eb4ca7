#include "request/decision_queue.h"

namespace cottonwing::request {

void DecisionQueue::startRun(RequestId id) { decisions_.emplace_back(StartRun{id}); }

void DecisionQueue::reject(RequestId id, const Pushback& pushback) {
    decisions_.emplace_back(RejectRequest{id, pushback});
}

void DecisionQueue::fail(RequestId id) { decisions_.emplace_back(FailRequest{id}); }

void DecisionQueue::cancelRun(RequestId id) { decisions_.emplace_back(CancelRun{id}); }

void DecisionQueue::callDependency(RequestId id, Duration timeout) {
    decisions_.emplace_back(CallDependency{id, timeout});
}

void DecisionQueue::skipDependencyCall(RequestId id) { decisions_.emplace_back(SkipDependencyCall{id}); }

void DecisionQueue::retainKey(RequestId /*id*/, Duration /*lifetime*/) {
    log_.error("request", "decision ignored: decision=retain_key reason=keys_held_by_server");
}

void DecisionQueue::releaseKey(RequestId /*id*/) {
    log_.error("request", "decision ignored: decision=release_key reason=keys_held_by_server");
}

void DecisionQueue::joinDuplicate(RequestId id) { decisions_.emplace_back(JoinDuplicate{id}); }

void DecisionQueue::setHealth(bool healthy) { decisions_.emplace_back(SetHealth{healthy}); }

void DecisionQueue::advertiseLoadShare(double share) { decisions_.emplace_back(AdvertiseLoadShare{share}); }

void DecisionQueue::setIdleTimeout(Duration idleTimeout) {
    decisions_.emplace_back(SetIdleTimeout{idleTimeout});
}

void DecisionQueue::scheduleTick(Duration delay) { decisions_.emplace_back(ScheduleTick{delay}); }

void DecisionQueue::log(std::string_view message) { log_.info("controller", message); }

}  // namespace cottonwing::request
