#include "soak/http_peers.h"

#include <chrono>
#include <utility>

#include "net/clock.h"

namespace cottonwing::soak {

namespace {

using namespace std::chrono_literals;
using testing::FakeHttpServer;

// Identifies a connection of one of two servers; the connection may end before the reply is sent.
class ReplyAddress {
public:
    ReplyAddress(FakeHttpServer& first, FakeHttpServer& second, const net::Connection& on)
        : server_(first.server.numberOf(on) != 0 ? &first.server : &second.server),
          number_(server_->numberOf(on)) {}
    void send(const std::string& reply) const {
        if (net::Connection* const connection = server_->find(number_)) connection->send(reply);
    }

private:
    testing::FakeServer* server_;
    int number_;
};

}  // namespace

void TaskScheduler::runDue(Duration now) {
    while (!entries_.empty() && entries_.begin()->first <= now) {
        const auto task = std::move(entries_.begin()->second);
        entries_.erase(entries_.begin());
        task();
    }
}

DependencyPeer::DependencyPeer(net::Loop& loop, TaskScheduler& scheduler, RandomGenerator& random,
                               Recorder& recorder, bool hangs,
                               std::function<bool(const std::string&)> isBlocked,
                               std::function<int(const std::string&)> segmentOf)
    : scheduler_(scheduler),
      random_(random),
      recorder_(recorder),
      hangs_(hangs),
      isBlocked_(std::move(isBlocked)),
      segmentOf_(std::move(segmentOf)) {
    const auto answers = [this](net::Connection& on, const std::string& head, const std::string& body) {
        return answer(on, head, body);
    };
    first_ = std::make_unique<FakeHttpServer>(loop, answers);
    second_ = std::make_unique<FakeHttpServer>(loop, answers);
}

std::string DependencyPeer::answer(net::Connection& on, const std::string& head, const std::string& body) {
    const std::string id = FakeHttpServer::header(head, "Op-Of");
    if (!isBlocked_(id)) return FakeHttpServer::reply(409, "", "Op-Not-Begun: 1\r\n");
    if (random_.withPercent(4)) {
        recorder_.log("dependency", "rejects the call", id);
        return FakeHttpServer::reply(503, "", "Op-Not-Begun: 1\r\n");
    }
    recorder_.log("dependency", "begins the call", id);
    recorder_.observations.calls.push_back({id, segmentOf_(id), recorder_.currentIndex()});
    const Duration takes = random_.between(1ms, 25ms);
    if (hangs_ && random_.withPercent(8)) return "";
    if (random_.withPercent(3))
        replyLater(on, takes, FakeHttpServer::reply(500, "no"));
    else if (random_.withPercent(2))
        replyLater(on, takes, "HTTP/1.1 200 X\r\nContent-Le");  // truncated response
    else
        replyLater(on, takes, FakeHttpServer::reply(200, "re: " + body));
    return "";
}

void DependencyPeer::replyLater(net::Connection& on, Duration after, const std::string& reply) {
    scheduler_.schedule(net::unixNow() + after,
                        [to = ReplyAddress(*first_, *second_, on), reply] { to.send(reply); });
}

RegistryPeer::RegistryPeer(net::Loop& loop, TaskScheduler& scheduler, Recorder& recorder)
    : scheduler_(scheduler), recorder_(recorder) {
    const auto answers = [this](net::Connection& on, const std::string&, const std::string& body) {
        return answer(on, body);
    };
    first_ = std::make_unique<FakeHttpServer>(loop, answers);
    second_ = std::make_unique<FakeHttpServer>(loop, answers);
}

void RegistryPeer::behave(bool silent, Duration delay) {
    silent_ = silent;
    delay_ = delay;
}

std::string RegistryPeer::answer(net::Connection& on, const std::string& body) {
    const bool draining = body.find("draining") != body.npos;
    recorder_.observations.reports.push_back({recorder_.currentIndex(), net::unixNow(), draining});
    recorder_.log("registry", draining ? "reported draining" : "reported ready");
    if (silent_) return "";
    if (delay_ == 0ns) return FakeHttpServer::reply(204);
    scheduler_.schedule(net::unixNow() + delay_,
                        [to = ReplyAddress(*first_, *second_, on)] { to.send(FakeHttpServer::reply(204)); });
    return "";
}

}  // namespace cottonwing::soak
