// Where emulated HTTP/1.1 services hear their requests: one listener,
// connections with one request at a time.
#pragma once

#include <http_parser.h>

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/connection.h"

namespace cottonwing::loadtest {

class HttpDoor {
public:
    struct Request {
        std::string method, path, headers,
            body;  // headers: name:value lines, names in lower case
        std::string header(const std::string& name) const;
    };
    // One connection, while it lasts: what is asked on it, and whether its asker
    // is still there.
    class Visitor {
    public:
        virtual ~Visitor() = default;
        virtual void reply(const std::string& bytes) = 0;
        virtual void hangUp() = 0;
        std::uint64_t asking = 0;  // the owner's own number of the request that has no reply yet
    };
    using Asked = std::function<void(const std::shared_ptr<Visitor>&, Request&&)>;
    using Left = std::function<void(Visitor&)>;  // before a reply was given, or after

    HttpDoor(net::Loop& loop, const net::Address& at, Asked asked, Left left);
    ~HttpDoor();
    static std::string reply(int status, const std::string& body, const std::string& headers = "");

private:
    struct Line;
    net::Loop& loop_;
    Asked asked_;
    Left left_;
    std::list<std::shared_ptr<Line>> lines_;  // emptied by the ends of connections
    std::unique_ptr<net::Listener> listener_;
};

}  // namespace cottonwing::loadtest
