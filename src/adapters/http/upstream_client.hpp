// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_UPSTREAM_CLIENT_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_UPSTREAM_CLIENT_HPP_INCLUDED

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <curl/curl.h>

#include "adapters/http/exchange.hpp"
#include "adapters/threads/bounded_ring.hpp"
#include "fordwood/backoff_text.hpp"
#include "fordwood/dispatcher.hpp"
#include "fordwood/limit_text.hpp"

namespace fordwood::adapters {

// Receives the results of attempts. Called from the client's thread.
class UpstreamListener
{
public:
    virtual ~UpstreamListener() = default;
    virtual void attemptFinished(CallId call, unsigned attempt, double cost, StoredAnswer answer)
        = 0;
    virtual void attemptFailed(CallId call, unsigned attempt, const AttemptFailure &failure) = 0;
    // The head of an answer was received, with this information on the upstream's limit.
    virtual void limitRead(CallId call, unsigned attempt, const ParsedLimit &limit) = 0;
    // The head of an answer contains a notice of the upstream. Called before the attempt ends.
    virtual void noticeRead(CallId call, unsigned attempt, const UpstreamNotice &notice) = 0;
};

// One attempt to send a call to an upstream.
struct UpstreamAttempt
{
    SendCall send;
    std::shared_ptr<Exchange> exchange;
};

// HTTP client for upstreams. Runs all attempts on one thread, which waits for socket events. For
// each attempt it reports whether the request may have run: "not run" only if no byte of it was
// passed to a socket, or if the upstream states so with the header `X-Request-Not-Run: true`.
class UpstreamClient
{
public:
    UpstreamClient(const Clock &clock, UpstreamListener &listener, std::size_t ringSize);
    ~UpstreamClient();

    // Both return false if the queue to the client's thread is full.
    bool send(UpstreamAttempt attempt);
    bool cancel(const CancelAttempt &cancel);

    // Runs until stop().
    void run();
    void stop();

private:
    class Transfer;
    struct FreedSpace // identifies a transfer whose answer buffer has space again
    {
        CallId call;
        unsigned attempt;
    };
    using Key = std::pair<CallId, unsigned>;

    static int onSocket(CURL *easy, curl_socket_t socket, int what, void *self, void *);
    static int onTimer(CURLM *multi, long timeoutMs, void *self);
    void watchSocket(curl_socket_t socket, int what);
    void handleEvents(int timeoutMs);
    int timeoutMs() const;
    void wake() const;

    void processCommands();
    void start(UpstreamAttempt attempt);
    void removeTransfer(const Key &key);
    void processResults();

    const Clock &m_clock;
    UpstreamListener &m_listener;
    BoundedRing<UpstreamAttempt> m_sends;
    BoundedRing<CancelAttempt> m_cancels;
    BoundedRing<FreedSpace> m_freedSpaces;
    CURLM *m_multi;
    int m_epoll; // watches all sockets of the transfers, and m_wakeup
    int m_wakeup; // an eventfd that other threads write to
    std::optional<TimePoint> m_timer; // when libcurl is to be called next
    std::map<Key, std::unique_ptr<Transfer>> m_transfers;
    bool m_hasReadLimit = false; // true once any answer has named a limit
    std::atomic<bool> m_stopping{false};
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_UPSTREAM_CLIENT_HPP_INCLUDED
