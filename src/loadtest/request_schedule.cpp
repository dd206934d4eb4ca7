#include "loadtest/request_schedule.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstring>
#include <map>
#include <nlohmann/json.hpp>
#include <queue>

namespace cottonwing::loadtest {

namespace {

Duration fromSeconds(double seconds) {
    return Duration(static_cast<std::int64_t>(std::clamp(seconds, 0.0, 9e9) * 1e9));
}
double toSeconds(Duration time) { return std::chrono::duration<double>(time).count(); }

class GeneratedSchedule : public RequestSchedule {
public:
    explicit GeneratedSchedule(const RequestScheduleConfig& config)
        : config_(config),
          tenants_(config.tenantCount, config.tenantSkew),
          subjects_(config.subjectCount, config.subjectSkew),
          requestClassRandom_(makeRandomGenerator(config.seed, RandomStream::RequestClasses)),
          tenantRandom_(makeRandomGenerator(config.seed, RandomStream::Tenants)),
          subjectRandom_(makeRandomGenerator(config.seed, RandomStream::Subjects)),
          bodyRandom_(makeRandomGenerator(config.seed, RandomStream::Bodies)),
          workRandom_(makeRandomGenerator(config.seed, RandomStream::Work)),
          hintRandom_(makeRandomGenerator(config.seed, RandomStream::Hints)),
          attemptTimeoutRandom_(makeRandomGenerator(config.seed, RandomStream::AttemptTimeouts)) {
        kdl::NodeReader rate(*config.rateNode);
        arrivals_ = std::make_unique<ArrivalGenerator>(LoadCurve::fromNode(rate, config.seed), config.spacing,
                                                       config.seed, config.duration);
        rate.rejectUnknown();
        double sum = 0;
        for (const RequestClassLoad& requestClass : config.requestClasses)
            cumulativeShares_.push_back(sum += requestClass.share);
    }

    std::optional<ScheduledRequest> next() override {
        const auto at = arrivals_->next();
        if (!at) return std::nullopt;
        ScheduledRequest request;
        request.number = number_++;
        request.arrival = *at;
        const double drawn = drawUniform(requestClassRandom_) * cumulativeShares_.back();
        request.requestClass = static_cast<int>(std::min<std::ptrdiff_t>(
            std::upper_bound(cumulativeShares_.begin(), cumulativeShares_.end(), drawn) -
                cumulativeShares_.begin(),
            static_cast<std::ptrdiff_t>(cumulativeShares_.size()) - 1));
        const RequestClassLoad& requestClass =
            config_.requestClasses[static_cast<std::size_t>(request.requestClass)];
        request.tenant = tenants_.draw(tenantRandom_);
        request.subject = subjects_.draw(subjectRandom_);
        request.bodyBytes =
            static_cast<std::uint32_t>(std::clamp(requestClass.bodyBytes.draw(bodyRandom_), 0.0, 2048.0));
        request.memoryKb = std::clamp(requestClass.memoryBytes.draw(bodyRandom_) / 1024, 0.1, 1999.0);
        const double work = requestClass.work.draw(workRandom_);
        request.work = fromSeconds(work);
        request.callDuration = fromSeconds(requestClass.callDuration.draw(workRandom_));
        request.runFails = drawUniform(workRandom_) < requestClass.failureFraction;
        request.workHint =
            fromSeconds(work * std::exp(requestClass.workHintError * (2 * drawUniform(hintRandom_) - 1)));
        const double attemptTimeout = requestClass.attemptTimeout.draw(attemptTimeoutRandom_);
        request.attemptTimeout = attemptTimeout > 0 ? fromSeconds(attemptTimeout) : requestClass.timeout;
        request.rank = drawUniform(attemptTimeoutRandom_);
        return request;
    }

private:
    const RequestScheduleConfig config_;
    Zipf tenants_, subjects_;
    RandomGenerator requestClassRandom_, tenantRandom_, subjectRandom_, bodyRandom_, workRandom_, hintRandom_,
        attemptTimeoutRandom_;
    std::unique_ptr<ArrivalGenerator> arrivals_;
    std::vector<double> cumulativeShares_;
    std::uint64_t number_ = 0;
};

// The unit of a time column of a trace is given by the suffix of its name.
const std::vector<std::pair<std::string, double>> kUnitSuffixes = {
    {"_ns", 1}, {"_us", 1e3}, {"_ms", 1e6}, {"_s", 1e9}};

class TraceSchedule : public RequestSchedule {
public:
    explicit TraceSchedule(const RequestScheduleConfig& config)
        : config_(config),
          trace_(*config.trace),
          in_(trace_.file),
          random_(makeRandomGenerator(config.seed, RandomStream::ArrivalTimes)) {
        if (!in_) throw kdl::DocumentError({trace_.file, 0, 0}, "the trace can't be opened");
        for (std::size_t at = 0; at < config.requestClasses.size(); ++at)
            requestClassIndexes_[config.requestClasses[at].name] = static_cast<int>(at);
    }

