// The SCGI front: kiosks and gateways bring requests, one on a connection. Each is read in bounded memory and
// time, named by its route, and answered once; then its connection is closed.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "net/connection.h"
#include "request/request_manager.h"
#include "routing/route_table.h"
#include "scgi/message.h"

namespace cottonwing::scgi {

// What a route says of a request. Names of headers are as CGI has them (HTTP_X_CUSTOMER); empty: not read.
struct Meaning {
    int requestClass = 0;
    std::string subject;  // a `:name` of the path, or a header
    std::string tenantHeader;
};

struct ScgiFrontTerms {
    net::Address listen;
    scgi::Bounds bounds;
    Duration headWithin{std::chrono::seconds(2)};   // from the connection to the whole head
    Duration bodyWithin{std::chrono::seconds(10)};  // from there to the whole body
    Duration takesWithin{std::chrono::seconds(5)};  // an answer that nobody takes for so long is dropped
    std::size_t connections = 512;
    std::size_t bytes = 32 << 20;  // in rings and bodies that are not whole yet
    std::vector<Meaning> meanings;
    std::map<std::string, int, std::less<>> tenants;
};

struct ScgiFrontCounts {
    std::uint64_t opened = 0, whole = 0, badRequests = 0, slow = 0, noRoute = 0, noRoom = 0, left = 0,
                  completed = 0, rejected = 0, failed = 0, cutAtEnd = 0;
};

class ScgiFront : public request::ResponseSink {
public:
    ScgiFront(net::Loop& loop, ScgiFrontTerms terms, routing::Routes routes,
              std::vector<RequestClass> requestClasses, std::uint64_t seed, request::RequestManager& backend,
              telemetry::Log& log);
    ~ScgiFront() override;

    void completed(RequestId id, std::string_view result) override;
    void rejected(RequestId id, const Pushback& pushback) override;
    void failed(RequestId id) override;
    void refused(RequestId id) override { failed(id); }
    void setIdleTimeout(Duration) override {}  // no connection is kept here

    // Nothing new is accepted; what is being read goes on, and the module decides what it is worth.
    void drain();
    // What is not whole by now is answered: it can't be any more.
    void lastCall();
    std::size_t connections() const { return lines_.size(); }
    const ScgiFrontCounts& counts() const { return counts_; }
    bool isListening() const { return listener_ != nullptr; }
    int port() const { return port_; }

private:
    struct Line;
    void accept(net::AcceptedSocket socket);
    void whole(Line& line);
    std::string take(Line& line);
    void refuse(Line& line, int status, const char* letters, const std::string& why);
    void answer(RequestId id, const std::string& bytes);
    void close(Line& line);
    void tend();

    net::Loop& loop_;
    const ScgiFrontTerms terms_;
    const routing::Routes routes_;
    const std::vector<RequestClass> requestClasses_;
    const std::shared_ptr<net::MemoryBudget> total_;
    std::mt19937_64 chance_;
    request::RequestManager& backend_;
    telemetry::Log& log_;
    ScgiFrontCounts counts_;
    std::list<std::unique_ptr<Line>> lines_;     // emptied by answers and ends
    std::vector<std::unique_ptr<Line>> gone_;    // emptied by the next look
    std::unordered_map<RequestId, Line*> open_;  // emptied by answers and ends
    std::size_t bodies_ = 0;                     // bytes of bodies that are not whole
    int port_ = 0;
    net::Timer tend_;
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::scgi
