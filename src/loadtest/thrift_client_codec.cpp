#include "loadtest/thrift_client_codec.h"

namespace cottonwing::loadtest {

using namespace thrift;

std::string writeServeCall(std::int32_t sequence, const Fields& fields, std::string_view body) {
    Writer out(kCall, "serve", sequence);
    out.field(kMap, 1);
    out.map(fields);
    out.field(kString, 2);
    out.string(body);
    out.stop();
    return out.take();
}

std::string writeCancel(std::int32_t sequence, std::int32_t cancelledSequence) {
    Writer out(kOneway, "forget", sequence);
    out.field(kI32, 1);
    out.number(static_cast<std::uint32_t>(cancelledSequence), 4);
    out.stop();
    return out.take();
}

std::string writeHealthCheck(std::int32_t sequence, bool deep) {
    Writer out(kCall, "isWell", sequence);
    out.field(kBool, 1);
    out.number(deep ? 1 : 0, 1);
    out.stop();
    return out.take();
}

std::optional<ClientResponse> readClientResponse(std::string_view frame) {
    Reader in(frame);
    ClientResponse response;
    const std::uint64_t head = in.number(4);
    const auto kind = static_cast<std::uint8_t>(head & 0xff);
    if ((head & 0xffffff00U) != kVersion) return std::nullopt;
    const std::string_view name = in.string();
    response.sequence = in.i32();
    response.isHealthCheck = name == "isWell";
    if (!in.good()) return std::nullopt;
    if (kind == kOneway) {
        if (name != "goaway") return std::nullopt;
        response.kind = ClientResponse::Kind::Goaway;
        return response;
    }
    if (kind == kException) return response;
    if (kind != kReply || (name != "serve" && name != "isWell")) return std::nullopt;
    bool seen = false, complete = true;
    // The result is a struct with a single field: the answer, or one of the declared exceptions.
    in.fields([&](std::int16_t id, std::uint8_t type) {
        if (type != kStruct || id < 0 || id > 2 || seen) return false;
        seen = true;
        response.kind = id == 0   ? ClientResponse::Kind::Answer
                        : id == 1 ? ClientResponse::Kind::Busy
                                  : ClientResponse::Kind::Failed;
        const bool answer = id == 0;
        in.fields([&](std::int16_t fieldId, std::uint8_t fieldType) {
            if (answer && fieldId == 1 && fieldType == kString) {
                response.body = in.string();
            } else if (fieldId == (answer ? 2 : 1) && fieldType == kMap) {
                auto fields = in.map();
                if (fields)
                    response.fields = std::move(*fields);
                else
                    complete = false;
            } else if (answer && fieldId == 3 && fieldType == kBool) {
                response.good = in.byte() != 0;
            } else {
                return false;
            }
            return true;
        });
        return true;
    });
    if (!in.good() || !in.atEnd() || !seen || !complete) return std::nullopt;
    return response;
}

}  // namespace cottonwing::loadtest
