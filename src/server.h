// The parts of one backend joined: from the start it was given until it has left.
#pragma once

#include "backend/backend.h"
#include "calls/records.h"
#include "intake/sidecars.h"
#include "launch/start.h"
#include "listing/registry.h"
#include "runs/pool_link.h"

namespace cottonwing {

class Server {
public:
    Server(net::Loop& loop, const launch::Start& start, report::Log& log, report::Counters& counters);

    // The notice to leave: the list is told at once, all that was read is answered, and what comes after the
    // grace is drained. The loop stops when nobody is left, and shortly before the stop in any case.
    void leave();
    // The file has changed: the links move to the addresses it has now. One that can't be read is refused
    // whole.
    void readAgain(const launch::Environment& environment);

    const backend::Backend& backend() const { return backend_; }
    const calls::Records& records() const { return records_; }
    const intake::Sidecars& sidecars() const { return sidecars_; }

private:
    void turn();

    net::Loop& loop_;
    launch::Start start_;  // as it was last read
    report::Log& log_;
    report::Counters& counters_;
    const Nanos stopAfter_, grace_;
    backend::Backend backend_;
    runs::PoolLink pool_;
    calls::Records records_;
    intake::Sidecars sidecars_;
    listing::Registry registry_;
    net::Timer drainTimer_, stopTimer_;
    bool leaving_ = false, draining_ = false;
};

}  // namespace cottonwing
