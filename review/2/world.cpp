// Case 2: one client of the proxy sends a request whose id is 16 zeros.
#include "../standins/scgi.h"
#include "../standins/thrift.h"

#include <random>

using namespace standins;

namespace {

constexpr double kSeconds = 20, kPerSecond = 40, kBadClientAt = 5, kServiceSeconds = 0.3, kPatience = 6;

struct Open {
    std::string trace;
    double due = 0;
};

}  // namespace

int main(int argc, char** argv) {
    if (argc != 5) cannotRun("usage: world ROOT RUN TEMP RECORD");
    const std::string root = argv[1], command = argv[2], temp = argv[3];
    const bool trouble = troubleWanted();
    Record record(argv[4]);
    Loop loop;
    std::mt19937_64 random(std::random_device{}());
    long sent = 0, served = 0, refused = 0, failed = 0, lost = 0, runs = 0, twice = 0;
    std::map<std::string, int> runsOf;

    const auto serve = [&](ConnectionPtr from, const ScgiRequest& request) {
        const auto trace = request.headers.find("HTTP_X_TRACE");
        if (trace == request.headers.end()) return ScgiServer::answer(from, "well");  // a health check
        ++runs;
        record.line("run " + trace->second);
        // The profile is once-only: nothing may run a second time.
        if (++runsOf[trace->second] > 1) ++twice, record.line("BROKEN: a second run of " + trace->second);
        loop.after(kServiceSeconds, [from, body = "done " + trace->second] { ScgiServer::answer(from, body); });
    };
    ScgiServer first(loop, serve), second(loop, serve);
    const int thriftPort = freePort();
    const int scgiPort = freePort();
    const auto at = [](int number) { return "\"127.0.0.1:" + std::to_string(number) + "\""; };
    std::ofstream(temp + "/kiosks.kdl") << "serve \"kiosks\" {\n"
        "    limits memory=192MiB sockets=1024\n"
        "    leave stop=3200ms grace=800ms\n"
        "    thrift listen=" << at(thriftPort) << "\n"
        "    scgi listen=" << at(scgiPort) << " head-at-most=8KiB body-at-most=64KiB head-within=2s body-within=10s {\n"
        "        route \"/filing/*\" POST profile=\"filing\"\n"
        "    }\n"
        "    profile \"filing\" { worth 8; promised 2s; hard-stop 6s; repeat once-only }\n"
        "    group \"halls\" {\n"
        "        server " << at(first.port()) << " most=16\n"
        "        server " << at(second.port()) << " most=16\n"
        "        choose two-choices\n"
        "        leave-out in-a-row=5 share=50% at-most=50% for=1s longest=30s\n"
        "        checks 1s path=\"/health\"\n"
        "    }\n"
        "}\n";
    Child proxy(command + " serve " + temp + "/kiosks.kdl", root, {}, temp + "/proxy.log");

    // Sound clients: one Thrift connection, and SCGI connections with one request each.
    ConnectionPtr thrift;
    int sequence = 0;
    std::map<int, Open> open;
    long scgiOpen = 0;
    const auto count = [&](const std::string& trace, const std::string& kind) {
        record.line("answer " + trace + " " + kind);
        if (kind == "served") ++served;
        else if (kind == "refused") ++refused;
        else ++failed;
    };
    const auto loseThrift = [&] {
        for (const auto& [number, each] : open) record.line("BROKEN: no answer to " + each.trace), ++lost;
        open.clear();
    };
    const auto openThrift = [&] {
        thrift = loop.connect(thriftPort);
        sequence = 0;
        thrift->onData = [&](Connection& c) {
            while (const auto reply = takeReply(c.in)) {
                const auto found = open.find(reply->sequence);
                if (found == open.end()) continue;
                count(found->second.trace, reply->name());
                open.erase(found);
            }
        };
        thrift->onEnd = [&](Connection&) { loseThrift(); };
    };
    const auto newTrace = [&] {
        char trace[17];
        std::snprintf(trace, sizeof trace, "%016llx", static_cast<unsigned long long>(random() | 1));
        return std::string(trace);
    };
    const auto fieldsOf = [&](const std::string& trace) {
        return Fields{{"route", "filing"}, {"trace", trace}, {"born", std::to_string(static_cast<long long>(unixSeconds() * 1000))},
                      {"client", "4"}, {"patience", std::to_string(static_cast<int>(kPatience * 1000))}, {"weight", "300"}, {"size", "24.5"}, {"order", "0.5"}};
    };
    const auto sendThrift = [&] {
        if (!thrift || thrift->gone) openThrift();
        if (open.size() >= 30) return;
        const std::string trace = newTrace();
        open[++sequence] = {trace, unixSeconds() + kPatience};
        ++sent;
        record.line("send " + trace + " over Thrift");
        thrift->send(serveMessage(sequence, fieldsOf(trace), "filing of " + trace));
    };
    const auto sendScgi = [&] {
        const std::string trace = newTrace();
        const ConnectionPtr connection = loop.connect(scgiPort);
        ++sent;
        ++scgiOpen;
        record.line("send " + trace + " over SCGI");
        connection->onEnd = [&, trace](Connection& c) {
            --scgiOpen;
            if (c.connecting) return count(trace, "refused");  // the connection was refused: nothing ran
            if (c.in.rfind("Status: ", 0) == 0)
                return count(trace, c.in.rfind("Status: 200", 0) == 0 ? "served" : c.in.rfind("Status: 503", 0) == 0 ? "refused" : "failed");
            record.line("BROKEN: no answer to " + trace);
            ++lost;
        };
        connection->send(scgiRequest({{"REQUEST_METHOD", "POST"}, {"REQUEST_URI", "/filing/1"}, {"HTTP_X_TRACE", trace}, {"HTTP_X_PATIENCE_MS", "6000"}},
                                     "filing of " + trace));
    };
    double startedAt = 0;
    long slots = 0;
    bool ended = false;
    std::function<void()> tick = [&] {
        const double now = unixSeconds();
        if (!ended && !proxy.running()) {
            ended = true;
            record.line("BROKEN: the proxy ended by " + proxy.endedBy());
            loop.after(0.5, [&] { loop.stop(); });
        }
        for (; !ended && static_cast<double>(slots) < (now - startedAt) * kPerSecond && now - startedAt < kSeconds; ++slots)
            slots % 2 == 0 ? sendThrift() : sendScgi();
        for (auto each = open.begin(); each != open.end();) {
            // 50 ms more than 80 ms: the slack of the rule on sockets.
            if (now < each->second.due + 0.13) { ++each; continue; }
            record.line("BROKEN: no answer in time to " + each->second.trace);
            ++lost;
            each = open.erase(each);
        }
        if (now - startedAt > kSeconds + kPatience + 0.5 || (now - startedAt > kSeconds && open.empty() && scgiOpen == 0)) return loop.stop();
        loop.after(0.01, tick);
    };
    ConnectionPtr bad;
    const auto badClient = [&] {
        record.line("a bad client sends a request with the id 0000000000000000");
        bad = loop.connect(thriftPort);
        bad->onData = [&](Connection& c) {
            while (const auto reply = takeReply(c.in)) record.line(std::string("the bad client is answered: ") + reply->name());
        };
        bad->onEnd = [&](Connection&) { record.line("the bad client's connection ends"); };
        bad->send(serveMessage(1, fieldsOf("0000000000000000"), "filing of nobody"));
    };
    const double givenUpAt = unixSeconds() + 20;
    bool healthy = false;
    std::function<void()> check = [&] {
        if (healthy) return;
        if (!proxy.running() || unixSeconds() > givenUpAt) cannotRun("the proxy does not become healthy");
        const ConnectionPtr probe = loop.connect(thriftPort);
        probe->onData = [&](Connection& c) {
            const auto reply = takeReply(c.in);
            if (!reply) return;
            c.close();
            if (!reply->good || healthy) return;
            healthy = true;
            startedAt = unixSeconds();
            if (trouble) loop.after(kBadClientAt, badClient);
            tick();
        };
        probe->send(isWellMessage(1));
        loop.after(0.3, check);
    };
    check();
    loop.run();

    const bool crashed = !proxy.running();
    loseThrift();
    char summary[500];
    std::snprintf(summary, sizeof summary, "trouble=%d sent=%ld served=%ld refused=%ld failed=%ld without an answer=%ld runs=%ld run a second time=%ld\nproxy: %s",
                  trouble ? 1 : 0, sent, served, refused, failed, lost, runs, twice, crashed ? ("ended by " + proxy.endedBy()).c_str() : "runs");
    record.line(summary);
    record.flush();
    std::printf("%s\n", summary);
    if (served < 50) cannotRun("too few requests were served");
    return crashed || lost > 0 || twice > 0 ? 1 : 0;
}
