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

// A request of a class that doesn't exist, and behind it a message that claims to have 16 KiB and has one byte less.
std::string badMessages(const std::string& id) {
    Request unknown;
    unknown.id = id;
    unknown.route = "no-such-class";
    unknown.born = nowMs();
    unknown.patience = 1000;
    return serveFrame(unknown, 1) + Bytes().number(16384, 4).text + std::string(16383, 'x');
}

// Bad clients send at full speed, read whatever is sent to them, and come again half a second after they were turned away.
void playBadClients(int port, std::int64_t until, Record& record) {
    struct Client {
        int fd = -1;
        std::string left;
        std::int64_t openedMs = 0, nextMs = 0;
    };
    std::vector<Client> clients(kBadClients);
    std::uint64_t ids = 0x5bad000000000000ULL;
    int opened = 0, ended = 0;
    std::int64_t longestMs = 0;
    while (nowMs() < until) {
        for (Client& client : clients) {
            if (client.fd >= 0 || nowMs() < client.nextMs) continue;
            client.fd = connectTo(port);
            if (client.fd < 0) continue;
            ++opened;
            fcntl(client.fd, F_SETFL, fcntl(client.fd, F_GETFL) | O_NONBLOCK);
            char id[17];
            std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++ids));
            client.left = badMessages(id);
            client.openedMs = nowMs();
        }
        std::vector<pollfd> polled;
        for (const Client& client : clients)
            polled.push_back({client.fd, static_cast<short>(client.left.empty() ? POLLIN : POLLIN | POLLOUT), 0});
        poll(polled.data(), polled.size(), 20);
        for (std::size_t i = 0; i < clients.size(); ++i) {
            Client& client = clients[i];
            if (client.fd < 0 || polled[i].revents == 0) continue;
            bool over = false;
            if ((polled[i].revents & POLLOUT) != 0 && !client.left.empty()) {
                const ssize_t count = send(client.fd, client.left.data(), client.left.size(), MSG_NOSIGNAL);
                if (count > 0) client.left.erase(0, static_cast<std::size_t>(count));
                over = count < 0 && errno != EAGAIN && errno != EINTR;
            }
            char buffer[4096];
            ssize_t count;
            while ((count = recv(client.fd, buffer, sizeof buffer, 0)) > 0) {}
            over = over || count == 0 || (errno != EAGAIN && errno != EINTR);
            if (!over) continue;
            longestMs = std::max(longestMs, nowMs() - client.openedMs);
            ++ended;
            close(client.fd);
            client.fd = -1;
            client.nextMs = nowMs() + kAgainMs;
        }
    }
    for (const Client& client : clients)
        if (client.fd >= 0) close(client.fd);
    record.line("bad clients: %d connections, %d ended by the backend, the longest after %lld ms", opened, ended,
                static_cast<long long>(longestMs));
}

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
            record.line("%d bad clients connect", kBadClients);
            playBadClients(backend.port, start + kTroubleToMs, record);
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
