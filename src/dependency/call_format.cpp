#include "dependency/call_format.h"

#include <algorithm>
#include <cstdint>

namespace cottonwing::dependency {

namespace {

using namespace std::chrono_literals;

// The names used on the wire. They appear in no other file of the server.
constexpr std::string_view kRequestLine = "POST /records/op HTTP/1.1\r\n";
constexpr std::string_view kRequestIdHeader = "Op-Of: ";
constexpr std::string_view kTimeoutMillisHeader = "Op-Wait-Ms: ";
constexpr std::string_view kContentLengthHeader = "Content-Length: ";
constexpr std::string_view kLineEnd = "\r\n";
// Present in replies to calls that the dependency did not begin. In lower case, as required by Response::has.
constexpr std::string_view kNotBegunHeader = "op-not-begun";
constexpr std::string_view kNotBegunValue = "1";

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr int kStatusServiceUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

constexpr std::int64_t kMinTimeoutMillis = 1;  // 0 has a different meaning

}  // namespace

std::string formatCall(std::string_view externalId, Duration timeout, std::string_view body) {
    const std::int64_t timeoutMillis = std::max<std::int64_t>(kMinTimeoutMillis, timeout / 1ms);
    std::string text(kRequestLine);
    text.append(kRequestIdHeader).append(externalId).append(kLineEnd);
    text.append(kTimeoutMillisHeader).append(std::to_string(timeoutMillis)).append(kLineEnd);
    text.append(kContentLengthHeader).append(std::to_string(body.size())).append(kLineEnd);
    text.append(kLineEnd).append(body);
    return text;
}

Outcome outcomeOf(const net::HttpResponseParser::Response& reply) {
    const bool notBegun = reply.hasHeader(kNotBegunHeader, kNotBegunValue);
    if (reply.status == kStatusOk) return Outcome::Ok;
    if (reply.status == kStatusServiceUnavailable && notBegun) return Outcome::ResourceExhausted;
    if (reply.status == kStatusConflict && notBegun) return Outcome::Superseded;
    if (reply.status == kStatusGatewayTimeout) return Outcome::TimedOut;
    return Outcome::Error;
}

}  // namespace cottonwing::dependency
