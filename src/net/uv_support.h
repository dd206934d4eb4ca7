/// @file
/// Internal to net: the conversions that libuv needs, in one place.
#pragma once

#include <uv.h>

#include <string_view>

#include "net/address.h"

namespace cottonwing::net {

/// The stream that a TCP handle is.
inline uv_stream_t* asStream(uv_tcp_t& tcp) { return reinterpret_cast<uv_stream_t*>(&tcp); }

/// The handle that any of libuv's handle types is.
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

/// A buffer for writing. libuv does not change the bytes, although its type says that it could.
inline uv_buf_t bufferOf(std::string_view bytes) {
    return uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
}

/// @throws std::runtime_error when the host is no dotted IPv4 address.
sockaddr_in socketAddress(const Address& address);

}  // namespace cottonwing::net
