#include "request/run_continuation.h"

namespace cottonwing::request {

void RunContinuation::recordSend(bool sent, Timestamp now) {
    delivery_ = sent ? Delivery::Sent : Delivery::NotSent;
    sentAt_ = now;
}

// A continuation that awaits reports stays so: it has not been sent, and the proof that the run waits holds
// until it is.
bool RunContinuation::recordConnectionLoss(Timestamp receivedUntil) {
    if (delivery_ != Delivery::Sent || sentAt_ <= receivedUntil) return false;
    delivery_ = Delivery::Unconfirmed;
    return true;
}

void RunContinuation::recordRepeatedCall(std::string reply) {
    reply_ = std::move(reply);
    delivery_ = Delivery::AwaitingReports;
}

}  // namespace cottonwing::request
