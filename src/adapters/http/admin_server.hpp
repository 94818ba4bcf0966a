// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_ADMIN_SERVER_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_ADMIN_SERVER_HPP_INCLUDED

#include <functional>
#include <memory>
#include <string>

#include "adapters/http/direct_answer.hpp"

struct MHD_Daemon;

namespace fordwood::adapters {

// A small HTTP server with one thread, for metrics and health.
class AdminServer
{
public:
    // Answers GET of a path; status 404 for those it does not know.
    using Handler = std::function<DirectAnswer(const std::string &path)>;

    explicit AdminServer(Handler handler);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    // False when the address cannot be listened on.
    bool start(const std::string &address);

    const Handler &handler() const { return m_handler; }

private:
    Handler m_handler;
    MHD_Daemon *m_daemon = nullptr;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_ADMIN_SERVER_HPP_INCLUDED
