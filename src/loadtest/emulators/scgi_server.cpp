#include "loadtest/emulators/scgi_server.h"

#include <cstdio>

namespace cottonwing::loadtest {

using namespace std::chrono_literals;

struct ScgiServer::Line : net::ConnectionHandler, std::enable_shared_from_this<ScgiServer::Line> {
    explicit Line(ScgiServer& theServer) : server(theServer), reader({65536, 1 << 20}) {}
    void arrived(net::Connection& from) override {
        const auto self = shared_from_this();
        if (server.terms_.fault == ScgiFault::Early && !std::exchange(early, true)) {
            server.answer(*this);
            return;
        }
        while (connection && !from.input().empty()) {
            const std::string_view piece = from.input().front();
            reader.read(piece);
            from.input().drop(piece.size());
            if (reader.state() == scgi::RequestReader::State::Malformed) return server.end(*this);
            if (reader.state() == scgi::RequestReader::State::Complete) return server.whole(*this);
        }
    }
    void ended(net::Connection&, net::ConnectionEnd) override {
        if (!answered) ++server.left_;
        server.end(*this);
    }
    ScgiServer& server;
    scgi::RequestReader reader;
    std::unique_ptr<net::Connection> connection;
    Duration takes{0};
    std::string trace;
    bool answered = false, serving = false, early = false, closes = false;
};

ScgiServer::ScgiServer(net::Loop& loop, const net::Address& at, ScgiServerTerms terms)
    : loop_(loop), host_(at.host), terms_(terms), pace_(loop, [this] { pump(); }) {
    listener_ = std::make_unique<net::Listener>(
        loop, at,
        [this](net::PendingConnection socket) {
            auto line = std::make_shared<Line>(*this);
            line->connection.reset(new net::Connection(loop_, socket, *line, {1 << 20, 1 << 20}));
            lines_.push_back(std::move(line));
        },
        [] { return false; });
}

ScgiServer::~ScgiServer() = default;

void ScgiServer::end(Line& line) {
    const auto self = line.shared_from_this();
    if (std::exchange(line.serving, false)) --serving_;
    if (endTold_ && !line.trace.empty()) endTold_(line.trace);
    if (line.connection) line.connection->tryFlush();
    line.connection.reset();
    lines_.remove(self);
    pace_.startAt(steadyNow());
}

void ScgiServer::whole(Line& line) {
    ++requests_;
    lastHeaders_ = line.reader.headers();
    lastBody_ = line.reader.body();
    // A body of the laboratory's says what its work is; another takes what is
    // usual here.
    char first[17] = "";
    long long work = 0;
    line.takes = terms_.takes;
    if (std::sscanf(lastBody_.c_str(), "cw1 %16s %lld", first, &work) == 2)
        line.takes = std::chrono::microseconds(work);
    if (const auto trace = scgi::findHeader(lastHeaders_, "HTTP_X_TRACE")) {
        line.trace = *trace;
        if (told_)
            told_(std::string(*trace), first);
        else
            ++runs_[std::string(*trace)];
    }
    if (terms_.fault == ScgiFault::Silent) return;
    if (terms_.fault == ScgiFault::Breaks) return end(line);
    if (terms_.fault == ScgiFault::FailsFast) return answer(line);
    waiting_.push_back(line.weak_from_this());
    pump();
}

void ScgiServer::pump() {
    const Duration now = steadyNow();
    while (!due_.empty() && due_.begin()->first <= now) {
        const auto line = due_.begin()->second.lock();
        due_.erase(due_.begin());
        if (line && line->connection) answer(*line);
    }
    while (!waiting_.empty() && serving_ < terms_.slots) {
        const auto line = waiting_.front().lock();
        waiting_.pop_front();
        if (!line || !line->connection) continue;
        line->serving = true;
        ++serving_;
        const double seconds = std::chrono::duration<double>(line->takes).count() * terms_.slow;
        workDone_ += seconds;
        if (seconds <= 0)
            answer(*line);
        else
            due_.emplace(now + Duration(static_cast<std::int64_t>(seconds * 1e9)), line);
    }
    // What has its answer is closed once the system has taken it.
    const auto all = std::vector<std::shared_ptr<Line>>(lines_.begin(), lines_.end());
    bool more = false;
    for (const auto& line : all) {
        if (!line->closes || !line->connection) continue;
        if (line->connection->output().empty())
            end(*line);
        else
            more = true;
    }
    if (more)
        pace_.startAt(now + 1ms);
    else if (!due_.empty())
        pace_.startAt(due_.begin()->first);
}

void ScgiServer::answer(Line& line) {
    line.answered = true;
    if (std::exchange(line.serving, false)) --serving_;
    const std::string body =
        "ok " + std::string(scgi::findHeader(line.reader.headers(), "HTTP_X_TRACE").value_or("nobody"));
    const std::string whole = scgi::writeReply(200, {{"Content-Type", "text/plain"}}, body);
    std::string bytes = whole;
    if (terms_.fault == ScgiFault::Half) bytes = whole.substr(0, whole.size() - body.size() / 2);
    if (terms_.fault == ScgiFault::Twice) bytes = whole + whole;
    if (terms_.fault == ScgiFault::BadStatus) bytes = "Status: fine\r\n\r\n" + body;
    if (terms_.fault == ScgiFault::TooMuch) bytes = whole + "more";
    if (terms_.fault == ScgiFault::FailsFast) bytes = scgi::writeReply(503, {}, "not now");
    line.connection->send(bytes);
    line.closes = true;
    pace_.startAt(steadyNow());
}

}  // namespace cottonwing::loadtest
