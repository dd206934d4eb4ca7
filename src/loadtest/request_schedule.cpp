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

Duration nanos(double seconds) {
    return Duration(static_cast<std::int64_t>(std::clamp(seconds, 0.0, 9e9) * 1e9));
}
double secondsIn(Duration time) { return std::chrono::duration<double>(time).count(); }

class DrawnPlan : public Plan {
public:
    explicit DrawnPlan(const PlanTerms& terms)
        : terms_(terms),
          tenants_(terms.tenants, terms.tenantSkew),
          subjects_(terms.subjects, terms.subjectSkew),
          requestClassRandom_(makeRandomGenerator(terms.seed, RandomStream::RequestClasses)),
          tenantRandom_(makeRandomGenerator(terms.seed, RandomStream::Tenants)),
          subjectRandom_(makeRandomGenerator(terms.seed, RandomStream::Subjects)),
          bodyRandom_(makeRandomGenerator(terms.seed, RandomStream::Bodies)),
          workRandom_(makeRandomGenerator(terms.seed, RandomStream::Work)),
          hintRandom_(makeRandomGenerator(terms.seed, RandomStream::Hints)),
          attemptTimeoutRandom_(makeRandomGenerator(terms.seed, RandomStream::AttemptTimeouts)) {
        kdl::NodeReader rate(*terms.rate);
        arrivals_ = std::make_unique<ArrivalGenerator>(LoadCurve::fromNode(rate, terms.seed), terms.spacing,
                                                       terms.seed, terms.length);
        rate.rejectUnknown();
        double sum = 0;
        for (const RequestClassLoad& requestClass : terms.requestClasses)
            cumulativeShares_.push_back(sum += requestClass.share);
    }

    std::optional<Planned> next() override {
        const auto at = arrivals_->next();
        if (!at) return std::nullopt;
        Planned planned;
        planned.number = number_++;
        planned.at = *at;
        const double drawn = drawUniform(requestClassRandom_) * cumulativeShares_.back();
        planned.requestClass = static_cast<int>(std::min<std::ptrdiff_t>(
            std::upper_bound(cumulativeShares_.begin(), cumulativeShares_.end(), drawn) -
                cumulativeShares_.begin(),
            static_cast<std::ptrdiff_t>(cumulativeShares_.size()) - 1));
        const RequestClassLoad& requestClass =
            terms_.requestClasses[static_cast<std::size_t>(planned.requestClass)];
        planned.tenant = tenants_.draw(tenantRandom_);
        planned.subject = subjects_.draw(subjectRandom_);
        planned.body =
            static_cast<std::uint32_t>(std::clamp(requestClass.body.draw(bodyRandom_), 0.0, 2048.0));
        planned.heldKb = std::clamp(requestClass.held.draw(bodyRandom_) / 1024, 0.1, 1999.0);
        const double work = requestClass.work.draw(workRandom_);
        planned.work = nanos(work);
        planned.call = nanos(requestClass.call.draw(workRandom_));
        planned.fails = drawUniform(workRandom_) < requestClass.failing;
        planned.hint = nanos(work * std::exp(requestClass.hintError * (2 * drawUniform(hintRandom_) - 1)));
        const double attemptTimeout = requestClass.attemptTimeout.draw(attemptTimeoutRandom_);
        planned.attemptTimeout = attemptTimeout > 0 ? nanos(attemptTimeout) : requestClass.timeout;
        planned.rank = drawUniform(attemptTimeoutRandom_);
        return planned;
    }

private:
    const PlanTerms terms_;
    Zipf tenants_, subjects_;
    RandomGenerator requestClassRandom_, tenantRandom_, subjectRandom_, bodyRandom_, workRandom_, hintRandom_,
        attemptTimeoutRandom_;
    std::unique_ptr<ArrivalGenerator> arrivals_;
    std::vector<double> cumulativeShares_;
    std::uint64_t number_ = 0;
};

// Columns of a trace: a time may be given in any of these units, by the end of
// its name.
const std::vector<std::pair<std::string, double>> kEndings = {
    {"_ns", 1}, {"_us", 1e3}, {"_ms", 1e6}, {"_s", 1e9}};

class TracePlan : public Plan {
public:
    explicit TracePlan(const PlanTerms& terms)
        : terms_(terms),
          trace_(*terms.trace),
          in_(trace_.file),
          random_(makeRandomGenerator(terms.seed, RandomStream::ArrivalTimes)) {
        if (!in_) throw kdl::DocumentError({trace_.file, 0, 0}, "the trace can't be opened");
        for (std::size_t at = 0; at < terms.requestClasses.size(); ++at)
            names_[terms.requestClasses[at].name] = static_cast<int>(at);
    }

    // Copies lie in the gap behind their original, so rows come out by time
    // through a short queue: it holds what lies before the row that was read
    // last.
    std::optional<Planned> next() override {
        while (!ended_ && (waiting_.empty() || waiting_.top().at > horizon_)) readRow();
        if (waiting_.empty()) return std::nullopt;
        Planned planned = waiting_.top();
        waiting_.pop();
        planned.number = number_++;
        return planned;
    }
    std::uint64_t skipped() const override { return skipped_; }

private:
    struct Later {
        bool operator()(const Planned& a, const Planned& b) const {
            return a.at != b.at ? a.at > b.at : a.number > b.number;
        }
    };
    using Row = std::map<std::string, std::string>;