    // Copies are placed in the gap after their original. A short queue puts them in order of time: a request
    // leaves it once all rows up to its arrival time have been read.
    std::optional<ScheduledRequest> next() override {
        while (!ended_ && (ready_.empty() || ready_.top().arrival > readyUntil_)) readRow();
        if (ready_.empty()) return std::nullopt;
        ScheduledRequest request = ready_.top();
        ready_.pop();
        request.number = number_++;
        return request;
    }
    std::uint64_t skippedLines() const override { return skippedLines_; }

private:
    struct ArrivesLater {
        bool operator()(const ScheduledRequest& a, const ScheduledRequest& b) const {
            return a.arrival != b.arrival ? a.arrival > b.arrival : a.number > b.number;
        }
    };
    using Row = std::map<std::string, std::string>;

    [[noreturn]] void throwError(const std::string& what) const {
        throw kdl::DocumentError({trace_.file, lineNumber_, 1}, what);
    }

    void readRow() {
        std::string text;
        if (!std::getline(in_, text)) {
            if (in_.bad()) throwError("the trace can't be read: input error after this line");
            ended_ = true;
            if (pending_) enqueueCopies(*pending_, Duration(std::chrono::milliseconds(10)));
            pending_.reset();
            return;
        }
        ++lineNumber_;
        if (!text.empty() && text.back() == '\r') text.pop_back();
        if (text.find_first_not_of(" \t") == text.npos) return;
        try {
            if (text.front() != '{' && columns_.empty()) return readHeader(text);
            ScheduledRequest request = toRequest(text.front() == '{' ? fromJson(text) : fromCsv(text));
            if (request.arrival < lastTraceTime_)
                throwError(
                    "a time before that of an earlier line was found, "
                    "times in ascending order were expected");
            lastTraceTime_ = request.arrival;
            if (request.arrival < trace_.from || request.arrival >= trace_.until) return;
            request.arrival = Duration(std::llround(
                static_cast<double>((request.arrival - trace_.from).count()) * trace_.timeScale));
            if (request.arrival >= config_.duration) return;
            if (pending_) enqueueCopies(*pending_, request.arrival - pending_->arrival);
            readyUntil_ = request.arrival - Duration(1);
            pending_ = request;
        } catch (const kdl::DocumentError&) {
            ++skippedLines_;
            if (!trace_.skipMalformed || headerMalformed_) throw;
        }
    }

    void enqueueCopies(const ScheduledRequest& request, Duration gap) {
        const double wholeCopies = std::floor(trace_.meanCopies);
        int copies =
            static_cast<int>(wholeCopies) + (drawUniform(random_) < trace_.meanCopies - wholeCopies ? 1 : 0);
        for (int copy = 0; copy < copies; ++copy) {
            if (trace_.keepProbability < 1 && drawUniform(random_) >= trace_.keepProbability) continue;
            ScheduledRequest copied = request;
            copied.number = copyNumber_++;
            if (copy > 0) {
                copied.arrival += Duration(static_cast<std::int64_t>(
                    drawUniform(random_) *
                    static_cast<double>(std::min(gap, Duration(std::chrono::milliseconds(10))).count())));
                // A copy belongs to another client.
                copied.subject += static_cast<std::uint64_t>(copy) << 40;
            }
            ready_.push(copied);
        }
    }

