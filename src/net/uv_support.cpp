#include "net/uv_support.h"

#include <stdexcept>

namespace cottonwing::net {

sockaddr_in socketAddress(const Address& address) {
    sockaddr_in result{};
    if (uv_ip4_addr(address.host.c_str(), address.port, &result) != 0)
        throw std::runtime_error("address " + address.host + " can't be read");
    return result;
}

}  // namespace cottonwing::net
