/// @file
/// All fixtures of the tests, which stand each in a file of its own under tests/support, and the shorter
/// names that tests written earlier use for them.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <numeric>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "server.h"
#include "support/controller_harness.h"
#include "support/event_loop_helpers.h"
#include "support/fake_http_server.h"
#include "support/fake_server.h"
#include "support/fake_worker_pool.h"
#include "support/plain_config.h"
#include "support/server_fixture.h"
#include "support/thrift_frames.h"
#include "support/thrift_test_client.h"

namespace cottonwing::testing {

using Machine = ControllerHarness;
using StandIn = FakeServer;
using Pool = FakeWorkerPool;
using HttpStandIn = FakeHttpServer;
using Sidecar = ThriftTestClient;
using Stage = ServerFixture;
using Reply = FieldMap;

inline ControllerConfig plainTerms() { return plainControllerConfig(); }
inline Json plainStart() { return plainConfigFile(); }
inline config::ProcessConfig startOf(const Json& file,
                                     FieldMap variables = {{"GW_NAME", "n3"}, {"GW_LISTEN", "127.0.0.1:0"}}) {
    return processConfigFrom(file, std::move(variables));
}
template <typename Condition>
void until(net::Loop& loop, Condition&& condition, Duration limit = 20s) {
    runUntil(loop, std::forward<Condition>(condition), limit);
}

}  // namespace cottonwing::testing
