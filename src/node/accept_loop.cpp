// SPDX-License-Identifier: MIT
#include "node/accept_loop.hpp"

namespace fordwood::node {

namespace {

// After a failed accept: at once it would fail again. Our choice.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

} // namespace

bool AcceptLoop::listen(const std::string &address, ErrorCode &ec)
{
    m_acceptor = listenAt(m_context, address, ec);
    if (ec)
        return false;
    accept();
    return true;
}

void AcceptLoop::close()
{
    ErrorCode ec; // it is closed in any case
    m_acceptor.close(ec);
    m_pause.cancel();
}

void AcceptLoop::accept()
{
    m_acceptor.async_accept([this](const ErrorCode &ec, tcp::socket socket) {
        if (ec == net::error::operation_aborted)
            return;
        if (ec) {
            pause();
            return;
        }
        m_accepted(std::move(socket));
        accept();
    });
}

void AcceptLoop::pause()
{
    if (m_failed)
        m_failed();
    m_pause.expires_after(kAcceptPause);
    m_pause.async_wait([this](const ErrorCode &ec) {
        if (!ec)
            accept();
    });
}

} // namespace fordwood::node
