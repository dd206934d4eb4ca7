#include "loadtest/thrift_client_codec.h"

namespace cottonwing::loadtest {

using namespace thrift;

std::string writeServe(std::int32_t sequence, const Fields& fields, std::string_view body) {
    Writer out(kCall, "serve", sequence);
    out.field(kMap, 1);
    out.map(fields);
    out.field(kString, 2);
    out.string(body);
    out.stop();
    return out.take();
}

std::string writeForget(std::int32_t sequence, std::int32_t which) {
    Writer out(kOneway, "forget", sequence);
    out.field(kI32, 1);
    out.number(static_cast<std::uint32_t>(which), 4);
    out.stop();
    return out.take();
}

std::string writeIsWell(std::int32_t sequence, bool thorough) {
    Writer out(kCall, "isWell", sequence);
    out.field(kBool, 1);
    out.number(thorough ? 1 : 0, 1);
    out.stop();
    return out.take();
}

std::optional<ClientResponse> readClientResponse(std::string_view frame) {
    Reader in(frame);
    ClientResponse clientResponse;
    const std::uint64_t head = in.number(4);
    const auto kind = static_cast<std::uint8_t>(head & 0xff);
    if ((head & 0xffffff00U) != kVersion) return std::nullopt;
    const std::string_view name = in.string();
    clientResponse.sequence = in.i32();
    clientResponse.health = name == "isWell";
    if (!in.good()) return std::nullopt;
    if (kind == kOneway) {
        if (name != "goaway") return std::nullopt;
        clientResponse.kind = ClientResponse::Kind::Goaway;
        return clientResponse;
    }
    if (kind == kException) return clientResponse;
    if (kind != kReply || (name != "serve" && name != "isWell")) return std::nullopt;
    bool seen = false, whole = true;
    // The result is a struct with one field: the answer, or one of the
    // exceptions.
    in.fields([&](std::int16_t id, std::uint8_t type) {
        if (type != kStruct || id < 0 || id > 2 || seen) return false;
        seen = true;
        clientResponse.kind = id == 0   ? ClientResponse::Kind::Answer
                              : id == 1 ? ClientResponse::Kind::Busy
                                        : ClientResponse::Kind::Failed;
        const bool answer = id == 0;
        in.fields([&](std::int16_t inner, std::uint8_t what) {
            if (answer && inner == 1 && what == kString) {
                clientResponse.body = in.string();
            } else if (inner == (answer ? 2 : 1) && what == kMap) {
                auto fields = in.map();
                if (fields)
                    clientResponse.fields = std::move(*fields);
                else
                    whole = false;
            } else if (answer && inner == 3 && what == kBool) {
                clientResponse.good = in.byte() != 0;
            } else {
                return false;
            }
            return true;
        });
        return true;
    });
    if (!in.good() || !in.atEnd() || !seen || !whole) return std::nullopt;
    return clientResponse;
}

}  // namespace cottonwing::loadtest
