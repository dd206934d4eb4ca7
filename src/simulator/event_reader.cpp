#include "simulator/event_reader.h"

#include <algorithm>
#include <map>

namespace cottonwing::simulator {

namespace {

using namespace std::chrono_literals;

Outcome readOutcome(const WireLine& line) {
    static const std::map<std::string_view, Outcome> kOutcomes = {
        {wire::kOutcomeOk, Outcome::Ok},
        {wire::kOutcomeError, Outcome::Error},
        {wire::kOutcomeResourceExhausted, Outcome::ResourceExhausted},
        {wire::kOutcomeTimedOut, Outcome::TimedOut},
        {wire::kOutcomeConnectionLost, Outcome::ConnectionLost},
        {wire::kOutcomeUnreachable, Outcome::Unreachable},
        {wire::kOutcomeSuperseded, Outcome::Superseded},
        {wire::kOutcomeCancelled, Outcome::Cancelled},
    };
    const auto found = kOutcomes.find(line.text(wire::kOutcome));
    if (found == kOutcomes.end()) line.fail(wire::kOutcome, "unknown outcome");
    return found->second;
}

int readRequestClass(const WireLine& line, const config::NameTables& names) {
    const auto found = names.requestClasses.find(line.text(wire::kRequestClass));
    if (found == names.requestClasses.end()) line.fail(wire::kRequestClass, "unknown request class");
    return found->second;
}

// -1 if the request has no tenant.
int readTenant(const WireLine& line, const config::NameTables& names) {
    if (line.isAbsent(wire::kTenant) || line.text(wire::kTenant) == wire::kNoTenant) return -1;
    const auto found = names.tenants.find(line.text(wire::kTenant));
    if (found == names.tenants.end()) line.fail(wire::kTenant, "unknown tenant");
    return found->second;
}

// Empty if the client does not say how long it waits.
std::optional<Timestamp> readDeadline(const WireLine& line) {
    if (line.isAbsent(wire::kDeadlineUs)) return std::nullopt;
    const Timestamp deadline = line.microseconds(wire::kDeadlineUs);
    if (deadline <= 0ns) return std::nullopt;
    return deadline;
}

// The value is valid only if a flag is set; otherwise it is checked but ignored.
std::optional<Duration> readExpectedWork(const WireLine& line, unsigned flags) {
    if (line.isAbsent(wire::kExpectedWorkUs)) return std::nullopt;
    const Duration work = line.microseconds(wire::kExpectedWorkUs);
    if ((flags & wire::kFlagExpectedWorkKnown) == 0) return std::nullopt;
    return work;
}

double readMemoryKb(const WireLine& line) {
    const auto memoryKb = line.number<double>(wire::kMemoryKb);
    if (memoryKb < 0) line.fail(wire::kMemoryKb, "negative");
    return memoryKb;
}

// Checks the syntax of a field whose value is not used.
void checkOptionalId(const WireLine& line, const wire::Field& field) {
    if (!line.isAbsent(field)) line.id(field);
}

// Parses one gauge, written as `name:value`.
void parseGauge(const WireLine& line, std::string_view pair, Gauges& gauges) {
    constexpr char kMalformedGauges[] = "not a comma-separated list of name:number";
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) line.fail(wire::kGauges, kMalformedGauges);
    const std::string_view name = pair.substr(0, colon);
    const std::string_view digits = pair.substr(colon + 1);
    const char* const last = digits.data() + digits.size();
    double value = 0;
    const auto [end, error] = std::from_chars(digits.data(), last, value);
    if (error != std::errc() || end != last || !std::isfinite(value))
        line.fail(wire::kGauges, kMalformedGauges);
    if (name == wire::kCoreUtilization) gauges.coreUtilization = value;
    if (name == wire::kCoreDemand) gauges.coreDemand = value;
    if (name == wire::kMemoryUtilization) gauges.memoryUtilization = value;
    if (name == wire::kOpenConnections) gauges.openConnections = value;
}

}  // namespace

Request readRequest(const WireLine& line, const config::NameTables& names) {
    line.expectFields(wire::kRequestFields);
    Request request;
    request.id = line.id(wire::kRequestId);
    request.requestClass = readRequestClass(line, names);
    request.tenant = readTenant(line, names);
    checkOptionalId(line, wire::kRoutingKey);
    request.deadline = readDeadline(line);
    const auto flags = line.number<unsigned>(wire::kFlags);
    request.expectedWork = readExpectedWork(line, flags);
    request.memoryKb = readMemoryKb(line);
    if (!line.isAbsent(wire::kRank)) request.rank = line.number<double>(wire::kRank);
    request.isRetry = (flags & wire::kFlagRetry) != 0;
    checkOptionalId(line, wire::kClient);
    if (!line.isAbsent(wire::kQueuedBeforeReadUs))
        request.queuedBeforeRead = line.microseconds(wire::kQueuedBeforeReadUs);
    // On the simulator's wire, 0 stands for none as well.
    if (!line.isAbsent(wire::kDuplicateOf) && line.id(wire::kDuplicateOf) != 0)
        request.duplicateOf = line.id(wire::kDuplicateOf);
    return request;
}

Completion readCompletion(const WireLine& line) {
    line.expectFields(wire::kCompletionFields);
    Completion completion;
    completion.id = line.id(wire::kRequestId);
    completion.outcome = readOutcome(line);
    if (!line.isAbsent(wire::kElapsedUs)) completion.elapsed = line.microseconds(wire::kElapsedUs);
    return completion;
}

Gauges readGauges(const WireLine& line) {
    Gauges gauges;
    if (line.isAbsent(wire::kGauges)) return gauges;
    std::string_view rest = line.text(wire::kGauges);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find(','));
        parseGauge(line, pair, gauges);
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return gauges;
}

}  // namespace cottonwing::simulator