    void readHeader(const std::string& text) {
        headerMalformed_ = true;
        for (const std::string& name : splitCsv(text)) columns_.push_back(name);
        Row columnByBaseName;
        for (const std::string& name : columns_) {
            std::string baseName = name;
            for (const auto& [suffix, factor] : kUnitSuffixes)
                if (name.ends_with(suffix)) baseName = name.substr(0, name.size() - suffix.size());
            static const std::vector<std::string> kColumnNames = {
                "time",     "profile", "customer", "subject", "cost", "size", "held_kb",
                "patience", "mark",    "hint",     "call",    "rank", "fails"};
            if (std::find(kColumnNames.begin(), kColumnNames.end(), baseName) == kColumnNames.end())
                throwError("the column '" + name +
                           "' was found, one of time_s, profile, customer, subject, cost_ms, size, "
                           "held_kb, patience_ms, mark, hint_ms, call_ms, rank, fails was expected");
            static const std::vector<std::string> kTimeColumnNames = {"time", "cost", "patience", "hint",
                                                                      "call"};
            if (baseName == name && std::find(kTimeColumnNames.begin(), kTimeColumnNames.end(), baseName) !=
                                        kTimeColumnNames.end())
                throwError("the column '" + name + "' was found without a unit, " + name +
                           "_ns, _us, _ms or _s was expected");
            columnByBaseName[baseName] = name;
        }
        for (const char* required : {"time", "profile"})
            if (!columnByBaseName.contains(required))
                throwError(std::string("no column '") + required +
                           "' was found in the header, one was expected");
        headerMalformed_ = false;
    }

    static std::vector<std::string> splitCsv(const std::string& text) {
        std::vector<std::string> parts(1);
        bool quoted = false;
        for (std::size_t at = 0; at < text.size(); ++at) {
            const char byte = text[at];
            if (quoted && byte == '"' && at + 1 < text.size() && text[at + 1] == '"')
                parts.back().push_back('"'), ++at;
            else if (byte == '"')
                quoted = !quoted;
            else if (byte == ',' && !quoted)
                parts.emplace_back();
            else
                parts.back().push_back(byte);
        }
        return parts;
    }

    Row fromCsv(const std::string& text) const {
        const auto parts = splitCsv(text);
        if (parts.size() != columns_.size())
            throwError(std::to_string(parts.size()) + " values were found, " +
                       std::to_string(columns_.size()) + " were expected as in the header");
        Row row;
        for (std::size_t at = 0; at < parts.size(); ++at) row[columns_[at]] = parts[at];
        return row;
    }

    Row fromJson(const std::string& text) const {
        const auto all = nlohmann::json::parse(text, nullptr, false);
        if (!all.is_object())
            throwError("a line that is not a JSON object was found, a JSON object was expected");
        Row row;
        for (const auto& [name, value] : all.items())
            row[name] = value.is_string() ? value.get<std::string>() : value.dump();
        return row;
    }

    double readNumber(const std::string& name, const std::string& text) const {
        double value = 0;
        const char* const last = text.data() + text.size();
        const auto [end, error] = std::from_chars(text.data(), last, value);
        if (error != std::errc() || end != last || !std::isfinite(value) || value < 0)
            throwError("'" + text + "' was found under '" + name + "', a number of 0 or more was expected");
        return value;
    }

    std::optional<double> readColumn(const Row& row, const std::string& baseName, bool isTime) const {
        if (!isTime) {
            const auto found = row.find(baseName);
            if (found == row.end() || found->second.empty()) return std::nullopt;
            return readNumber(baseName, found->second);
        }
        for (const auto& [suffix, factor] : kUnitSuffixes) {
            const auto found = row.find(baseName + suffix);
            if (found != row.end() && !found->second.empty())
                return readNumber(baseName + suffix, found->second) * factor;
        }
        const auto bare = row.find(baseName);
        if (bare != row.end() && !bare->second.empty())
            throwError("'" + baseName + "' was found without a unit, " + baseName +
                       "_ns, _us, _ms or _s was expected");
        return std::nullopt;
    }

