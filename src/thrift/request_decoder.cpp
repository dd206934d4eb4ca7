#include "thrift/request_decoder.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "request/request_id.h"
#include "thrift/wire_names.h"

namespace cottonwing::thrift {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxBodyBytes = 2048;
constexpr std::size_t kMaxIdempotencyKeyBytes = 64;
constexpr double kMaxMemoryKb = 2000;  // exclusive
constexpr double kNanosecondsPerMillisecond = 1e6;
// Later times would overflow when converted to nanoseconds.
constexpr std::int64_t kMaxArrivalTimeMs = INT64_MAX / 4000000;
// The tolerated difference between the clocks of a client and of this host: the arrival time may be in the
// future, and the deadline in the past, by at most this much.
constexpr Duration kMaxClockDifference = 1s;

using Result = std::optional<RequestError>;

// The decoding of one message: each step reads one field and returns its error, if any.
class Decoding {
public:
    Decoding(const Message& message, const config::NameTables& names,
             const std::vector<RequestClass>& requestClasses, bool timeoutRequired, Timestamp now)
        : message_(message),
          names_(names),
          requestClasses_(requestClasses),
          timeoutRequired_(timeoutRequired),
          now_(now) {}

    Result readParts() {
        if (!message_.fields || !message_.body) return RequestError::MissingFieldsOrBody;
        if (message_.body->size() > kMaxBodyBytes) return RequestError::BodyTooLong;
        incoming_.body = *message_.body;
        return std::nullopt;
    }

    Result readRequestClass() {
        const auto found = names_.requestClasses.find(text(wire::kRequestClass));
        if (found == names_.requestClasses.end()) return RequestError::UnknownRequestClass;
        incoming_.request.requestClass = found->second;
        requestClass_ = &requestClasses_[static_cast<std::size_t>(found->second)];
        return std::nullopt;
    }

    Result readTenant() {
        const std::string_view name = text(wire::kTenant);
        if (name.empty()) return std::nullopt;
        const auto found = names_.tenants.find(name);
        if (found == names_.tenants.end()) return RequestError::UnknownTenant;
        incoming_.request.tenant = found->second;
        return std::nullopt;
    }

    Result readRequestId() {
        const std::string_view digits = text(wire::kRequestId);
        const auto id = request::parseRequestId(digits);
        if (!id) return RequestError::MalformedRequestId;
        incoming_.request.id = *id;
        incoming_.externalId = digits;
        return std::nullopt;
    }

    Result readArrivalTime() {
        const auto arrivalMs = number<std::int64_t>(wire::kArrivalTimeMs);
        if (!arrivalMs || *arrivalMs <= 0 || *arrivalMs > kMaxArrivalTimeMs)
            return RequestError::MalformedArrivalTime;
        arrivedAt_ = 1ms * *arrivalMs;
        return std::nullopt;
    }

    // A client's timeout is at most that of the class, which is also the default. A request beyond the limits
    // indicates no overload, and its times would distort the averages of the overload controller.
    Result readTimeout() {
        const auto timeoutMs = number<std::int64_t>(wire::kTimeoutMs);
        const Duration longest = requestClass_->timeout;
        if ((timeoutRequired_ || has(wire::kTimeoutMs)) &&
            (!timeoutMs || *timeoutMs < 0 || *timeoutMs > longest / 1ms))
            return RequestError::MalformedTimeout;
        const Timestamp deadline = arrivedAt_ + (timeoutMs ? 1ms * *timeoutMs : longest);
        if (arrivedAt_ > now_ + kMaxClockDifference) return RequestError::ArrivalTimeInFuture;
        if (deadline < now_ - kMaxClockDifference) return RequestError::DeadlinePassed;
        incoming_.request.deadline = deadline;
        incoming_.request.queuedBeforeRead = std::max(Duration(0ns), now_ - arrivedAt_);
        incoming_.request.fullyReceivedBy = now_;
        return std::nullopt;
    }

    Result readMemory() {
        const auto memoryKb = number<double>(wire::kMemoryKb);
        if (!memoryKb || *memoryKb <= 0 || *memoryKb >= kMaxMemoryKb) return RequestError::MalformedMemory;
        incoming_.request.memoryKb = *memoryKb;
        return std::nullopt;
    }

    // An estimate without an upper limit in the protocol: capped at the timeout of the class.
    Result readExpectedWork() {
        if (text(wire::kExpectedWorkMs).empty()) return std::nullopt;
        const auto workMs = number<double>(wire::kExpectedWorkMs);
        if (!workMs || *workMs < 0) return RequestError::MalformedExpectedWork;
        const auto longest = static_cast<double>(requestClass_->timeout.count());
        incoming_.request.expectedWork =
            Duration(static_cast<std::int64_t>(std::min(*workMs * kNanosecondsPerMillisecond, longest)));
        return std::nullopt;
    }

    Result readRank() {
        if (text(wire::kRank).empty()) return std::nullopt;
        const auto rank = number<double>(wire::kRank);
        if (!rank || *rank < 0 || *rank >= 1) return RequestError::MalformedRank;
        incoming_.request.rank = *rank;
        return std::nullopt;
    }

    // Only validated: the number is not used.
    Result readClientNumber() {
        if (text(wire::kClientNumber).empty()) return std::nullopt;
        const auto client = number<std::int64_t>(wire::kClientNumber);
        if (!client || *client < 0) return RequestError::MalformedClientNumber;
        return std::nullopt;
    }

