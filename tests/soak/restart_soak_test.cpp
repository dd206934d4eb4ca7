/// @file
/// Soak test of restarts: the real server with its peers is started, signalled and killed as plans generated
/// from seeds define, and its behaviour is checked from outside.
///
/// COTTONWING_SOAK_SEEDS selects the seeds, such as `1-50` (default 1-12); GoogleTest's sharding runs them in
/// parallel. If COTTONWING_SOAK_KEEP is set, configurations and logs stay in the folder for temporary files.
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "soak/rules.h"
#include "soak/soak_run.h"

namespace cottonwing::soak {
namespace {

std::pair<std::uint64_t, std::uint64_t> seedRange() {
    constexpr std::pair<std::uint64_t, std::uint64_t> kDefaultRange = {1, 12};
    const char* const text = std::getenv("COTTONWING_SOAK_SEEDS");
    std::pair<std::uint64_t, std::uint64_t> range = kDefaultRange;
    if (text == nullptr) return range;
    char* rest = nullptr;
    range.first = range.second = std::strtoull(text, &rest, 10);
    if (*rest == '-') range.second = std::strtoull(rest + 1, nullptr, 10);
    return range;
}

// The test process itself holds hundreds of connections.
void raiseDescriptorLimit() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

void printSummary(const SoakPlan& plan, const SoakRun& run) {
    const Observations& observations = run.recorder().observations;
    std::size_t kills = 0, written = 0, sanitizerExits = 0;
    Duration slowestStart{0};
    for (const Incarnation& incarnation : observations.incarnations) {
        kills += incarnation.killedWithoutNotice ? 1 : 0;
        sanitizerExits += incarnation.awaitedSanitizer ? 1 : 0;
        if (incarnation.readyAt && incarnation.poolUpAt)
            slowestStart = std::max(
                slowestStart, *incarnation.readyAt - std::max(incarnation.startedAt, *incarnation.poolUpAt));
    }
    for (const Attempt& attempt : observations.attempts) written += attempt.writtenAt ? 1 : 0;
    std::cout << "soak seed=" << plan.seed << " requests=" << written << " runs=" << observations.runs.size()
              << " restarts=" << observations.incarnations.size() - 1 << " signals=" << run.signalsSent()
              << " kills=" << kills << " sanitizer_exits=" << sanitizerExits
              << " overload=" << (plan.overload ? 1 : 0)
              << " slowest_start_ms=" << slowestStart / std::chrono::milliseconds(1) << std::endl;
}

void report(const SoakPlan& plan, const SoakRun& run, const std::vector<Violation>& violations) {
    constexpr std::size_t kMaxReported = 3;
    ADD_FAILURE() << violations.size() << " violations; " << plan.describe()
                  << "\nto reproduce: COTTONWING_SOAK_SEEDS=" << plan.seed
                  << " cottonwing_soak_tests --gtest_filter='*RestartSoak*'";
    for (std::size_t at = 0; at < std::min(kMaxReported, violations.size()); ++at) {
        const Violation& violation = violations[at];
        std::cout << "VIOLATION " << nameOfRule(violation.rule) << ": " << violation.what
                  << (violation.attempt.empty() ? "" : " (request " + violation.attempt + ")") << "\n"
                  << run.recorder().timelineOf(violation.attempt);
    }
    for (std::size_t incarnation = 0; incarnation < run.recorder().observations.incarnations.size();
         ++incarnation)
        std::cout << "log of incarnation " << incarnation << ":\n" << run.logOf(incarnation);
}

class RestartSoak : public ::testing::TestWithParam<std::uint64_t> {};

// Guards against requests that are lost, run twice or run after the drain grace around restarts, drains and
// kills.
TEST_P(RestartSoak, KeepsTheRules) {
    raiseDescriptorLimit();
    const SoakPlan plan = generatePlan(GetParam());
    const std::string folder = ::testing::TempDir() + "cottonwing-soak-" + std::to_string(getpid()) + "-" +
                               std::to_string(plan.seed);
    std::filesystem::create_directories(folder);
    SoakRun run(plan, COTTONWING, folder);
    run.run();
    ASSERT_EQ(run.failure(), "");
    printSummary(plan, run);
    const std::vector<Violation> violations = checkRules(run.recorder().observations);
    if (!violations.empty()) report(plan, run, violations);
    if (std::getenv("COTTONWING_SOAK_KEEP") == nullptr) std::filesystem::remove_all(folder);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RestartSoak, ::testing::Range(seedRange().first, seedRange().second + 1),
                         [](const auto& info) { return std::to_string(info.param); });

TEST(SoakPlan, TheSameSeedDrawsTheSamePlan) {
    EXPECT_EQ(generatePlan(5).describe(), generatePlan(5).describe());
    EXPECT_NE(generatePlan(5).describe(), generatePlan(8).describe());
}

}  // namespace
}  // namespace cottonwing::soak
