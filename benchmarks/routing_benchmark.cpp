// What decisions cost as their tables grow: the trie of routes beside a plain list, and a choice of a server
// in groups of 10 to 2,000.
#include <benchmark/benchmark.h>

#include <random>

#include "routing/load_balancer.h"
#include "routing/outlier_detection.h"
#include "routing/route_table.h"

namespace {

using namespace cottonwing;
using namespace cottonwing::routing;

std::vector<Route> routesOf(std::int64_t count) {
    std::vector<Route> all;
    for (std::int64_t n = 0; n < count; ++n) {
        const std::string area = "/area" + std::to_string(n % 97);
        const std::string path = n % 3 == 0   ? area + "/hall" + std::to_string(n) + "/:item"
                                 : n % 3 == 1 ? area + "/court" + std::to_string(n) + "/*"
                                              : area + "/list" + std::to_string(n);
        all.push_back({path,
                       n % 5 == 0 ? std::vector<std::string>{"GET"} : std::vector<std::string>{},
                       {},
                       static_cast<std::uint64_t>(n)});
    }
    return all;
}

std::vector<std::string> pathsOf(const std::vector<Route>& routes) {
    std::mt19937 chance(7);
    std::vector<std::string> paths;
    for (int n = 0; n < 1024; ++n) {
        std::string path = routes[chance() % routes.size()].path;
        if (const auto name = path.find("/:"); name != path.npos) path = path.substr(0, name) + "/77";
        if (const auto rest = path.find("/*"); rest != path.npos) path = path.substr(0, rest) + "/day/2";
        paths.push_back(path);
    }
    return paths;
}

const auto kNoHeader = [](std::string_view) -> std::optional<std::string_view> { return std::nullopt; };

void trie(benchmark::State& state) {
    const auto list = routesOf(state.range(0));
    const auto paths = pathsOf(list);
    Routes routes;
    for (const Route& route : list) routes.add(route);
    std::size_t at = 0;
    for (auto _ : state) benchmark::DoNotOptimize(routes.find(paths[at++ % paths.size()], "GET", kNoHeader));
}
BENCHMARK(trie)->Arg(10)->Arg(1000)->Arg(100000);

void plainList(benchmark::State& state) {
    const auto list = routesOf(state.range(0));
    const auto paths = pathsOf(list);
    std::size_t at = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(findPlainly(list, paths[at++ % paths.size()], "GET", kNoHeader));
}
BENCHMARK(plainList)->Arg(10)->Arg(1000)->Arg(100000);

// A choice with all that goes with it: who may be used, one more in flight, and its end.
void choose(benchmark::State& state) {
    const auto count = static_cast<std::size_t>(state.range(1));
    Choice choice(static_cast<Way>(state.range(0)));
    Members members{MemberTerms{}};
    std::mt19937 chance(7);
    for (std::size_t n = 0; n < count; ++n) choice.add(members.add());
    Duration now{0};
    const auto usable = [&](std::size_t at) { return members.usable(at, now); };
    std::uint64_t subject = 0;
    for (auto _ : state) {
        now += std::chrono::microseconds(100);
        const auto at = choice.choose(++subject, std::nullopt, usable, chance);
        choice.began(*at);
        choice.ended(*at, std::chrono::milliseconds(5 + subject % 7), now);
        members.good(*at, now);
    }
}
void ways(benchmark::internal::Benchmark* which) {
    for (const Way way : {Way::RoundRobin, Way::Least, Way::TwoChoices, Way::BySubject})
        for (const int count : {10, 100, 2000}) which->Args({static_cast<int>(way), count});
}
BENCHMARK(choose)->Apply(ways)->ArgNames({"way", "servers"});

}  // namespace

BENCHMARK_MAIN();
