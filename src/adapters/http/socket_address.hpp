// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_SOCKET_ADDRESS_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_SOCKET_ADDRESS_HPP_INCLUDED

#include <netinet/in.h>

#include <optional>
#include <string>

namespace fordwood::adapters {

// A socket address parsed from "IPv4:port" or "[IPv6]:port".
struct SocketAddress
{
    sockaddr_storage storage{};

    bool isIpv6() const { return storage.ss_family == AF_INET6; }
    const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&storage); }
};

// Returns nothing if the text is not such an address.
std::optional<SocketAddress> parseSocketAddress(const std::string &text);

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_SOCKET_ADDRESS_HPP_INCLUDED
