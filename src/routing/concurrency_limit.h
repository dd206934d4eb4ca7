// How many requests a server may have in flight, learned from its own latency and errors. Pure.
//
// The latency without a crowd, the floor, is looked at on purpose: every now and then half of the limit is
// used for some tens of answers, and their mean is taken. While answers take no more than a multiple of it
// and the limit is used, the limit grows by one for each round of answers; when they take longer, or fail, it
// falls by a part. Between the two it stands, so that under steady load it does not swing. Never above the
// operator's limit, never below one: one request is always let through, or nothing would tell that the server
// is well again.
#pragma once

#include <chrono>

#include "overload/types.h"

namespace cottonwing::routing {

struct LimitTerms {
    double most = 100;     // the operator's
    double first = 10;     // to begin with, and after a return
    double crowded = 2.0;  // this multiple of the floor is a crowd
    double easy = 1.5;     // under this multiple there is room
    double falls = 0.85;   // what is left after a crowd, once a round
    Duration looksEvery{std::chrono::seconds(10)};
};

class Limit {
public:
    explicit Limit(const LimitTerms& terms)
        : terms_(terms), limit_(terms.first < terms.most ? terms.first : terms.most) {}
    bool allows(int inFlight) const { return inFlight < static_cast<int>(limit_); }
    double limit() const { return limit_; }
    double settled() const { return looking_ ? settled_ : limit_; }  // without the dip of a look at the floor
    double floor() const { return floor_; }                          // seconds; 0 while nothing was seen
    // inFlight: with this one.
    void good(Duration took, int inFlight, Duration now);
    void failed(Duration now);
    void startAgain();  // after a return: slowly

private:
    void fall(Duration now);
    void grow();
    void look(int inFlight);

    LimitTerms terms_;
    static constexpr int kMean = 50;  // answers that a mean is of
    double limit_, settled_ = 1, floor_ = 0, recent_ = 0;
    int seen_ = 0, skip_ = 0;
    bool looking_ = false;
    Duration nextLook_{0}, lastFall_{0};
};

}  // namespace cottonwing::routing
