// SCGI messages split into arbitrary pieces, the route table against a linear search, the adaptive
// concurrency limit, and the gateway on real sockets between SCGI clients and emulated servers with faults.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <fstream>
#include <thread>

#include "helpers.h"
#include "loadtest/emulators/scgi_server.h"
#include "loadtest/thrift_client_codec.h"
#include "raw_client.h"
#include "routing/concurrency_limit.h"
#include "routing/route_table.h"
#include "serve/gateway.h"
#include "support/before_each_poll.h"
#include "support/gateway_fixture.h"

namespace cottonwing {
namespace {

using namespace std::chrono_literals;
using cottonwing::testing::runUntil;
using loadtest::EmulatedScgiServer;
using loadtest::ScgiFault;
using testing::GatewayFixture;
using testing::ScgiClient;

int intUpTo(int max) { return *rc::gen::resize(1000, rc::gen::inRange(0, max + 1)); }

// ---- messages

RC_GTEST_PROP(ScgiMessages, RequestSplitAnywhereIsReadUnchanged, ()) {
    scgi::Headers headers = {{"REQUEST_METHOD", "POST"},
                             {"REQUEST_URI", "/board/" + std::to_string(intUpTo(99))}};
    for (int n = intUpTo(5); n > 0; --n)
        headers.emplace_back("HTTP_X_" + std::to_string(n),
                             std::string(static_cast<std::size_t>(intUpTo(40)), 'x'));
    const std::string body(static_cast<std::size_t>(intUpTo(300)), 'b');
    const std::string bytes = scgi::writeRequest(headers, body);
    scgi::RequestReader reader({8192, 65536});
    for (std::size_t at = 0; at < bytes.size();) {
        const std::size_t piece = std::min(bytes.size() - at, static_cast<std::size_t>(1 + intUpTo(20)));
        RC_ASSERT(reader.state() != scgi::RequestReader::State::Malformed);
        RC_ASSERT(reader.read(std::string_view(bytes).substr(at, piece)) == piece);
        at += piece;
    }
    RC_ASSERT(reader.state() == scgi::RequestReader::State::Complete);
    RC_ASSERT(reader.body() == body);
    for (const auto& [name, value] : headers)
        RC_ASSERT(scgi::findHeader(reader.headers(), name) == std::string_view(value));
    RC_ASSERT(reader.read("more") == 0U);
}

scgi::RequestError requestErrorOf(const std::string& bytes, scgi::RequestLimits limits = {1000, 1000}) {
    scgi::RequestReader reader(limits);
    reader.read(bytes);
    return reader.error();
}
std::string netstring(const std::string& head) { return std::to_string(head.size()) + ":" + head + ","; }

TEST(ScgiMessages, EachMalformedRequestHasAnErrorAndStatus) {
    const std::string zero(1, '\0');
    const std::string good = "CONTENT_LENGTH" + zero + "5" + zero + "SCGI" + zero + "1" + zero;
    EXPECT_EQ(requestErrorOf(netstring(good) + "hello"), scgi::RequestError::None);
    EXPECT_EQ(requestErrorOf("GET / HTTP/1.1"), scgi::RequestError::MissingNetstring);
    EXPECT_EQ(requestErrorOf(":"), scgi::RequestError::MissingNetstring);
    EXPECT_EQ(requestErrorOf("60000000:"), scgi::RequestError::HeadTooLong);
    EXPECT_EQ(requestErrorOf("99999999999999999999"), scgi::RequestError::HeadTooLong);
    EXPECT_EQ(requestErrorOf(std::to_string(good.size()) + ":" + good + ";"),
              scgi::RequestError::MalformedHead);
    EXPECT_EQ(requestErrorOf(netstring(good + "ODD")), scgi::RequestError::MalformedHead);
    EXPECT_EQ(requestErrorOf(netstring("SCGI" + zero + "1" + zero + "CONTENT_LENGTH" + zero + "0" + zero)),
              scgi::RequestError::MissingContentLength);
    EXPECT_EQ(requestErrorOf(netstring("")), scgi::RequestError::MissingContentLength);
    EXPECT_EQ(requestErrorOf(netstring("CONTENT_LENGTH" + zero + "-1" + zero)),
              scgi::RequestError::InvalidContentLength);
    EXPECT_EQ(requestErrorOf(netstring("CONTENT_LENGTH" + zero + "0" + zero)), scgi::RequestError::NotScgi);
    EXPECT_EQ(requestErrorOf(netstring("CONTENT_LENGTH" + zero + "5000" + zero + "SCGI" + zero + "1" + zero)),
              scgi::RequestError::BodyTooLong);
    EXPECT_EQ(requestErrorOf(netstring(good + "SCGI" + zero + "1" + zero)),
              scgi::RequestError::DuplicateHeader);
    EXPECT_EQ(scgi::statusOf(scgi::RequestError::HeadTooLong), 431);
    EXPECT_EQ(scgi::statusOf(scgi::RequestError::BodyTooLong), 413);
    EXPECT_EQ(scgi::statusOf(scgi::RequestError::MissingContentLength), 411);
}

RC_GTEST_PROP(ScgiMessages, ArbitraryBytesUseBoundedMemory, ()) {
    scgi::RequestReader reader({200, 300});
    scgi::ReplyReader reply(400);
    for (int n = intUpTo(30); n > 0; --n) {
        const std::string piece = *rc::gen::container<std::string>(
            rc::gen::elementOf(std::string("0123456789:,\0\r\nSCGIstatu ", 26)));
        reader.read(piece);
        reply.read(piece);
        RC_ASSERT(reader.bufferedBytes() <= 501U);
        RC_ASSERT(reply.bytes().size() <= 400U);
    }
}

TEST(ScgiMessages, RepliesMustMatchTheirContentLength) {
    using State = scgi::ReplyReader::State;
    const auto stateOf = [](const std::string& bytes, bool ends) {
        scgi::ReplyReader reader(1000);
        for (const char byte : bytes) reader.read(std::string_view(&byte, 1));
        return ends ? reader.connectionEnded() : reader.state();
    };
    EXPECT_EQ(stateOf("Status: 200 OK\r\nContent-Length: 2\r\n\r\nhi", false), State::Complete);
    EXPECT_EQ(stateOf("Content-Type: a\n\nhi", false), State::Partial);
    EXPECT_EQ(stateOf("Content-Type: a\n\nhi", true), State::Complete);
    EXPECT_EQ(stateOf("Status: 200 OK\r\nContent-Length: 3\r\n\r\nhi", true), State::Malformed);
    EXPECT_EQ(stateOf("Status: 200 OK\r\nContent-Length: 1\r\n\r\nhi", false), State::Malformed);
    EXPECT_EQ(stateOf("Status: fine\r\n\r\n", false), State::Malformed);
    EXPECT_EQ(stateOf("no head at all\r\n\r\n", false), State::Malformed);
    EXPECT_EQ(stateOf("", true), State::Malformed);
}

// ---- routes and limits

// The trie finds the same route as a linear search, for any routes, paths, methods and headers.
RC_GTEST_PROP(RouteTable, TrieMatchesLinearSearch, ()) {
    static const std::vector<std::string> kWords = {"a", "b", "c", "", ":x", ":y"};
    routing::RouteTable trie;
    std::vector<routing::Route> list;
    for (int n = 1 + intUpTo(25); n > 0; --n) {
        routing::Route route;
        for (int depth = 1 + intUpTo(3); depth > 0; --depth) route.path += "/" + *rc::gen::elementOf(kWords);
        if (intUpTo(3) == 0) route.path += "/*";
        if (intUpTo(2) == 0) route.methods = {intUpTo(1) ? "GET" : "POST"};
        if (intUpTo(3) == 0) route.headers = {{"K", std::to_string(intUpTo(1))}};
        route.target = list.size();
        if (trie.add(route) == nullptr) list.push_back(route);
    }
    RC_ASSERT(trie.size() == list.size());
    for (int n = 0; n < 30; ++n) {
        std::string path;
        for (int depth = 1 + intUpTo(4); depth > 0; --depth)
            path += "/" + *rc::gen::elementOf(std::vector<std::string>{"a", "b", "c", "d", ""});
        const std::string method = intUpTo(1) ? "GET" : "POST", value = std::to_string(intUpTo(2));
        const auto header = [&](std::string_view name) -> std::optional<std::string_view> {
            return name == "K" ? std::optional<std::string_view>(value) : std::nullopt;
        };
        const auto one = trie.find(path, method, header),
                   other = routing::findByLinearSearch(list, path, method, header);
        RC_ASSERT(one.has_value() == other.has_value());
        if (one) RC_ASSERT(one->route->target == other->route->target);
        if (one) RC_ASSERT(one->parameters == other->parameters);
    }
}

TEST(RouteTable, InvalidPatternsAreReported) {
    EXPECT_FALSE(routing::RouteTable::patternError("/a/:b/*"));
    EXPECT_TRUE(routing::RouteTable::patternError("a"));
    EXPECT_TRUE(routing::RouteTable::patternError("/a/*/b"));
    EXPECT_TRUE(routing::RouteTable::patternError("/a*"));
    EXPECT_TRUE(routing::RouteTable::patternError("/:"));
    routing::RouteTable routes;
    EXPECT_THROW(routes.add({"nowhere", {}, {}, 0}), std::invalid_argument);
}

// A server with a capacity of eight concurrent requests and exponential service times. The limit must
// converge to about that, stay within its bounds, and under steady load stay within a factor of 2.5.
TEST(ConcurrencyLimit, ConvergesToServerCapacityAndStaysThere) {
    std::mt19937 randomGenerator(3);
    std::exponential_distribution<double> work(1 / 0.01);
    routing::ConcurrencyLimit limit(routing::ConcurrencyLimitConfig{});
    Duration now{0};
    double min = 1e9, max = 0;
    for (int n = 0; n < 30000; ++n) {
        const int inFlight = static_cast<int>(limit.limit());
        const double slowdown = std::max(1.0, inFlight / 8.0);
        now += Duration(static_cast<std::int64_t>(1e9 * 0.01 * slowdown / inFlight));
        limit.recordSuccess(Duration(static_cast<std::int64_t>(work(randomGenerator) * slowdown * 1e9)),
                            inFlight, now);
        ASSERT_GE(limit.limit(), 1);
        ASSERT_LE(limit.limit(), 100);
        if (n > 10000) min = std::min(min, limit.steadyLimit()), max = std::max(max, limit.steadyLimit());
    }
    EXPECT_GE(min, 6);
    EXPECT_LE(max, 24);
    EXPECT_LT(max / min, 2.5);
    for (int n = 0; n < 100; ++n) limit.recordFailure(now += 1s);
    EXPECT_EQ(limit.limit(), 1);
    EXPECT_TRUE(limit.allows(0));
}

// ---- gateway

TEST(Gateway, ForwardsRequestReplyAndDeadlineUnchanged) {
    GatewayFixture fixture({loadtest::EmulatedScgiServerConfig{}});
    const auto client = fixture.newClient();
    client->sendRequest(
        "/list/supreme?day=2", "GET",
        {{"HTTP_X_TRACE", "00000000000000ab"}, {"HTTP_X_PATIENCE_MS", "900"}, {"HTTP_ODD", "kept"}}, "body");
    runUntil(fixture.loop, [&] { return client->closed; });
    EXPECT_EQ(client->text, scgi::writeReply(200, {{"Content-Type", "text/plain"}}, "ok 00000000000000ab"));
    const auto& headers = fixture.servers[0]->lastHeaders();
    EXPECT_EQ(scgi::findHeader(headers, "HTTP_ODD"), std::string_view("kept"));
    EXPECT_EQ(fixture.servers[0]->lastBody(), "body");
    const auto due =
        std::atoll(std::string(scgi::findHeader(headers, "HTTP_X_DUE_MS").value_or("0")).c_str());
    EXPECT_GT(due, net::unixNow() / 1ms - 1000);
    EXPECT_LT(due, net::unixNow() / 1ms + 1000);
    EXPECT_EQ(fixture.exchange("/nowhere").substr(0, 11), "Status: 404");
    fixture.expectEveryRequestEnded();
}

TEST(Gateway, ThriftAndScgiShareOneRequestManager) {
    GatewayFixture fixture({loadtest::EmulatedScgiServerConfig{}});
    testing::ThriftTestClient thriftClient(fixture.loop, fixture.gateway->thriftServer()->port());
    const auto sequence = thriftClient.sendRequest(7, "plain bytes", "cause-list", 1500);
    runUntil(fixture.loop, [&] { return thriftClient.answers.contains(sequence); });
    EXPECT_EQ(thriftClient.answers.at(sequence).body, "ok 0000000000000007");
    EXPECT_EQ(fixture.servers[0]->lastBody(), "plain bytes");
    EXPECT_EQ(fixture.exchange("/board/3").substr(0, 11), "Status: 200");
    EXPECT_EQ(fixture.counters.of(telemetry::Count::Completed), 2U);
    fixture.expectEveryRequestEnded();
}

// Guards against a second run of another client's request and against a crash: the id 0 was taken for the
// mark of a health check, so the run of that request kept a pointer to a connection that was gone.
TEST(Gateway, ARequestWithTheIdZeroIsServedLikeAnyOther) {
    loadtest::EmulatedScgiServerConfig slowServer;
    slowServer.serviceTime = 100ms;
    GatewayFixture fixture({slowServer, slowServer}, "", "checks 20ms path=\"/health\"");
    testing::ThriftTestClient client(fixture.loop, fixture.gateway->thriftServer()->port());
    const auto sequence = client.sendRequest(0, "body", "filing", 600);
    const Timestamp deadline = net::unixNow() + 600ms;
    // Once-only requests are in progress all the time, also at the deadline of the request with the id 0.
    constexpr std::size_t kInProgress = 8;
    std::size_t sent = 1;
    runUntil(fixture.loop, [&] {
        for (; sent < client.answers.size() + kInProgress; ++sent)
            client.sendRequest(static_cast<int>(sent), "body", "filing", 1500);
        return net::unixNow() > deadline + 300ms;
    });
    runUntil(fixture.loop, [&] { return client.answers.size() == sent; });
    EXPECT_EQ(client.answers[sequence].body, "ok 0000000000000000");
    std::map<std::string, int> runs;
    for (const auto& server : fixture.servers)
        for (const auto& [trace, count] : server->runs()) runs[trace] += count;
    for (const auto& [trace, count] : runs) EXPECT_EQ(count, 1) << trace;
    runUntil(fixture.loop, [&] { return fixture.gateway->upstreamGroups().inFlight() == 0; });
    fixture.expectEveryRequestEnded();
}

TEST(Gateway, AnScgiRequestKeepsTheIdZero) {
    GatewayFixture fixture({loadtest::EmulatedScgiServerConfig{}});
    const auto client = fixture.newClient();
    client->sendRequest("/filing/1", "POST", {{"HTTP_X_TRACE", "0000000000000000"}}, "body");
    runUntil(fixture.loop, [&] { return client->closed; });
    EXPECT_EQ(client->text, scgi::writeReply(200, {{"Content-Type", "text/plain"}}, "ok 0000000000000000"));
    fixture.expectEveryRequestEnded();
}

// Guards against a reset of a connection that is still in the listen backlog when the listener closes.
TEST(Gateway, AnScgiConnectionThatWaitsAtTheListenerIsAnsweredAtTheDrain) {
    GatewayFixture fixture({loadtest::EmulatedScgiServerConfig{}});
    const Duration from = net::unixNow();
    fixture.gateway->beginShutdown();
    while (net::unixNow() < from + 296ms) fixture.loop.runWithoutWaiting();
    testing::RawClient client(fixture.port());
    client.send(scgi::writeRequest({{"REQUEST_METHOD", "GET"}, {"REQUEST_URI", "/list/all"}}, ""));
    // The drain is due by now, so its timer fires before the loop polls the sockets.
    std::this_thread::sleep_for(from + 302ms - net::unixNow());
    runUntil(fixture.loop, [&] { return client.hasEnded(); });
    EXPECT_FALSE(client.wasReset);
    EXPECT_TRUE(client.received.starts_with("Status: ")) << client.received;
    fixture.expectEveryRequestEnded();
}

// Guards against a request that is read in the last turn of the loop and never answered.
TEST(Gateway, AThriftRequestReadInTheLastTurnIsAnswered) {
    GatewayFixture fixture({loadtest::EmulatedScgiServerConfig{}});
    testing::RawClient client(fixture.gateway->thriftServer()->port());
    client.send(testing::frames::isWell(1, false));
    runUntil(fixture.loop, [&] { return client.receive() > 0; });
    const Duration from = net::unixNow();
    fixture.gateway->beginShutdown();
    int number = 1;
    const testing::BeforeEachPoll sender(fixture.loop, [&] {
        // Starts sending before the connection would be closed as idle.
        if (net::unixNow() - from < 1200ms) return;
        ++number;
        client.send(testing::frames::serve(
            number, testing::ThriftTestClient::requestFields(number, "cause-list", 1500), "body"));
    });
    fixture.loop.run();
    EXPECT_GT(fixture.counters.of(telemetry::Count::RequestsRead), 0U);
    fixture.expectEveryRequestEnded();
}

// A server fault costs only the attempt it hits: idempotent requests are retried on another server and
// succeed, once-only requests fail and never run twice.
TEST(Gateway, ServerFaultCostsOneAttemptAndOnceOnlyNeverRunsTwice) {
    for (const ScgiFault fault :
         {ScgiFault::TruncatedResponse, ScgiFault::DuplicateResponse, ScgiFault::MalformedStatus,
          ScgiFault::ExcessBody, ScgiFault::CloseAfterRequest, ScgiFault::FailFast}) {
        GatewayFixture fixture({{0ns, 1000, fault}, {}});
        for (int n = 0; n < 6; ++n)
            EXPECT_EQ(fixture.exchange("/board/3").substr(0, 11), "Status: 200") << static_cast<int>(fault);
        for (int n = 0; n < 4; ++n) fixture.exchange("/filing/1", "POST", "once");
        for (const auto& server : fixture.servers)
            for (const auto& [trace, runs] : server->runs()) EXPECT_EQ(runs, 1) << trace;
        std::map<std::string, int> all;
        for (const auto& server : fixture.servers)
            for (const auto& [trace, runs] : server->runs()) all[trace] += runs;
        int twice = 0;
        for (const auto& [trace, runs] : all) twice += runs > 1;
        EXPECT_LE(twice, 6) << "repeats of board-item alone";
        fixture.expectEveryRequestEnded();
    }
}

// A failure reply of a server is forwarded when the request is not retried. Guards against reading the reply
// after the record of the run was erased.
TEST(Gateway, FailureReplyOfServerIsForwardedUnchanged) {
    GatewayFixture fixture({{0ns, 1000, ScgiFault::FailFast}});
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(fixture.exchange("/filing/1", "POST", "once"), scgi::writeReply(503, {}, "not now"));
    fixture.expectEveryRequestEnded();
}

TEST(Gateway, SilentServerTimesOut) {
    GatewayFixture fixture({{0ns, 1000, ScgiFault::Silent}});
    const auto client = fixture.newClient();
    client->sendRequest("/filing/1", "POST", {{"HTTP_X_PATIENCE_MS", "300"}});
    runUntil(fixture.loop, [&] { return client->closed; });
    EXPECT_EQ(client->status(), 504);
    fixture.expectEveryRequestEnded();
}

TEST(Gateway, CancelledRequestClosesItsUpstreamConnection) {
    GatewayFixture fixture({{0ns, 1000, ScgiFault::Silent}});
    auto client = fixture.newClient();
    client->sendRequest("/board/1");
    runUntil(fixture.loop, [&] { return fixture.servers[0]->requests() == 1; });
    client.reset();
    runUntil(fixture.loop, [&] { return fixture.servers[0]->abandonedRequests() == 1; });
    EXPECT_EQ(fixture.gateway->upstreamGroups().inFlight(), 0U);
    fixture.expectEveryRequestEnded();
}

TEST(Gateway, RejectsAtOnceWithRetryAfterWhenAllServersAreDown) {
    GatewayFixture fixture({loadtest::EmulatedScgiServerConfig{}});
    const std::string before = fixture.exchange("/board/1");
    EXPECT_EQ(before.substr(0, 11), "Status: 200");
    fixture.servers.clear();
    std::map<std::string, int> statuses;
    for (int n = 0; n < 20; ++n) ++statuses[fixture.exchange("/board/1").substr(8, 3)];
    EXPECT_GT(statuses["503"], 0) << "bounced once the breaker of the runs is open";
    EXPECT_EQ(statuses["502"] + statuses["503"] + statuses["504"], 20);
    EXPECT_NE(fixture.exchange("/board/1").find("X-Retry-After-Ms: "), std::string::npos);
    fixture.expectEveryRequestEnded();
}

TEST(Gateway, MalformedRequestAffectsOnlyItsOwnConnection) {
    GatewayFixture fixture({loadtest::EmulatedScgiServerConfig{}},
                           "head-at-most=1KiB body-at-most=1KiB "
                           "head-within=200ms body-within=200ms");
    const auto statusFor = [&](const std::string& bytes) {
        const auto client = fixture.newClient();
        client->connection->send(bytes);
        runUntil(fixture.loop, [&] { return client->closed; });
        return client->status();
    };
    EXPECT_EQ(statusFor("GET / HTTP/1.0\r\n\r\n"), 400);
    EXPECT_EQ(statusFor("60000000:" + std::string(5000, 'x')), 431);
    EXPECT_EQ(statusFor(scgi::writeRequest({{"REQUEST_URI", "/board/1"}}, std::string(5000, 'x'))), 413);
    EXPECT_EQ(statusFor("12:"), 408);
    const std::string slow = scgi::writeRequest({{"REQUEST_URI", "/board/1"}}, "slow");
    EXPECT_EQ(statusFor(slow.substr(0, slow.size() - 1)), 408);
    EXPECT_EQ(fixture.exchange("/board/1").substr(0, 11), "Status: 200");
    EXPECT_EQ(fixture.servers[0]->requests(), 1U);
}

// Bodies that arrive during the shutdown. One that is complete within the grace period runs; one that is
// complete later is rejected and never runs; one that stays incomplete is rejected before the process stops.
TEST(Gateway, BodiesArrivingDuringShutdownAreAnswered) {
    GatewayFixture fixture({loadtest::EmulatedScgiServerConfig{}});
    const std::string bytes =
        scgi::writeRequest({{"REQUEST_METHOD", "POST"}, {"REQUEST_URI", "/filing/1"}}, "abcdef");
    auto early = fixture.newClient(), late = fixture.newClient(), never = fixture.newClient();
    for (ScgiClient* client : {early.get(), late.get(), never.get()})
        client->connection->send(bytes.substr(0, bytes.size() - 2));
    runUntil(fixture.loop, [&] { return fixture.gateway->scgiServer()->connections() == 3; });
    fixture.gateway->beginShutdown();
    early->connection->send(bytes.substr(bytes.size() - 2));
    runUntil(fixture.loop, [&] { return early->closed; });
    EXPECT_EQ(early->status(), 200);
    bool graceOver = false;
    net::Timer grace(fixture.loop, [&] { graceOver = true; });
    grace.start(400ms);
    runUntil(fixture.loop, [&] { return graceOver; });
    late->connection->send(bytes.substr(bytes.size() - 2));
    runUntil(fixture.loop, [&] { return late->closed && never->closed; });
    EXPECT_EQ(late->status(), 503);
    EXPECT_EQ(never->status(), 503);
    EXPECT_EQ(fixture.servers[0]->requests(), 1U);
    fixture.expectEveryRequestEnded();
}

TEST(Gateway, ReloadChangesServersAndKeepsRequestsInFlight) {
    GatewayFixture fixture({{100ms, 1000, ScgiFault::None}});
    const auto client = fixture.newClient();
    client->sendRequest("/board/1");
    runUntil(fixture.loop, [&] { return fixture.servers[0]->requests() == 1; });
    auto old = std::move(fixture.servers[0]);
    fixture.servers[0] = std::make_unique<EmulatedScgiServer>(fixture.loop, net::Address{"127.0.0.1", 0},
                                                              loadtest::EmulatedScgiServerConfig{});
    fixture.writeFile("", "");
    fixture.gateway->reload(fixture.path);
    runUntil(fixture.loop, [&] { return client->closed; });
    EXPECT_EQ(client->status(), 200);
    fixture.exchange("/board/2");
    EXPECT_EQ(fixture.servers[0]->requests(), 1U);
    EXPECT_EQ(old->requests(), 1U);
    std::ofstream(fixture.path) << "serve \"hall\" { broken";
    fixture.gateway->reload(fixture.path);
    EXPECT_EQ(fixture.counters.of(telemetry::Count::ReloadsRejected), 1U);
    EXPECT_EQ(fixture.exchange("/board/2").substr(0, 11), "Status: 200");
}

TEST(Gateway, OutlierIsEjectedAndReturns) {
    GatewayFixture fixture({{0ns, 1000, ScgiFault::CloseAfterRequest}, {}, {}}, "",
                           "leave-out for=100ms\nchoose round-robin");
    for (int n = 0; n < 40; ++n) fixture.exchange("/board/" + std::to_string(n));
    EXPECT_NE(fixture.logLines.str().find("ejected, 1 of 3 ejected"), std::string::npos);
    fixture.servers[0]->setConfig({});
    runUntil(fixture.loop, [&] {
        fixture.exchange("/board/1");
        return fixture.gateway->upstreamGroups().ejectedCount(0) == 0;
    });
}

}  // namespace
}  // namespace cottonwing
