#include "loadtest/emulators/http_services.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace cottonwing::loadtest {

using namespace std::chrono_literals;

namespace {
constexpr Duration kSampleInterval = 20ms;
}

DependencyService::DependencyService(net::Loop& loop, const std::vector<net::Address>& addresses,
                                     const DependencyConfig& config, InvariantChecker& checker)
    : loop_(loop),
      addresses_(addresses),
      config_(config),
      checker_(checker),
      random_(static_cast<std::mt19937::result_type>(config.seed)),
      instanceLoads_(addresses.size()),
      callsByInstance_(addresses.size()),
      timer_(loop, [this] { onTimer(); }) {
    listen();
    timer_.startAt(steadyNow() + kSampleInterval);
}

DependencyService::~DependencyService() {
    // Connections that close during the destruction must find no open call.
    openCalls_.clear(), callByRequest_.clear(), queue_.clear(), completions_.clear();
}

void DependencyService::listen() {
    for (std::size_t instance = 0; instance < addresses_.size(); ++instance)
        servers_.push_back(std::make_unique<HttpServer>(
            loop_, addresses_[instance],
            [this, instance](const auto& connection, HttpServer::Request&& request) {
                onRequest(instance, connection, std::move(request));
            },
            [this](HttpServer::Connection& connection) { onConnectionClosed(connection); }));
}

void DependencyService::setDown(bool down) {
    if (std::exchange(down_, down) == down) return;
    if (!down) return listen();
    servers_.clear();
    for (const auto& [callNumber, call] : openCalls_) --callsByInstance_[call.instance];
    openCalls_.clear(), callByRequest_.clear(), queue_.clear(), completions_.clear();
    callsInService_ = 0;
}

void DependencyService::onRequest(std::size_t instance,
                                  const std::shared_ptr<HttpServer::Connection>& connection,
                                  HttpServer::Request&& request) {
    ++calls_;
    char requestId[17] = "";
    long long serviceMicros = 0;
    if (request.method != "POST" || request.path != "/records/op" ||
        std::sscanf(request.body.c_str(), "call %16s %lld", requestId, &serviceMicros) != 2)
        return connection->respond(HttpServer::formatResponse(500, "this is no call"));
    checker_.callStarted(instance, requestId);
    if (queue_.size() >= static_cast<std::size_t>(config_.queueCapacity)) {
        ++rejectedCalls_;
        checker_.callEnded(requestId, true);
        return connection->respond(HttpServer::formatResponse(503, "", "Op-Not-Begun: 1\r\n"));
    }
    // A new call for the same request replaces the first one.
    if (const auto before = callByRequest_.find(requestId); before != callByRequest_.end())
        removeCall(before->second);
    const std::uint64_t callNumber = nextCall_++;
    Call& call = openCalls_[callNumber];
    call.connection = connection;
    call.instance = instance;
    call.requestId = requestId;
    call.serviceSeconds = static_cast<double>(serviceMicros) / 1e6;
    std::uniform_real_distribution<double> unit(0, 1);
    call.hangs = unit(random_) < hangFraction_;
    callByRequest_[requestId] = callNumber;
    connection->pendingRequest = callNumber;
    ++callsByInstance_[instance];
    queue_.push_back(callNumber);
    startQueuedCalls(steadyNow());
}

void DependencyService::onConnectionClosed(HttpServer::Connection& connection) {
    const auto at = openCalls_.find(std::exchange(connection.pendingRequest, 0));
    if (at == openCalls_.end() || at->second.abandoned) return;
    // An abandoned call still counts as in flight for the linger time.
    at->second.abandoned = true;
    completions_.emplace(steadyNow() + config_.lingerTime, at->first);
    if (!at->second.inService) std::erase(queue_, at->first);
    timer_.startAt(completions_.begin()->first);
}

void DependencyService::removeCall(std::uint64_t callNumber) {
    const auto at = openCalls_.find(callNumber);
    if (at == openCalls_.end()) return;
    if (at->second.inService) --callsInService_;
    std::erase(queue_, callNumber);
    --callsByInstance_[at->second.instance];
    const auto named = callByRequest_.find(at->second.requestId);
    if (named != callByRequest_.end() && named->second == callNumber) callByRequest_.erase(named);
    openCalls_.erase(at);
}

void DependencyService::startQueuedCalls(Duration now) {
    while (!queue_.empty() && callsInService_ < config_.slots) {
        const std::uint64_t callNumber = queue_.front();
        queue_.pop_front();
        Call& call = openCalls_.at(callNumber);
        call.inService = true;
        ++callsInService_;
        const double queueFill = static_cast<double>(queue_.size()) / std::max(1, config_.queueCapacity);
        const double duration = call.serviceSeconds * slowdown_ * (1 + config_.queueSlowdown * queueFill);
        if (!call.hangs)
            completions_.emplace(now + Duration(static_cast<std::int64_t>(duration * 1e9)), callNumber);
    }
    if (!completions_.empty()) timer_.startAt(std::min(nextSampleAt_, completions_.begin()->first));
}

