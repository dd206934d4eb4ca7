#include "telemetry/counters.h"

#include <array>

namespace cottonwing::telemetry {

namespace {

struct Description {
    const char* name;
    const char* meaning;
};

constexpr std::array kDescriptions = {
#define COTTONWING_DESCRIPTION(id, name, meaning) Description{name, meaning},
    COTTONWING_COUNTERS(COTTONWING_DESCRIPTION)
#undef COTTONWING_DESCRIPTION
};
static_assert(kDescriptions.size() == kCounters);

const Description& descriptionOf(Count count) { return kDescriptions.at(static_cast<std::size_t>(count)); }

}  // namespace

const char* nameOf(Count count) { return descriptionOf(count).name; }

const char* meaningOf(Count count) { return descriptionOf(count).meaning; }

void Counters::print(std::ostream& out) const {
    out << "counters:";
    for (std::size_t i = 0; i < counts_.size(); ++i)
        out << ' ' << nameOf(static_cast<Count>(i)) << '=' << counts_[i];
    for (std::size_t i = 0; i < ends_.size(); ++i)
        out << " end-" << net::nameOf(static_cast<net::ConnectionEnd>(i)) << '=' << ends_[i];
    out << std::endl;
}

}  // namespace cottonwing::telemetry
