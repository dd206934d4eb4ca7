#include "intake/sidecars.h"

#include <charconv>
#include <cmath>

namespace cottonwing::intake {

namespace {

using namespace std::chrono_literals;
using report::Count;

constexpr std::size_t kMostOpen = 32;  // commands on one connection
constexpr std::size_t kLongestBody = 2048;
constexpr net::Bounds kBounds = {32 << 10, 256 << 10};

template <typename T>
std::optional<T> number(const Fields& fields, std::string_view key) {
    const auto found = fields.find(key);
    if (found == fields.end()) return std::nullopt;
    T value{};
    const std::string& text = found->second;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
    if constexpr (std::is_floating_point_v<T>)
        if (!std::isfinite(value)) return std::nullopt;
    return value;
}

std::string text(double value) {
    char digits[32];
    const auto end = std::to_chars(digits, digits + sizeof digits, value, std::chars_format::fixed, 4).ptr;
    return {digits, end};
}

// What a command lacks, or nothing when it is whole.
std::string readCommand(const Message& message, const launch::Names& names, backend::Arrival& arrival) {
    if (!message.fields || !message.body) return "fields and body are needed";
    if (message.body->size() > kLongestBody) return "the body is longer than 2048 bytes";
    const Fields& fields = *message.fields;
    const auto given = [&](std::string_view key) {
        const auto found = fields.find(key);
        return found == fields.end() ? std::string_view() : std::string_view(found->second);
    };
    Command& command = arrival.command;
    const auto profile = names.profiles.find(given("route"));
    if (profile == names.profiles.end()) return "route: not a profile";
    command.profile = profile->second;
    if (!given("customer").empty()) {
        const auto customer = names.customers.find(given("customer"));
        if (customer == names.customers.end()) return "customer: not a customer";
        command.customer = customer->second;
    }
    const auto id = backend::readId(given("trace"));
    if (!id) return "trace: 16 hex digits were expected";
    const auto born = number<std::int64_t>(fields, "born"),
               patience = number<std::int64_t>(fields, "patience");
    constexpr std::int64_t kLatest = INT64_MAX / 4000000;
    if (!born || *born <= 0 || *born > kLatest) return "born: Unix milliseconds were expected";
    if (!patience || *patience < 0 || *patience > kLatest) return "patience: milliseconds were expected";
    const auto size = number<double>(fields, "size");
    if (!size || *size <= 0 || *size >= 2000) return "size: kilobytes were expected";
    if (!given("weight").empty()) {
        const auto weight = number<double>(fields, "weight");
        if (!weight || *weight < 0 || *weight > 1e9) return "weight: milliseconds were expected";
        command.work = Nanos(static_cast<std::int64_t>(*weight * 1e6));
    }
    if (!given("order").empty()) {
        const auto order = number<double>(fields, "order");
        if (!order) return "order: a number was expected";
        command.rank = *order;
    }
    command.id = *id;
    command.due = 1ms * (*born + *patience);
    command.waited = std::max(0ns, net::unixNow() - 1ms * *born);
    command.heldKb = *size;
    command.again = given("redo") == "1";
    arrival.name = given("trace");
    arrival.body = *message.body;
    return {};
}

}  // namespace

struct Sidecars::Line : private net::Owner {
    Line(Sidecars& theSidecars, uv_stream_t* listener)
        : sidecars(theSidecars), connection(theSidecars.loop_, listener, *this, kBounds) {}
    void arrived(net::Connection&) override { sidecars.read(*this); }
    void ended(net::Connection&, net::ConnectionEnd end) override { sidecars.end(*this, end); }

