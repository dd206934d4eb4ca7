#include "loadtest/emulators/http_services.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace cottonwing::loadtest {

using namespace std::chrono_literals;

namespace {
constexpr Duration kWatch = 20ms;
}

RecordsService::RecordsService(net::Loop& loop, const std::vector<net::Address>& each,
                               const RecordsTerms& terms, InvariantChecker& checker)
    : loop_(loop),
      each_(each),
      terms_(terms),
      checker_(checker),
      chance_(static_cast<std::mt19937::result_type>(terms.seed)),
      shares_(each.size()),
      held_(each.size()),
      pace_(loop, [this] { pump(); }) {
    listen();
    pace_.startAt(steadyNow() + kWatch);
}

RecordsService::~RecordsService() {
    // Connections that end now must find nothing to tell.
    open_.clear(), byRequest_.clear(), waiting_.clear(), due_.clear();
}

void RecordsService::listen() {
    for (std::size_t instance = 0; instance < each_.size(); ++instance)
        doors_.push_back(std::make_unique<HttpDoor>(
            loop_, each_[instance],
            [this, instance](const auto& visitor, HttpDoor::Request&& request) {
                ask(instance, visitor, std::move(request));
            },
            [this](HttpDoor::Visitor& visitor) { left(visitor); }));
}

void RecordsService::down(bool yes) {
    if (std::exchange(down_, yes) == yes) return;
    if (!yes) return listen();
    doors_.clear();
    for (const auto& [number, call] : open_) --held_[call.instance];
    open_.clear(), byRequest_.clear(), waiting_.clear(), due_.clear();
    serving_ = 0;
}

void RecordsService::ask(std::size_t instance, const std::shared_ptr<HttpDoor::Visitor>& visitor,
                         HttpDoor::Request&& request) {
    ++calls_;
    char of[17] = "";
    long long micros = 0;
    if (request.method != "POST" || request.path != "/records/op" ||
        std::sscanf(request.body.c_str(), "call %16s %lld", of, &micros) != 2)
        return visitor->reply(HttpDoor::reply(500, "this is no call"));
    checker_.calling(instance, of);
    if (waiting_.size() >= static_cast<std::size_t>(terms_.line)) {
        ++turnedAway_;
        checker_.callEnded(of, true);
        return visitor->reply(HttpDoor::reply(503, "", "Op-Not-Begun: 1\r\n"));
    }
    // A second call for a request gives up the first.
    if (const auto before = byRequest_.find(of); before != byRequest_.end()) drop(before->second);
    const std::uint64_t number = next_++;
    Call& call = open_[number];
    call.visitor = visitor;
    call.instance = instance;
    call.of = of;
    call.seconds = static_cast<double>(micros) / 1e6;
    std::uniform_real_distribution<double> unit(0, 1);
    call.hangs = unit(chance_) < hangs_;
    byRequest_[of] = number;
    visitor->asking = number;
    ++held_[instance];
    waiting_.push_back(number);
    serveNext(steadyNow());
}

void RecordsService::left(HttpDoor::Visitor& visitor) {
    const auto at = open_.find(std::exchange(visitor.asking, 0));
    if (at == open_.end() || at->second.abandoned) return;
    // An abandoned call is in its hands for a while yet.
    at->second.abandoned = true;
    due_.emplace(steadyNow() + terms_.linger, at->first);
    if (!at->second.serving) std::erase(waiting_, at->first);
    pace_.startAt(due_.begin()->first);
}

void RecordsService::drop(std::uint64_t number) {
    const auto at = open_.find(number);
    if (at == open_.end()) return;
    if (at->second.serving) --serving_;
    std::erase(waiting_, number);
    --held_[at->second.instance];
    const auto named = byRequest_.find(at->second.of);
    if (named != byRequest_.end() && named->second == number) byRequest_.erase(named);
    open_.erase(at);
}

void RecordsService::serveNext(Duration now) {
    while (!waiting_.empty() && serving_ < terms_.slots) {
        const std::uint64_t number = waiting_.front();
        waiting_.pop_front();
        Call& call = open_.at(number);
        call.serving = true;
        ++serving_;
        const double crowd = static_cast<double>(waiting_.size()) / std::max(1, terms_.line);
        const double seconds = call.seconds * slow_ * (1 + terms_.crowdSlows * crowd);
        if (!call.hangs) due_.emplace(now + Duration(static_cast<std::int64_t>(seconds * 1e9)), number);
    }
    if (!due_.empty()) pace_.startAt(std::min(lookAt_, due_.begin()->first));
}

