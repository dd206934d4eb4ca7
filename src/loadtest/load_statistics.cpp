#include "loadtest/load_statistics.h"

#include <algorithm>
#include <numeric>

namespace cottonwing::loadtest {

namespace {

template <typename Array>
void addEach(Array& to, const Array& from) {
    for (std::size_t at = 0; at < to.size(); ++at) to[at] += from[at];
}

constexpr std::size_t kExamples = 10;

}  // namespace

const char* nameOf(End end) {
    static constexpr const char* kNames[kEnds] = {"handled",   "handled late",    "bounced",   "scrapped",
                                                  "no answer", "connection lost", "never sent"};
    return kNames[static_cast<std::size_t>(end)];
}

std::uint64_t RequestClassStats::ended() const {
    return std::accumulate(ends.begin(), ends.end(), std::uint64_t{0});
}

void RequestClassStats::add(const RequestClassStats& other) {
    addEach(ends, other.ends);
    planned += other.planned, tries += other.tries;
    value += other.value, earned += other.earned;
    fromSchedule.add(other.fromSchedule);
    fromWrite.add(other.fromWrite);
}

void Stretch::add(const Stretch& other) {
    addEach(ends, other.ends);
    tries += other.tries, open += other.open;
    earned += other.earned, value += other.value;
    if (!other.latencies) return;
    if (!latencies) latencies = std::make_unique<LatencyHistogram>();
    latencies->add(*other.latencies);
}

Stretch& Series::at(Duration time) {
    while (true) {
        const auto index = static_cast<std::size_t>(std::max(time, Duration(0)) / width_);
        if (index < kMost) {
            if (index >= stretches_.size()) stretches_.resize(index + 1);
            return stretches_[index];
        }
        widen();
    }
}

void Series::widen() {
    width_ *= 2;
    for (std::size_t at = 0; at < stretches_.size(); ++at) {
        if (at % 2 == 0) {
            if (at > 0) stretches_[at / 2] = std::move(stretches_[at]);
        } else {
            const std::uint64_t open = std::max(stretches_[at / 2].open, stretches_[at].open);
            stretches_[at / 2].add(stretches_[at]);
            stretches_[at / 2].open = open;  // the most at once is no sum over time
        }
    }
    stretches_.resize((stretches_.size() + 1) / 2);
}

void Series::add(const Series& other) {
    while (width_ < other.width_) widen();
    for (std::size_t at = 0; at < other.stretches_.size(); ++at)
        this->at(other.width_ * static_cast<std::int64_t>(at)).add(other.stretches_[at]);
}

void Broken::note(std::uint64_t& count, const std::string& what) {
    ++count;
    if (examples.size() < kExamples) examples.push_back(what);
}

void Broken::add(const Broken& other) {
    twice += other.twice, toNothing += other.toNothing, unreadable += other.unreadable;
    wrongResult += other.wrongResult, lost += other.lost;
    for (const std::string& example : other.examples)
        if (examples.size() < kExamples) examples.push_back(example);
}

void Links::add(const Links& other) {
    opened += other.opened, refused += other.refused, reset += other.reset, closed += other.closed;
    goaways += other.goaways, idleClosed += other.idleClosed, checks += other.checks,
        badChecks += other.badChecks;
    forgets += other.forgets, sentAgain += other.sentAgain;
    addEach(notAgain, other.notAgain);
}

Tally::Tally(const std::vector<RequestClassLoad>& all) : requestClasses(all.size()) {}

void Tally::add(const Tally& other) {
    for (std::size_t at = 0; at < requestClasses.size(); ++at)
        requestClasses[at].add(other.requestClasses[at]);
    lag.add(other.lag);
    series.add(other.series);
    broken.add(other.broken);
    links.add(other.links);
    badLines = std::max(badLines, other.badLines);  // every worker reads the whole trace
}

std::uint64_t Tally::planned() const {
    std::uint64_t sum = 0;
    for (const RequestClassStats& requestClass : requestClasses) sum += requestClass.planned;
    return sum;
}
std::uint64_t Tally::of(End end) const {
    std::uint64_t sum = 0;
    for (const RequestClassStats& requestClass : requestClasses)
        sum += requestClass.ends[static_cast<std::size_t>(end)];
    return sum;
}
double Tally::value() const {
    double sum = 0;
    for (const RequestClassStats& requestClass : requestClasses) sum += requestClass.value;
    return sum;
}
double Tally::earned() const {
    double sum = 0;
    for (const RequestClassStats& requestClass : requestClasses) sum += requestClass.earned;
    return sum;
}
LatencyHistogram Tally::completed() const {
    LatencyHistogram all;
    for (const RequestClassStats& requestClass : requestClasses) all.add(requestClass.fromSchedule);
    return all;
}

}  // namespace cottonwing::loadtest