    Result readRetryMark() {
        if (!has(wire::kRetryMark)) return std::nullopt;
        if (text(wire::kRetryMark) != wire::kRetryMarkValue) return RequestError::MalformedRetryMark;
        incoming_.request.isRetry = true;
        return std::nullopt;
    }

    // Keys are scoped to a tenant and a request class, so both are prefixed to the key.
    Result readIdempotencyKey() {
        if (requestClass_->idempotency != Idempotency::WithKey) return std::nullopt;
        const std::string_view key = text(wire::kIdempotencyKey);
        if (key.empty() || key.size() > kMaxIdempotencyKeyBytes) return RequestError::MalformedIdempotencyKey;
        const Request& request = incoming_.request;
        incoming_.idempotencyKey =
            std::to_string(request.requestClass) + "/" + std::to_string(request.tenant) + "/";
        incoming_.idempotencyKey.append(key);
        return std::nullopt;
    }

    request::IncomingRequest take() { return std::move(incoming_); }

private:
    bool has(std::string_view name) const { return message_.fields->contains(name); }

    // Empty if the field is absent.
    std::string_view text(std::string_view name) const {
        const auto found = message_.fields->find(name);
        return found == message_.fields->end() ? std::string_view() : std::string_view(found->second);
    }

    // Nothing if the field is absent or is not entirely a finite number.
    template <typename T>
    std::optional<T> number(std::string_view name) const {
        const std::string_view digits = text(name);
        T value{};
        const char* const last = digits.data() + digits.size();
        const auto [end, error] = std::from_chars(digits.data(), last, value);
        if (error != std::errc() || end != last) return std::nullopt;
        if constexpr (std::is_floating_point_v<T>) {
            if (!std::isfinite(value)) return std::nullopt;
        }
        return value;
    }

    const Message& message_;
    const config::NameTables& names_;
    const std::vector<RequestClass>& requestClasses_;
    const bool timeoutRequired_;
    const Timestamp now_;
    const RequestClass* requestClass_ = nullptr;
    Timestamp arrivedAt_{0};
    request::IncomingRequest incoming_;
};

// In the order in which errors are reported; each step may depend on the previous ones.
using Step = Result (Decoding::*)();
constexpr Step kSteps[] = {
    &Decoding::readParts,        &Decoding::readRequestClass, &Decoding::readTenant,
    &Decoding::readRequestId,    &Decoding::readArrivalTime,  &Decoding::readTimeout,
    &Decoding::readMemory,       &Decoding::readExpectedWork, &Decoding::readRank,
    &Decoding::readClientNumber, &Decoding::readRetryMark,    &Decoding::readIdempotencyKey,
};

std::string fieldError(const char* field, const char* problem) { return std::string(field) + ": " + problem; }

}  // namespace

std::string textOf(RequestError error) {
    switch (error) {
        case RequestError::MissingFieldsOrBody:
            return "fields and body are needed";
        case RequestError::BodyTooLong:
            return "the body is longer than 2048 bytes";
        case RequestError::UnknownRequestClass:
            return fieldError(wire::kRequestClass, "not a profile");
        case RequestError::UnknownTenant:
            return fieldError(wire::kTenant, "not a customer");
        case RequestError::MalformedRequestId:
            return fieldError(wire::kRequestId, "16 hex digits were expected");
        case RequestError::MalformedArrivalTime:
            return fieldError(wire::kArrivalTimeMs, "Unix milliseconds were expected");
        case RequestError::ArrivalTimeInFuture:
        case RequestError::DeadlinePassed:
            return fieldError(wire::kArrivalTimeMs, "a time near the present was expected");
        case RequestError::MalformedTimeout:
            return fieldError(wire::kTimeoutMs, "milliseconds were expected");
        case RequestError::MalformedMemory:
            return fieldError(wire::kMemoryKb, "kilobytes were expected");
        case RequestError::MalformedExpectedWork:
            return fieldError(wire::kExpectedWorkMs, "milliseconds were expected");
        case RequestError::MalformedRank:
            return fieldError(wire::kRank, "a number from 0 to under 1 was expected");
        case RequestError::MalformedClientNumber:
            return fieldError(wire::kClientNumber, "a number of 0 or more was expected");
        case RequestError::MalformedRetryMark:
            return fieldError(wire::kRetryMark, "1 was expected");
        case RequestError::MalformedIdempotencyKey:
            return fieldError(wire::kIdempotencyKey, "an idempotency key was expected");
        case RequestError::RequestInProgress:
            return fieldError(wire::kRequestId, "in hand already");
    }
    return {};
}

RequestDecoder::RequestDecoder(config::NameTables names, std::vector<RequestClass> requestClasses,
                               bool timeoutRequired)
    : names_(std::move(names)),
      requestClasses_(std::move(requestClasses)),
      timeoutRequired_(timeoutRequired) {}

std::variant<request::IncomingRequest, RequestError> RequestDecoder::decode(const Message& message,
                                                                            Timestamp now) const {
    Decoding decoding(message, names_, requestClasses_, timeoutRequired_, now);
    for (const Step step : kSteps) {
        if (const Result error = (decoding.*step)()) return *error;
    }
    return decoding.take();
}

}  // namespace cottonwing::thrift
