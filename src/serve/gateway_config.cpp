#include "serve/gateway_config.h"

#include <algorithm>

namespace cottonwing::serve {

using namespace std::chrono_literals;

namespace {

net::Address parseAddress(const kdl::Value& value, int minPort) {
    const std::string& text = kdl::text(value);
    if (const auto address = net::Address::parse(text, minPort)) return *address;
    throw kdl::DocumentError(value.location, "'" + text + "' was found",
                             "an address such as \"127.0.0.1:9000\" was expected");
}

const kdl::Value& requiredProperty(kdl::NodeReader& reader, const char* name) {
    if (const kdl::Value* value = reader.property(name)) return *value;
    throw kdl::DocumentError(reader.node().location,
                             "'" + reader.node().name + "' was found without '" + name + "='",
                             "'" + std::string(name) + "=' was expected after it");
}

// A request matches a route only if every `header` child node of the route matches.
routing::Route readRoute(kdl::NodeReader& reader, scgi::RouteTarget& routeTarget,
                         const config::NameTables& nameTables) {
    routing::Route route;
    const kdl::Value& path = reader.argument(0, "a path such as /board/:hall");
    route.path = kdl::text(path);
    if (const auto wrong = routing::RouteTable::patternError(route.path))
        throw kdl::DocumentError(path.location, "'" + route.path + "' was found", *wrong);
    for (const kdl::Value* method : reader.remainingArguments(1)) route.methods.push_back(kdl::text(*method));
    const kdl::Value& requestClass = requiredProperty(reader, "profile");
    const auto known = nameTables.requestClasses.find(kdl::text(requestClass));
    if (known == nameTables.requestClasses.end()) {
        std::string knownNames;
        for (const auto& [name, at] : nameTables.requestClasses)
            knownNames += (knownNames.empty() ? "" : ", ") + name;
        throw kdl::DocumentError(requestClass.location, "the profile '" + requestClass.text + "' was found",
                                 "one of " + knownNames + " was expected");
    }
    routeTarget.requestClass = known->second;
    reader.property("subject", routeTarget.routingKeySource, kdl::text);
    reader.property("customer", routeTarget.tenantHeader, kdl::text);
    for (const kdl::Node* header : reader.children("header")) {
        kdl::NodeReader childReader(*header);
        const std::string name =
            kdl::text(childReader.argument(0, "the name of a header such as HTTP_X_KIND"));
        route.headers.emplace_back(name,
                                   kdl::text(childReader.argument(1, "the value that the header must have")));
        childReader.rejectUnknown();
    }
    reader.rejectUnknown();
    return route;
}

scgi::UpstreamGroupConfig readUpstreamGroup(const kdl::Node& node) {
    kdl::NodeReader reader(node);
    scgi::UpstreamGroupConfig group;
    group.name = kdl::text(reader.argument(0, "the name of a group"));
    for (const kdl::Node* found : reader.children("server")) {
        kdl::NodeReader childReader(*found);
        scgi::EndpointConfig server;
        server.address = parseAddress(childReader.argument(0, "an address such as \"127.0.0.1:9000\""), 1);
        childReader.property("weight", server.weight, kdl::number);
        childReader.property("most", server.maxInFlight, kdl::integerBetween(1, 100000));
        childReader.rejectUnknown();
        if (server.weight <= 0)
            throw kdl::DocumentError(found->location, "a weight of 0 or less was found",
                                     "one above 0 was expected");
        for (const auto& other : group.endpoints)
            if (other.address == server.address)
                throw kdl::DocumentError(found->location,
                                         "the server " + server.address.host + ":" +
                                             std::to_string(server.address.port) + " was found twice",
                                         "each server once was expected");
        group.endpoints.push_back(server);
    }
    if (group.endpoints.empty())
        throw kdl::DocumentError(node.location, "group '" + group.name + "' was found without a server",
                                 "'server \"127.0.0.1:9001\"' was expected in it");
    if (group.endpoints.size() > 2000)
        throw kdl::DocumentError(node.location, "more than 2000 servers were found",
                                 "at most 2000 were expected");
    if (const kdl::Node* const choose = reader.child("choose")) {
        kdl::NodeReader childReader(*choose);
        group.policy = kdl::NodeReader::choice<routing::LoadBalancingPolicy>(
            childReader.argument(0, "a load balancing policy"),
            {{"round-robin", routing::LoadBalancingPolicy::RoundRobin},
             {"least", routing::LoadBalancingPolicy::LeastRequests},
             {"two-choices", routing::LoadBalancingPolicy::PowerOfTwoChoices},
             {"by-subject", routing::LoadBalancingPolicy::ConsistentHash}});
        childReader.rejectUnknown();
    }
    if (const kdl::Node* const found = reader.child("leave-out")) {
        kdl::NodeReader childReader(*found);
        childReader.property("in-a-row", group.outlierDetection.consecutiveFailures,
                             kdl::integerBetween(1, 1000));
        childReader.property("share", group.outlierDetection.failureRatio, kdl::fraction);
        childReader.property("at-most", group.outlierDetection.maxEjectedFraction, kdl::fraction);
        childReader.property("for", group.outlierDetection.baseEjectionTime, kdl::duration);
        childReader.property("longest", group.outlierDetection.maxEjectionTime, kdl::duration);
        childReader.rejectUnknown();
    }
    if (const kdl::Node* const found = reader.child("checks")) {
        kdl::NodeReader childReader(*found);
        group.healthCheckInterval = kdl::duration(childReader.argument(0, "an interval such as 1s"));
        childReader.property("path", group.healthCheckPath, kdl::text);
        childReader.rejectUnknown();
    }
    group.connectTimeout = reader.setting("connects-within", kdl::duration, group.connectTimeout);
    reader.rejectUnknown();
    return group;
}

}  // namespace

GatewayConfig readGatewayConfig(const std::string& path) {
    const auto document = kdl::parseFile(path);
    const kdl::Node* serveNode = nullptr;
    for (const kdl::Node& node : document) {
        if (node.name != "serve" || serveNode != nullptr)
            throw kdl::DocumentError(node.location, "'" + node.name + "' was found",
                                     "one 'serve NAME { … }' was expected");
        serveNode = &node;
    }
    if (serveNode == nullptr)
        throw kdl::DocumentError({path, 1, 1}, "no 'serve' was found", "'serve NAME { … }' was expected");
    kdl::NodeReader reader(*serveNode);
    GatewayConfig config;
    config.name = kdl::text(reader.argument(0, "the name of this server"));
    if (const kdl::Node* const found = reader.child("limits")) {
        kdl::NodeReader childReader(*found);
        childReader.property("memory", config.memoryMb, [](const kdl::Value& value) {
            return static_cast<double>(kdl::bytes(value)) / (1 << 20);
        });
        childReader.property("sockets", config.maxSockets, kdl::integerBetween(64, 1000000));
        childReader.rejectUnknown();
        if (config.memoryMb < 16)
            throw kdl::DocumentError(found->location, "less than 16MiB of memory were found",
                                     "at least 16MiB were expected");
    }
    if (const kdl::Node* const found = reader.child("leave")) {
        kdl::NodeReader childReader(*found);
        childReader.property("stop", config.shutdownTimeout, kdl::duration);
        childReader.property("grace", config.drainGrace, kdl::duration);
        childReader.rejectUnknown();
        if (config.shutdownTimeout < 500ms || config.drainGrace >= config.shutdownTimeout)
            throw kdl::DocumentError(found->location, "a stop under 500ms or before the grace was found",
                                     "'leave stop=3s grace=800ms' was expected");
    }
    config.seed = static_cast<std::uint64_t>(
        reader.setting("seed", kdl::integerBetween(0, std::int64_t{1} << 53), std::int64_t{0}));

    for (const kdl::Node* node : reader.children("group")) {
        config.groups.push_back(readUpstreamGroup(*node));
        for (std::size_t at = 0; at + 1 < config.groups.size(); ++at)
            if (config.groups[at].name == config.groups.back().name)
                throw kdl::DocumentError(node->location,
                                         "a second group '" + config.groups.back().name + "' was found",
                                         "a unique name was expected");
    }
    if (config.groups.empty())
        throw kdl::DocumentError(serveNode->location, "'serve' was found without a group",
                                 "'group NAME { server … }' was expected in it");

    ControllerConfig& controller = config.controller;
    static const std::vector<std::pair<std::string, Idempotency>> kIdempotencyNames = {
        {"repeatable", Idempotency::Idempotent}, {"once-only", Idempotency::None}};
    for (const kdl::Node* node : reader.children("profile")) {
        kdl::NodeReader childReader(*node);
        const std::string name = kdl::text(childReader.argument(0, "the name of a profile"));
        RequestClass requestClass;
        requestClass.priorityWeight = childReader.setting("worth", kdl::number, 1.0);
        requestClass.lateValueFraction = childReader.setting("late-share", kdl::fraction, 0.0);
        requestClass.latencyObjective = childReader.setting("promised", kdl::duration, Duration(1s));
        requestClass.timeout = childReader.setting("hard-stop", kdl::duration, Duration(5s));
        requestClass.idempotency = Idempotency::None;  // requests are not retried unless declared idempotent
        if (const kdl::Node* const repeat = childReader.child("repeat")) {
            kdl::NodeReader nestedReader(*repeat);
            requestClass.idempotency = kdl::NodeReader::choice(
                nestedReader.argument(0, "repeatable or once-only"), kIdempotencyNames);
            nestedReader.rejectUnknown();
        }
        std::size_t group = 0;
        if (const kdl::Node* const found = childReader.child("group")) {
            kdl::NodeReader nestedReader(*found);
            const kdl::Value& value = nestedReader.argument(0, "the name of a group");
            const auto at = std::find_if(config.groups.begin(), config.groups.end(),
                                         [&](const auto& each) { return each.name == value.text; });
            if (at == config.groups.end())
                throw kdl::DocumentError(value.location, "the group '" + value.text + "' was found",
                                         "the name of a group was expected");
            group = static_cast<std::size_t>(at - config.groups.begin());
            nestedReader.rejectUnknown();
        } else if (config.groups.size() > 1) {
            throw kdl::DocumentError(node->location, "profile '" + name + "' was found without a group",
                                     "'group NAME' was expected, as there are several groups");
        }
        childReader.rejectUnknown();
        if (requestClass.latencyObjective <= 0ns || requestClass.timeout < requestClass.latencyObjective)
            throw kdl::DocumentError(
                node->location, "profile '" + name + "' was found with a hard stop before its promised time",
                "promised above 0 and hard-stop not below it were expected");
        if (!config.nameTables.requestClasses
                 .emplace(name, static_cast<int>(controller.requestClasses.size()))
                 .second)
            throw kdl::DocumentError(node->location, "a second profile '" + name + "' was found",
                                     "a unique name was expected");
        controller.requestClasses.push_back(requestClass);
        config.requestClassNames.push_back(name);
        config.groupByRequestClass.push_back(group);
    }
    if (controller.requestClasses.empty())
        throw kdl::DocumentError(serveNode->location, "'serve' was found without a profile",
                                 "'profile NAME { … }' was expected in it");
    for (const kdl::Node* node : reader.children("customer")) {
        kdl::NodeReader childReader(*node);
        const std::string name = kdl::text(childReader.argument(0, "the name of a customer"));
        double quota = 1e6;
        childReader.property("quota", quota, kdl::rate);
        childReader.rejectUnknown();
        if (!config.nameTables.tenants.emplace(name, static_cast<int>(controller.tenants.size())).second)
            throw kdl::DocumentError(node->location, "a second customer '" + name + "' was found",
                                     "a unique name was expected");
        controller.tenants.push_back({quota});
    }

    const auto memoryFraction = [&](double fraction) {
        return static_cast<std::size_t>(config.memoryMb * fraction * (1 << 20));
    };
    const auto socketFraction = [&](double fraction) {
        return static_cast<std::size_t>(config.maxSockets * fraction);
    };
    // There is neither a dependency nor a worker pool.
    config.limits = {.thriftConnections = socketFraction(0.3125),
                     .thriftBytes = memoryFraction(0.125),
                     .requestBytes = memoryFraction(0.125),
                     .idempotencyKeyBytes = memoryFraction(0.125)};
    config.upstreamLimits = {socketFraction(0.25), 1 << 20, memoryFraction(0.25)};
    if (const kdl::Node* const found = reader.child("thrift")) {
        kdl::NodeReader childReader(*found);
        config.thriftAddress = parseAddress(requiredProperty(childReader, "listen"), 0);
        childReader.rejectUnknown();
    }
    if (const kdl::Node* const found = reader.child("scgi")) {
        kdl::NodeReader childReader(*found);
        scgi::ScgiServerConfig scgiServer;
        scgiServer.listen = parseAddress(requiredProperty(childReader, "listen"), 0);
        childReader.property("head-at-most", scgiServer.requestLimits.maxHeadBytes, kdl::bytes);
        childReader.property("body-at-most", scgiServer.requestLimits.maxBodyBytes, kdl::bytes);
        childReader.property("head-within", scgiServer.headTimeout, kdl::duration);
        childReader.property("body-within", scgiServer.bodyTimeout, kdl::duration);
        childReader.property("takes-within", scgiServer.responseTimeout, kdl::duration);
        for (const kdl::Node* node : childReader.children("route")) {
            kdl::NodeReader nestedReader(*node);
            scgi::RouteTarget routeTarget;
            routing::Route route = readRoute(nestedReader, routeTarget, config.nameTables);
            route.target = scgiServer.routeTargets.size();
            scgiServer.routeTargets.push_back(routeTarget);
            config.routes.push_back(std::move(route));
        }
        childReader.rejectUnknown();
        if (scgiServer.requestLimits.maxHeadBytes > memoryFraction(0.01) ||
            scgiServer.requestLimits.maxBodyBytes > memoryFraction(0.05))
            throw kdl::DocumentError(found->location,
                                     "a limit for heads or bodies was found that is too large for the memory",
                                     "at most 1% of it for a head and 5% for a body were expected");
        if (config.routes.empty())
            throw kdl::DocumentError(found->location, "'scgi' was found without a route",
                                     "'route \"/*\" profile=NAME' was expected in it");
        scgiServer.maxConnections = socketFraction(0.3125);
        scgiServer.maxBufferedBytes = memoryFraction(0.125);
        scgiServer.tenants = config.nameTables.tenants;
        config.scgiServer = std::move(scgiServer);
    }
    if (!config.thriftAddress && !config.scgiServer)
        throw kdl::DocumentError(serveNode->location, "'serve' was found without 'thrift' or 'scgi'",
                                 "'thrift listen=…' or 'scgi listen=… { … }' was expected in it");
    reader.rejectUnknown();

    // The controller treats the groups as the machine: the number of cores is the sum of the requests that
    // their servers may have in flight.
    double maxInFlight = 0;
    for (const auto& group : config.groups)
        for (const auto& server : group.endpoints) maxInFlight += server.maxInFlight;
    controller.cores = static_cast<int>(std::min(maxInFlight, 10000.0));
    controller.overloadFactor = 4;
    controller.overloadWindow = 2s;
    controller.memoryLimitKb = static_cast<double>(memoryFraction(0.125)) / 1024;
    controller.runCancellation = RunCancellation::Abort;
    controller.drainGrace = config.drainGrace;
    controller.retryAfterAllowed = true;
    controller.maxRetryAfter = 2s;
    controller.maxConnectionIdle = 30s;
    controller.loadSignal = LoadSignal::Share;
    return config;
}

}  // namespace cottonwing::serve
