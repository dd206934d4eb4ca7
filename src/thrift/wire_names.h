/// @file
/// All names of the Thrift service on the wire, mapped to the terms that the code uses. The protocol is
/// defined by the clients, so these names must not be changed.
#pragma once

namespace cottonwing::thrift::wire {

// Methods.
inline constexpr char kServeMethod[] = "serve";         // runs a request
inline constexpr char kCancelMethod[] = "forget";       // oneway: the client no longer waits for a request
inline constexpr char kHealthCheckMethod[] = "isWell";  // a health check
inline constexpr char kGoawayMethod[] =
    "goaway";  // oneway, from the server: no new requests on this connection

// Fields of a request.
inline constexpr char kRequestClass[] = "route";
inline constexpr char kTenant[] = "customer";
inline constexpr char kRequestId[] = "trace";        // 16 hex digits, different for each attempt
inline constexpr char kArrivalTimeMs[] = "born";     // Unix milliseconds, by the clock of the client's host
inline constexpr char kTimeoutMs[] = "patience";     // milliseconds from the arrival time
inline constexpr char kMemoryKb[] = "size";          // KB, reserved while the request is in progress
inline constexpr char kExpectedWorkMs[] = "weight";  // milliseconds on one core
inline constexpr char kRank[] = "order";             // from 0 inclusive to 1 exclusive
inline constexpr char kClientNumber[] = "client";
inline constexpr char kRetryMark[] = "redo";        // "1" on a retry or hedged request, otherwise absent
inline constexpr char kIdempotencyKey[] = "nonce";  // the same for all attempts of a request
inline constexpr char kRetryMarkValue[] = "1";

// Fields of a response.
inline constexpr char kAdvertisedLoadShare[] = "advice";
inline constexpr char kRetryAfterMs[] = "pause";  // milliseconds to back off
inline constexpr char kNoRetryElsewhere[] =
    "terminal";  // "1": the client should not retry at another instance
inline constexpr char kNoRetryElsewhereValue[] = "1";

}  // namespace cottonwing::thrift::wire
