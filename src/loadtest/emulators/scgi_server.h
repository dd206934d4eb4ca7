// An SCGI server on loopback: answers each request after a set time on so many
// at once, with the faults it is told to have.
#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "loadtest/precise_timer.h"
#include "net/connection.h"
#include "scgi/message.h"

namespace cottonwing::loadtest {

enum class ScgiFault {
    None,
    Silent,     // accepts and says nothing
    Half,       // ends in the middle of its answer
    Early,      // answers before it has read the request
    Twice,      // two answers
    BadStatus,  // a status line that is none
    TooMuch,    // more than it said
    FailsFast,  // 503 at once: a black hole that attracts clients
    Breaks      // closes the connection once it has read
};

struct ScgiServerTerms {
    Duration takes{0};
    int slots = 1000;  // requests served at once; the others wait
    ScgiFault fault = ScgiFault::None;
    double slow = 1;  // times as long
};

class ScgiServer {
public:
    ScgiServer(net::Loop& loop, const net::Address& at, ScgiServerTerms terms);
    ~ScgiServer();
    net::Address address() const { return {host_, listener_->port()}; }
    void set(ScgiServerTerms terms) { terms_ = terms; }
    const ScgiServerTerms& terms() const { return terms_; }
    // Told of each request that is whole: its id, and the first try's where the
    // body names it.
    void onRun(std::function<void(const std::string& trace, const std::string& first)> told) {
        told_ = std::move(told);
    }
    void onEnd(std::function<void(const std::string& trace)> told) { endTold_ = std::move(told); }
    double workDone() const { return workDone_; }
    std::uint64_t requests() const { return requests_; }
    std::uint64_t left() const { return left_; }  // askers that closed before their answer
    const std::map<std::string, int>& runs() const { return runs_; }  // by HTTP_X_TRACE; never emptied
    const scgi::Headers& lastHeaders() const { return lastHeaders_; }
    const std::string& lastBody() const { return lastBody_; }

private:
    struct Line;
    void whole(Line& line);
    void answer(Line& line);
    void end(Line& line);
    void pump();

    net::Loop& loop_;
    const std::string host_;
    ScgiServerTerms terms_;
    std::list<std::shared_ptr<Line>> lines_;            // emptied by the ends of connections
    std::multimap<Duration, std::weak_ptr<Line>> due_;  // emptied by time
    std::deque<std::weak_ptr<Line>> waiting_;           // for a slot
    std::map<std::string, int> runs_;
    scgi::Headers lastHeaders_;
    std::string lastBody_;
    std::uint64_t requests_ = 0, left_ = 0;
    int serving_ = 0;
    double workDone_ = 0;
    std::function<void(const std::string&, const std::string&)> told_;
    std::function<void(const std::string&)> endTold_;
    PreciseTimer pace_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::loadtest
