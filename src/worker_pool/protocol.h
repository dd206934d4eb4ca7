// The lines of the worker pool: pure, bytes in, values out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "overload/types.h"

namespace cottonwing::worker_pool {

enum class NoticeKind { Bound, Finished, Blocked, Polled, Verified, Unknown, Chatter };

struct Notice {
    NoticeKind kind = NoticeKind::Chatter;
    std::uint64_t number = 0;  // 0 where the kind has none
    std::string job, state, data, tag;
    Duration took{0};
    std::vector<double> gauges;
};

// Nothing when the line can't be read.
std::optional<Notice> readNotice(std::string_view line);

std::string encode64(std::string_view bytes);
std::optional<std::string> decode64(std::string_view text);

std::string bindLine(std::uint64_t last);
std::string startLine(std::string_view job, std::string_view profile, std::string_view body);
std::string haltLine(std::string_view job);
std::string supplyLine(std::string_view job, std::string_view reply);
std::string leaveOutLine(std::string_view job);
std::string pollLine(std::string_view tag);
std::string verifyLine(std::string_view tag);

}  // namespace cottonwing::worker_pool
