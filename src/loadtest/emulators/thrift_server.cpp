#include "loadtest/emulators/thrift_server.h"

#include <algorithm>

namespace cottonwing::loadtest {

using namespace std::chrono_literals;

struct Answering::Line : net::ConnectionHandler, std::enable_shared_from_this<Answering::Line> {
    explicit Line(Answering& all) : owner(all) {}
    void arrived(net::Connection&) override {
        // One that is deaf or stalled lets its rings fill, then the system's
        // buffers, as a stopped process does.
        if (!owner.terms_.deaf && !owner.stalled(steadyNow())) read();
    }
    void read() {
        const auto self = shared_from_this();
        std::size_t length = 0;
        while (connection && thrift::peekFrame(connection->input(), length) == thrift::FrameState::Complete) {
            const auto message = thrift::readMessage(connection->input().peek(4 + length, scratch).substr(4));
            connection->input().drop(4 + length);
            if (!message) return owner.end(*this);
            owner.hear(*this, *message);
        }
    }
    void ended(net::Connection&, net::ConnectionEnd) override { owner.end(*this); }

    Answering& owner;
    std::unique_ptr<net::Connection> connection;
    std::string scratch;
    int requests = 0;
};

Answering::Answering(net::Loop& loop, const net::Address& at, AnsweringTerms terms)
    : loop_(loop), terms_(terms), host_(at.host), start_(steadyNow()), pace_(loop, [this] { pump(); }) {
    listener_ = std::make_unique<net::Listener>(
        loop, at, [this](net::PendingConnection socket) { accept(socket); }, [] { return false; });
    if (terms_.stallAt >= 0ns) pace_.startAt(start_ + terms_.stallAt + terms_.stallFor);
}

Answering::~Answering() = default;

bool Answering::stalled(Duration now) const {
    return terms_.stallAt >= 0ns && now >= start_ + terms_.stallAt &&
           now < start_ + terms_.stallAt + terms_.stallFor;
}

void Answering::accept(net::PendingConnection socket) {
    auto line = std::make_shared<Line>(*this);
    line->connection.reset(
        new net::Connection(loop_, socket, *line, {terms_.deaf ? 4096U : 1U << 20, 1U << 20}));
    lines_.push_back(std::move(line));
}

void Answering::end(Line& line) {
    const auto self = line.shared_from_this();
    line.connection.reset();
    lines_.remove(self);
}

void Answering::hear(Line& line, const thrift::Message& message) {
    if (message.method == thrift::Method::HealthCheck)
        return line.connection->send(thrift::writeAnswer("isWell", message.sequence, {}, {}, true));
    if (message.method == thrift::Method::Cancel) ++forgets_;
    if (message.method != thrift::Method::Serve || !message.fields) return;
    ++trackedRequests_;
    const auto found = message.fields->find("trace");
    const std::string trace = found == message.fields->end() ? std::string() : found->second;
    if (terms_.keepsBook) book_[trace].received = steadyNow();
    if (terms_.goawayEvery > 0 && ++line.requests == terms_.goawayEvery)
        line.connection->send(thrift::writeGoaway());
    if (terms_.silent) return;
    if (terms_.takes == 0ns) return answer(line, message.sequence, trace);
    owed_.emplace(steadyNow() + terms_.takes, Owed{line.weak_from_this(), message.sequence, trace});
    pace_.startAt(owed_.begin()->first);
}

void Answering::pump() {
    const Duration now = steadyNow();
    if (stalled(now)) return pace_.startAt(start_ + terms_.stallAt + terms_.stallFor);
    const auto all = std::vector<std::shared_ptr<Line>>(lines_.begin(), lines_.end());
    // What came while it stood is read now; else it has been read as it came.
    if (terms_.stallAt >= 0ns && !terms_.deaf)
        for (const auto& line : all) line->read();
    while (!owed_.empty() && owed_.begin()->first <= now) {
        const Owed owed = owed_.begin()->second;
        owed_.erase(owed_.begin());
        const auto line = owed.line.lock();
        if (line && line->connection) answer(*line, owed.sequence, owed.trace);
    }
    if (!owed_.empty()) pace_.startAt(owed_.begin()->first);
}

void Answering::answer(Line& line, std::int32_t sequence, const std::string& trace) {
    const auto each = [this](int every) {
        return every > 0 && answers_ % static_cast<std::uint64_t>(every) == 0;
    };
    ++answers_;
    if (terms_.keepsBook) book_[trace].sent = steadyNow();
    if (each(terms_.busyEvery)) return line.connection->send(thrift::writeBusy(sequence, {{"pause", "20"}}));
    if (each(terms_.failedEvery)) return line.connection->send(thrift::writeFailed(sequence, {}));
    const std::string frame = thrift::writeAnswer(
        "serve", sequence, each(terms_.wrongEvery) ? "ok 0000000000000000" : "ok " + trace, {}, true);
    if (each(terms_.resetEvery)) {
        line.connection->send(frame.substr(0, frame.size() / 2));
        line.connection->tryFlush();
        return end(line);
    }
    line.connection->send(frame);
    if (each(terms_.twiceEvery)) line.connection->send(frame);
    if (each(terms_.toNothingEvery))
        line.connection->send(thrift::writeAnswer("serve", sequence + 100000, "ok " + trace, {}, true));
}

}  // namespace cottonwing::loadtest
