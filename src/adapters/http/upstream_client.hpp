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

// What the dispatch thread hears of its attempts. Called from the client's thread.
class UpstreamListener
{
public:
    virtual ~UpstreamListener() = default;
    virtual void attemptFinished(CallId call, unsigned attempt, double cost, StoredAnswer answer)
        = 0;
    virtual void attemptFailed(CallId call, unsigned attempt, const AttemptFailure &failure) = 0;
    // The head of an answer is there, and says this of the upstream's limit.
    virtual void limitRead(CallId call, unsigned attempt, const ParsedLimit &limit) = 0;
    // The head of an answer says this of the upstream. Comes before the end of the attempt.
    virtual void noticeRead(CallId call, unsigned attempt, const UpstreamNotice &notice) = 0;
};

// One attempt to have a call answered by an upstream.
struct UpstreamAttempt
{
    SendCall send;
    std::shared_ptr<Exchange> exchange;
};

// Talks HTTP to upstreams, all attempts on one thread, which wakes only for the sockets that have
// something to do. For every attempt it tells whether the
// request may have run: "not run" only if no byte of it was handed to a socket, or if the upstream
// says so itself with the header `X-Request-Not-Run: true`.
class UpstreamClient
{
public:
    UpstreamClient(const Clock &clock, UpstreamListener &listener, std::size_t ringSize);
    ~UpstreamClient();

    // False when the ring to the client's thread is full.
    bool send(UpstreamAttempt attempt);
    bool cancel(const CancelAttempt &cancel);

    // Runs until stop().
    void run();
    void stop();

private:
    class Transfer;
    struct FreedSpace // a transfer whose answer has space again
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
    int m_epoll; // all sockets of the transfers, and the wake-up
    int m_wakeup; // an eventfd that other threads write
    std::optional<TimePoint> m_timer; // when the library wants to be called
    std::map<Key, std::unique_ptr<Transfer>> m_transfers;
    bool m_hasReadLimit = false; // in any answer so far
    std::atomic<bool> m_stopping{false};
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_UPSTREAM_CLIENT_HPP_INCLUDED
