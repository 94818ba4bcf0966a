// SPDX-License-Identifier: MIT
#include "node/accept_loop.hpp"

namespace fordwood::node {

namespace {

// Pause after a failed accept, which would fail again at once.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

bool AcceptLoop::listen(const std::string &address, ErrorCode &ec)
{
    m_acceptor = openAcceptor(m_context, address, ec);
    if (ec)
        return false;
    accept();
    return true;
}

void AcceptLoop::close()
{
    ErrorCode ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec || ec == net::error::connection_aborted) {
        tcp::socket socket = m_acceptor.accept(ec);
        if (!ec)
            m_onAccepted(std::move(socket));
    }
    m_acceptor.close(ec); // an error is ignored: the acceptor is closed in any case
    m_retryTimer.cancel();
}

void AcceptLoop::accept()
{
    m_acceptor.async_accept([this](const ErrorCode &ec, tcp::socket socket) {
        if (ec == net::error::operation_aborted)
            return;
        if (ec) {
            retryLater();
            return;
        }
        m_onAccepted(std::move(socket));
        accept();
    });
}

void AcceptLoop::retryLater()
{
    if (m_onFailure)
        m_onFailure();
    m_retryTimer.start(kAcceptRetryDelay, [this] { accept(); });
}

} // namespace fordwood::node
