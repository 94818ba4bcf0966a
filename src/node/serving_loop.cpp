// SPDX-License-Identifier: MIT
#include "node/serving_loop.hpp"

#include <algorithm>
#include <utility>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr std::size_t kMailboxCapacity = 4'096;
// At the end of a planned stop, callers have at least this time to receive their last bytes.
constexpr Duration kLastWriteTime = std::chrono::milliseconds(100);
constexpr Duration kWriteCheckInterval = std::chrono::milliseconds(10);
// Peers and the platform are told of the end this long before it, so that the process need not wait
// for that after its last request.
constexpr Duration kAnnouncementTime = std::chrono::milliseconds(100);
constexpr Duration kUnreadCheckInterval = std::chrono::seconds(1);

constexpr Duration kStopLogInterval = std::chrono::seconds(1);
// Requests that are open this long before the end of a planned stop are logged: if the process is
// ended from outside before its own end, nothing else tells of them.
constexpr Duration kLateRequestTime = std::chrono::seconds(1);
constexpr std::size_t kMaxLateRequests = 64; // logged

} // namespace

ServingLoop::ServingLoop(const config::OneProcessSettings &settings, const Clock &clock,
                         adapters::Metrics &metrics, PublishLoads publishLoads,
                         PublishQuarantineUpdates publishQuarantineUpdates,
                         RequestReplicaCheck requestReplicaCheck)
    : m_clock(clock), m_settings(settings), m_metrics(metrics),
      m_publishLoads(std::move(publishLoads)),
      m_publishQuarantineUpdates(std::move(publishQuarantineUpdates)), m_context(1),
      m_state(m_context, clock, settings, metrics),
      m_mailbox(m_context, kMailboxCapacity, [this](const FleetUpdate &it) { m_state.handle(it); }),
      m_acceptor(m_context, [this](tcp::socket it) { onAccepted(std::move(it)); }),
      m_proxy(m_context, clock, m_state.paths(), m_state.buffers(), metrics),
      m_tickTimer(m_context), m_endTimer(m_context)
{
    m_acceptor.onFailure([this] { m_metrics.count("fordwood_accept_failures_total"); });
    m_state.onLoadReportRequest([this] { reportLoads(true); });
    m_state.onQuarantineUpdates([this] { reportQuarantineUpdates(); });
    m_state.readBarrier().onRequest(std::move(requestReplicaCheck));
}

bool ServingLoop::open()
{
    ErrorCode ec;
    if (!m_acceptor.listen(m_settings.callers.listen, ec)) {
        logEvent(Event::ListenFailed,
                 {{"address", m_settings.callers.listen}, {"error", ec.message()}});
        return false;
    }
    const std::string &proxyAddress = m_settings.peers.proxyListen;
    if (!proxyAddress.empty() && !m_proxy.listen(proxyAddress, ec)) {
        logEvent(Event::ListenFailed, {{"address", proxyAddress}, {"error", ec.message()}});
        return false;
    }
    const std::string &placementAddress = m_settings.peers.placementListen;
    if (!placementAddress.empty() && !m_state.placements().open(placementAddress, ec)) {
        logEvent(Event::ListenFailed, {{"address", placementAddress}, {"error", ec.message()}});
        return false;
    }
    tick();
    return true;
}

void ServingLoop::onAccepted(tcp::socket socket)
{
    if (m_sessions.size() >= m_settings.callers.maxConnections && !makeRoom()) {
        m_metrics.countRefusal(Reason::ConnectionLimit);
        return;
    }
    const auto session = std::make_shared<CallerSession>(
        m_state, std::move(socket), [this](CallerSession *it) { m_sessions.erase(it); });
    m_sessions.emplace(session.get(), session);
    session->start();
}

// Closes a connection that rests, so that a crowd which holds connections without a request shuts
// nobody else out. Returns false if none rests.
bool ServingLoop::makeRoom()
{
    std::shared_ptr<CallerSession> chosen;
    std::optional<CallerSession::Rest> first;
    for (const auto &[key, session] : m_sessions) {
        const std::optional<CallerSession::Rest> rest = session->rest();
        if (rest && (!first || *rest < *first)) {
            first = rest;
            chosen = session;
        }
    }
    if (!chosen)
        return false;
    m_metrics.count("fordwood_connections_closed_for_room_total");
    chosen->makeRoom();
    m_sessions.erase(chosen.get());
    return true;
}

void ServingLoop::tick()
{
    m_tickTimer.start(kTickInterval, [this] { tick(); });
    m_state.tick();
    reportLoads(false);
    reportQuarantineUpdates();
    reportCalls();
    m_metrics.setGauge("fordwood_caller_connections", static_cast<double>(m_sessions.size()));
    m_metrics.setGauge("fordwood_upstream_channels",
                       static_cast<double>(m_state.channels().openChannels()));
    m_metrics.setGauge("fordwood_proxied_connections",
                       static_cast<double>(m_proxy.openConnections()));
    closeUnreadAnswers();
    const TimePoint lastTickAt = std::exchange(m_lastTickAt, m_clock.now());
    if (!m_state.stop().hasBegun())
        return;
    m_longestTickPause = std::max(m_longestTickPause, m_lastTickAt - lastTickAt);
    continueStop();
}

void ServingLoop::closeUnreadAnswers()
{
    if (m_clock.now() < m_nextUnreadCheck)
        return;
    m_nextUnreadCheck = m_clock.now() + kUnreadCheckInterval;
    for (const auto &[key, session] : m_sessions)
        session->closeIfUnread();
}

void ServingLoop::reportLoads(bool isUrgent)
{
    m_publishLoads({m_state.loads().own(), m_state.shortContextTokens(),
                    m_state.contexts().recentSends(), m_state.limitUpdates(),
                    m_state.upstreams().reportedDraining(), isUrgent});
}

