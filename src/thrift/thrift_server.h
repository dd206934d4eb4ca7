// The sidecars' connections: commands in, answers out in any order, health checks, forget and goaway.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "config/process_config.h"
#include "net/connection.h"
#include "request/request_manager.h"
#include "thrift/codec.h"
#include "thrift/request_decoder.h"

namespace cottonwing::thrift {

class ThriftServer : public request::ResponseSink {
public:
    ThriftServer(net::Loop& loop, const net::Address& at, const config::ResourceLimits& shares,
                 config::NameTables names, const std::vector<RequestClass>& profiles, bool patienceTold,
                 request::RequestManager& backend, telemetry::Log& log, telemetry::Counters& counters);
    ~ThriftServer() override;

    void completed(RequestId id, std::string_view result) override;
    void rejected(RequestId id, const Pushback& pushback) override;
    void failed(RequestId id) override;
    void unknownToExecutor(RequestId id) override;
    void closeIdleConnections(Duration unusedFor) override { idle_ = unusedFor; }

    // No new connections and no new commands on those there are.
    void drain();
    // Those that are ending hold their descriptors still.
    std::size_t connections() const { return lines_.size() + unidentified_.size() + *ending_; }
    bool isListening() const { return listener_ != nullptr; }
    int port() const { return listener_->port(); }

private:
    struct Line;  // one connection
    using Lines = std::list<std::shared_ptr<Line>>;
    struct InFlight {
        Line* line;
        std::int32_t sequence;
    };

    void accept(net::AcceptedSocket socket);
    void read(Line& line);
    bool take(Line& line, const Message& message);
    void takeCommand(Line& line, const Message& message);
    void refuse(Line& line, const Message& message, ApplicationError kind, const std::string& why);
    void answer(RequestId id, const std::function<std::string(std::int32_t)>& frame);
    void write(Line& line, const std::string& frame);
    void touch(Line& line);
    void end(Line& line, net::ConnectionEnd end);
    // In order: answers that are on their way still go, and what crosses is told by the end of the
    // connection.
    void finish(Line& line, net::ConnectionEnd end);
    void forgetAll(Line& line);
    void bar(Line& line, net::ConnectionEnd end);
    bool atRest(const Line& line) const;
    void tend();
    bool makeRoom();
    void evict(Line& line);
    void closeDoor();
    void drain(Line& line);
    void tellHealth(Line& line, std::int32_t sequence, bool good);
    Fields advice() const;

    net::Loop& loop_;
    const std::size_t most_;
    const std::shared_ptr<net::Total> total_;
    const RequestDecoder decoder_;
    request::RequestManager& backend_;
    telemetry::Log& log_;
    telemetry::Counters& counters_;
    Lines lines_;         // the longest without traffic in front; emptied by the ends of connections
    Lines unidentified_;  // those that have yet to say something whole, the oldest in front; emptied by that
                          // or by time
    std::shared_ptr<std::size_t> ending_ = std::make_shared<std::size_t>(0);  // emptied as they are closed
    std::unordered_map<RequestId, InFlight> inFlight_;  // open commands; emptied by answers, forget and ends
    Duration idle_{0};  // connections without traffic for this long are drained; 0: none
    net::Timer tend_;
    std::string scratch_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::thrift