    [[noreturn]] void bad(const std::string& what) const {
        throw kdl::DocumentError({trace_.file, line_, 1}, what);
    }

    void readRow() {
        std::string text;
        if (!std::getline(in_, text)) {
            if (in_.bad()) bad("the trace can't be read on");
            ended_ = true;
            if (pending_) place(*pending_, Duration(std::chrono::milliseconds(10)));
            pending_.reset();
            return;
        }
        ++line_;
        if (!text.empty() && text.back() == '\r') text.pop_back();
        if (text.find_first_not_of(" \t") == text.npos) return;
        try {
            if (text.front() != '{' && columns_.empty()) return readHeader(text);
            Planned planned = plannedOf(text.front() == '{' ? fromJson(text) : fromCsv(text));
            if (planned.at < last_)
                bad("a time before that of an earlier line was found, times that never "
                    "go back were "
                    "expected");
            last_ = planned.at;
            if (planned.at < trace_.from || planned.at >= trace_.until) return;
            planned.at = Duration(
                std::llround(static_cast<double>((planned.at - trace_.from).count()) * trace_.stretch));
            if (planned.at >= terms_.length) return;
            if (pending_) place(*pending_, planned.at - pending_->at);
            horizon_ = planned.at - Duration(1);
            pending_ = planned;
        } catch (const kdl::DocumentError&) {
            ++skipped_;
            if (!trace_.skipBad || columnsBad_) throw;
        }
    }

    void place(const Planned& planned, Duration gap) {
        const double whole = std::floor(trace_.copies);
        int copies = static_cast<int>(whole) + (drawUniform(random_) < trace_.copies - whole ? 1 : 0);
        for (int copy = 0; copy < copies; ++copy) {
            if (trace_.keep < 1 && drawUniform(random_) >= trace_.keep) continue;
            Planned one = planned;
            one.number = order_++;
            if (copy > 0) {
                one.at += Duration(static_cast<std::int64_t>(
                    drawUniform(random_) *
                    static_cast<double>(std::min(gap, Duration(std::chrono::milliseconds(10))).count())));
                one.subject += static_cast<std::uint64_t>(copy) << 40;  // another client's
            }
            waiting_.push(one);
        }
    }

    void readHeader(const std::string& text) {
        columnsBad_ = true;
        for (const std::string& name : split(text)) columns_.push_back(name);
        Row known;
        for (const std::string& name : columns_) {
            std::string base = name;
            for (const auto& [ending, factor] : kEndings)
                if (name.ends_with(ending)) base = name.substr(0, name.size() - ending.size());
            static const std::vector<std::string> kNames = {"time", "profile", "customer", "subject", "cost",
                                                            "size", "held_kb", "patience", "mark",    "hint",
                                                            "call", "rank",    "fails"};
            if (std::find(kNames.begin(), kNames.end(), base) == kNames.end())
                bad("the column '" + name +
                    "' was found, one of time_s, profile, customer, subject, cost_ms, "
                    "size, "
                    "held_kb, patience_ms, mark, hint_ms, call_ms, rank, fails was "
                    "expected");
            static const std::vector<std::string> kTimes = {"time", "cost", "patience", "hint", "call"};
            if (base == name && std::find(kTimes.begin(), kTimes.end(), base) != kTimes.end())
                bad("the column '" + name + "' was found without a unit, " + name +
                    "_ns, _us, _ms or _s was expected");
            known[base] = name;
        }
        for (const char* need : {"time", "profile"})
            if (!known.contains(need))
                bad(std::string("no column '") + need + "' was found in the first line, one was expected");
        columnsBad_ = false;
    }

    static std::vector<std::string> split(const std::string& text) {
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
        const auto parts = split(text);
        if (parts.size() != columns_.size())
            bad(std::to_string(parts.size()) + " values were found, " + std::to_string(columns_.size()) +
                " were expected as in the first line");
        Row row;
        for (std::size_t at = 0; at < parts.size(); ++at) row[columns_[at]] = parts[at];
        return row;
    }

    Row fromJson(const std::string& text) const {
        const auto all = nlohmann::json::parse(text, nullptr, false);
        if (!all.is_object()) bad("a line that is no JSON object was found");
        Row row;
        for (const auto& [name, value] : all.items())
            row[name] = value.is_string() ? value.get<std::string>() : value.dump();
        return row;
    }

    double numberOf(const std::string& name, const std::string& text) const {
        double value = 0;
        const char* const last = text.data() + text.size();
        const auto [end, error] = std::from_chars(text.data(), last, value);
        if (error != std::errc() || end != last || !std::isfinite(value) || value < 0)
            bad("'" + text + "' was found under '" + name + "', a number of 0 or more was expected");
        return value;
    }

