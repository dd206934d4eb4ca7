/// @file
/// Every name of the Thrift service, mapped once to the term that the code uses. The clients set these names;
/// they are not ours to change.
#pragma once

namespace cottonwing::thrift::wire {

// Methods.
inline constexpr char kServeMethod[] = "serve";         // a request to run
inline constexpr char kCancelMethod[] = "forget";       // oneway: the client stopped waiting for a request
inline constexpr char kHealthCheckMethod[] = "isWell";  // a health check
inline constexpr char kGoawayMethod[] = "goaway";       // oneway, ours: no new requests on this connection

// Fields of a request.
inline constexpr char kRequestClass[] = "route";
inline constexpr char kTenant[] = "customer";
inline constexpr char kRequestId[] = "trace";        // 16 hex digits, new with every attempt
inline constexpr char kArrivalTimeMs[] = "born";     // at the client's machine, Unix milliseconds
inline constexpr char kTimeoutMs[] = "patience";     // from the arrival time, milliseconds
inline constexpr char kMemoryKb[] = "size";          // booked while the request is held, KB
inline constexpr char kExpectedWorkMs[] = "weight";  // on one core, milliseconds
inline constexpr char kRank[] = "order";             // from 0 to under 1
inline constexpr char kClientNumber[] = "client";
inline constexpr char kRetryMark[] = "redo";        // "1" on a retry or hedged request, else absent
inline constexpr char kIdempotencyKey[] = "nonce";  // the same in all attempts of a request
inline constexpr char kRetryMarkValue[] = "1";

// Fields of a response.
inline constexpr char kAdvertisedLoadShare[] = "advice";
inline constexpr char kRetryAfterMs[] = "pause";         // milliseconds to stay away
inline constexpr char kNoRetryElsewhere[] = "terminal";  // "1": no other instance should be tried
inline constexpr char kNoRetryElsewhereValue[] = "1";

}  // namespace cottonwing::thrift::wire
