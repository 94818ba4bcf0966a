// SPDX-License-Identifier: MIT
#include "node/traffic_duty.hpp"

#include <algorithm>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

constexpr Duration kTickEvery = std::chrono::milliseconds(100);
constexpr std::size_t kMailboxCapacity = 4'096;

// After a failed accept, which is out of descriptors most of the time.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

// The platform sends no new connections after two questions a second apart found the node unready;
// resting connections are served until then, and closed after it.
constexpr Duration kOutOfRotation = std::chrono::milliseconds(3'200);

// The last part of the time that the platform gives a stop, kept for what follows the requests.
constexpr Duration kStopReserve = std::chrono::milliseconds(600);

} // namespace

TrafficDuty::TrafficDuty(const config::OneProcessSettings &settings, const Clock &clock,
                         adapters::Metrics &metrics, TellLoads tellLoads)
    : m_clock(clock), m_settings(settings), m_metrics(metrics), m_tellLoads(std::move(tellLoads)),
      m_context(1), m_traffic(m_context, clock, settings, metrics),
      m_mailbox(m_context, kMailboxCapacity, [this](const FleetUpdate &it) { m_traffic.take(it); }),
      m_acceptor(m_context), m_tickTimer(m_context), m_acceptTimer(m_context)
{
    m_traffic.onHeavyLoad([this] { reportLoads(true); });
}

bool TrafficDuty::open()
{
    ErrorCode ec;
    m_acceptor = listenAt(m_context, m_settings.callers.listen, ec);
    if (ec) {
        logEvent(Event::ListenFailed,
                 {{"address", m_settings.callers.listen}, {"error", ec.message()}});
        return false;
    }
    accept();
    tick();
    return true;
}

void TrafficDuty::accept()
{
    m_acceptor.async_accept([this](const ErrorCode &ec, tcp::socket socket) {
        if (ec == net::error::operation_aborted)
            return;
        if (!ec) {
            accepted(std::move(socket));
            accept();
            return;
        }
        m_metrics.count("fordwood_accept_failures_total");
        m_acceptTimer.expires_after(kAcceptPause);
        m_acceptTimer.async_wait([this](const ErrorCode &timerEc) {
            if (!timerEc)
                accept();
        });
    });
}

void TrafficDuty::accepted(tcp::socket socket)
{
    if (m_sessions.size() >= m_settings.callers.maxConnections) {
        m_metrics.countRefusal(Reason::ConnectionLimit);
        return;
    }
    const auto session = std::make_shared<CallerSession>(
        m_traffic, std::move(socket), [this](CallerSession *it) { m_sessions.erase(it); });
    m_sessions.emplace(session.get(), session);
    session->start();
}

std::size_t TrafficDuty::serving() const
{
    return static_cast<std::size_t>(
        std::count_if(m_sessions.begin(), m_sessions.end(),
                      [](const auto &it) { return it.second->isServing(); }));
}

void TrafficDuty::tick()
{
    m_tickTimer.expires_after(kTickEvery);
    m_tickTimer.async_wait([this](const ErrorCode &ec) {
        if (!ec)
            tick();
    });
    m_traffic.tick();
    reportLoads(false);
    m_metrics.setGauge("fordwood_caller_connections", static_cast<double>(m_sessions.size()));
    m_metrics.setGauge("fordwood_upstream_channels",
                       static_cast<double>(m_traffic.channels().openChannels()));
    if (m_traffic.isStopping())
        stopStep();
}

void TrafficDuty::reportLoads(bool isUrgent)
{
    m_tellLoads({m_traffic.loads().own(), m_traffic.shortContextTokens(), isUrgent});
}

void TrafficDuty::stopStep()
{
    const TimePoint now = m_clock.now();
    if (!m_stopBegan)
        m_stopBegan = now;
    const Duration since = now - *m_stopBegan;
    if (since >= m_settings.bounds.stopWithin - kStopReserve) {
        m_context.stop();
        return;
    }
    if (since < kOutOfRotation)
        return;
    if (!m_idleClosed) {
        m_idleClosed = true;
        ErrorCode ec; // it is closed in any case
        m_acceptor.close(ec);
        const auto sessions = m_sessions;
        for (const auto &[key, session] : sessions)
            session->closeWhenIdle();
    }
    if (m_sessions.empty())
        m_context.stop();
}

} // namespace fordwood::node
