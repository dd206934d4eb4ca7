// What is sent: the requests of a run with all that they say, drawn from a seed
// or read from a trace. A plan is a stream; the same file and seed give the
// same requests on any machine and for any number of workers.
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

struct RequestClassLoad {
    std::string name;
    double share = 1;  // of the requests, beside the other shares
    double value = 1;
    double lateValueFraction = 0;  // part of the worth after the latency objective
    Duration latencyObjective{std::chrono::seconds(1)}, timeout{std::chrono::seconds(5)};
    Idempotency idempotency = Idempotency::Idempotent;
    Distribution work = Distribution::constant(0.005);         // seconds on a core of usual speed
    Distribution callDuration = Distribution::constant(0.02);  // seconds of each call
    int callsPerRun = 0;                                       // in its run
    Distribution bodyBytes = Distribution::constant(200);      // bytes
    Distribution memoryBytes = Distribution::constant(20480);  // bytes that it takes where it is held
    Distribution attemptTimeout = Distribution::constant(0);   // seconds; 0: the timeout
    double workHintError = 0.3;  // the hint of its work is off by a factor of e^±this
    double failureFraction = 0;  // part of the runs that fail by themselves
    bool usesScgi = false;       // its clients are kiosks
    std::string claimedClass;    // another request class that it says it is of, if any
};

struct ScheduledRequest {
    std::uint64_t number = 0;  // from 0
    Duration arrival{0};       // from the start of the run
    int requestClass = 0;
    std::uint64_t tenant = 0, subject = 0;
    std::uint32_t bodyBytes = 0;  // bytes
    double memoryKb = 0;
    Duration work{0}, workHint{0}, callDuration{0}, attemptTimeout{0};
    double rank = 0;
    bool isRetry = false, runFails = false;
    bool operator==(const ScheduledRequest&) const = default;
};

struct TraceConfig {
    std::string file;
    double timeScale = 1;        // 2: twice as slow
    double keepProbability = 1;  // thinned: each is kept with this chance
    double meanCopies = 1;       // each is sent this often, in the gap behind it: a burst stays a burst
    Duration from{0}, until{Duration::max()};  // cut, in the trace's own time
    bool skipMalformed = false;
};

struct RequestScheduleConfig {
    std::uint64_t seed = 1;
    Duration duration{std::chrono::seconds(10)};
    std::vector<RequestClassLoad> requestClasses;
    std::uint64_t tenantCount = 1, subjectCount = 1000;
    double tenantSkew = 1, subjectSkew = 0.9;  // Zipf's exponent
    Spacing spacing = Spacing::Poisson;
    const kdl::Node* rateNode = nullptr;  // lives in the document
    std::optional<TraceConfig> trace;
};

class RequestSchedule {
public:
    virtual ~RequestSchedule() = default;
    virtual std::optional<ScheduledRequest> next() = 0;
    // Lines of a trace that could not be read, so far.
    virtual std::uint64_t skippedLines() const { return 0; }
};

// Throws kdl::DocumentError, for a trace with the number of its line.
std::unique_ptr<RequestSchedule> makeRequestSchedule(const RequestScheduleConfig& config);

// Writes a trace that read again gives the same requests.
class TraceWriter {
public:
    TraceWriter(const std::string& path, const std::vector<RequestClassLoad>& requestClasses);
    void add(const ScheduledRequest& request);
    bool close();  // false where something could not be written

private:
    std::ofstream out_;
    std::vector<std::string> requestClassNames_;
};

std::string tenantName(std::uint64_t tenant);

}  // namespace cottonwing::loadtest
