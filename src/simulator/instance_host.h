/// @file
/// The adapter to the simulator: reads batches of events for many instances, passes them to the controller of
/// each and writes the replies. It makes no decisions itself.
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

/// Hosts the instances of one process, which share no state.
class InstanceHost {
public:
    InstanceHost();
    ~InstanceHost();

    /// Reads one batch and appends the complete reply.
    /// @return false if the input ended before the batch
    /// @throws MalformedBatch if the batch is malformed; the host cannot be used after that
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
    std::set<int> instancesWithEvents_;                   // in the current batch; only these may decide
    std::string lineText_;                                // the current line
    std::size_t linesRead_ = 0;
};

}  // namespace cottonwing::simulator
