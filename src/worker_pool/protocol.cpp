#include "worker_pool/protocol.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>

namespace cottonwing::worker_pool {

namespace {

using Json = nlohmann::json;

// The names used on the wire. They appear in no other file of the server.
namespace wire {

// Fields.
constexpr const char* kType = "type";
constexpr const char* kJob = "job";           // external id of the request
constexpr const char* kReference = "ref";     // of polls and verifications
constexpr const char* kSequenceNumber = "n";  // of a numbered message
constexpr const char* kElapsedMillis = "took";
constexpr const char* kData = "data";  // body, call, reply or result in base64
constexpr const char* kGauges = "gauges";
constexpr const char* kState = "state";
constexpr const char* kRequestClass = "kind";

// Types of messages from the pool.
constexpr const char* kConnectionAccepted = "bound";
constexpr const char* kRunFinished = "finished";
constexpr const char* kRunBlocked = "blocked";
constexpr const char* kPollAnswered = "polled";
constexpr const char* kWorkVerified = "verified";
constexpr const char* kMessageRejected = "unknown";
constexpr const char* kInformationalMessage = "chatter";

// Types of messages to the pool.
constexpr const char* kBind = "bind";
constexpr const char* kStart = "spawn";
constexpr const char* kCancel = "suspend";
constexpr const char* kSupply = "supply";
constexpr const char* kSkipDependencyCall = "pass";
constexpr const char* kPoll = "poll";
constexpr const char* kVerify = "verify";

// Values of the state field, by message type.
constexpr const char* kCold = "cold";            // connection accepted
constexpr const char* kRunCompleted = "ok";      // run finished; anything else: it failed
constexpr const char* kRunCancelled = "halted";  // run finished
constexpr const char* kNothingRan = "void";      // run finished
constexpr const char* kVerifySucceeded = "ok";   // work verified; anything else: it failed

// Names of gauges.
constexpr const char* kCoreUtilization = "core_use";
constexpr const char* kCoreDemand = "on_cores";
constexpr const char* kMemoryUtilization = "heap_share";
constexpr const char* kOpenConnections = "links";

}  // namespace wire

constexpr double kNanosPerMilli = 1e6;
// Longer times are treated as absent, because they would not fit into a Duration.
constexpr double kMaxElapsedMillis = 1e12;

std::string textOf(const Json& object, const char* field) {
    const auto found = object.find(field);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t sequenceNumberOf(const Json& object) {
    const auto found = object.find(wire::kSequenceNumber);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

Duration elapsedOf(const Json& object) {
    const auto found = object.find(wire::kElapsedMillis);
    if (found == object.end() || !found->is_number()) return Duration(0);
    const auto millis = found->get<double>();
    const bool inRange = millis >= 0 && millis < kMaxElapsedMillis;
    return inRange ? Duration(static_cast<std::int64_t>(millis * kNanosPerMilli)) : Duration(0);
}

std::vector<double> gaugeValuesOf(const Json& object) {
    std::vector<double> values;
    const auto found = object.find(wire::kGauges);
    if (found == object.end() || !found->is_array()) return values;
    for (const Json& gauge : *found) values.push_back(gauge.is_number() ? gauge.get<double>() : std::nan(""));
    return values;
}

RunEnd runEndOf(const Json& object) {
    const std::string state = textOf(object, wire::kState);
    if (state == wire::kRunCompleted) return RunEnd::Completed;
    if (state == wire::kRunCancelled) return RunEnd::Cancelled;
    if (state == wire::kNothingRan) return RunEnd::NothingRan;
    return RunEnd::Failed;
}

using Content = decltype(PoolMessage::content);
using ContentReader = Content (*)(const Json& object, std::string&& data);

Content readConnectionAccepted(const Json& object, std::string&& /*data*/) {
    return ConnectionAccepted{textOf(object, wire::kState) == wire::kCold, elapsedOf(object)};
}

Content readRunFinished(const Json& object, std::string&& data) {
    return RunFinished{textOf(object, wire::kJob), runEndOf(object), elapsedOf(object), std::move(data)};
}

Content readRunBlocked(const Json& object, std::string&& data) {
    return RunBlocked{textOf(object, wire::kJob), std::move(data)};
}

Content readPollAnswered(const Json& object, std::string&& /*data*/) {
    return PollAnswered{textOf(object, wire::kReference), gaugeValuesOf(object)};
}

Content readWorkVerified(const Json& object, std::string&& /*data*/) {
    return WorkVerified{textOf(object, wire::kReference),
                        textOf(object, wire::kState) == wire::kVerifySucceeded};
}

Content readMessageRejected(const Json& object, std::string&& /*data*/) {
    std::string messageType = textOf(object, wire::kState);
    const bool isStart = messageType == wire::kStart;
    return MessageRejected{textOf(object, wire::kJob), std::move(messageType), isStart};
}

Content readInformationalMessage(const Json& /*object*/, std::string&& /*data*/) {
    return InformationalMessage{};
}

using GaugeField = std::optional<double> Gauges::*;

// The field of Gauges that corresponds to each gauge name.
const std::map<std::string, GaugeField>& gaugeFields() {
    static const std::map<std::string, GaugeField> kFields = {
        {wire::kCoreUtilization, &Gauges::coreUtilization},
        {wire::kCoreDemand, &Gauges::coreDemand},
        {wire::kMemoryUtilization, &Gauges::memoryUtilization},
        {wire::kOpenConnections, &Gauges::openConnections}};
    return kFields;
}

std::string toLine(const Json& object) { return object.dump() + "\n"; }

}  // namespace

std::optional<PoolMessage> parsePoolMessage(std::string_view line) {
    static const std::map<std::string, ContentReader> kReaders = {
        {wire::kConnectionAccepted, readConnectionAccepted},
        {wire::kRunFinished, readRunFinished},
        {wire::kRunBlocked, readRunBlocked},
        {wire::kPollAnswered, readPollAnswered},
        {wire::kWorkVerified, readWorkVerified},
        {wire::kMessageRejected, readMessageRejected},
        {wire::kInformationalMessage, readInformationalMessage}};
    const Json object = Json::parse(line, nullptr, false);
    if (!object.is_object()) return std::nullopt;
    const auto reader = kReaders.find(textOf(object, wire::kType));
    if (reader == kReaders.end()) return std::nullopt;
    std::optional<std::string> data = decodeBase64(textOf(object, wire::kData));
    if (!data) return std::nullopt;
    return PoolMessage{sequenceNumberOf(object), reader->second(object, std::move(*data))};
}

Outcome outcomeOf(RunEnd end) {
    switch (end) {
        case RunEnd::Completed:
            return Outcome::Ok;
        case RunEnd::Cancelled:
            return Outcome::Cancelled;
        case RunEnd::NothingRan:
            return Outcome::Superseded;
        case RunEnd::Failed:
            break;
    }
    return Outcome::Error;
}

Gauges gaugesOf(const std::vector<std::string>& names, const std::vector<double>& values) {
    Gauges gauges;
    for (std::size_t i = 0; i < std::min(names.size(), values.size()); ++i) {
        const auto field = gaugeFields().find(names[i]);
        if (field != gaugeFields().end() && std::isfinite(values[i])) gauges.*(field->second) = values[i];
    }
    return gauges;
}

std::string bindLine(std::uint64_t lastSequenceNumber) {
    return toLine({{wire::kType, wire::kBind}, {wire::kSequenceNumber, lastSequenceNumber}});
}

std::string startLine(std::string_view job, std::string_view requestClass, std::string_view body) {
    return toLine({{wire::kType, wire::kStart},
                   {wire::kJob, job},
                   {wire::kRequestClass, requestClass},
                   {wire::kData, encodeBase64(body)}});
}

std::string cancelLine(std::string_view job) {
    return toLine({{wire::kType, wire::kCancel}, {wire::kJob, job}});
}

std::string supplyLine(std::string_view job, std::string_view reply) {
    return toLine({{wire::kType, wire::kSupply}, {wire::kJob, job}, {wire::kData, encodeBase64(reply)}});
}

std::string skipDependencyCallLine(std::string_view job) {
    return toLine({{wire::kType, wire::kSkipDependencyCall}, {wire::kJob, job}});
}

std::string pollLine(std::string_view reference) {
    return toLine({{wire::kType, wire::kPoll}, {wire::kReference, reference}});
}

std::string verifyLine(std::string_view reference) {
    return toLine({{wire::kType, wire::kVerify}, {wire::kReference, reference}});
}

}  // namespace cottonwing::worker_pool