    Sidecars& sidecars;
    net::Connection connection;
    std::map<std::int32_t, CommandId> open;  // by sequence number
    Nanos used{0};
    bool sentAway = false;
    Lines::iterator place;
};

Sidecars::Sidecars(net::Loop& loop, const net::Address& at, std::size_t mostConnections, launch::Names names,
                   backend::Backend& backend, report::Log& log, report::Counters& counters)
    : loop_(loop),
      most_(mostConnections),
      names_(std::move(names)),
      backend_(backend),
      log_(log),
      counters_(counters),
      sweep_(loop, [this] { closeUnused(); }),
      listener_(std::make_unique<net::Listener>(
          loop, at, [this](uv_stream_t* listener) { accept(listener); },
          [this] { return lines_.size() >= most_; })) {}

Sidecars::~Sidecars() = default;

void Sidecars::accept(uv_stream_t* listener) {
    lines_.push_back(std::make_shared<Line>(*this, listener));
    Line& line = *lines_.back();
    line.place = std::prev(lines_.end());
    line.used = net::unixNow();
    counters_.add(Count::SidecarsOpened);
}

void Sidecars::touch(Line& line) {
    line.used = net::unixNow();
    lines_.splice(lines_.end(), lines_, line.place);
}

void Sidecars::read(Line& line) {
    touch(line);
    net::Ring& input = line.connection.input();
    for (;;) {
        std::size_t length = 0;
        const FrameState state = lookForFrame(input, length);
        if (state == FrameState::Partial) return;
        std::optional<Message> message;
        if (state == FrameState::Whole) {
            message = readMessage(input.peek(4 + length, scratch_).substr(4));
            input.drop(4 + length);
        }
        if (!message || !take(line, *message)) {
            counters_.add(Count::BadFrames);
            log_.warn("sidecar",
                      state == FrameState::TooLong ? "a frame is too long" : "a frame is malformed");
            return end(line, state == FrameState::TooLong ? net::ConnectionEnd::TooLong
                                                          : net::ConnectionEnd::Malformed);
        }
    }
}

// False when the connection can't go on.
bool Sidecars::take(Line& line, const Message& message) {
    switch (message.method) {
        case Method::Serve:
            if (message.oneway || line.open.contains(message.sequence) || line.open.size() >= kMostOpen)
                return false;
            takeCommand(line, message);
            return true;
        case Method::Forget: {
            counters_.add(Count::Forgotten);
            const auto open = line.open.find(message.forgotten.value_or(0));
            if (open == line.open.end()) return true;  // answered already
            const CommandId id = open->second;
            line.open.erase(open);
            places_.erase(id);
            backend_.callerLeft(id);
            return true;
        }
        case Method::IsWell:
            counters_.add(Count::HealthChecks);
            if (message.oneway || !message.thorough) {
                if (!message.oneway) tellHealth(line, message.sequence, backend_.well());
                return true;
            }
            // The connection may end before the work does.
            backend_.checkWork(
                [this, asked = std::weak_ptr(*line.place), sequence = message.sequence](bool good) {
                    if (const auto still = asked.lock()) tellHealth(*still, sequence, good);
                });
            return true;
        case Method::Unknown:
            if (!message.oneway) refuse(line, message, Refusal::UnknownMethod, "no such method");
            return true;
    }
    return false;
}

void Sidecars::takeCommand(Line& line, const Message& message) {
    backend::Arrival arrival;
    std::string why = readCommand(message, names_, arrival);
    if (why.empty() && backend_.has(arrival.command.id)) why = "trace: in hand already";
    if (!why.empty()) return refuse(line, message, Refusal::Internal, why);
    line.open.emplace(message.sequence, arrival.command.id);
    places_[arrival.command.id] = {&line, message.sequence};
    backend_.take(std::move(arrival));
}

void Sidecars::refuse(Line& line, const Message& message, Refusal kind, const std::string& why) {
    counters_.add(Count::CommandsRefused);
    log_.warn("sidecar", message.name.substr(0, 40) + " refused: " + why);
    write(line, writeRefusal(message.name, message.sequence, kind, why));
}

void Sidecars::tellHealth(Line& line, std::int32_t sequence, bool good) {
    write(line, writeAnswer("isWell", sequence, {}, advice(), good));
}

Fields Sidecars::advice() const {
    Fields fields;
    if (const auto value = backend_.freeValue()) fields.emplace("advice", text(*value));
    return fields;
}

void Sidecars::handled(CommandId id, std::string_view result) {
    answer(id, [&](std::int32_t sequence) { return writeAnswer("serve", sequence, result, advice(), true); });
}

void Sidecars::bounced(CommandId id, Nanos comeBack, bool nowhereElse) {
    Fields fields = advice();
    if (comeBack >= 1ms) fields.emplace("pause", std::to_string(comeBack / 1ms));
    if (nowhereElse) fields.emplace("terminal", "1");
    answer(id, [&](std::int32_t sequence) { return writeBusy(sequence, fields); });
}

void Sidecars::scrapped(CommandId id) {
    answer(id, [&](std::int32_t sequence) { return writeFailed(sequence, advice()); });
}

// The one place where a command's place is freed by an answer.
void Sidecars::answer(CommandId id, const std::function<std::string(std::int32_t)>& frame) {
    const auto place = places_.find(id);
    if (place == places_.end()) return;
    const auto [line, sequence] = place->second;
    places_.erase(place);
    line->open.erase(sequence);
    write(*line, frame(sequence));
}

void Sidecars::write(Line& line, const std::string& frame) {
    touch(line);
    line.connection.send(frame);
}

void Sidecars::end(Line& line, net::ConnectionEnd end) {
    counters_.addEnd(end);
    log_.debug("sidecar", std::string("connection ended: ") + net::nameOf(end));
    const auto open = std::move(line.open);
    for (const auto& [sequence, id] : open) {
        places_.erase(id);
        backend_.callerLeft(id);
    }
    lines_.erase(line.place);
    if (listener_) listener_->resume();
}

void Sidecars::closeIdle(Nanos unusedFor) {
    idle_ = unusedFor;
    closeUnused();
}

// Sent away rather than closed: a command that crosses is still served.
void Sidecars::closeUnused() {
    const Nanos now = net::unixNow();
    while (idle_ > 0ns && !lines_.empty() && now - lines_.front()->used >= idle_) {
        Line& line = *lines_.front();
        touch(line);
        if (!line.open.empty() || line.sentAway) continue;
        line.sentAway = true;
        write(line, writeGoaway());
    }
    if (idle_ > 0ns && !lines_.empty())
        sweep_.start(std::max<Nanos>(lines_.front()->used + idle_ - now, 10ms));
    else if (idle_ > 0ns)
        sweep_.start(idle_);
}

void Sidecars::sendAway() {
    listener_.reset();
    for (const auto& line : lines_) {
        if (line->sentAway) continue;
        line->sentAway = true;
        line->connection.send(writeGoaway());
    }
}

}  // namespace cottonwing::intake