    std::optional<double> valueOf(const Row& row, const std::string& base, bool time) const {
        if (!time) {
            const auto found = row.find(base);
            if (found == row.end() || found->second.empty()) return std::nullopt;
            return numberOf(base, found->second);
        }
        for (const auto& [ending, factor] : kEndings) {
            const auto found = row.find(base + ending);
            if (found != row.end() && !found->second.empty())
                return numberOf(base + ending, found->second) * factor;
        }
        const auto bare = row.find(base);
        if (bare != row.end() && !bare->second.empty())
            bad("'" + base + "' was found without a unit, " + base + "_ns, _us, _ms or _s was expected");
        return std::nullopt;
    }

    Planned plannedOf(const Row& row) const {
        Planned planned;
        const auto time = valueOf(row, "time", true);
        if (!time) bad("no time was found, 'time_s' or one in ms, us or ns was expected");
        planned.at = Duration(std::llround(*time));
        const auto requestClass = row.find("profile");
        const auto known = requestClass == row.end() ? names_.end() : names_.find(requestClass->second);
        if (known == names_.end()) {
            std::string all;
            for (const auto& [name, at] : names_) all += (all.empty() ? "" : ", ") + name;
            bad("the profile '" + (requestClass == row.end() ? std::string() : requestClass->second) +
                "' was found, one of " + all + " was expected");
        }
        planned.requestClass = known->second;
        const RequestClassLoad& usual = terms_.requestClasses[static_cast<std::size_t>(planned.requestClass)];
        const auto nameOrNumber = [&](const char* column) -> std::uint64_t {
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
        planned.tenant = nameOrNumber("customer");
        planned.subject = nameOrNumber("subject");
        const auto span = [&](const char* base, double otherwise) {
            return Duration(std::llround(valueOf(row, base, true).value_or(otherwise * 1e9)));
        };
        planned.work = span("cost", usual.work.mean());
        planned.hint = span("hint", secondsIn(planned.work));
        planned.call = span("call", usual.call.mean());
        planned.attemptTimeout = span("patience", secondsIn(usual.timeout));
        planned.body = static_cast<std::uint32_t>(
            std::min(valueOf(row, "size", false).value_or(usual.body.mean()), 2048.0));
        planned.heldKb =
            std::clamp(valueOf(row, "held_kb", false).value_or(usual.held.mean() / 1024), 0.1, 1999.0);
        planned.rank = std::min(valueOf(row, "rank", false).value_or(0.5), 0.9999);
        planned.again = valueOf(row, "mark", false).value_or(0) != 0;
        planned.fails = valueOf(row, "fails", false).value_or(0) != 0;
        return planned;
    }

    const PlanTerms terms_;
    const TraceTerms trace_;
    std::ifstream in_;
    RandomGenerator random_;
    std::map<std::string, int> names_;
    std::vector<std::string> columns_;
    std::priority_queue<Planned, std::vector<Planned>, Later> waiting_;  // of one gap of the trace
    std::optional<Planned> pending_;                                     // its gap is not known yet
    std::size_t line_ = 0;
    Duration last_{0}, horizon_{-1};
    std::uint64_t number_ = 0, order_ = 0, skipped_ = 0;
    bool ended_ = false, columnsBad_ = false;
};

}  // namespace

std::string tenantName(std::uint64_t tenant) { return std::string("c").append(std::to_string(tenant)); }

std::unique_ptr<Plan> makePlan(const PlanTerms& terms) {
    if (terms.trace) return std::make_unique<TracePlan>(terms);
    return std::make_unique<DrawnPlan>(terms);
}

TraceWriter::TraceWriter(const std::string& path, const std::vector<RequestClassLoad>& requestClasses)
    : out_(path) {
    if (!out_)
        throw kdl::DocumentError({path, 0, 0},
                                 "the trace can't be written: " + std::string(std::strerror(errno)));
    for (const RequestClassLoad& requestClass : requestClasses) names_.push_back(requestClass.name);
    out_ << "time_ns,profile,customer,subject,cost_ns,hint_ns,call_ns,patience_"
            "ns,size,held_kb,rank,mark,"
            "fails\n";
}

void TraceWriter::add(const Planned& planned) {
    char numbers[64];
    std::snprintf(numbers, sizeof numbers, "%.17g,%.17g", planned.heldKb, planned.rank);
    std::string name = names_[static_cast<std::size_t>(planned.requestClass)];
    if (name.find_first_of(",\"") != name.npos) {
        std::string quoted = "\"";
        for (const char byte : name) quoted += byte == '"' ? "\"\"" : std::string(1, byte);
        name = quoted + "\"";
    }
    out_ << planned.at.count() << ',' << name << ',' << planned.tenant << ',' << planned.subject << ','
         << planned.work.count() << ',' << planned.hint.count() << ',' << planned.call.count() << ','
         << planned.attemptTimeout.count() << ',' << planned.body << ',' << numbers << ',' << planned.again
         << ',' << planned.fails << '\n';
}

bool TraceWriter::close() {
    out_.flush();
    return out_.good();
}

}  // namespace cottonwing::loadtest
