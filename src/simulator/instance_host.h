/// @file
/// The adapter to the simulator: reads batches of events for many instances, lets the controller of each
/// decide and writes the replies. No decisions here.
#pragma once

#include <cstddef>
#include <istream>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "overload/types.h"
#include "simulator/wire_line.h"

namespace cottonwing::simulator {

/// Hosts the instances of one process. Instances share nothing.
class InstanceHost {
public:
    InstanceHost();
    ~InstanceHost();

    /// Reads one batch and appends its whole reply.
    /// @returns false at a clean end of the input
    /// @throws MalformedBatch when the batch can't be read; the host can't go on after that
    bool serve(std::istream& in, std::string& reply);

private:
    struct Instance;
    using EventHandler = void (InstanceHost::*)(const WireLine& line);

    static EventHandler handlerFor(const WireLine& line);
    bool readLine(std::istream& in);
    void readEvents(std::istream& in);
    void decide(Timestamp now, std::string& reply);
    Instance& instanceOf(const WireLine& line);

    void onInstanceStarted(const WireLine& line);
    void onInstanceStopped(const WireLine& line);
    void onRequestArrived(const WireLine& line);
    void onClientCancelled(const WireLine& line);
    void onWaitingForDependency(const WireLine& line);
    void onDependencyCallCompleted(const WireLine& line);
    void onRunCompleted(const WireLine& line);
    void onTick(const WireLine& line);
    void onShutdownNotice(const WireLine& line);

    std::map<int, std::unique_ptr<Instance>> instances_;  // by number
    std::set<int> instancesWithEvents_;                   // of the present batch: only they may act
    std::string lineText_;                                // the present line
    std::size_t linesRead_ = 0;
};

}  // namespace cottonwing::simulator
