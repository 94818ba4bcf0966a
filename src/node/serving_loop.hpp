// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_SERVING_LOOP_HPP_INCLUDED
#define FORDWOOD_NODE_SERVING_LOOP_HPP_INCLUDED

#include <functional>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "config/node_settings.hpp"
#include "node/accept_loop.hpp"
#include "node/caller_session.hpp"
#include "node/deadline_timer.hpp"
#include "node/mailbox.hpp"
#include "node/node_state.hpp"
#include "node/proxy_server.hpp"
#include "node/timeout_timer.hpp"

namespace fordwood::node {

// Accepts the callers' connections and serves their requests, on a thread of its own.
class ServingLoop
{
public:
    using PublishLoads = std::function<void(OwnLoads)>;
    // Returns false if the receiver's queue is full at the moment.
    using PublishQuarantineUpdates = std::function<bool(std::vector<QuarantineUpdate>)>;
    using RequestReplicaCheck = ReadBarrier::Request;

    ServingLoop(const config::OneProcessSettings &settings, const Clock &clock,
                adapters::Metrics &metrics, PublishLoads publishLoads,
                PublishQuarantineUpdates publishQuarantineUpdates,
                RequestReplicaCheck requestReplicaCheck);

    // Listens at the callers' address. Logs a failure and returns false.
    bool open();

    // Runs until a planned stop is complete.
    void run() { m_context.run(); }

    // Called on this loop's thread shortly before the end of a planned stop, once.
    void onEnding(std::function<void()> announce) { m_announceEnd = std::move(announce); }

    // When that was. Only after run() has returned.
    TimePoint endAnnouncedAt() const { return m_endAnnouncedAt; }

    // The queue for updates from the control thread.
    Mailbox<FleetUpdate> &mailbox() { return m_mailbox; }

private:
    void onAccepted(tcp::socket socket);
    bool makeRoom();
    void tick();
    void closeUnreadAnswers();
    void continueStop();
    void logStopProgress();
    void logLateRequests();
    void announceEnd();
    void endWaiting();
    void endStop();
    void finishOnceWritten();
    void finishStop();
    void reportLoads(bool isUrgent);
    void reportCalls();
    void reportQuarantineUpdates();

    const Clock &m_clock;
    const config::OneProcessSettings m_settings;
    adapters::Metrics &m_metrics;
    PublishLoads m_publishLoads;
    PublishQuarantineUpdates m_publishQuarantineUpdates;
    std::vector<QuarantineUpdate> m_unpublishedUpdates; // kept until the receiver has room
    net::io_context m_context;
    NodeState m_state;
    Mailbox<FleetUpdate> m_mailbox;
    AcceptLoop m_acceptor;
    ProxyServer m_proxy;
    TimeoutTimer m_tickTimer;
    DeadlineTimer m_endTimer; // of a planned stop
    bool m_isEndTimerStarted = false;
    std::function<void()> m_announceEnd;
    bool m_isEndAnnounced = false;
    TimePoint m_endAnnouncedAt{};
    TimePoint m_finishesAt{}; // at the latest
    bool m_areLateRequestsLogged = false;
    TimePoint m_nextStopLog{};
    std::unordered_map<CallerSession *, std::shared_ptr<CallerSession>> m_sessions;
    bool m_idleSessionsClosed = false;
    TimePoint m_nextUnreadCheck{};
    TimePoint m_lastTickAt{};
    Duration m_longestTickPause{}; // during a planned stop
    CallCounts m_reportedCalls; // in the metrics
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_SERVING_LOOP_HPP_INCLUDED
