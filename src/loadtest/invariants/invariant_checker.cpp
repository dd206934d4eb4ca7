#include "loadtest/invariants/invariant_checker.h"

#include <utility>

namespace cottonwing::loadtest {

namespace {
constexpr std::size_t kMaxViolations = 50;
// A request takes time on the loopback between its write and its read, so only one that was sent clearly
// after the grace is a violation.
constexpr Duration kLoopbackTolerance = std::chrono::milliseconds(50);
}  // namespace

const char* nameOf(Invariant invariant) {
    static constexpr const char* kNames[kInvariants] = {"lost", "twice", "drain", "fall-over"};
    return kNames[static_cast<std::size_t>(invariant)];
}

InvariantChecker::InvariantChecker(const std::vector<RequestClassLoad>& requestClasses, Duration retention,
                                   double heapKb, double runFactor)
    : requestClasses_(requestClasses), retention_(retention), heapKb_(heapKb), runFactor_(runFactor) {}

void InvariantChecker::updateMemory(Attempt& attempt) {
    const double now = attempt.running       ? attempt.declaredKb * runFactor_
                       : attempt.clientWaits ? attempt.declaredKb
                                             : 0;
    double& all = memoryByInstance_[attempt.instance];
    const bool was = all > heapKb_;
    all += now - std::exchange(attempt.countedKb, now);
    if (all > heapKb_ && !was)
        violation(Invariant::Overload, "instance " + std::to_string(attempt.instance) + ": " +
                                           std::to_string(all) + " KB of memory for requests");
}

void InvariantChecker::violation(Invariant invariant, const std::string& description) {
    ++counts_[static_cast<std::size_t>(invariant)];
    if (violations_.size() < kMaxViolations) violations_.push_back({invariant, description});
}

void InvariantChecker::removeExpired(Duration now) {
    while (!expiryOrder_.empty() && expiryOrder_.front().first + retention_ < now) {
        const auto at = attempts_.find(expiryOrder_.front().second);
        if (at != attempts_.end()) {
            const auto request = requests_.find(at->second.firstTrace);
            if (request != requests_.end() && --request->second.attempts == 0) requests_.erase(request);
            at->second.clientWaits = at->second.running = false;
            updateMemory(at->second);
            attempts_.erase(at);
        }
        expiryOrder_.pop_front();
    }
}

void InvariantChecker::onAttemptSent(const ScheduledRequest& planned, const std::string& trace,
                                     const std::string& firstTrace, std::size_t target) {
    const std::lock_guard lock(mutex_);
    const Duration now = steadyNow();
    removeExpired(now);
    Attempt& attempt = attempts_[trace];
    attempt.firstTrace = firstTrace;
    attempt.sent = now;
    attempt.requestClass = planned.requestClass;
    attempt.instance = target;
    attempt.declaredKb = planned.memoryKb;
    updateMemory(attempt);
    ++requests_[firstTrace].attempts;
    expiryOrder_.emplace_back(now, trace);
}

void InvariantChecker::onResponse(const std::string& trace, ClientResponse::Kind kind) {
    const std::lock_guard lock(mutex_);
    const auto at = attempts_.find(trace);
    if (at == attempts_.end()) return;
    if (kind == ClientResponse::Kind::Busy && at->second.hasRun)
        violation(Invariant::Duplicate, trace + " was rejected after it had run");
    if (kind == ClientResponse::Kind::Answer && !at->second.hasRun)
        violation(Invariant::Lost, trace + " got a result without a run");
}

void InvariantChecker::onAttemptReleased(const std::string& trace) {
    const std::lock_guard lock(mutex_);
    const auto at = attempts_.find(trace);
    if (at == attempts_.end()) return;
    at->second.clientWaits = false;
    updateMemory(at->second);
}

void InvariantChecker::runEnded(const std::string& trace) {
    const std::lock_guard lock(mutex_);
    const auto at = attempts_.find(trace);
    if (at == attempts_.end()) return;
    at->second.running = false;
    updateMemory(at->second);
}

std::size_t InvariantChecker::instanceOf(const std::string& trace) const {
    const std::lock_guard lock(mutex_);
    const auto at = attempts_.find(trace);
    return at == attempts_.end() ? 0 : at->second.instance;
}

bool InvariantChecker::clientWaits(const std::string& trace) const {
    const std::lock_guard lock(mutex_);
    const auto at = attempts_.find(trace);
    return at != attempts_.end() && at->second.clientWaits;
}

double InvariantChecker::memoryKb(std::size_t instance) const {
    const std::lock_guard lock(mutex_);
    const auto at = memoryByInstance_.find(instance);
    return at == memoryByInstance_.end() ? 0 : at->second;
}

void InvariantChecker::onRequestEnded(const ScheduledRequest& planned, const std::string&,
                                      RequestOutcome outcome) {
    const std::lock_guard lock(mutex_);
    if (outcome == RequestOutcome::Completed || outcome == RequestOutcome::Late)
        completedWork_ += std::chrono::duration<double>(planned.work).count();
}

void InvariantChecker::runStarted(std::size_t instance, const std::string& trace,
                                  const std::string& firstTrace, Duration now) {
    const std::lock_guard lock(mutex_);
    const auto at = attempts_.find(trace);
    const std::string where = ", instance " + std::to_string(instance);
    if (at == attempts_.end())
        return violation(Invariant::Duplicate,
                         trace + " was run, but no client has sent it recently" + where);
    Attempt& attempt = at->second;
    const auto drainEnd = drainEndsAt_.find(instance);
    if (drainEnd != drainEndsAt_.end() && attempt.sent > drainEnd->second + kLoopbackTolerance &&
        now > drainEnd->second)
        violation(Invariant::Drain, trace + " was sent after the drain grace and was run" + where);
    Request& request = requests_[firstTrace];
    const bool nonIdempotent = requestClasses_[static_cast<std::size_t>(attempt.requestClass)].idempotency !=
                               Idempotency::Idempotent;
    if (nonIdempotent && request.runs > 0)
        violation(Invariant::Duplicate, trace + " ran again (first attempt " + firstTrace + ")" + where);
    ++request.runs;
    attempt.hasRun = attempt.running = true;
    updateMemory(attempt);
}

void InvariantChecker::callStarted(std::size_t instance, const std::string& trace) {
    const std::lock_guard lock(mutex_);
    const auto at = attempts_.find(trace);
    if (at == attempts_.end()) return;
    Attempt& attempt = at->second;
    const bool nonIdempotent = requestClasses_[static_cast<std::size_t>(attempt.requestClass)].idempotency !=
                               Idempotency::Idempotent;
    if (nonIdempotent && attempt.lastCallMayHaveRun)
        violation(Invariant::Duplicate, "the dependency call of " + trace + " was made again, instance " +
                                            std::to_string(instance));
    attempt.lastCallMayHaveRun = true;
}

void InvariantChecker::callEnded(const std::string& trace, bool knownNotRun) {
    const std::lock_guard lock(mutex_);
    const auto at = attempts_.find(trace);
    if (at != attempts_.end() && knownNotRun) at->second.lastCallMayHaveRun = false;
}

void InvariantChecker::drainStarted(std::size_t instance, Duration now, Duration grace) {
    const std::lock_guard lock(mutex_);
    drainEndsAt_[instance] = now + grace;
}

void InvariantChecker::instanceRestarted(std::size_t instance) {
    const std::lock_guard lock(mutex_);
    drainEndsAt_.erase(instance);
}

void InvariantChecker::overloaded(std::size_t instance, const std::string& description) {
    const std::lock_guard lock(mutex_);
    violation(Invariant::Overload, "instance " + std::to_string(instance) + ": " + description);
}

std::vector<Violation> InvariantChecker::violations() const {
    const std::lock_guard lock(mutex_);
    return violations_;
}
std::array<std::uint64_t, kInvariants> InvariantChecker::counts() const {
    const std::lock_guard lock(mutex_);
    return counts_;
}
double InvariantChecker::completedWork() const {
    const std::lock_guard lock(mutex_);
    return completedWork_;
}
std::size_t InvariantChecker::attemptCount() const {
    const std::lock_guard lock(mutex_);
    return attempts_.size();
}

}  // namespace cottonwing::loadtest
