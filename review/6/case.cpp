// Case 6: bad clients connect by the hundred and send messages whose length is wrong. The connections of the sidecars
// end, with everything that is open on them. TROUBLE=0: no bad client connects.
#include "../standins-2/kit.h"

namespace {

using namespace kit;

constexpr int kBadClients = 300;
constexpr std::int64_t kAgainMs = 500;        // until a bad client that was turned away comes again
constexpr int kSidecars = 6;                 // connections
constexpr int kAtOnce = 6;                   // requests that a sidecar has at the same time
constexpr std::int64_t kEveryMs = 400;
constexpr std::int64_t kPlayMs = 16000, kTroubleFromMs = 4000, kTroubleToMs = 11000;
constexpr std::size_t kBodyBytes = 2048, kResultBytes = 4096;  // "2 KiB at most", "4 KiB at most"

std::size_t resultBytes(const Request&) { return kResultBytes; }

// A message that claims to have 16 KiB and has one byte less.
std::string badMessages(const std::string& id) { return unknownClassThenWrongLength(id, 16384, 16383); }

}  // namespace

int main(int, char** arguments) {
    Record record(arguments[1]);
    World world(record);
    Pool pool(world, [](const Request&) { return 150; }, resultBytes);
    HttpAnswers registry("HTTP/1.1 204 No Content\r\n\r\n"), records("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
    Deployment deployment;
    deployment.pool = pool.port, deployment.registry = registry.port, deployment.records = records.port;
    deployment.classes = R"([{"name":"day-list","repeat":"free","aim_us":3400000,"deadline_us":8000000,"worth":1}])";
    Backend backend(deployment, record);
    waitUntilHealthy(world, backend);

    const std::int64_t start = nowMs();
    std::thread bad;
    if (withTrouble())
        bad = std::thread([&] {
            sleepUntilMs(start + kTroubleFromMs);
            playBadClients(kBadClients, kAgainMs, badMessages, backend.port, start + kTroubleToMs, record);
        });
    std::vector<SidecarPtr> sidecars(kSidecars);
    int ends = 0;
    for (std::int64_t turn = 0; turn * kEveryMs < kPlayMs; ++turn) {
        // The sidecars send one after the other, so that the pool gets six requests at a time.
        for (std::size_t i = 0; i < sidecars.size(); ++i) {
            sleepUntilMs(start + turn * kEveryMs + static_cast<std::int64_t>(i) * kEveryMs / kSidecars);
            SidecarPtr& sidecar = sidecars[i];
            if (sidecar && sidecar->ended()) {
                record.line("the connection of sidecar %zu ended after %d answers", i, sidecar->answers());
                ++ends;
            }
            if (!sidecar || sidecar->ended() || sidecar->toldToLeave()) sidecar = Sidecar::open(world, backend.port, resultBytes);
            if (!sidecar) continue;
            // A request on a new connection that the backend closes having run nothing is not lost: a sidecar
            // sends a first request alone, and the others once it is answered.
            const int count = sidecar->answers() == 0 ? 1 : kAtOnce;
            if (count == 1 && sidecar->openRequests() > 0) continue;
            std::string frames;
            std::vector<RequestPtr> batch;
            for (int k = 0; k < count; ++k) {
                batch.push_back(world.add("day-list", kBodyBytes, 4000));
                batch.back()->first = count == 1;
                frames += sidecar->frameOf(batch.back());
            }
            if (!sidecar->write(frames, nullptr)) continue;
            const std::lock_guard lock(world.mutex);
            for (const RequestPtr& request : batch) request->writtenUs = nowUs();
        }
    }
    if (bad.joinable()) bad.join();
    sleepMs(4300);
    record.line("connections of sidecars that ended: %d", ends);
    const Verdict verdict = judge(world, [](const Request& request) { return !request.first; });
    if (verdict.sent < 400) finish(backend, record, kCouldNotRun);
    finish(backend, record, breaksRule(verdict) ? kBroken : kHeld);
}