void RecordsService::end(std::uint64_t number, Duration now) {
    const auto at = open_.find(number);
    if (at == open_.end()) return;
    const Call call = at->second;
    drop(number);
    if (const auto visitor = call.visitor.lock(); visitor && !call.abandoned) {
        visitor->asking = 0;
        std::uniform_real_distribution<double> unit(0, 1);
        if (unit(chance_) < spoils_)
            visitor->reply("HTTP/1.1 2oo WHAT\r\n\r\n");
        else
            visitor->reply(HttpDoor::reply(200, "re " + call.of));
    }
    serveNext(now);
}

void RecordsService::pump() {
    const Duration now = steadyNow();
    while (!due_.empty() && due_.begin()->first <= now) {
        const std::uint64_t number = due_.begin()->second;
        due_.erase(due_.begin());
        end(number, now);
    }
    watch(now);
    pace_.startAt(due_.empty() ? lookAt_ : std::min(lookAt_, due_.begin()->first));
}

void RecordsService::watch(Duration now) {
    if (now < lookAt_) return;
    lookAt_ = now + kWatch;
    if (upAt_ > 0ns && now >= upAt_) {
        upAt_ = 0ns;
        down(false);
    }
    for (std::size_t instance = 0; instance < shares_.size(); ++instance) {
        Share& share = shares_[instance];
        share.samples.emplace_back(now, held_[instance]);
        share.sum += held_[instance];
        while (share.samples.front().first < now - terms_.callsOver) {
            share.sum -= share.samples.front().second;
            share.samples.pop_front();
        }
        // The mean of the whole window, also where less of it has been seen: what
        // came before was nothing.
        const double mean =
            share.sum * static_cast<double>(kWatch.count()) / static_cast<double>(terms_.callsOver.count());
        share.most = std::max(share.most, mean);
        if (mean > terms_.share && !std::exchange(share.broken, true))
            checker_.fellOver(instance, "a mean of " + std::to_string(mean) + " calls in the records' hands");
    }
    const double all = static_cast<double>(open_.size());
    all_.emplace_back(now, all);
    allSum_ += all;
    while (all_.front().first < now - terms_.fallOver) allSum_ -= all_.front().second, all_.pop_front();
    const double mean =
        allSum_ * static_cast<double>(kWatch.count()) / static_cast<double>(terms_.fallOver.count());
    if (terms_.fallsAt > 0 && mean > terms_.fallsAt && !down_) {
        ++fallen_;
        all_.clear();
        allSum_ = 0;
        upAt_ = now + terms_.downFor;
        down(true);
    }
}

RegistryService::RegistryService(net::Loop& loop, const net::Address& at, Duration late)
    : late_(late),
      pace_(loop,
            [this] {
                const Duration now = steadyNow();
                while (!owed_.empty() && owed_.begin()->first <= now) {
                    if (const auto visitor = owed_.begin()->second.lock())
                        visitor->reply(HttpDoor::reply(204, ""));
                    owed_.erase(owed_.begin());
                }
                if (!owed_.empty()) pace_.startAt(owed_.begin()->first);
            }),
      door_(
          loop, at,
          [this](const std::shared_ptr<HttpDoor::Visitor>& visitor, HttpDoor::Request&& request) {
              if (silent_) return;
              constexpr std::string_view kPath = "/v1/instances/";
              if (request.method != "PUT" || !request.path.starts_with(kPath))
                  return visitor->reply(HttpDoor::reply(404, ""));
              ++reports_;
              const bool draining = request.body.find("draining") != request.body.npos;
              states_[request.path.substr(kPath.size())] = draining ? "draining" : "ready";
              owed_.emplace(steadyNow() + late_, visitor);
              pace_.startAt(owed_.begin()->first);
          },
          [](HttpDoor::Visitor&) {}) {}

std::string RegistryService::state(const std::string& name) const {
    const auto found = states_.find(name);
    return found == states_.end() ? "" : found->second;
}

}  // namespace cottonwing::loadtest
