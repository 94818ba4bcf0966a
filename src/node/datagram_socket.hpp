// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_DATAGRAM_SOCKET_HPP_INCLUDED
#define FORDWOOD_NODE_DATAGRAM_SOCKET_HPP_INCLUDED

#include <array>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "fordwood/clock.hpp"
#include "fordwood/stall_detector.hpp"
#include "node/datagram_transport.hpp"
#include "node/net.hpp"

namespace fordwood::node {

// A UDP socket for messages between nodes.
class DatagramSocket : public DatagramTransport
{
public:
    static constexpr std::size_t kMaxDatagramBytes = 65'507;

    DatagramSocket(net::io_context &context, const Clock &clock, OnDatagram onDatagram);

    bool open(const std::string &address, ErrorCode &ec) override;
    void checkForStall() override;
    bool send(std::string_view bytes, const udp::endpoint &to,
              const std::string &peer = {}) override;
    std::size_t sent() const override { return m_sent; }
    std::size_t failed() const override { return m_failed; }

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
