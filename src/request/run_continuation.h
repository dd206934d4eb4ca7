/// @file
/// What lets a run continue after it asked for its dependency call, and what is known about its delivery.
///
/// The executor's protocol does not say to which call a reply belongs: a run takes it for the reply to the
/// call that it waits for. A reply may therefore be sent only while the run certainly waits for that call.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "overload/types.h"

namespace cottonwing::request {

/// What is known about the delivery of a continuation to its run.
enum class Delivery {
    /// There was no connection: the run has certainly not received it, and waits for it.
    NotSent,
    /// Sent. It arrives, unless the connection is lost shortly afterwards.
    Sent,
    /// The connection was lost shortly after it was sent. It must not be sent again, because whether the run
    /// still waits for it is unknown.
    Unconfirmed,
    /// The dependency has carried out the call once more, which it does only while the run waits for it. The
    /// new reply is sent once all reports that the executor had made by then are read, as one of them may say
    /// that the run waits for its next call.
    AwaitingReports
};

/// The reply to the dependency call of a run, or the notice to go on without one. Makes all changes of its
/// delivery; sends nothing itself.
class RunContinuation {
public:
    /// Not sent yet.
    /// @param reply body of the reply; absent: the call was skipped.
    explicit RunContinuation(std::optional<std::string> reply) : reply_(std::move(reply)) {}

    const std::optional<std::string>& reply() const { return reply_; }
    Delivery delivery() const { return delivery_; }
    bool isUnconfirmed() const { return delivery_ == Delivery::Unconfirmed; }

    /// It was passed to the executor. Must not be called while it is unconfirmed.
    /// @param sent false: there was no connection.
    void recordSend(bool sent, Timestamp now);
    /// The connection to the executor was lost.
    /// @param receivedUntil the executor has received all that was sent to it up to this time.
    /// @return whether it became unconfirmed.
    bool recordConnectionLoss(Timestamp receivedUntil);
    /// The repeated call has succeeded, which proves that the run still waits. Must be called only while the
    /// continuation is unconfirmed.
    /// @param reply to the repeated call; takes the place of the earlier one.
    void recordRepeatedCall(std::string reply);

private:
    std::optional<std::string> reply_;
    Delivery delivery_ = Delivery::NotSent;
    Timestamp sentAt_{0};
};

}  // namespace cottonwing::request
