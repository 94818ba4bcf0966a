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
#include "adapters/http/incoming_bodies.hpp"
#include "config/settings.hpp"

struct MHD_Daemon;

namespace fordwood::adapters {

// A complete request of a caller.
struct CallerRequest
{
    std::string method;
    std::string path; // including the query, as sent
    Headers headers;
    std::string body;

    // As headerValue().
    std::string header(std::string_view name) const { return headerValue(headers, name); }
};

// Handles the requests that CallerServer receives. Called from the HTTP threads.
class CallerHandler
{
public:
    virtual ~CallerHandler() = default;

    // Returns an immediate answer, or the exchange that will receive the answer.
    virtual std::variant<DirectAnswer, std::shared_ptr<Exchange>> handle(CallerRequest request) = 0;

    // Starts processing an exchange that handle() returned.
    virtual void submit(const std::shared_ptr<Exchange> &exchange) = 0;

    // The caller of an exchange disconnected.
    virtual void callerLeft(CallId call) = 0;

    // An exchange has ended: its answer was sent, or its caller disconnected.
    virtual void exchangeEnded(CallId call) = 0;

    // A request was rejected before it reached handle().
    virtual void refused(Reason reason) = 0;
};

// The HTTP server for callers. The threads of its pool never block on an upstream.
class CallerServer
{
public:
    CallerServer(const Clock &clock, const config::EntrySettings &settings, CallerHandler &handler);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    // Returns false if it cannot listen on the address.
    bool start();

    // Lets each answer whose head has not been sent announce that its connection closes.
    void announceClose()
    {
        m_announcesClose = true;
        m_watch.announceClose();
    }

    // Stops listening. Accepts the connections that wait; open ones continue.
    void stopListening();

    // Closes all connections.
    void stop();

    std::size_t connectionCount() const { return m_watch.connectionCount(); }

private:
    friend struct CallerServerCallbacks;

    const config::EntrySettings m_settings;
    CallerHandler &m_handler;
    CallerWatch m_watch;
    MHD_Daemon *m_daemon = nullptr;
    std::thread m_watchThread;
    IncomingBodies m_incomingBodies;
    std::atomic<bool> m_announcesClose{false};
    std::atomic<bool> m_stopping{false};
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_CALLER_SERVER_HPP_INCLUDED
