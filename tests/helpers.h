/// @file
/// Includes all fixtures of tests/support.
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
