// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_NET_HPP_INCLUDED
#define FORDWOOD_NODE_NET_HPP_INCLUDED

#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "fordwood/clock.hpp"

namespace fordwood::node {

namespace net = boost::asio;
using tcp = boost::asio::ip::tcp;
using udp = boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;

// The endpoint of a text such as "10.1.0.37:8564"; nothing when it is not one.
template <typename Protocol>
std::optional<typename Protocol::endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    ErrorCode ec;
    const auto ip = net::ip::make_address(text.substr(0, colon), ec);
    if (ec)
        return std::nullopt;
    constexpr unsigned long kMaxPort = 65'535;
    char *end = nullptr;
    const unsigned long port = std::strtoul(text.c_str() + colon + 1, &end, 10);
    if (*end != '\0' || end == text.c_str() + colon + 1 || port > kMaxPort)
        return std::nullopt;
    return typename Protocol::endpoint(ip, static_cast<unsigned short>(port));
}

// Makes a connection notice a peer that is gone without a word: bytes that are not confirmed within
// `silence` break it, and so do probes while it rests.
void enableDeadPeerDetection(tcp::socket &socket, Duration unacknowledgedTimeout);

// Whether an idle connection can take a request: it is open, and no byte has arrived on it.
bool isOpenAndIdle(tcp::socket &socket);

// An acceptor that listens at the address; `ec` tells why not.
tcp::acceptor openAcceptor(net::io_context &context, const std::string &address, ErrorCode &ec);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_NET_HPP_INCLUDED
