// The link to the worker pool, held open: commands out, notices in. Lost, it is opened again after a short
// jittered wait, told where the notices ended, and told again what it may have missed.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "backend/backend.h"
#include "launch/start.h"
#include "net/connection.h"
#include "runs/notices.h"

namespace cottonwing::runs {

class PoolLink : public backend::Runs, private net::Owner {
public:
    PoolLink(net::Loop& loop, net::Address at, const launch::Shares& shares,
             std::vector<std::string> profiles, std::vector<std::string> gauges, std::uint64_t seed,
             backend::Backend& backend, report::Log& log, report::Counters& counters);

    void start(const backend::Run& run) override;
    void halt(const std::string& name) override;
    void supply(const std::string& name, std::string_view reply) override;
    void leaveOut(const std::string& name) override;
    void askGauges() override;
    void verify(std::function<void(std::optional<bool>)> told) override;
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
    backend::Backend& backend_;
    report::Log& log_;
    report::Counters& counters_;
    net::Timer again_, patience_;
    std::unique_ptr<net::Connection> connection_;
    std::vector<std::function<void(std::optional<bool>)>> checks_;  // emptied by word or by patience
    std::uint64_t verified_ = 0;                                    // checks asked of the pool
    std::uint64_t last_ = 0;                                        // number of the last notice read
    std::size_t searched_ = 0;
    Nanos unheard_{0};  // when a poll went out that nothing has followed; 0: none has
    Nanos lostAt_{0};   // when the link was lost that is not caught up with; 0: none was
    bool bound_ = false, everBound_ = false, away_ = false;
};

}  // namespace cottonwing::runs
