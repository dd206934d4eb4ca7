#include "worker_pool/protocol.h"

#include <array>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>

namespace cottonwing::worker_pool {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string textOf(const Json& object, const char* key) {
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::string line(const Json& object) { return object.dump() + "\n"; }

}  // namespace

std::optional<Notice> readNotice(std::string_view line) {
    static const std::map<std::string, NoticeKind> kKinds = {
        {"bound", NoticeKind::Bound},    {"finished", NoticeKind::Finished}, {"blocked", NoticeKind::Blocked},
        {"polled", NoticeKind::Polled},  {"verified", NoticeKind::Verified}, {"unknown", NoticeKind::Unknown},
        {"chatter", NoticeKind::Chatter}};
    const Json all = Json::parse(line, nullptr, false);
    if (!all.is_object()) return std::nullopt;
    const auto kind = kKinds.find(textOf(all, "type"));
    if (kind == kKinds.end()) return std::nullopt;
    Notice notice;
    notice.kind = kind->second;
    notice.job = textOf(all, "job");
    notice.state = textOf(all, "state");
    notice.tag = textOf(all, "ref");
    if (const auto found = all.find("n"); found != all.end() && found->is_number_unsigned())
        notice.number = found->get<std::uint64_t>();
    if (const auto found = all.find("took"); found != all.end() && found->is_number()) {
        const double millis = found->get<double>();
        if (millis >= 0 && millis < 1e12) notice.took = Duration(static_cast<std::int64_t>(millis * 1e6));
    }
    if (const auto data = decode64(textOf(all, "data")))
        notice.data = *data;
    else
        return std::nullopt;
    if (const auto found = all.find("gauges"); found != all.end() && found->is_array())
        for (const Json& gauge : *found)
            notice.gauges.push_back(gauge.is_number() ? gauge.get<double>() : std::nan(""));
    return notice;
}

std::string encode64(std::string_view bytes) {
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 3; ++i)
            group = group << 8 | (at + i < bytes.size() ? static_cast<std::uint8_t>(bytes[at + i]) : 0U);
        for (std::size_t i = 0; i < 4; ++i)
            text.push_back(at + i <= bytes.size() ? kDigits[group >> (18 - 6 * i) & 63] : '=');
    }
    return text;
}

std::optional<std::string> decode64(std::string_view text) {
    static const auto kValues = [] {
        std::array<int, 256> values;
        values.fill(-1);
        for (std::size_t i = 0; i < kDigits.size(); ++i)
            values[static_cast<std::uint8_t>(kDigits[i])] = static_cast<int>(i);
        return values;
    }();
    if (text.size() % 4 != 0) return std::nullopt;
    for (int i = 0; i < 2 && !text.empty() && text.back() == '='; ++i) text.remove_suffix(1);
    std::string bytes;
    bytes.reserve(text.size() * 3 / 4);
    std::uint32_t group = 0;
    int bits = 0;
    for (const char digit : text) {
        const int value = kValues[static_cast<std::uint8_t>(digit)];
        if (value < 0) return std::nullopt;
        group = group << 6 | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits < 8) continue;
        bits -= 8;
        bytes.push_back(static_cast<char>(group >> bits & 0xff));
    }
    return bytes;
}

std::string bindLine(std::uint64_t last) { return line({{"type", "bind"}, {"n", last}}); }
std::string startLine(std::string_view job, std::string_view profile, std::string_view body) {
    return line({{"type", "spawn"}, {"job", job}, {"kind", profile}, {"data", encode64(body)}});
}
std::string haltLine(std::string_view job) { return line({{"type", "suspend"}, {"job", job}}); }
std::string supplyLine(std::string_view job, std::string_view reply) {
    return line({{"type", "supply"}, {"job", job}, {"data", encode64(reply)}});
}
std::string leaveOutLine(std::string_view job) { return line({{"type", "pass"}, {"job", job}}); }
std::string pollLine(std::string_view tag) { return line({{"type", "poll"}, {"ref", tag}}); }
std::string verifyLine(std::string_view tag) { return line({{"type", "verify"}, {"ref", tag}}); }

}  // namespace cottonwing::worker_pool
