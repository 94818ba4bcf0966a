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

// Parses an endpoint such as "10.1.0.37:8564"; nothing if the text is not valid.
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

// Makes the connection fail when the peer vanishes without closing it: if sent bytes are not
// acknowledged within `unacknowledgedTimeout`, or if keep-alive probes on the idle connection are
// not answered.
void enableDeadPeerDetection(tcp::socket &socket, Duration unacknowledgedTimeout);

// Bounds the bytes that the kernel holds for the connection in each direction. Otherwise it holds
// up to several megabytes for a peer that does not read. Call it before the connection is made or
// used.
void limitSocketBuffers(tcp::socket &socket, std::size_t bytes);

// Whether a connection is open and has no unread input, so that a request can be sent on it.
bool isOpenAndIdle(tcp::socket &socket);

// Whether the connection has failed, for example by a reset.
bool hasFailed(tcp::socket &socket);

// The bytes that were written to the connection and that its peer has not acknowledged. Zero if the
// kernel does not tell.
std::size_t unacknowledgedBytes(tcp::socket &socket);

// Returns an acceptor that listens at the address; sets `ec` on failure.
tcp::acceptor openAcceptor(net::io_context &context, const std::string &address, ErrorCode &ec);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_NET_HPP_INCLUDED
