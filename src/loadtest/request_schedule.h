/// @file
/// The request schedule of a run: all requests with their arrival times and properties, generated from a seed
/// or read from a trace. The schedule is produced incrementally. The same file and seed give the same
/// requests on any machine and with any number of workers.
#pragma once

#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "loadtest/load_curve.h"
#include "loadtest/random_distributions.h"
#include "overload/types.h"

namespace cottonwing::loadtest {

/// The load of one request class: its share of the requests and the distributions of their properties.
struct RequestClassLoad {
    std::string name;
    double share = 1;  ///< Weight among the shares of all classes.
    double value = 1;
    double lateValueFraction = 0;  ///< Fraction of the value if the latency objective is missed.
    Duration latencyObjective{std::chrono::seconds(1)}, timeout{std::chrono::seconds(5)};
    Idempotency idempotency = Idempotency::Idempotent;
    Distribution work = Distribution::constant(0.005);         ///< Seconds on a core of normal speed.
    Distribution callDuration = Distribution::constant(0.02);  ///< Seconds, of each dependency call.
    int callsPerRun = 0;                                       ///< Dependency calls of a run.
    Distribution bodyBytes = Distribution::constant(200);
    /// The memory that a request occupies where it is held.
    Distribution memoryBytes = Distribution::constant(20480);
    Distribution attemptTimeout = Distribution::constant(0);  ///< Seconds; 0: the timeout.
    double workHintError = 0.3;  ///< The work hint is off by a factor of up to e^±workHintError.
    double failureFraction = 0;  ///< Fraction of runs that fail on their own.
    bool usesScgi = false;       ///< Sent by SCGI clients.
    std::string claimedClass;    ///< The request class that the requests claim to be, if another.
};

/// One request of the schedule.
struct ScheduledRequest {
    std::uint64_t number = 0;  ///< From 0, in the order of arrival.
    Duration arrival{0};       ///< From the start of the run.
    int requestClass = 0;
    std::uint64_t tenant = 0, subject = 0;
    std::uint32_t bodyBytes = 0;
    double memoryKb = 0;
    Duration work{0}, workHint{0}, callDuration{0}, attemptTimeout{0};
    double rank = 0;  ///< From 0 inclusive to 1 exclusive.
    bool isRetry = false, runFails = false;
    bool operator==(const ScheduledRequest&) const = default;
};

/// A trace file and how it is transformed.
struct TraceConfig {
    std::string file;
    double timeScale = 1;        ///< Multiplies all times: 2 is twice as slow.
    double keepProbability = 1;  ///< Thins the trace: the probability that a request is kept.
    /// The mean number of copies of a request. Copies arrive before the next row and at most 10 ms after the
    /// original, so that a burst remains a burst.
    double meanCopies = 1;
    Duration from{0}, until{Duration::max()};  ///< The part that is used, in the trace's time.
    bool skipMalformed = false;                ///< Skip malformed lines instead of failing.
};

/// The settings of a request schedule; either a rate or a trace is set.
struct RequestScheduleConfig {
    std::uint64_t seed = 1;
    Duration duration{std::chrono::seconds(10)};
    std::vector<RequestClassLoad> requestClasses;
    std::uint64_t tenantCount = 1, subjectCount = 1000;
    double tenantSkew = 1, subjectSkew = 0.9;  ///< Zipf exponents.
    Spacing spacing = Spacing::Poisson;
    const kdl::Node* rateNode = nullptr;  ///< A node of the document, which must outlive the config.
    std::optional<TraceConfig> trace;
};

/// The requests of a run in the order of their arrival times.
class RequestSchedule {
public:
    virtual ~RequestSchedule() = default;
    /// The next request; nothing after the last one. Throws kdl::DocumentError for a malformed line of a
    /// trace.
    virtual std::optional<ScheduledRequest> next() = 0;
    /// The number of malformed lines of the trace so far.
    virtual std::uint64_t skippedLines() const { return 0; }
};

/// Creates the schedule. Throws kdl::DocumentError; errors in a trace have the line number as their location.
std::unique_ptr<RequestSchedule> makeRequestSchedule(const RequestScheduleConfig& config);

/// Writes a trace file that gives exactly the same requests when it is read.
class TraceWriter {
public:
    /// Creates the file. Throws kdl::DocumentError if that fails.
    TraceWriter(const std::string& path, const std::vector<RequestClassLoad>& requestClasses);
    void add(const ScheduledRequest& request);
    /// Flushes the file; false if something could not be written.
    bool close();

private:
    std::ofstream out_;
    std::vector<std::string> requestClassNames_;
};

/// The name of a tenant in requests and configurations.
std::string tenantName(std::uint64_t tenant);

}  // namespace cottonwing::loadtest
