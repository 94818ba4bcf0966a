// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_ACCEPT_LOOP_HPP_INCLUDED
#define FORDWOOD_NODE_ACCEPT_LOOP_HPP_INCLUDED

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "node/net.hpp"
#include "node/timeout_timer.hpp"

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

    // `onFailed` is called when an accept has failed, usually for lack of file descriptors. The
    // loop then pauses and tries again.
    void onFailure(std::function<void()> onFailed) { m_onFailure = std::move(onFailed); }

    // Returns false and sets `ec` if the address cannot be used.
    bool listen(const std::string &address, ErrorCode &ec);

    // The address that it listens at.
    tcp::endpoint address() const { return m_acceptor.local_endpoint(); }

    // Stops listening. Connections that wait to be accepted are accepted before.
    void close();

private:
    void accept();
    void retryLater();

    net::io_context &m_context;
    tcp::acceptor m_acceptor;
    TimeoutTimer m_retryTimer;
    OnAccepted m_onAccepted;
    std::function<void()> m_onFailure;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_ACCEPT_LOOP_HPP_INCLUDED
