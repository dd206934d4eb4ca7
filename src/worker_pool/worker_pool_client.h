// The link to the worker pool, held open: commands out, notices in. Lost, it is opened again after a short
// jittered wait, told where the notices ended, and told again what it may have missed.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/process_config.h"
#include "net/connection.h"
#include "request/request_manager.h"
#include "worker_pool/protocol.h"

namespace cottonwing::worker_pool {

class WorkerPoolClient : public request::Executor, private net::Owner {
public:
    WorkerPoolClient(net::Loop& loop, net::Address at, const config::ResourceLimits& shares,
                     std::vector<std::string> profiles, std::vector<std::string> gauges, std::uint64_t seed,
                     request::RequestManager& backend, telemetry::Log& log, telemetry::Counters& counters);

    void start(const request::RunSpec& run) override;
    void cancel(const std::string& name) override;
    void supplyReply(const std::string& name, std::string_view reply) override;
    void skipDependencyCall(const std::string& name) override;
    void requestGauges() override;
    void verifyWork(std::function<void(std::optional<bool>)> told) override;
    // The link is opened there at once; runs go on, and what was missed is said again.
    void moveTo(net::Address at);

private:
    void arrived(net::Connection& connection) override;
    void ended(net::Connection& connection, net::ConnectionEnd end) override;
    void open();
    void unbind();
    void lost(net::ConnectionEnd end);
    void say(const std::string& line);
    void hear(const Notice& notice);
    void tell(std::optional<bool> good);
    void hearGauges(const std::vector<double>& figures);

    net::Loop& loop_;
    net::Address at_;
    const std::size_t bytes_;  // both rings
    const std::vector<std::string> profiles_, gauges_;
    std::mt19937 chance_;
    request::RequestManager& backend_;
    telemetry::Log& log_;
    telemetry::Counters& counters_;
    net::Timer again_, patience_;
    std::unique_ptr<net::Connection> connection_;
    std::vector<std::function<void(std::optional<bool>)>> checks_;  // emptied by word or by patience
    std::uint64_t verified_ = 0;                                    // checks asked of the pool
    std::uint64_t last_ = 0;                                        // number of the last notice read
    std::size_t searched_ = 0;
    Duration unheard_{0};  // when a poll went out that nothing has followed; 0: none has
    Duration lostAt_{0};   // when the link was lost that is not caught up with; 0: none was
    bool bound_ = false, everBound_ = false, away_ = false;
};

}  // namespace cottonwing::worker_pool
