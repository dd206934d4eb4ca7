/// @file
/// Thrift frames, encoded and decoded with the Apache Thrift library.
#pragma once

#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>
#include <string>

#include "plain_config.h"

namespace cottonwing::testing {

/// Independent of the codec under test.
namespace frames {

using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::transport::TMemoryBuffer;
namespace protocol = apache::thrift::protocol;

/// @param write writes the fields of the message
/// @return a complete frame: a four-byte length, then the message.
template <typename Write>
std::string frame(const std::string& method, protocol::TMessageType kind, std::int32_t sequence,
                  Write&& write) {
    const auto memory = std::make_shared<TMemoryBuffer>();
    TBinaryProtocol out(memory);
    out.writeMessageBegin(method, kind, sequence);
    out.writeStructBegin("arguments");
    write(out);
    out.writeFieldStop();
    out.writeStructEnd();
    out.writeMessageEnd();
    const std::string content = memory->getBufferAsString();
    std::string head;
    for (int shift = 24; shift >= 0; shift -= 8)
        head.push_back(static_cast<char>(content.size() >> shift & 0xff));
    return head + content;
}

/// @return the frame of a request.
inline std::string serve(std::int32_t sequence, const FieldMap& fields, const std::string& body) {
    return frame("serve", protocol::T_CALL, sequence, [&](TBinaryProtocol& out) {
        out.writeFieldBegin("fields", protocol::T_MAP, 1);
        out.writeMapBegin(protocol::T_STRING, protocol::T_STRING, static_cast<std::uint32_t>(fields.size()));
        for (const auto& [name, value] : fields) out.writeString(name), out.writeString(value);
        out.writeFieldBegin("body", protocol::T_STRING, 2);
        out.writeBinary(body);
    });
}
/// @return a frame that cancels the request with the sequence number `which`.
inline std::string forget(std::int32_t sequence, std::int32_t which) {
    return frame("forget", protocol::T_ONEWAY, sequence, [&](TBinaryProtocol& out) {
        out.writeFieldBegin("seqid", protocol::T_I32, 1);
        out.writeI32(which);
    });
}
/// @return the frame of a health check.
inline std::string isWell(std::int32_t sequence, bool thorough) {
    return frame("isWell", protocol::T_CALL, sequence, [&](TBinaryProtocol& out) {
        out.writeFieldBegin("thorough", protocol::T_BOOL, 1);
        out.writeBool(thorough);
    });
}

/// A decoded message.
struct Message {
    std::string method, kind, body;  // kind: answer, busy, failed, refusal, oneway
    std::int32_t sequence = 0;
    FieldMap fields;
    bool good = false;
};

inline void readFields(TBinaryProtocol& in, Message& message) {
    std::string name;
    protocol::TType type, key, value;
    std::int16_t id;
    for (in.readFieldBegin(name, type, id); type != protocol::T_STOP; in.readFieldBegin(name, type, id)) {
        if (type == protocol::T_STRING) {
            in.readBinary(message.body);
        } else if (type == protocol::T_BOOL) {
            in.readBool(message.good);
        } else if (type == protocol::T_MAP) {
            std::uint32_t size;
            in.readMapBegin(key, value, size);
            for (std::uint32_t i = 0; i < size; ++i) {
                std::string first, second;
                in.readString(first), in.readString(second);
                message.fields[first] = second;
            }
        } else {
            in.skip(type);
        }
    }
}

/// Decodes one message, given without its length prefix.
inline Message readMessage(const std::string& content) {
    const auto memory = std::make_shared<TMemoryBuffer>();
    memory->write(reinterpret_cast<const std::uint8_t*>(content.data()),
                  static_cast<std::uint32_t>(content.size()));
    TBinaryProtocol in(memory, 0, 0, true, true);
    Message message;
    protocol::TMessageType kind;
    in.readMessageBegin(message.method, kind, message.sequence);
    if (kind == protocol::T_REPLY) {
        std::string name;
        protocol::TType type;
        std::int16_t id;
        in.readFieldBegin(name, type, id);
        message.kind = id == 0 ? "answer" : id == 1 ? "busy" : "failed";
    } else {
        message.kind = kind == protocol::T_ONEWAY ? "oneway" : "refusal";
    }
    readFields(in, message);
    return message;
}

}  // namespace frames

}  // namespace cottonwing::testing