void DependencyService::finishCall(std::uint64_t callNumber, Duration now) {
    const auto at = openCalls_.find(callNumber);
    if (at == openCalls_.end()) return;
    const Call call = at->second;
    removeCall(callNumber);
    if (const auto connection = call.connection.lock(); connection && !call.abandoned) {
        connection->pendingRequest = 0;
        std::uniform_real_distribution<double> unit(0, 1);
        if (unit(random_) < malformedFraction_)
            connection->respond("HTTP/1.1 2oo WHAT\r\n\r\n");
        else
            connection->respond(HttpServer::formatResponse(200, "re " + call.requestId));
    }
    startQueuedCalls(now);
}

void DependencyService::onTimer() {
    const Duration now = steadyNow();
    while (!completions_.empty() && completions_.begin()->first <= now) {
        const std::uint64_t callNumber = completions_.begin()->second;
        completions_.erase(completions_.begin());
        finishCall(callNumber, now);
    }
    sampleLoad(now);
    timer_.startAt(completions_.empty() ? nextSampleAt_
                                        : std::min(nextSampleAt_, completions_.begin()->first));
}

void DependencyService::sampleLoad(Duration now) {
    if (now < nextSampleAt_) return;
    nextSampleAt_ = now + kSampleInterval;
    if (restartAt_ > 0ns && now >= restartAt_) {
        restartAt_ = 0ns;
        setDown(false);
    }
    for (std::size_t instance = 0; instance < instanceLoads_.size(); ++instance) {
        InstanceLoad& load = instanceLoads_[instance];
        load.samples.emplace_back(now, callsByInstance_[instance]);
        load.sum += callsByInstance_[instance];
        while (load.samples.front().first < now - config_.quotaWindow) {
            load.sum -= load.samples.front().second;
            load.samples.pop_front();
        }
        // The mean is over the whole window even at the start, as there were no calls before.
        const double mean = load.sum * static_cast<double>(kSampleInterval.count()) /
                            static_cast<double>(config_.quotaWindow.count());
        load.maxMean = std::max(load.maxMean, mean);
        if (mean > config_.callQuota && !std::exchange(load.quotaExceeded, true))
            checker_.overloaded(instance,
                                "a mean of " + std::to_string(mean) + " dependency calls in flight");
    }
    const double all = static_cast<double>(openCalls_.size());
    loadSamples_.emplace_back(now, all);
    loadSum_ += all;
    while (loadSamples_.front().first < now - config_.overloadWindow)
        loadSum_ -= loadSamples_.front().second, loadSamples_.pop_front();
    const double mean = loadSum_ * static_cast<double>(kSampleInterval.count()) /
                        static_cast<double>(config_.overloadWindow.count());
    if (config_.overloadThreshold > 0 && mean > config_.overloadThreshold && !down_) {
        ++overloads_;
        loadSamples_.clear();
        loadSum_ = 0;
        restartAt_ = now + config_.downTime;
        setDown(true);
    }
}

RegistryService::RegistryService(net::Loop& loop, const net::Address& address, Duration responseDelay)
    : responseDelay_(responseDelay),
      timer_(loop,
             [this] {
                 const Duration now = steadyNow();
                 while (!pendingResponses_.empty() && pendingResponses_.begin()->first <= now) {
                     if (const auto connection = pendingResponses_.begin()->second.lock())
                         connection->respond(HttpServer::formatResponse(204, ""));
                     pendingResponses_.erase(pendingResponses_.begin());
                 }
                 if (!pendingResponses_.empty()) timer_.startAt(pendingResponses_.begin()->first);
             }),
      server_(
          loop, address,
          [this](const std::shared_ptr<HttpServer::Connection>& connection, HttpServer::Request&& request) {
              if (silent_) return;
              constexpr std::string_view kPath = "/v1/instances/";
              if (request.method != "PUT" || !request.path.starts_with(kPath))
                  return connection->respond(HttpServer::formatResponse(404, ""));
              ++reports_;
              const bool draining = request.body.find("draining") != request.body.npos;
              states_[request.path.substr(kPath.size())] = draining ? "draining" : "ready";
              pendingResponses_.emplace(steadyNow() + responseDelay_, connection);
              timer_.startAt(pendingResponses_.begin()->first);
          },
          [](HttpServer::Connection&) {}) {}

std::string RegistryService::state(const std::string& name) const {
    const auto found = states_.find(name);
    return found == states_.end() ? "" : found->second;
}

}  // namespace cottonwing::loadtest
