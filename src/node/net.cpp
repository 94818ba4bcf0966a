// SPDX-License-Identifier: MIT
#include "node/net.hpp"

#include <algorithm>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>

namespace fordwood::node {

namespace {

void setTcpOption(tcp::socket &socket, int option, int value)
{
    // A kernel without this option uses its own, longer time limits.
    std::ignore = ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof(value));
}

} // namespace

void enableDeadPeerDetection(tcp::socket &socket, Duration unacknowledgedTimeout)
{
    constexpr int kProbeIntervalSeconds = 1; // the kernel's minimum
    constexpr int kProbeCount = 3;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(unacknowledgedTimeout);
    ErrorCode ec; // ignored: the options only help to detect failures sooner
    socket.set_option(tcp::no_delay(true), ec);
    socket.set_option(net::socket_base::keep_alive(true), ec);
    setTcpOption(socket, TCP_KEEPIDLE, kProbeIntervalSeconds);
    setTcpOption(socket, TCP_KEEPINTVL, kProbeIntervalSeconds);
    setTcpOption(socket, TCP_KEEPCNT, kProbeCount);
    setTcpOption(socket, TCP_USER_TIMEOUT, static_cast<int>(ms.count()));
}

void limitSocketBuffers(tcp::socket &socket, std::size_t bytes)
{
    const auto size = static_cast<int>(bytes);
    ErrorCode ec; // ignored: a kernel without these options uses its own sizes
    socket.set_option(net::socket_base::send_buffer_size(size), ec);
    socket.set_option(net::socket_base::receive_buffer_size(size), ec);
}

bool isOpenAndIdle(tcp::socket &socket)
{
    if (!socket.is_open())
        return false;
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool hasFailed(tcp::socket &socket)
{
    pollfd state{socket.native_handle(), 0, 0};
    return !socket.is_open() || (::poll(&state, 1, 0) > 0 && (state.revents & (POLLERR | POLLHUP)));
}

std::size_t unacknowledgedBytes(tcp::socket &socket)
{
    int n = 0;
    if (!socket.is_open() || ::ioctl(socket.native_handle(), SIOCOUTQ, &n) != 0 || n < 0)
        return 0;
    return static_cast<std::size_t>(n);
}

tcp::acceptor openAcceptor(net::io_context &context, const std::string &address, ErrorCode &ec)
{
    tcp::acceptor acceptor(context);
    const auto endpoint = parseEndpoint<tcp>(address);
    if (!endpoint) {
        ec = net::error::invalid_argument;
        return acceptor;
    }
    acceptor.open(endpoint->protocol(), ec);
    if (!ec)
        acceptor.set_option(net::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(*endpoint, ec);
    if (!ec)
        acceptor.listen(net::socket_base::max_listen_connections, ec);
    return acceptor;
}

} // namespace fordwood::node
