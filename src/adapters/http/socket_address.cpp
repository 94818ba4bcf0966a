// SPDX-License-Identifier: MIT
#include "adapters/http/socket_address.hpp"

#include <arpa/inet.h>

#include <cstdlib>
#include <cstring>

namespace fordwood::adapters {

std::optional<SocketAddress> parseSocketAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    const auto port
        = static_cast<std::uint16_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10));
    SocketAddress address;
    if (text.front() == '[') {
        sockaddr_in6 address6{};
        address6.sin6_family = AF_INET6;
        address6.sin6_port = htons(port);
        if (inet_pton(AF_INET6, text.substr(1, colon - 2).c_str(), &address6.sin6_addr) != 1)
            return std::nullopt;
        std::memcpy(&address.storage, &address6, sizeof address6);
        return address;
    }
    sockaddr_in address4{};
    address4.sin_family = AF_INET;
    address4.sin_port = htons(port);
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address4.sin_addr) != 1)
        return std::nullopt;
    std::memcpy(&address.storage, &address4, sizeof address4);
    return address;
}

} // namespace fordwood::adapters
