// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_EXPIRY_QUEUE_HPP_INCLUDED
#define FORDWOOD_NODE_EXPIRY_QUEUE_HPP_INCLUDED

#include <functional>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "node/net.hpp"

namespace fordwood::node {

// Runs the handlers of expired timers of an io_context after the input that has arrived there. When
// a suspended process resumes, its timers have expired and its sockets hold what arrived meanwhile,
// such as the answer that a timer waits for. A service of the io_context, which one thread runs.
class ExpiryQueue final : public net::execution_context::service
{
public:
    static inline net::execution_context::id id; // required of each service

    explicit ExpiryQueue(net::execution_context &context);

    // The queue of the io_context that the executor belongs to.
    static ExpiryQueue &of(const net::any_io_executor &executor);

    // Call it from the handler of a timer, for that runs on top of no other code that the handled
    // input could interfere with.
    void push(std::function<void()> onExpired);

private:
    void shutdown() override { m_expired.clear(); }
    void handleInput();

    net::io_context &m_context;
    std::vector<std::function<void()>> m_expired;
    bool m_isHandlingInput = false;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_EXPIRY_QUEUE_HPP_INCLUDED
