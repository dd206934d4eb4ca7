// A run of load: what a file says, several workers that send it, and one result
// that judges itself.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "loadtest/load_clients.h"

namespace cottonwing::loadtest {

struct LoadTerms {
    RequestScheduleConfig plan;
    Habits habits;
    int workers = 1;
    // The run is invalid where more than the rest of this share was sent later
    // than this after its time.
    Duration sendWithin{std::chrono::milliseconds(1)};
    double sendShare = 0.99;
    std::vector<kdl::Node> document;  // what plan.rateNode points into
};

// The `load` node of a file. targets: false where an experiment says them.
// Throws kdl::DocumentError.
std::unique_ptr<LoadTerms> readLoad(const std::vector<kdl::Node>& document, const std::string& file,
                                    bool targets);

struct LoadResult {
    Tally tally;
    Duration length{0};  // as it was played
    std::uint64_t seed = 0;
    bool stopped = false;  // by the user
    bool valid = true;
    std::string why;  // it is not valid
    double withinShare = 1;
};

// JSON with all figures, and the same as text for a person.
nlohmann::json jsonOf(const LoadResult& result, const LoadTerms& terms);
std::string textOf(const LoadResult& result, const LoadTerms& terms);

class Load {
public:
    // watchers: one a worker, or none.
    explicit Load(const LoadTerms& terms, std::vector<Watcher*> watchers = {}, Clocks clocks = {});
    ~Load();
    // Starts the workers; the plan's time 0 is `at` on the steady clock.
    void start(Duration at);
    void stop();  // nothing more is sent
    void cut();   // nothing more is waited for
    bool done() const;
    std::uint64_t planned() const;
    std::uint64_t ended() const;
    std::uint64_t completed() const;
    LoadResult finish();  // waits for the workers

private:
    struct Worker;
    const LoadTerms& terms_;
    std::vector<std::unique_ptr<Worker>> workers_;
    Duration startedAt_{0};
    bool stopped_ = false;
};

}  // namespace cottonwing::loadtest
