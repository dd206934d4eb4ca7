#include "net/uv_support.h"

#include <stdexcept>

namespace cottonwing::net {

sockaddr_in socketAddress(const Address& address) {
    sockaddr_in result{};
    if (uv_ip4_addr(address.host.c_str(), address.port, &result) != 0)
        throw std::runtime_error("invalid IPv4 address: " + address.host);
    return result;
}

}  // namespace cottonwing::net
