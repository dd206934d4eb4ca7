/// @file
/// Internal to net: conversions for libuv.
#pragma once

#include <uv.h>

#include <string_view>

#include "net/address.h"

namespace cottonwing::net {

/// A TCP handle as its base type.
inline uv_stream_t* asStream(uv_tcp_t& tcp) { return reinterpret_cast<uv_stream_t*>(&tcp); }

/// Any libuv handle as its base type.
template <typename UvHandle>
uv_handle_t* asHandle(UvHandle& handle) {
    return reinterpret_cast<uv_handle_t*>(&handle);
}

/// Closes a handle whose data field points to the object that contains it. libuv uses the handle until its
/// close callback, so the object is deleted only there.
template <typename Container>
void closeThenDelete(uv_handle_t* handle) {
    uv_close(handle, [](uv_handle_t* closed) { delete static_cast<Container*>(closed->data); });
}

/// A buffer for writing. libuv does not modify the bytes, although uv_buf_t is not const.
inline uv_buf_t bufferOf(std::string_view bytes) {
    return uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
}

/// @throws std::runtime_error if the host is not a dotted IPv4 address.
sockaddr_in socketAddress(const Address& address);

}  // namespace cottonwing::net
