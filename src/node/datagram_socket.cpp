// SPDX-License-Identifier: MIT
#include "node/datagram_socket.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// A message that cannot be sent to one peer usually cannot be sent to the others either.
constexpr Duration kFailureLogInterval = std::chrono::seconds(1);

// Bound on the datagrams dropped in one call; socket buffers hold fewer.
constexpr std::size_t kMaxDroppedDatagrams = 100'000;

std::string textOf(const udp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

DatagramSocket::DatagramSocket(net::io_context &context, const Clock &clock, OnDatagram onDatagram)
    : m_clock(clock), m_onDatagram(std::move(onDatagram)), m_socket(context), m_stallDetector(clock)
{ }

bool DatagramSocket::open(const std::string &address, ErrorCode &ec)
{
    const auto endpoint = parseEndpoint<udp>(address);
    if (!endpoint) {
        ec = net::error::invalid_argument;
        return false;
    }
    m_socket.open(endpoint->protocol(), ec);
    if (!ec)
        m_socket.bind(*endpoint, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec)
        return false;
    m_stallDetector.poll(); // the thread does not run before this
    receive();
    return true;
}

bool DatagramSocket::send(std::string_view bytes, const udp::endpoint &to, const std::string &peer)
{
    ErrorCode ec;
    m_socket.send_to(net::buffer(bytes.data(), bytes.size()), to, 0, ec);
    m_sent += 1;
    if (ec)
        recordFailure(bytes.size(), peer.empty() ? textOf(to) : peer, ec);
    return !ec;
}

void DatagramSocket::recordFailure(std::size_t bytes, const std::string &peer,
                                   const ErrorCode &cause)
{
    m_failed += 1;
    if (m_clock.now() < m_nextFailureLog)
        return;
    m_nextFailureLog = m_clock.now() + kFailureLogInterval;
    logEvent(Event::DatagramNotSent,
             {{"peer", peer}, {"bytes", bytes}, {"error", cause.message()}, {"failed", m_failed}});
}

void DatagramSocket::checkForStall()
{
    const Duration stallTime = m_stallDetector.poll();
    if (stallTime == Duration::zero())
        return;
    const std::size_t dropped = dropPending();
    logEvent(Event::StoodStill, {{"stood_still_ms", stallTime}, {"datagrams_dropped", dropped}});
}

std::size_t DatagramSocket::dropPending()
{
    std::array<char, 1> byte{};
    udp::endpoint from;
    ErrorCode ec;
    std::size_t n = 0;
    while (n < kMaxDroppedDatagrams && !ec) {
        m_socket.receive_from(net::buffer(byte), from, 0, ec);
        n += ec ? 0 : 1;
    }
    // One datagram may have been read already, with its handler queued behind this one.
    m_isDropping = true;
    net::post(m_socket.get_executor(), [this] { m_isDropping = false; });
    return n;
}

void DatagramSocket::receive()
{
    m_socket.async_receive_from(net::buffer(m_bytes), m_sender,
                                [this](const ErrorCode &ec, std::size_t n) {
                                    if (ec == net::error::operation_aborted)
                                        return;
                                    checkForStall();
                                    if (!ec && n > 0 && !m_isDropping)
                                        m_onDatagram({m_bytes.data(), n}, m_sender);
                                    receive();
                                });
}

} // namespace fordwood::node
