// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_READ_BARRIER_HPP_INCLUDED
#define FORDWOOD_NODE_READ_BARRIER_HPP_INCLUDED

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "adapters/observe/metrics.hpp"
#include "node/fleet_update.hpp"
#include "node/net.hpp"
#include "node/timeout_timer.hpp"

namespace fordwood::node {

// Delays a decision until this thread's state has all that was in the platform's store when the
// decision was asked for, as the read index of consensus systems does. A node that is cut off, or
// was suspended, cannot tell from its own state that it lacks something.
//
// Load pattern: a node is lost, and hundreds of callers take their streams up at another one within
// moments. One read of the store answers all that wait when it is sent. Used only on the serving
// thread.
class ReadBarrier
{
public:
    // Asks the control thread to compare its replica with the store, at any time after `since`.
    using Request = std::function<void(TimePoint since)>;
    // Whether the state is current. False: there is no evidence.
    using OnDone = std::function<void(bool isCurrent)>;

    // A store in good order answers within milliseconds, a busy VM within some tens. Callers wait
    // for their answers meanwhile, and evidence may still come from peers afterwards.
    static constexpr Duration kMaxWait = std::chrono::milliseconds(300);

    ReadBarrier(net::io_context &context, const Clock &clock, adapters::Metrics &metrics)
        : m_context(context), m_clock(clock), m_metrics(metrics)
    { }

    void onRequest(Request request) { m_request = std::move(request); }

    // Calls `onDone` exactly once, perhaps before it returns.
    void wait(OnDone onDone);

    // The control thread has compared its replica with the store.
    void checked(const ReplicaChecked &check);

private:
    struct Waiter
    {
        TimePoint since;
        OnDone onDone;
        std::unique_ptr<TimeoutTimer> timer;
    };

    void request();
    void expire(std::uint64_t number);

    net::io_context &m_context;
    const Clock &m_clock;
    adapters::Metrics &m_metrics;
    Request m_request = [](TimePoint) {};
    std::map<std::uint64_t, Waiter> m_waiters; // by number, so the oldest come first
    std::uint64_t m_lastNumber = 0;
    bool m_isRequested = false;
    TimePoint m_requestedAt{};
    TimePoint m_pausedUntil{};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_READ_BARRIER_HPP_INCLUDED
