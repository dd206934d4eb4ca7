#include "wire/wire.h"

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <vector>

#include "launch/terms.h"

namespace cottonwing::wire {

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

// The parts of one line; every complaint names the line and the field.
class Line {
public:
    Line(std::string_view text, std::size_t number) : text_(text), number_(number) {
        std::size_t from = 0;
        for (;;) {
            const std::size_t to = text.find(' ', from);
            parts_.push_back(text.substr(from, to == text.npos ? text.npos : to - from));
            starts_.push_back(from);
            if (to == text.npos) break;
            from = to + 1;
        }
    }

    [[noreturn]] void complain(std::string_view field, std::string_view what) const {
        throw Malformed("line " + std::to_string(number_) + ": " + std::string(parts_[0]) + ": field '" +
                        std::string(field) + "': " + std::string(what));
    }
    std::string_view name() const { return parts_[0]; }
    void expect(std::size_t fields) const {
        if (parts_.size() != fields + 1)
            complain("count", "expected " + std::to_string(fields) + " fields, found " +
                                  std::to_string(parts_.size() - 1));
    }
    bool absent(std::size_t at) const { return parts_[at] == "-"; }
    std::string_view text(std::size_t at) const { return parts_[at]; }
    std::string_view rest(std::size_t at, std::string_view field) const {
        if (at >= parts_.size()) complain(field, "missing");
        return text_.substr(starts_[at]);
    }
    template <typename T>
    T number(std::size_t at, std::string_view field) const {
        if (at >= parts_.size()) complain(field, "missing");
        T value{};
        const std::string_view part = parts_[at];
        const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), value);
        if (error != std::errc() || end != part.data() + part.size()) complain(field, "not a number");
        if constexpr (std::is_floating_point_v<T>) {
            if (!std::isfinite(value)) complain(field, "not finite");
        }
        return value;
    }
    Nanos micros(std::size_t at, std::string_view field) const {
        const auto value = number<std::int64_t>(at, field);
        if (value < 0 || value > INT64_MAX / 1000) complain(field, "out of range");
        return std::chrono::microseconds(value);
    }
    CommandId id(std::size_t at, std::string_view field) const { return number<std::uint64_t>(at, field); }
    int instance() const {
        const int i = number<int>(1, "i");
        if (i < 0) complain("i", "negative");
        return i;
    }

private:
    std::string_view text_;
    std::size_t number_;
    std::vector<std::string_view> parts_;
    std::vector<std::size_t> starts_;
};

Outcome outcomeNamed(const Line& line, std::string_view name) {
    static const std::map<std::string_view, Outcome> kNames = {
        {"ok", Outcome::Ok},        {"error", Outcome::Error},
        {"full", Outcome::Full},    {"timeout", Outcome::TimedOut},
        {"reset", Outcome::Broken}, {"connect_failed", Outcome::Unreachable},
        {"moot", Outcome::Moot},    {"cancelled", Outcome::Cancelled}};
    const auto found = kNames.find(name);
    if (found == kNames.end()) line.complain("status", "unknown outcome");
    return found->second;
}

// Encodes each decision of one instance as a line, in the order written.
class Lines : public DecisionWriter {
public:
    Lines(int instance, std::string& out) : instance_(std::to_string(instance)), out_(out) {}
    void start(CommandId id) override { write("START", id); }
    void bounce(CommandId id, Nanos comeBack, bool nowhereElse) override {
        write("DENY", id, micros(comeBack), nowhereElse ? "1" : "0");
    }
    void scrap(CommandId id) override { write("FAIL", id); }
    void halt(CommandId id) override { write("SUSPEND", id); }
    // 0 would mean the profile's whole hard stop
    void call(CommandId id, Nanos patience) override {
        write("REACH_OUT", id, micros(std::max(patience, Nanos(1us))));
    }
    void leaveOut(CommandId id) override { write("GO_ON", id); }
    void keep(CommandId id, Nanos lifetime) override { write("RETAIN", id, micros(lifetime)); }
    void forget(CommandId id) override { write("DROP_KEY", id); }
    void join(CommandId id) override { write("ECHO", id); }
    void health(bool good) override { write("REPORT_HEALTH", "1", good ? "1" : "0"); }
    void freeValue(double value) override {
        char text[32];
        const auto end = std::to_chars(text, text + sizeof text, value, std::chars_format::fixed, 4).ptr;
        write("ANNOUNCE", std::string_view(text, static_cast<std::size_t>(end - text)));
    }
    void closeIdle(Nanos unusedFor) override { write("IDLE", micros(unusedFor)); }
    void wakeAfter(Nanos wait) override { write("SET_ALARM", micros(wait), "wake"); }
    void log(std::string_view line) override { write("DEBUG", line); }
    void bug(std::string_view what) { write("BUG", what); }

private:
    // Cut to whole microseconds: a wait or a patience never ends later than decided.
    static std::uint64_t micros(Nanos value) {
        return static_cast<std::uint64_t>(std::max<std::int64_t>(value.count() / 1000, 0));
    }
    void put(std::string_view text) { out_.append(" ").append(text); }
    void put(std::uint64_t number) { put(std::string_view(std::to_string(number))); }
    template <typename... Parts>
    void write(std::string_view name, Parts... parts) {
        out_.append(name).append(" ").append(instance_);
        (put(parts), ...);
        out_.append("\n");
    }

    std::string instance_;
    std::string& out_;
};

}  // namespace

struct Host::Instance {
    launch::Names names;
    std::unique_ptr<Decider> decider;
    Round round;
    bool hasFacts = false;
};

