/// @file
/// The interface through which answers go back to the protocol server that received a request.
#pragma once

#include <string_view>

#include "overload/decision_sink.h"
#include "overload/types.h"

namespace cottonwing::request {

/// Receives exactly one answer for each request that it passed to the RequestManager, unless the client
/// cancelled the request. Implemented by each protocol server.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;

    /// The run completed.
    /// @param id of the request.
    /// @param result of the run; valid during the call only.
    virtual void completed(RequestId id, std::string_view result) = 0;

    /// The request was shed and never ran.
    /// @param id of the request.
    /// @param pushback advice for the client's retry.
    virtual void rejected(RequestId id, const Pushback& pushback) = 0;

    /// The request ran, or may have run, without a result.
    /// @param id of the request.
    virtual void failed(RequestId id) = 0;

    /// The request failed through a fault of its client: the executor does not know the request, or its
    /// idempotency key belongs to a request with a different body. The protocol server may count this as a
    /// protocol error of the connection.
    /// @param id of the request.
    virtual void failedByClient(RequestId id) = 0;

    /// Asked before a run starts: whether the client of a request that has no answer yet is still connected.
    /// If it has left, the sink also reports RequestManager::clientCancelled() for its requests, from within
    /// the call.
    virtual bool isClientConnected(RequestId id) = 0;

    /// Sets the idle timeout of client connections.
    /// @param idleTimeout a connection that is unused for longer is closed.
    virtual void setIdleTimeout(Duration idleTimeout) = 0;
};

}  // namespace cottonwing::request
