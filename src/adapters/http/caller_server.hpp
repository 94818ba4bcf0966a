// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_CALLER_SERVER_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_CALLER_SERVER_HPP_INCLUDED

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>

#include "adapters/http/caller_watch.hpp"
#include "adapters/http/direct_answer.hpp"
#include "config/settings.hpp"

struct MHD_Daemon;

namespace fordwood::adapters {

// A caller's request, whole.
struct CallerRequest
{
    std::string method;
    std::string path; // with the query, as sent
    Headers headers;
    std::string body;

    // The value of a header, whatever the case of its name; empty when absent.
    std::string header(std::string_view name) const;
};

// What the caller's server asks of the process behind it. Called from the HTTP threads.
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;

    // Answers at once, or gives the exchange that will hold the answer.
    virtual std::variant<DirectAnswer, std::shared_ptr<Exchange>> handle(CallerRequest request) = 0;

    // Begins the work of an exchange that handle() gave.
    virtual void submit(const std::shared_ptr<Exchange> &exchange) = 0;

    // The caller of an exchange is gone.
    virtual void callerLeft(CallId call) = 0;

    // An exchange needs no more attention: its answer was sent, or its caller is gone.
    virtual void exchangeEnded(CallId call) = 0;

    // A request was refused before it reached handle().
    virtual void refused(Reason reason) = 0;
};

// The HTTP server for callers: a pool of threads that never wait for an upstream.
class CallerServer
{
public:
    CallerServer(const Clock &clock, const config::EntrySettings &settings, CallerHandler &handler);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    // False when the address cannot be listened on.
    bool start();

    // Takes no new connections; those that are open go on.
    void stopListening();

    // Ends all connections.
    void stop();

    std::size_t connectionCount() const { return m_watch.connectionCount(); }

private:
    friend struct CallerServerCallbacks;

    const config::EntrySettings m_settings;
    CallerHandler &m_handler;
    CallerWatch m_watch;
    MHD_Daemon *m_daemon = nullptr;
    std::thread m_watchThread;
    std::atomic<bool> m_stopping{false};
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_CALLER_SERVER_HPP_INCLUDED
