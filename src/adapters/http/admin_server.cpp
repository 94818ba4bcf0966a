// SPDX-License-Identifier: MIT
#include "adapters/http/admin_server.hpp"

#include <microhttpd.h>

#include "adapters/http/mhd_response.hpp"
#include "adapters/http/socket_address.hpp"

namespace fordwood::adapters {

namespace {

constexpr unsigned kMaxConnections = 64;
constexpr unsigned kIdleTimeoutSeconds = 30;

MHD_Result onRequest(void *cls, MHD_Connection *connection, const char *url, const char *method,
                     const char *, const char *, std::size_t *, void **)
{
    const auto &server = *static_cast<const AdminServer *>(cls);
    if (std::string_view(method) != "GET")
        return queueAnswer(connection, answerOf(Verdict::of(Reason::MethodNotAllowed)));
    return queueAnswer(connection, server.handler()(url));
}

} // namespace

AdminServer::AdminServer(Handler handler) : m_handler(std::move(handler)) { }

AdminServer::~AdminServer()
{
    if (m_daemon != nullptr)
        MHD_stop_daemon(m_daemon);
}

bool AdminServer::start(const std::string &address)
{
    const auto socketAddress = parseSocketAddress(address);
    if (!socketAddress)
        return false;
    const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD
                           | (socketAddress->isIpv6() ? static_cast<unsigned>(MHD_USE_IPv6) : 0U);
    m_daemon = MHD_start_daemon(flags, 0, nullptr, nullptr, &onRequest, this, MHD_OPTION_SOCK_ADDR,
                                socketAddress->get(), MHD_OPTION_CONNECTION_LIMIT, kMaxConnections,
                                MHD_OPTION_CONNECTION_TIMEOUT, kIdleTimeoutSeconds, MHD_OPTION_END);
    return m_daemon != nullptr;
}

} // namespace fordwood::adapters
