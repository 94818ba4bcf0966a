// SPDX-License-Identifier: MIT
#include "node/expiry_queue.hpp"

#include <utility>

namespace fordwood::node {

namespace {

// On a busy node input never ends, and timers must expire all the same. Some hundred answers need
// this many handlers.
constexpr int kMaxInputHandlers = 4'096;

} // namespace

ExpiryQueue::ExpiryQueue(net::execution_context &context)
    : net::execution_context::service(context), m_context(static_cast<net::io_context &>(context))
{ }

ExpiryQueue &ExpiryQueue::of(const net::any_io_executor &executor)
{
    return net::use_service<ExpiryQueue>(executor.context());
}

void ExpiryQueue::push(std::function<void()> onExpired)
{
    m_expired.push_back(std::move(onExpired));
    if (m_isHandlingInput) // called from handleInput(), since a further timer has expired
        return;
    handleInput();
    for (const auto &it : std::exchange(m_expired, {}))
        it();
}

void ExpiryQueue::handleInput()
{
    m_isHandlingInput = true;
    for (int n = 0; n < kMaxInputHandlers && m_context.poll_one() > 0; ++n) { }
    m_isHandlingInput = false;
}

} // namespace fordwood::node
