// SCGI: a server with one request for each connection, and its client.
#pragma once

#include "loop.h"

namespace standins {

inline std::string scgiRequest(const std::map<std::string, std::string>& headers, const std::string& body) {
    std::string head = "CONTENT_LENGTH" + std::string(1, '\0') + std::to_string(body.size()) + std::string(1, '\0');
    head += "SCGI" + std::string(1, '\0') + "1" + std::string(1, '\0');
    for (const auto& [name, value] : headers) head += name + std::string(1, '\0') + value + std::string(1, '\0');
    return std::to_string(head.size()) + ":" + head + "," + body;
}

struct ScgiRequest {
    std::map<std::string, std::string> headers;
    std::string body;
};

// Nothing while the request is incomplete.
inline bool readScgi(const std::string& in, ScgiRequest& request) {
    const std::size_t colon = in.find(':');
    if (colon == std::string::npos) return false;
    const std::size_t length = static_cast<std::size_t>(std::atol(in.c_str()));
    if (in.size() < colon + 1 + length + 1) return false;
    request.headers.clear();
    for (std::size_t at = colon + 1; at < colon + 1 + length;) {
        const std::string name = in.c_str() + at;
        at += name.size() + 1;
        const std::string value = in.c_str() + at;
        at += value.size() + 1;
        request.headers[name] = value;
    }
    const std::size_t bodyLength = static_cast<std::size_t>(std::atol(request.headers["CONTENT_LENGTH"].c_str()));
    if (in.size() < colon + length + 2 + bodyLength) return false;
    request.body = in.substr(colon + length + 2, bodyLength);
    return true;
}

inline std::string scgiReply(const std::string& body) {
    return "Status: 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class ScgiServer {
public:
    using Handler = std::function<void(ConnectionPtr, const ScgiRequest&)>;
    ScgiServer(Loop& loop, Handler handler) : handler_(std::move(handler)) {
        port_ = loop.listen(0, [this](ConnectionPtr from) {
            from->onData = [this, weak = std::weak_ptr<Connection>(from)](Connection& c) {
                ScgiRequest request;
                if (!readScgi(c.in, request)) return;
                c.in.clear();
                handler_(weak.lock(), request);
            };
        });
    }
    int port() const { return port_; }
    static void answer(const ConnectionPtr& to, const std::string& body) {
        to->closeWhenWritten = true;
        to->send(scgiReply(body));
    }

private:
    Handler handler_;
    int port_ = 0;
};

}  // namespace standins