namespace {

Command readCommand(const Line& line, const launch::Names& names) {
    line.expect(13);
    Command command;
    command.id = line.id(2, "req");
    const auto profile = names.profiles.find(line.text(3));
    if (profile == names.profiles.end()) line.complain("service", "unknown profile");
    command.profile = profile->second;
    if (!line.absent(4) && line.text(4) != "0") {
        const auto customer = names.customers.find(line.text(4));
        if (customer == names.customers.end()) line.complain("realm", "unknown customer");
        command.customer = customer->second;
    }
    if (!line.absent(5)) line.id(5, "object");
    if (!line.absent(6) && line.micros(6, "give_up_at_us") > 0ns)
        command.due = line.micros(6, "give_up_at_us");
    const auto bits = line.number<unsigned>(10, "bitmap");
    if (!line.absent(7)) {
        const Nanos work = line.micros(7, "work_us");
        if ((bits & 1U) != 0) command.work = work;
    }
    command.heldKb = line.number<double>(8, "held_kb");
    if (command.heldKb < 0) line.complain("held_kb", "negative");
    if (!line.absent(9)) command.rank = line.number<double>(9, "precedence");
    command.again = (bits & 2U) != 0;
    if (!line.absent(11)) line.id(11, "author");
    if (!line.absent(12)) command.waited = line.micros(12, "backlog_time_us");
    if (!line.absent(13)) command.repeats = line.id(13, "repeats");
    return command;
}

Result readResult(const Line& line) {
    line.expect(4);
    return {line.id(2, "req"), outcomeNamed(line, line.text(3)),
            line.absent(4) ? 0ns : line.micros(4, "lag_us")};
}

Gauges readGauges(const Line& line) {
    Gauges gauges;
    if (line.absent(3)) return gauges;
    std::string_view all = line.text(3);
    while (!all.empty()) {
        const std::string_view pair = all.substr(0, all.find(','));
        all.remove_prefix(std::min(all.size(), pair.size() + 1));
        const std::size_t colon = pair.find(':');
        double value = 0;
        const auto [end, error] = std::from_chars(pair.data() + std::min(colon, pair.size() - 1) + 1,
                                                  pair.data() + pair.size(), value);
        if (colon == pair.npos || error != std::errc() || end != pair.data() + pair.size() ||
            !std::isfinite(value))
            line.complain("health_info", "not a list of name:number");
        const std::string_view name = pair.substr(0, colon);
        if (name == "core_use") gauges.coreUse = value;
        if (name == "on_cores") gauges.onCores = value;
        if (name == "heap_share") gauges.memoryShare = value;
        if (name == "links") gauges.connections = value;
    }
    return gauges;
}

}  // namespace

Host::Host() = default;
Host::~Host() = default;

bool Host::serve(std::istream& in, std::string& reply) {
    std::string text;
    if (!std::getline(in, text)) return false;
    ++line_;
    const Line clock(text, line_);
    if (clock.name() != "CLOCK") clock.complain("name", "a batch begins with CLOCK");
    clock.expect(1);
    const Nanos now = clock.micros(1, "clock");
    std::set<int> touched;
    for (;;) {
        std::string eventText;
        if (!std::getline(in, eventText))
            throw Malformed("line " + std::to_string(line_) + ": batch cut short");
        ++line_;
        const Line line(eventText, line_);
        const std::string_view name = line.name();
        if (name == "YOUR_TURN") {
            line.expect(0);
            break;
        }
        const auto known = [&]() -> Instance& {
            const auto found = instances_.find(line.instance());
            if (found == instances_.end()) line.complain("i", "unknown instance");
            touched.insert(line.instance());
            return *found->second;
        };
        if (name == "HELLO") {
            const std::uint64_t seed = line.id(2, "rng_seed");
            auto instance = std::make_unique<Instance>();
            try {
                const Json all = Json::parse(line.rest(3, "settings"));
                instance->decider = makeDecider(launch::readTerms(all, seed, instance->names));
            } catch (const std::exception& error) {
                line.complain("settings", error.what());
            }
            instances_[line.instance()] = std::move(instance);
            touched.insert(line.instance());
        } else if (name == "INBOUND") {
            Instance& instance = known();
            instance.round.read.push_back(readCommand(line, instance.names));
        } else if (name == "GONE") {
            line.expect(2);
            known().round.callersLeft.push_back(line.id(2, "req"));
        } else if (name == "BLOCKED") {
            line.expect(2);
            known().round.parked.push_back(line.id(2, "req"));
        } else if (name == "CALL_RESULT") {
            known().round.callsBack.push_back(readResult(line));
        } else if (name == "ENDED") {
            known().round.runsEnded.push_back(readResult(line));
        } else if (name == "BELL") {
            line.expect(3);
            known().round.gauges = readGauges(line);
        } else if (name == "LAME_DUCK") {
            line.expect(2);
            known().round.stopAt = line.micros(2, "give_up_at_us");
        } else if (name == "RETIRE") {
            line.expect(1);
            known();
            instances_.erase(line.instance());
            touched.erase(line.instance());
        } else {
            line.complain("name", "unknown message");
        }
    }
    for (const int number : touched) {
        Instance& instance = *instances_.at(number);
        Lines out(number, reply);
        instance.round.now = now;
        try {
            instance.decider->decide(instance.round, out);
        } catch (const std::exception& error) {
            out.bug(error.what());
        }
        instance.round = Round{};
    }
    reply += "READY\n";
    return true;
}

}  // namespace cottonwing::wire
