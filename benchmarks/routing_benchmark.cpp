// Cost of routing decisions by size: route lookup in the trie and in a plain list, and the selection of an
// endpoint in groups of 10 to 2,000.
#include <benchmark/benchmark.h>

#include <random>

#include "routing/load_balancer.h"
#include "routing/outlier_detection.h"
#include "routing/route_table.h"

namespace {

using namespace cottonwing;
using namespace cottonwing::routing;

std::vector<Route> makeRoutes(std::int64_t count) {
    std::vector<Route> routes;
    for (std::int64_t n = 0; n < count; ++n) {
        const std::string area = "/area" + std::to_string(n % 97);
        const std::string path = n % 3 == 0   ? area + "/hall" + std::to_string(n) + "/:item"
                                 : n % 3 == 1 ? area + "/court" + std::to_string(n) + "/*"
                                              : area + "/list" + std::to_string(n);
        routes.push_back({path,
                          n % 5 == 0 ? std::vector<std::string>{"GET"} : std::vector<std::string>{},
                          {},
                          static_cast<std::uint64_t>(n)});
    }
    return routes;
}

std::vector<std::string> makePaths(const std::vector<Route>& routes) {
    std::mt19937 random(7);
    std::vector<std::string> paths;
    for (int n = 0; n < 1024; ++n) {
        std::string path = routes[random() % routes.size()].path;
        if (const auto parameter = path.find("/:"); parameter != path.npos)
            path = path.substr(0, parameter) + "/77";
        if (const auto wildcard = path.find("/*"); wildcard != path.npos)
            path = path.substr(0, wildcard) + "/day/2";
        paths.push_back(path);
    }
    return paths;
}

const auto kNoHeader = [](std::string_view) -> std::optional<std::string_view> { return std::nullopt; };

void findInTrie(benchmark::State& state) {
    const auto routeList = makeRoutes(state.range(0));
    const auto paths = makePaths(routeList);
    RouteTable routes;
    for (const Route& route : routeList) routes.add(route);
    std::size_t index = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(routes.find(paths[index++ % paths.size()], "GET", kNoHeader));
}
BENCHMARK(findInTrie)->Arg(10)->Arg(1000)->Arg(100000);

void findInList(benchmark::State& state) {
    const auto routeList = makeRoutes(state.range(0));
    const auto paths = makePaths(routeList);
    std::size_t index = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(
            findByLinearSearch(routeList, paths[index++ % paths.size()], "GET", kNoHeader));
}
BENCHMARK(findInList)->Arg(10)->Arg(1000)->Arg(100000);

// A selection with all that belongs to it: the usable endpoints, the start and the end of the request.
void choose(benchmark::State& state) {
    const auto count = static_cast<std::size_t>(state.range(1));
    LoadBalancer balancer(static_cast<LoadBalancingPolicy>(state.range(0)));
    OutlierDetector detector{OutlierDetectionConfig{}};
    std::mt19937 random(7);
    for (std::size_t n = 0; n < count; ++n) balancer.add(detector.add());
    Duration now{0};
    const auto isUsable = [&](std::size_t index) { return detector.isUsable(index, now); };
    std::uint64_t routingKey = 0;
    for (auto _ : state) {
        now += std::chrono::microseconds(100);
        const auto index = balancer.choose(++routingKey, std::nullopt, isUsable, random);
        balancer.requestStarted(*index);
        balancer.requestEnded(*index, std::chrono::milliseconds(5 + routingKey % 7), now);
        detector.recordSuccess(*index, now);
    }
}
void allPolicies(benchmark::internal::Benchmark* benchmark) {
    for (const LoadBalancingPolicy policy :
         {LoadBalancingPolicy::RoundRobin, LoadBalancingPolicy::LeastRequests,
          LoadBalancingPolicy::PowerOfTwoChoices, LoadBalancingPolicy::ConsistentHash})
        for (const int count : {10, 100, 2000}) benchmark->Args({static_cast<int>(policy), count});
}
BENCHMARK(choose)->Apply(allPolicies)->ArgNames({"way", "servers"});

}  // namespace

BENCHMARK_MAIN();
