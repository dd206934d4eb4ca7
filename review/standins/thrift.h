// The client side of the protocol page: framed transport, strict binary protocol, service Front.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace standins {

using Fields = std::map<std::string, std::string>;

inline void put(std::string& out, std::uint64_t value, int width) {
    for (int shift = 8 * (width - 1); shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift));
}
inline void putText(std::string& out, const std::string& text) {
    put(out, text.size(), 4);
    out += text;
}
inline std::string framed(const std::string& content) {
    std::string out;
    put(out, content.size(), 4);
    return out + content;
}
inline std::string messageHead(int kind, const std::string& method, int sequence) {
    std::string out;
    put(out, 0x80010000U | static_cast<unsigned>(kind), 4);
    putText(out, method);
    put(out, static_cast<std::uint32_t>(sequence), 4);
    return out;
}
inline std::string serveMessage(int sequence, const Fields& fields, const std::string& body) {
    std::string out = messageHead(1, "serve", sequence);
    put(out, 13, 1), put(out, 1, 2), put(out, 11, 1), put(out, 11, 1), put(out, fields.size(), 4);
    for (const auto& [name, text] : fields) putText(out, name), putText(out, text);
    put(out, 11, 1), put(out, 2, 2), putText(out, body);
    put(out, 0, 1);
    return framed(out);
}
inline std::string forgetMessage(int sequence, int forgotten) {
    std::string out = messageHead(4, "forget", sequence);
    put(out, 8, 1), put(out, 1, 2), put(out, static_cast<std::uint32_t>(forgotten), 4), put(out, 0, 1);
    return framed(out);
}
inline std::string isWellMessage(int sequence) {
    std::string out = messageHead(1, "isWell", sequence);
    put(out, 2, 1), put(out, 1, 2), put(out, 0, 1), put(out, 0, 1);
    return framed(out);
}

struct Reply {
    enum class Kind { Answer, Busy, Failed, Exception, Goaway, Unreadable };
    Kind kind = Kind::Unreadable;
    std::string method;
    int sequence = 0;
    std::string body, text;
    Fields fields;
    bool good = false;
    const char* name() const {
        static constexpr const char* kNames[] = {"served", "refused", "failed", "exception", "goaway", "unreadable"};
        return kNames[static_cast<int>(kind)];
    }
};

class ReplyReader {
public:
    explicit ReplyReader(const std::string& bytes) : bytes_(bytes) {}
    std::uint64_t number(int width) {
        std::uint64_t value = 0;
        for (int i = 0; i < width; ++i) value = value << 8 | static_cast<std::uint8_t>(byte());
        return value;
    }
    std::string text() {
        const std::size_t length = number(4);
        if (length > bytes_.size() - at_) return bad_ = true, std::string();
        at_ += length;
        return bytes_.substr(at_ - length, length);
    }
    Fields map() {
        Fields fields;
        number(1), number(1);
        for (std::uint64_t left = number(4); left > 0 && !bad_; --left) {
            const std::string name = text();
            fields[name] = text();
        }
        return fields;
    }
    bool bad() const { return bad_; }

private:
    char byte() {
        if (at_ >= bytes_.size()) return bad_ = true, '\0';
        return bytes_[at_++];
    }
    const std::string& bytes_;
    std::size_t at_ = 0;
    bool bad_ = false;
};

// Takes the first whole frame out of `in`; nothing if there is none.
inline std::optional<Reply> takeReply(std::string& in) {
    if (in.size() < 4) return std::nullopt;
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i) length = length << 8 | static_cast<std::uint8_t>(in[static_cast<std::size_t>(i)]);
    if (in.size() < 4 + length) return std::nullopt;
    const std::string frame = in.substr(4, length);
    in.erase(0, 4 + length);
    ReplyReader reader(frame);
    Reply reply;
    const int kind = static_cast<int>(reader.number(4) & 0xff);
    reply.method = reader.text();
    reply.sequence = static_cast<int>(reader.number(4));
    if (kind == 4) {
        reply.kind = reply.method == "goaway" ? Reply::Kind::Goaway : Reply::Kind::Unreadable;
        return reply;
    }
    if (kind == 3) {
        reply.kind = Reply::Kind::Exception;
        while (const int type = static_cast<int>(reader.number(1))) {
            reader.number(2);
            if (type == 11)
                reply.text = reader.text();
            else
                reader.number(4);
            if (reader.bad()) break;
        }
        return reply;
    }
    if (kind != 2 || reader.number(1) != 12) return reply;
    const std::uint64_t field = reader.number(2);
    while (const int type = static_cast<int>(reader.number(1))) {
        reader.number(2);
        if (type == 11)
            reply.body = reader.text();
        else if (type == 13)
            reply.fields = reader.map();
        else if (type == 2)
            reply.good = reader.number(1) != 0;
        if (reader.bad()) return reply;
    }
    reply.kind = field == 0 ? Reply::Kind::Answer : field == 1 ? Reply::Kind::Busy : Reply::Kind::Failed;
    return reply;
}

}  // namespace standins
