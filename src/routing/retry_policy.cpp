#include "routing/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace cottonwing::routing {

namespace {

double draw(std::mt19937& chance, double from, double to) {
    return std::uniform_real_distribution<double>(from, std::max(from, to))(chance);
}

Duration part(Duration whole, double share) {
    return Duration(static_cast<std::int64_t>(static_cast<double>(whole.count()) * share));
}

}  // namespace

void Budget::good() { tokens_ = std::min(terms_.tokens, tokens_ + terms_.perGood); }
void Budget::failed() { tokens_ = std::max(0.0, tokens_ - 1); }

const char* nameOf(Why why) {
    static constexpr const char* kNames[] = {"again",  "unrepeatable", "attempts",
                                             "budget", "no-time",      "asked-not-to"};
    return kNames[static_cast<int>(why)];
}

Duration wait(const AttemptTerms& terms, int attempts, Duration before, std::mt19937& chance) {
    Duration whole = terms.least;
    // Doubled a step at a time: a shift by a large count would wrap.
    if (terms.growth == Growth::Exponential)
        for (int step = 1; step < attempts && whole < terms.longest; ++step) whole *= 2;
    whole = std::min(whole, terms.longest);
    switch (terms.jitter) {
        case Jitter::None:
            return whole;
        case Jitter::Equal:
            return part(whole, draw(chance, 0.5, 1));
        case Jitter::Full:
            return part(whole, draw(chance, 0, 1));
        case Jitter::Decorrelated:
            break;
    }
    const Duration most = std::min(std::max(before, terms.least) * 3, terms.longest);
    return std::min(terms.least, terms.longest) +
           part(std::max(most - terms.least, Duration(0)), draw(chance, 0, 1));
}

Verdict again(const AttemptTerms& terms, const Budget& budget, const Tried& tried, Duration now,
              std::mt19937& chance) {
    const bool allowed = tried.began == Began::Never ||
                         (tried.began == Began::Unknown && tried.idempotency == Idempotency::Idempotent);
    if (!allowed) return {Why::Unrepeatable, Duration(0)};
    if (tried.attempts >= terms.most) return {Why::Attempts, Duration(0)};
    if (tried.noRetryElsewhere) return {Why::AskedNotTo, Duration(0)};
    if (!budget.allows()) return {Why::Budget, Duration(0)};
    Duration pause = wait(terms, tried.attempts, tried.waited, chance);
    // Asked to stay away it does at least that, and the jitter goes on top: all who were told the same must
    // not come back as one.
    if (terms.honorsRetryAfter && tried.retryAfter) pause += *tried.retryAfter;
    if (now + pause + tried.useful >= tried.stopsAt) return {Why::NoTime, Duration(0)};
    return {Why::Again, now + pause};
}

}  // namespace cottonwing::routing