    ScheduledRequest toRequest(const Row& row) const {
        ScheduledRequest request;
        const auto time = readColumn(row, "time", true);
        if (!time)
            throwError("no time was found, a value in one of time_s, time_ms, time_us, time_ns was expected");
        request.arrival = Duration(std::llround(*time));
        const auto requestClass = row.find("profile");
        const auto known = requestClass == row.end() ? requestClassIndexes_.end()
                                                     : requestClassIndexes_.find(requestClass->second);
        if (known == requestClassIndexes_.end()) {
            std::string all;
            for (const auto& [name, at] : requestClassIndexes_) all += (all.empty() ? "" : ", ") + name;
            throwError("the profile '" + (requestClass == row.end() ? std::string() : requestClass->second) +
                       "' was found, one of " + all + " was expected");
        }
        request.requestClass = known->second;
        const RequestClassLoad& requestClassLoad =
            config_.requestClasses[static_cast<std::size_t>(request.requestClass)];
        const auto numberOrHash = [&](const char* column) -> std::uint64_t {
            const auto found = row.find(column);
            if (found == row.end() || found->second.empty()) return 0;
            std::uint64_t value = 0;
            const char* const last = found->second.data() + found->second.size();
            const auto [end, error] = std::from_chars(found->second.data(), last, value);
            if (error == std::errc() && end == last) return value;
            std::uint64_t hash = 14695981039346656037ULL;
            for (const char byte : found->second)
                hash = (hash ^ static_cast<std::uint8_t>(byte)) * 1099511628211ULL;
            return hash;
        };
        request.tenant = numberOrHash("customer");
        request.subject = numberOrHash("subject");
        const auto duration = [&](const char* baseName, double fallback) {
            return Duration(std::llround(readColumn(row, baseName, true).value_or(fallback * 1e9)));
        };
        request.work = duration("cost", requestClassLoad.work.mean());
        request.workHint = duration("hint", toSeconds(request.work));
        request.callDuration = duration("call", requestClassLoad.callDuration.mean());
        request.attemptTimeout = duration("patience", toSeconds(requestClassLoad.timeout));
        request.bodyBytes = static_cast<std::uint32_t>(
            std::min(readColumn(row, "size", false).value_or(requestClassLoad.bodyBytes.mean()), 2048.0));
        request.memoryKb =
            std::clamp(readColumn(row, "held_kb", false).value_or(requestClassLoad.memoryBytes.mean() / 1024),
                       0.1, 1999.0);
        request.rank = std::min(readColumn(row, "rank", false).value_or(0.5), 0.9999);
        request.isRetry = readColumn(row, "mark", false).value_or(0) != 0;
        request.runFails = readColumn(row, "fails", false).value_or(0) != 0;
        return request;
    }

    const RequestScheduleConfig config_;
    const TraceConfig trace_;
    std::ifstream in_;
    RandomGenerator random_;
    std::map<std::string, int> requestClassIndexes_;
    std::vector<std::string> columns_;
    std::priority_queue<ScheduledRequest, std::vector<ScheduledRequest>, ArrivesLater>
        ready_;                                // ordered by arrival; holds one gap of the trace
    std::optional<ScheduledRequest> pending_;  // the gap after it is known once the next row is read
    std::size_t lineNumber_ = 0;
    Duration lastTraceTime_{0}, readyUntil_{-1};
    std::uint64_t number_ = 0, copyNumber_ = 0, skippedLines_ = 0;
    bool ended_ = false, headerMalformed_ = false;
};

}  // namespace

std::string tenantName(std::uint64_t tenant) { return std::string("c").append(std::to_string(tenant)); }

std::unique_ptr<RequestSchedule> makeRequestSchedule(const RequestScheduleConfig& config) {
    if (config.trace) return std::make_unique<TraceSchedule>(config);
    return std::make_unique<GeneratedSchedule>(config);
}

TraceWriter::TraceWriter(const std::string& path, const std::vector<RequestClassLoad>& requestClasses)
    : out_(path) {
    if (!out_)
        throw kdl::DocumentError({path, 0, 0},
                                 "the trace can't be written: " + std::string(std::strerror(errno)));
    for (const RequestClassLoad& requestClass : requestClasses)
        requestClassNames_.push_back(requestClass.name);
    out_ << "time_ns,profile,customer,subject,cost_ns,hint_ns,call_ns,patience_ns,size,"
            "held_kb,rank,mark,fails\n";
}

void TraceWriter::add(const ScheduledRequest& request) {
    char numbers[64];
    std::snprintf(numbers, sizeof numbers, "%.17g,%.17g", request.memoryKb, request.rank);
    std::string name = requestClassNames_[static_cast<std::size_t>(request.requestClass)];
    if (name.find_first_of(",\"") != name.npos) {
        std::string quoted = "\"";
        for (const char byte : name) quoted += byte == '"' ? "\"\"" : std::string(1, byte);
        name = quoted + "\"";
    }
    out_ << request.arrival.count() << ',' << name << ',' << request.tenant << ',' << request.subject << ','
         << request.work.count() << ',' << request.workHint.count() << ',' << request.callDuration.count()
         << ',' << request.attemptTimeout.count() << ',' << request.bodyBytes << ',' << numbers << ','
         << request.isRetry << ',' << request.runFails << '\n';
}

bool TraceWriter::close() {
    out_.flush();
    return out_.good();
}

}  // namespace cottonwing::loadtest
