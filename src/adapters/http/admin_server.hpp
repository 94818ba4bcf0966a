// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_ADMIN_SERVER_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_ADMIN_SERVER_HPP_INCLUDED

#include <functional>
#include <memory>
#include <string>

#include "adapters/http/direct_answer.hpp"

struct MHD_Daemon;

namespace fordwood::adapters {

// A single-threaded HTTP server for metrics and health checks.
class AdminServer
{
public:
    // Answers a GET request for a path, with status 404 for an unknown one.
    using Handler = std::function<DirectAnswer(const std::string &path)>;

    explicit AdminServer(Handler handler);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    // Returns false if it cannot listen on the address.
    bool start(const std::string &address);

    const Handler &handler() const { return m_handler; }

private:
    Handler m_handler;
    MHD_Daemon *m_daemon = nullptr;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_ADMIN_SERVER_HPP_INCLUDED
