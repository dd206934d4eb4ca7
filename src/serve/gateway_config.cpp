#include "serve/gateway_config.h"

#include <algorithm>

namespace cottonwing::serve {

using namespace std::chrono_literals;

namespace {

net::Address addressOf(const kdl::Value& value, int leastPort) {
    const std::string& text = kdl::text(value);
    if (const auto address = net::Address::parse(text, leastPort)) return *address;
    throw kdl::DocumentError(value.location, "'" + text + "' was found",
                             "an address such as \"127.0.0.1:9000\" was expected");
}

const kdl::Value& need(kdl::NodeReader& in, const char* name) {
    if (const kdl::Value* value = in.property(name)) return *value;
    throw kdl::DocumentError(in.node().location, "'" + in.node().name + "' was found without '" + name + "='",
                             "'" + std::string(name) + "=' was expected behind it");
}

// "board-item=1" as KDL has it: the properties of one node are conditions, all of them.
routing::Route readRoute(kdl::NodeReader& in, scgi::RouteTarget& routeTarget,
                         const config::NameTables& names) {
    routing::Route route;
    const kdl::Value& path = in.argument(0, "a path such as /board/:hall");
    route.path = kdl::text(path);
    if (const auto wrong = routing::Routes::wrong(route.path))
        throw kdl::DocumentError(path.location, "'" + route.path + "' was found", *wrong);
    for (const kdl::Value* method : in.remainingArguments(1)) route.methods.push_back(kdl::text(*method));
    const kdl::Value& requestClass = need(in, "profile");
    const auto known = names.requestClasses.find(kdl::text(requestClass));
    if (known == names.requestClasses.end()) {
        std::string all;
        for (const auto& [name, at] : names.requestClasses) all += (all.empty() ? "" : ", ") + name;
        throw kdl::DocumentError(requestClass.location, "the profile '" + requestClass.text + "' was found",
                                 "one of " + all + " was expected");
    }
    routeTarget.requestClass = known->second;
    in.property("subject", routeTarget.routingKeySource, kdl::text);
    in.property("customer", routeTarget.tenantHeader, kdl::text);
    for (const kdl::Node* header : in.children("header")) {
        kdl::NodeReader inner(*header);
        const std::string name = kdl::text(inner.argument(0, "the name of a header, as HTTP_X_KIND"));
        route.headers.emplace_back(name, kdl::text(inner.argument(1, "the value it must have")));
        inner.rejectUnknown();
    }
    in.rejectUnknown();
    return route;
}

scgi::GroupTerms readGroup(const kdl::Node& node) {
    kdl::NodeReader in(node);
    scgi::GroupTerms group;
    group.name = kdl::text(in.argument(0, "the name of a group"));
    for (const kdl::Node* found : in.children("server")) {
        kdl::NodeReader inner(*found);
        scgi::ServerTerms server;
        server.at = addressOf(inner.argument(0, "an address such as \"127.0.0.1:9000\""), 1);
        inner.property("weight", server.weight, kdl::number);
        inner.property("most", server.most, kdl::integerBetween(1, 100000));
        inner.rejectUnknown();
        if (server.weight <= 0)
            throw kdl::DocumentError(found->location, "a weight of 0 or less was found",
                                     "one above 0 was expected");
        for (const auto& other : group.servers)
            if (other.at == server.at)
                throw kdl::DocumentError(found->location,
                                         "the server " + server.at.host + ":" +
                                             std::to_string(server.at.port) + " was found twice",
                                         "each server once was expected");
        group.servers.push_back(server);
    }
    if (group.servers.empty())
        throw kdl::DocumentError(node.location, "group '" + group.name + "' was found without a server",
                                 "'server \"127.0.0.1:9001\"' was expected in it");
    if (group.servers.size() > 2000)
        throw kdl::DocumentError(node.location, "more than 2000 servers were found",
                                 "at most 2000 were expected");
    if (const kdl::Node* const choose = in.child("choose")) {
        kdl::NodeReader inner(*choose);
        group.way = kdl::NodeReader::choice<routing::Way>(inner.argument(0, "a way to choose"),
                                                          {{"round-robin", routing::Way::RoundRobin},
                                                           {"least", routing::Way::Least},
                                                           {"two-choices", routing::Way::TwoChoices},
                                                           {"by-subject", routing::Way::BySubject}});
        inner.rejectUnknown();
    }
    if (const kdl::Node* const found = in.child("leave-out")) {
        kdl::NodeReader inner(*found);
        inner.property("in-a-row", group.members.failuresInARow, kdl::integerBetween(1, 1000));
        inner.property("share", group.members.failedShare, kdl::fraction);
        inner.property("at-most", group.members.mostOut, kdl::fraction);
        inner.property("for", group.members.outFor, kdl::duration);
        inner.property("longest", group.members.outAtMost, kdl::duration);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const found = in.child("checks")) {
        kdl::NodeReader inner(*found);
        group.checksEvery = kdl::duration(inner.argument(0, "how often, such as 1s"));
        inner.property("path", group.checkPath, kdl::text);
        inner.rejectUnknown();
    }
    group.connectsWithin = in.setting("connects-within", kdl::duration, group.connectsWithin);
    in.rejectUnknown();
    return group;
}

}  // namespace

ServeTerms readServe(const std::string& path) {
    const auto document = kdl::parseFile(path);
    const kdl::Node* serve = nullptr;
    for (const kdl::Node& node : document) {
        if (node.name != "serve" || serve != nullptr)
            throw kdl::DocumentError(node.location, "'" + node.name + "' was found",
                                     "one 'serve NAME { … }' was expected");
        serve = &node;
    }
    if (serve == nullptr)
        throw kdl::DocumentError({path, 1, 1}, "no 'serve' was found", "'serve NAME { … }' was expected");
    kdl::NodeReader in(*serve);
    ServeTerms all;
    all.name = kdl::text(in.argument(0, "the name of this server"));
    if (const kdl::Node* const found = in.child("limits")) {
        kdl::NodeReader inner(*found);
        inner.property("memory", all.memoryMb, [](const kdl::Value& value) {
            return static_cast<double>(kdl::bytes(value)) / (1 << 20);
        });
        inner.property("sockets", all.sockets, kdl::integerBetween(64, 1000000));
        inner.rejectUnknown();
        if (all.memoryMb < 16)
            throw kdl::DocumentError(found->location, "less than 16MiB of memory were found",
                                     "at least 16MiB were expected");
    }
    if (const kdl::Node* const found = in.child("leave")) {
        kdl::NodeReader inner(*found);
        inner.property("stop", all.stopAfter, kdl::duration);
        inner.property("grace", all.grace, kdl::duration);
        inner.rejectUnknown();
        if (all.stopAfter < 500ms || all.grace >= all.stopAfter)
            throw kdl::DocumentError(found->location, "a stop under 500ms or before the grace was found",
                                     "'leave stop=3s grace=800ms' was expected");
    }
    all.seed = static_cast<std::uint64_t>(
        in.setting("seed", kdl::integerBetween(0, std::int64_t{1} << 53), std::int64_t{0}));

    for (const kdl::Node* node : in.children("group")) {
        all.groups.push_back(readGroup(*node));
        for (std::size_t at = 0; at + 1 < all.groups.size(); ++at)
            if (all.groups[at].name == all.groups.back().name)
                throw kdl::DocumentError(node->location,
                                         "a second group '" + all.groups.back().name + "' was found",
                                         "a name of its own was expected");
    }
    if (all.groups.empty())
        throw kdl::DocumentError(serve->location, "'serve' was found without a group",
                                 "'group NAME { server … }' was expected in it");

    ControllerConfig& terms = all.terms;
    static const std::vector<std::pair<std::string, Idempotency>> kRepeats = {
        {"repeatable", Idempotency::Idempotent}, {"once-only", Idempotency::None}};
    for (const kdl::Node* node : in.children("profile")) {
        kdl::NodeReader inner(*node);
        const std::string name = kdl::text(inner.argument(0, "the name of a profile"));
        RequestClass requestClass;
        requestClass.priorityWeight = inner.setting("worth", kdl::number, 1.0);
        requestClass.lateValueFraction = inner.setting("late-share", kdl::fraction, 0.0);
        requestClass.latencyObjective = inner.setting("promised", kdl::duration, Duration(1s));
        requestClass.timeout = inner.setting("hard-stop", kdl::duration, Duration(5s));
        requestClass.idempotency =
            Idempotency::None;  // nothing is run again that was not said to be harmless
        if (const kdl::Node* const repeat = inner.child("repeat")) {
            kdl::NodeReader one(*repeat);
            requestClass.idempotency =
                kdl::NodeReader::choice(one.argument(0, "repeatable or once-only"), kRepeats);
            one.rejectUnknown();
        }
        std::size_t group = 0;
        if (const kdl::Node* const found = inner.child("group")) {
            kdl::NodeReader one(*found);
            const kdl::Value& value = one.argument(0, "the name of a group");
            const auto at = std::find_if(all.groups.begin(), all.groups.end(),
                                         [&](const auto& each) { return each.name == value.text; });
            if (at == all.groups.end())
                throw kdl::DocumentError(value.location, "the group '" + value.text + "' was found",
                                         "the name of a group was expected");
            group = static_cast<std::size_t>(at - all.groups.begin());
            one.rejectUnknown();
        } else if (all.groups.size() > 1) {
            throw kdl::DocumentError(node->location, "profile '" + name + "' was found without a group",
                                     "'group NAME' was expected, as there are several");
        }
        inner.rejectUnknown();
        if (requestClass.latencyObjective <= 0ns || requestClass.timeout < requestClass.latencyObjective)
            throw kdl::DocumentError(
                node->location, "profile '" + name + "' was found with a hard stop before its promised time",
                "promised above 0 and hard-stop not below it were expected");
        if (!all.names.requestClasses.emplace(name, static_cast<int>(terms.requestClasses.size())).second)
            throw kdl::DocumentError(node->location, "a second profile '" + name + "' was found",
                                     "a name of its own was expected");
        terms.requestClasses.push_back(requestClass);
        all.requestClassNames.push_back(name);
        all.groupOf.push_back(group);
    }
    if (terms.requestClasses.empty())
        throw kdl::DocumentError(serve->location, "'serve' was found without a profile",
                                 "'profile NAME { … }' was expected in it");
    for (const kdl::Node* node : in.children("customer")) {
        kdl::NodeReader inner(*node);
        const std::string name = kdl::text(inner.argument(0, "the name of a customer"));
        double quota = 1e6;
        inner.property("quota", quota, kdl::rate);
        inner.rejectUnknown();
        if (!all.names.tenants.emplace(name, static_cast<int>(terms.tenants.size())).second)
            throw kdl::DocumentError(node->location, "a second customer '" + name + "' was found",
                                     "a name of its own was expected");
        terms.tenants.push_back({quota});
    }

    const auto bytes = [&](double share) {
        return static_cast<std::size_t>(all.memoryMb * share * (1 << 20));
    };
    const auto sockets = [&](double share) { return static_cast<std::size_t>(all.sockets * share); };
    all.shares = {sockets(0.3125), sockets(0.25), bytes(0.125), bytes(0.0625), bytes(0.125), bytes(0.0625)};
    all.groupBounds = {sockets(0.25), 1 << 20, bytes(0.25)};
    if (const kdl::Node* const found = in.child("thrift")) {
        kdl::NodeReader inner(*found);
        all.thrift = addressOf(need(inner, "listen"), 0);
        inner.rejectUnknown();
    }
    if (const kdl::Node* const found = in.child("scgi")) {
        kdl::NodeReader inner(*found);
        scgi::ScgiServerConfig front;
        front.listen = addressOf(need(inner, "listen"), 0);
        inner.property("head-at-most", front.requestLimits.maxHeadBytes, kdl::bytes);
        inner.property("body-at-most", front.requestLimits.maxBodyBytes, kdl::bytes);
        inner.property("head-within", front.headTimeout, kdl::duration);
        inner.property("body-within", front.bodyTimeout, kdl::duration);
        inner.property("takes-within", front.responseTimeout, kdl::duration);
        for (const kdl::Node* node : inner.children("route")) {
            kdl::NodeReader one(*node);
            scgi::RouteTarget routeTarget;
            routing::Route route = readRoute(one, routeTarget, all.names);
            route.target = front.routeTargets.size();
            front.routeTargets.push_back(routeTarget);
            all.routes.push_back(std::move(route));
        }
        inner.rejectUnknown();
        if (front.requestLimits.maxHeadBytes > bytes(0.01) || front.requestLimits.maxBodyBytes > bytes(0.05))
            throw kdl::DocumentError(found->location,
                                     "a head or body was found that is large beside the memory",
                                     "at most 1% of it for a head and 5% for a body were expected");
        if (all.routes.empty())
            throw kdl::DocumentError(found->location, "'scgi' was found without a route",
                                     "'route \"/*\" profile=NAME' was expected in it");
        front.maxConnections = sockets(0.3125);
        front.maxBufferedBytes = bytes(0.125);
        front.tenants = all.names.tenants;
        all.scgi = std::move(front);
    }
    if (!all.thrift && !all.scgi)
        throw kdl::DocumentError(serve->location, "'serve' was found without a front",
                                 "'thrift listen=…' or 'scgi listen=… { … }' was expected in it");
    in.rejectUnknown();

    // The groups stand for the machine: its cores are what their servers are allowed at once.
    double most = 0;
    for (const auto& group : all.groups)
        for (const auto& server : group.servers) most += server.most;
    terms.cores = static_cast<int>(std::min(most, 10000.0));
    terms.overloadFactor = 4;
    terms.overloadWindow = 2s;
    terms.memoryLimitKb = static_cast<double>(bytes(0.125)) / 1024;
    terms.runCancellation = RunCancellation::Abort;
    terms.drainGrace = all.grace;
    terms.retryAfterAllowed = true;
    terms.maxRetryAfter = 2s;
    terms.maxConnectionIdle = 30s;
    terms.loadSignal = LoadSignal::Share;
    return all;
}

}  // namespace cottonwing::serve
