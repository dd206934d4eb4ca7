// Case 7: for 5 s nothing passes between three sidecars and the backend. Requests that have several seconds left when
// it is over are thrown away unread, because others before them on the connection are overdue. TROUBLE=0: the network
// never stands still.
#include "../standins-2/kit.h"

namespace {

using namespace kit;

constexpr int kSidecars = 3;  // one connection each
constexpr std::int64_t kBoardPatienceMs = 480, kListPatienceMs = 8000;
constexpr std::int64_t kStepMs = 100;  // a board-item in each step, a day-list in every third
constexpr std::int64_t kPlayMs = 20000, kStillFromMs = 5000, kStillMs = 5000;

std::size_t resultBytes(const Request&) { return 400; }

}  // namespace

int main(int, char** arguments) {
    Record record(arguments[1]);
    World world(record);
    Pool pool(world, [](const Request& request) { return request.route == "day-list" ? 60 : 30; }, resultBytes);
    HttpAnswers registry("HTTP/1.1 204 No Content\r\n\r\n"), records("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
    Deployment deployment;
    deployment.pool = pool.port, deployment.registry = registry.port, deployment.records = records.port;
    deployment.memoryMb = 192, deployment.sockets = 1024, deployment.classCount = 2;
    deployment.classes =
        R"([{"name":"day-list","repeat":"free","aim_us":3400000,"deadline_us":11000000,"worth":1,"late_value":0.2},)"
        R"({"name":"board-item","repeat":"free","aim_us":2300000,"deadline_us":5700000,"worth":5,"late_value":0.2}])";
    Backend backend(deployment, record);
    waitUntilHealthy(world, backend);
    Relay network(backend.port);

    const std::int64_t start = nowMs();
    std::vector<SidecarPtr> sidecars(kSidecars);
    bool still = false;
    for (std::int64_t step = 0; step * kStepMs < kPlayMs; ++step) {
        sleepUntilMs(start + step * kStepMs);
        const std::int64_t at = step * kStepMs;
        const bool stands = withTrouble() && at >= kStillFromMs && at < kStillFromMs + kStillMs;
        if (stands != still) {
            still = stands;
            record.line(still ? "nothing passes between the sidecars and the backend" : "the network passes bytes again");
            network.standStill(still);
        }
        for (std::size_t i = 0; i < sidecars.size(); ++i) {
            SidecarPtr& sidecar = sidecars[i];
            if (sidecar) sidecar->forgetOverdue();
            if (sidecar && sidecar->ended())
                record.line("the connection of sidecar %zu ended after %d answers", i, sidecar->answers());
            if (!sidecar || sidecar->ended() || sidecar->toldToLeave()) {
                if (sidecar && !sidecar->ended() && sidecar->openRequests() > 0) continue;
                sidecar = Sidecar::open(world, network.port, resultBytes);
                if (!sidecar) continue;
                const RequestPtr first = world.add("day-list", 200, kListPatienceMs);
                first->first = true;
                sidecar->send(first);
                continue;
            }
            if (sidecar->answers() == 0) continue;
            // "One connection may carry up to 32 open requests".
            if (sidecar->openRequests() < 31) sidecar->send(world.add("board-item", 200, kBoardPatienceMs));
            if (step % 3 == 0 && sidecar->openRequests() < 31) sidecar->send(world.add("day-list", 200, kListPatienceMs));
        }
    }
    for (int i = 0; i < 90; ++i, sleepMs(100))
        for (const SidecarPtr& sidecar : sidecars)
            if (sidecar) sidecar->forgetOverdue();
    const Verdict verdict = judge(world, [](const Request& request) { return !request.first; });
    if (verdict.sent < 300) finish(backend, record, kCouldNotRun);
    finish(backend, record, breaksRule(verdict) ? kBroken : kHeld);
}