void ServingLoop::reportQuarantineUpdates()
{
    const std::vector<QuarantineUpdate> updates = m_state.quarantine().takeUpdates();
    m_unpublishedUpdates.insert(m_unpublishedUpdates.end(), updates.begin(), updates.end());
    if (!m_unpublishedUpdates.empty() && m_publishQuarantineUpdates(m_unpublishedUpdates))
        m_unpublishedUpdates.clear();
}

void ServingLoop::reportCalls()
{
    const CallCounts &calls = *m_state.callCounts();
    const auto report = [this](const char *state, std::uint64_t now, std::uint64_t &reported) {
        m_metrics.count("fordwood_calls_total", {{"state", state}},
                        static_cast<double>(now - std::exchange(reported, now)));
    };
    report("begun", calls.begun, m_reportedCalls.begun);
    report("ended", calls.ended, m_reportedCalls.ended);
    report("dropped", calls.dropped, m_reportedCalls.dropped);
    m_metrics.setGauge("fordwood_open_calls", static_cast<double>(calls.open()));
}

void ServingLoop::continueStop()
{
    if (!std::exchange(m_isEndTimerStarted, true)) {
        for (const auto &[key, session] : m_sessions)
            session->logOpenInStop();
        m_endTimer.startUntil(m_state.stop().endsAt() - kAnnouncementTime, [this] {
            announceEnd();
            m_endTimer.startUntil(m_state.stop().endsAt(), [this] { endWaiting(); });
        });
    }
    logStopProgress();
    logLateRequests();
    if (!m_state.stop().isOutOfRotation(m_clock.now()))
        return;
    if (!m_idleSessionsClosed) {
        m_idleSessionsClosed = true;
        m_acceptor.close();
        for (const auto &[key, session] : m_sessions)
            session->closeWhenIdle();
    }
    if (m_sessions.empty() && m_proxy.openConnections() == 0)
        finishStop();
}

void ServingLoop::logStopProgress()
{
    const TimePoint now = m_clock.now();
    if (now < m_nextStopLog)
        return;
    m_nextStopLog = now + kStopLogInterval;
    const auto countSessions = [this](bool (CallerSession::*is)() const) {
        return std::count_if(m_sessions.begin(), m_sessions.end(),
                             [is](const auto &it) { return (*it.second.*is)(); });
    };
    logEvent(Event::StopContinues, {{"ms", m_state.stop().elapsed(now)},
                                    {"connections", m_sessions.size()},
                                    {"requests", countSessions(&CallerSession::hasRequest)},
                                    {"at_upstream", countSessions(&CallerSession::isAtUpstream)},
                                    {"reading", countSessions(&CallerSession::isReadingRequest)},
                                    {"proxied", m_proxy.openConnections()}});
}

void ServingLoop::logLateRequests()
{
    if (m_areLateRequestsLogged || m_clock.now() < m_state.stop().endsAt() - kLateRequestTime)
        return;
    m_areLateRequestsLogged = true;
    std::size_t logged = 0;
    for (const auto &[key, session] : m_sessions) {
        if (session->hasRequest() && ++logged <= kMaxLateRequests)
            session->logOpenLate();
    }
}

void ServingLoop::announceEnd()
{
    if (std::exchange(m_isEndAnnounced, true))
        return;
    m_endAnnouncedAt = m_clock.now();
    if (m_announceEnd)
        m_announceEnd();
}

// Requests that wait end before those that run: the end of one of these may lend them a place at an
// upstream.
void ServingLoop::endWaiting()
{
    for (const auto &[key, session] : m_sessions) {
        if (!session->isAtUpstream())
            session->endForStop();
    }
    m_endTimer.startUntil(m_state.stop().cutsAt(), [this] { endStop(); });
}

void ServingLoop::endStop()
{
    for (const auto &[key, session] : m_sessions)
        session->endForStop();
    m_finishesAt = std::max(m_clock.now() + kLastWriteTime, m_state.stop().writesUntil());
    finishOnceWritten();
}

// What the kernel still holds for a caller is lost if the connection is closed with unread input.
void ServingLoop::finishOnceWritten()
{
    const bool isWriting = std::any_of(m_sessions.begin(), m_sessions.end(), [](const auto &it) {
        return it.second->hasUndeliveredBytes();
    });
    if (!isWriting || m_clock.now() >= m_finishesAt)
        finishStop();
    else
        m_endTimer.start(kWriteCheckInterval, [this] { finishOnceWritten(); });
}

void ServingLoop::finishStop()
{
    if (m_context.stopped())
        return;
    announceEnd();
    const auto isUnsent = [](const auto &it) { return it.second->hasUnsentBytes(); };
    const auto unsent = std::count_if(m_sessions.begin(), m_sessions.end(), isUnsent);
    const NodeState::StopCounts &counts = m_state.stopCounts();
    // The process goes on for a moment, and callers and peers would wait for the rest of an answer.
    for (const auto &[key, session] : m_sessions)
        session->closeForStop();
    const CallCounts &calls = *m_state.callCounts();
    logEvent(Event::StopEnded, {{"ms", m_state.stop().elapsed(m_clock.now())},
                                {"taken", counts.taken},
                                {"rejected", counts.rejected},
                                {"cut", counts.cut},
                                {"begun", calls.begun},
                                {"ended", calls.ended},
                                {"dropped", calls.dropped},
                                {"connections", m_sessions.size()},
                                {"unsent", unsent},
                                {"proxied", m_proxy.openConnections()},
                                {"longest_pause_ms", m_longestTickPause}});
    m_proxy.close();
    m_context.stop();
}

} // namespace fordwood::node
