// The records service and the registry on loopback, with the faults they are
// told to have.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "loadtest/emulators/http_server.h"
#include "loadtest/invariants/invariant_checker.h"
#include "loadtest/precise_timer.h"

namespace cottonwing::loadtest {

struct RecordsTerms {
    int slots = 20;         // calls served at once
    int line = 200;         // that wait for one; beyond it they are turned away
    double crowdSlows = 1;  // a call in a full line takes 1 + this times as long
    double fallsAt = 0;     // calls in hand, on the mean of fallOver, at which it
                            // falls over; 0: never
    Duration fallOver{std::chrono::seconds(5)};
    Duration downFor{std::chrono::seconds(5)};
    double share = 10;  // what one backend may have in its hands, on the mean of callsOver
    Duration callsOver{std::chrono::seconds(5)};
    Duration linger{std::chrono::milliseconds(200)};  // an abandoned call is in its hands for so long
    std::uint64_t seed = 1;
};

class RecordsService {
public:
    RecordsService(net::Loop& loop, const std::vector<net::Address>& each, const RecordsTerms& terms,
                   InvariantChecker& checker);
    ~RecordsService();
    void slow(double factor) { slow_ = factor; }
    void hang(double part) { hangs_ = part; }    // part of the calls that are never answered
    void spoil(double part) { spoils_ = part; }  // that get a reply which can't be read
    void down(bool yes);                         // connections are refused while it is

    std::uint64_t calls() const { return calls_; }
    std::uint64_t turnedAway() const { return turnedAway_; }
    std::uint64_t fallen() const { return fallen_; }
    std::size_t inHands() const { return open_.size(); }
    double mostMeanOf(std::size_t instance) const { return shares_[instance].most; }

private:
    struct Call {
        std::weak_ptr<HttpDoor::Visitor> visitor;
        std::size_t instance = 0;
        std::string of;
        double seconds = 0;
        bool serving = false, abandoned = false, hangs = false;
    };
    struct Share {
        std::deque<std::pair<Duration, double>> samples;
        double sum = 0, most = 0;
        bool broken = false;
    };
    void listen();
    void ask(std::size_t instance, const std::shared_ptr<HttpDoor::Visitor>& visitor,
             HttpDoor::Request&& request);
    void left(HttpDoor::Visitor& visitor);
    void serveNext(Duration now);
    void end(std::uint64_t number, Duration now);
    void drop(std::uint64_t number);
    void pump();
    void watch(Duration now);

    net::Loop& loop_;
    const std::vector<net::Address> each_;
    const RecordsTerms terms_;
    InvariantChecker& checker_;
    std::mt19937 chance_;
    std::vector<std::unique_ptr<HttpDoor>> doors_;
    std::map<std::uint64_t, Call> open_;                        // by number; emptied by ends
    std::unordered_map<std::string, std::uint64_t> byRequest_;  // of those
    std::deque<std::uint64_t> waiting_;                         // for a slot
    std::multimap<Duration, std::uint64_t> due_;                // served, by their ends
    std::vector<Share> shares_;
    std::deque<std::pair<Duration, double>> all_;
    std::vector<double> held_;  // calls in its hands, by instance
    double allSum_ = 0, slow_ = 1, hangs_ = 0, spoils_ = 0;
    std::uint64_t next_ = 1, calls_ = 0, turnedAway_ = 0, fallen_ = 0;
    int serving_ = 0;
    Duration lookAt_{0}, upAt_{0};
    bool down_ = false;
    PreciseTimer pace_;
};

class RegistryService {
public:
    RegistryService(net::Loop& loop, const net::Address& at, Duration late = Duration(0));
    void silent(bool yes) { silent_ = yes; }
    std::uint64_t reports() const { return reports_; }
    // What was last said of that name; empty where nothing was.
    std::string state(const std::string& name) const;

private:
    Duration late_;
    bool silent_ = false;
    std::uint64_t reports_ = 0;
    std::map<std::string, std::string> states_;  // one a name
    std::multimap<Duration, std::weak_ptr<HttpDoor::Visitor>> owed_;
    PreciseTimer pace_;
    HttpDoor door_;
};

}  // namespace cottonwing::loadtest
