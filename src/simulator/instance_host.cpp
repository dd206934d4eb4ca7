#include "simulator/instance_host.h"

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <vector>

#include "config/controller_config.h"
#include "overload/overload_controller.h"

namespace cottonwing::simulator {

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
        throw MalformedBatch("line " + std::to_string(number_) + ": " + std::string(parts_[0]) + ": field '" +
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
    Duration micros(std::size_t at, std::string_view field) const {
        const auto value = number<std::int64_t>(at, field);
        if (value < 0 || value > INT64_MAX / 1000) complain(field, "out of range");
        return std::chrono::microseconds(value);
    }
    RequestId id(std::size_t at, std::string_view field) const { return number<std::uint64_t>(at, field); }
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
    static const std::map<std::string_view, Outcome> kNames = {{"ok", Outcome::Ok},
                                                               {"error", Outcome::Error},
                                                               {"full", Outcome::ResourceExhausted},
                                                               {"timeout", Outcome::TimedOut},
                                                               {"reset", Outcome::ConnectionLost},
                                                               {"connect_failed", Outcome::Unreachable},
                                                               {"moot", Outcome::Superseded},
                                                               {"cancelled", Outcome::Cancelled}};
    const auto found = kNames.find(name);
    if (found == kNames.end()) line.complain("status", "unknown outcome");
    return found->second;
}

// Encodes each decision of one instance as a line, in the order written.
class Lines : public DecisionSink {
public:
    Lines(int instance, std::string& out) : instance_(std::to_string(instance)), out_(out) {}
    void startRun(RequestId id) override { write("START", id); }
    void reject(RequestId id, const Pushback& pushback) override {
        write("DENY", id, micros(pushback.retryAfter), pushback.retryElsewhere ? "0" : "1");
    }
    void fail(RequestId id) override { write("FAIL", id); }
    void cancelRun(RequestId id) override { write("SUSPEND", id); }
    // 0 would mean the profile's whole hard stop
    void callDependency(RequestId id, Duration patience) override {
        write("REACH_OUT", id, micros(std::max(patience, Duration(1us))));
    }
    void skipDependencyCall(RequestId id) override { write("GO_ON", id); }
    void retainKey(RequestId id, Duration lifetime) override { write("RETAIN", id, micros(lifetime)); }
    void releaseKey(RequestId id) override { write("DROP_KEY", id); }
    void joinDuplicate(RequestId id) override { write("ECHO", id); }
    void setHealth(bool good) override { write("REPORT_HEALTH", "1", good ? "1" : "0"); }
    void advertiseLoadShare(double value) override {
        char text[32];
        const auto end = std::to_chars(text, text + sizeof text, value, std::chars_format::fixed, 4).ptr;
        write("ANNOUNCE", std::string_view(text, static_cast<std::size_t>(end - text)));
    }
    void closeIdleConnections(Duration unusedFor) override { write("IDLE", micros(unusedFor)); }
    void scheduleTick(Duration wait) override { write("SET_ALARM", micros(wait), "wake"); }
    void log(std::string_view line) override { write("DEBUG", line); }
    void bug(std::string_view what) { write("BUG", what); }

private:
    // Cut to whole microseconds: a wait or a patience never ends later than decided.
    static std::uint64_t micros(Duration value) {
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

struct InstanceHost::Instance {
    config::NameTables names;
    std::unique_ptr<OverloadController> controller;
    EventBatch round;
    bool hasFacts = false;
};

namespace {

Request readCommand(const Line& line, const config::NameTables& names) {
    line.expect(13);
    Request command;
    command.id = line.id(2, "req");
    const auto profile = names.requestClasses.find(line.text(3));
    if (profile == names.requestClasses.end()) line.complain("service", "unknown profile");
    command.requestClass = profile->second;
    if (!line.absent(4) && line.text(4) != "0") {
        const auto customer = names.tenants.find(line.text(4));
        if (customer == names.tenants.end()) line.complain("realm", "unknown customer");
        command.tenant = customer->second;
    }
    if (!line.absent(5)) line.id(5, "object");
    if (!line.absent(6) && line.micros(6, "give_up_at_us") > 0ns)
        command.deadline = line.micros(6, "give_up_at_us");
    const auto bits = line.number<unsigned>(10, "bitmap");
    if (!line.absent(7)) {
        const Duration work = line.micros(7, "work_us");
        if ((bits & 1U) != 0) command.expectedWork = work;
    }
    command.memoryKb = line.number<double>(8, "held_kb");
    if (command.memoryKb < 0) line.complain("held_kb", "negative");
    if (!line.absent(9)) command.rank = line.number<double>(9, "precedence");
    command.isRetry = (bits & 2U) != 0;
    if (!line.absent(11)) line.id(11, "author");
    if (!line.absent(12)) command.queuedBeforeRead = line.micros(12, "backlog_time_us");
    if (!line.absent(13)) command.duplicateOf = line.id(13, "repeats");
    return command;
}

Completion readResult(const Line& line) {
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
        if (name == "core_use") gauges.coreUtilization = value;
        if (name == "on_cores") gauges.coreDemand = value;
        if (name == "heap_share") gauges.memoryUtilization = value;
        if (name == "links") gauges.openConnections = value;
    }
    return gauges;
}

}  // namespace

InstanceHost::InstanceHost() = default;
InstanceHost::~InstanceHost() = default;

bool InstanceHost::serve(std::istream& in, std::string& reply) {
    std::string text;
    if (!std::getline(in, text)) return false;
    ++line_;
    const Line clock(text, line_);
    if (clock.name() != "CLOCK") clock.complain("name", "a batch begins with CLOCK");
    clock.expect(1);
    const Duration now = clock.micros(1, "clock");
    std::set<int> touched;
    for (;;) {
        std::string eventText;
        if (!std::getline(in, eventText))
            throw MalformedBatch("line " + std::to_string(line_) + ": batch cut short");
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
                instance->controller =
                    makeOverloadController(config::readControllerConfig(all, seed, instance->names));
            } catch (const std::exception& error) {
                line.complain("settings", error.what());
            }
            instances_[line.instance()] = std::move(instance);
            touched.insert(line.instance());
        } else if (name == "INBOUND") {
            Instance& instance = known();
            instance.round.arrivals.push_back(readCommand(line, instance.names));
        } else if (name == "GONE") {
            line.expect(2);
            known().round.clientCancellations.push_back(line.id(2, "req"));
        } else if (name == "BLOCKED") {
            line.expect(2);
            known().round.waitingForDependency.push_back(line.id(2, "req"));
        } else if (name == "CALL_RESULT") {
            known().round.dependencyResults.push_back(readResult(line));
        } else if (name == "ENDED") {
            known().round.runResults.push_back(readResult(line));
        } else if (name == "BELL") {
            line.expect(3);
            known().round.gauges = readGauges(line);
        } else if (name == "LAME_DUCK") {
            line.expect(2);
            known().round.shutdownAt = line.micros(2, "give_up_at_us");
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
            instance.controller->decide(instance.round, out);
        } catch (const std::exception& error) {
            out.bug(error.what());
        }
        instance.round = EventBatch{};
    }
    reply += "READY\n";
    return true;
}

}  // namespace cottonwing::simulator
