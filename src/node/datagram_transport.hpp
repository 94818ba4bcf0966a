// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_DATAGRAM_TRANSPORT_HPP_INCLUDED
#define FORDWOOD_NODE_DATAGRAM_TRANSPORT_HPP_INCLUDED

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "node/net.hpp"

namespace fordwood::node {

// Sends and receives datagrams between nodes. Nothing is repeated: receivers tolerate lost
// datagrams.
class DatagramTransport
{
public:
    using OnDatagram = std::function<void(std::string_view bytes, const udp::endpoint &from)>;

    virtual ~DatagramTransport() = default;

    // Returns false and sets `ec` if the address cannot be used.
    virtual bool open(const std::string &address, ErrorCode &ec) = 0;

    // Call it often. After the thread has stalled, drops the datagrams that wait to be received,
    // which would count as new although they are as old as the stall.
    virtual void checkForStall() = 0;

    // Returns whether the datagram was accepted for sending. `peer`: names the receiver in the log;
    // empty: by its address.
    virtual bool send(std::string_view bytes, const udp::endpoint &to, const std::string &peer) = 0;

    virtual std::size_t sent() const = 0;
    // Of these, the ones that were not accepted, for example because they were too long.
    virtual std::size_t failed() const = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_DATAGRAM_TRANSPORT_HPP_INCLUDED
