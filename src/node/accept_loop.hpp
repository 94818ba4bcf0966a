// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_ACCEPT_LOOP_HPP_INCLUDED
#define FORDWOOD_NODE_ACCEPT_LOOP_HPP_INCLUDED

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "node/net.hpp"

namespace fordwood::node {

// Accepts connections at one address until it is closed. Used on the thread of its io_context.
class AcceptLoop
{
public:
    using OnAccepted = std::function<void(tcp::socket)>;

    AcceptLoop(net::io_context &context, OnAccepted onAccepted)
        : m_context(context), m_acceptor(context), m_retryTimer(context),
          m_onAccepted(std::move(onAccepted))
    { }

    // Called when an accept has failed, which is for want of descriptors most of the time. The loop
    // pauses by itself.
    void onFailure(std::function<void()> onFailed) { m_onFailure = std::move(onFailed); }

    // False when the address cannot be used; `ec` tells why.
    bool listen(const std::string &address, ErrorCode &ec);

    void close();

private:
    void accept();
    void retryLater();

    net::io_context &m_context;
    tcp::acceptor m_acceptor;
    net::steady_timer m_retryTimer;
    OnAccepted m_onAccepted;
    std::function<void()> m_onFailure;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_ACCEPT_LOOP_HPP_INCLUDED
