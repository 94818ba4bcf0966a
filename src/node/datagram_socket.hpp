// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_DATAGRAM_SOCKET_HPP_INCLUDED
#define FORDWOOD_NODE_DATAGRAM_SOCKET_HPP_INCLUDED

#include <array>
#include <functional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "fordwood/clock.hpp"
#include "fordwood/stall_detector.hpp"
#include "node/net.hpp"

namespace fordwood::node {

// A UDP socket for messages between nodes. Nothing is repeated: receivers tolerate lost datagrams.
class DatagramSocket
{
public:
    using OnDatagram = std::function<void(std::string_view bytes, const udp::endpoint &from)>;

    static constexpr std::size_t kMaxDatagramBytes = 65'507;

    DatagramSocket(net::io_context &context, const Clock &clock, OnDatagram onDatagram);

    // Returns false and sets `ec` if the address cannot be used.
    bool open(const std::string &address, ErrorCode &ec);

    // Call it often. After the thread has stalled, drops the datagrams that wait in the socket,
    // which would count as new although they are as old as the stall.
    void checkForStall();

    // Returns whether the kernel took the datagram. `peer`: names the receiver in the log; empty:
    // by its address.
    bool send(std::string_view bytes, const udp::endpoint &to, const std::string &peer = {});

    std::size_t sent() const { return m_sent; }
    // Of these, the ones that the kernel did not take, for example because they were too long.
    std::size_t failed() const { return m_failed; }

private:
    void receive();
    std::size_t dropPending();
    void recordFailure(std::size_t bytes, const std::string &peer, const ErrorCode &cause);

    const Clock &m_clock;
    OnDatagram m_onDatagram;
    udp::socket m_socket;
    StallDetector m_stallDetector;
    bool m_isDropping = false; // ignores a datagram read before the stall was detected
    udp::endpoint m_sender;
    std::array<char, kMaxDatagramBytes> m_bytes{};
    std::size_t m_sent = 0;
    std::size_t m_failed = 0;
    TimePoint m_nextFailureLog{};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_DATAGRAM_SOCKET_HPP_INCLUDED
