// A stand-in for a whole server: answers every request by itself, after a set
// time, and with the faults it is told to have. It keeps its own book of what
// it received and sent when, by trace.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "loadtest/precise_timer.h"
#include "net/connection.h"
#include "thrift/codec.h"

namespace cottonwing::loadtest {

struct AnsweringTerms {
    Duration takes{0};                   // from a request's arrival to its answer
    Duration stallAt{-1}, stallFor{0};   // from its start: nothing is read or sent meanwhile
    int twiceEvery = 0;                  // every so many answers is given a second time
    int toNothingEvery = 0;              // a further answer under a number that was never used
    int resetEvery = 0;                  // the connection ends in the middle of an answer
    int busyEvery = 0, failedEvery = 0;  // turned away, failed
    int goawayEvery = 0;                 // requests of a connection, after which it says goaway
    int wrongEvery = 0;                  // a result that no run made
    bool silent = false;                 // reads, and never answers
    bool deaf = false;                   // accepts, and never reads
    bool keepsBook = false;
};

class Answering {
public:
    struct Entry {
        Duration received{0}, sent{0};
    };
    Answering(net::Loop& loop, const net::Address& at, AnsweringTerms terms);
    ~Answering();
    net::Address address() const { return {host_, listener_->port()}; }
    const std::unordered_map<std::string, Entry>& book() const {
        return book_;
    }  // where it is kept; never emptied
    std::uint64_t requests() const { return trackedRequests_; }
    std::uint64_t forgets() const { return forgets_; }
    std::size_t connections() const { return lines_.size(); }

private:
    struct Line;
    struct Owed {
        std::weak_ptr<Line> line;
        std::int32_t sequence;
        std::string trace;
    };
    void accept(net::PendingConnection socket);
    void hear(Line& line, const thrift::Message& message);
    void answer(Line& line, std::int32_t sequence, const std::string& trace);
    void pump();
    bool stalled(Duration now) const;
    void end(Line& line);

    net::Loop& loop_;
    const AnsweringTerms terms_;
    const std::string host_;
    const Duration start_;
    std::list<std::shared_ptr<Line>> lines_;  // emptied by the ends of connections
    std::multimap<Duration, Owed> owed_;      // emptied by time
    std::unordered_map<std::string, Entry> book_;
    std::uint64_t trackedRequests_ = 0, answers_ = 0, forgets_ = 0;
    PreciseTimer pace_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::loadtest
