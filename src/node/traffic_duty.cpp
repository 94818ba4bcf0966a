// SPDX-License-Identifier: MIT
#include "node/traffic_duty.hpp"

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

constexpr Duration kTickEvery = std::chrono::milliseconds(100);
constexpr std::size_t kMailboxCapacity = 4'096;

// The platform sends no new connections after two questions a second apart found the node unready;
// resting connections are served until then, and closed after it.
constexpr Duration kOutOfRotation = std::chrono::milliseconds(3'200);

} // namespace

TrafficDuty::TrafficDuty(const config::OneProcessSettings &settings, const Clock &clock,
                         adapters::Metrics &metrics, TellLoads tellLoads,
                         TellRequestNews tellRequestNews)
    : m_clock(clock), m_settings(settings), m_metrics(metrics), m_tellLoads(std::move(tellLoads)),
      m_tellRequestNews(std::move(tellRequestNews)), m_context(1),
      m_traffic(m_context, clock, settings, metrics),
      m_mailbox(m_context, kMailboxCapacity, [this](const FleetUpdate &it) { m_traffic.take(it); }),
      m_acceptor(m_context, [this](tcp::socket it) { accepted(std::move(it)); }),
      m_tickTimer(m_context)
{
    m_acceptor.onFailure([this] { m_metrics.count("fordwood_accept_failures_total"); });
    m_traffic.onReportNow([this] { reportLoads(true); });
    m_traffic.onRequestNews([this] { reportRequestNews(); });
}

bool TrafficDuty::open()
{
    ErrorCode ec;
    if (!m_acceptor.listen(m_settings.callers.listen, ec)) {
        logEvent(Event::ListenFailed,
                 {{"address", m_settings.callers.listen}, {"error", ec.message()}});
        return false;
    }
    tick();
    return true;
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

void TrafficDuty::tick()
{
    m_tickTimer.expires_after(kTickEvery);
    m_tickTimer.async_wait([this](const ErrorCode &ec) {
        if (!ec)
            tick();
    });
    m_traffic.tick();
    reportLoads(false);
    reportRequestNews();
    m_metrics.setGauge("fordwood_caller_connections", static_cast<double>(m_sessions.size()));
    m_metrics.setGauge("fordwood_upstream_channels",
                       static_cast<double>(m_traffic.channels().openChannels()));
    if (m_traffic.isStopping())
        stopStep();
}

void TrafficDuty::reportLoads(bool isUrgent)
{
    m_tellLoads({m_traffic.loads().own(), m_traffic.shortContextTokens(),
                 m_traffic.contexts().recentSends(), m_traffic.limitNews(),
                 m_traffic.upstreams().reportedDraining(), isUrgent});
}

void TrafficDuty::reportRequestNews()
{
    const std::vector<QuarantineUpdate> news = m_traffic.quarantine().takeUpdates();
    m_untold.insert(m_untold.end(), news.begin(), news.end());
    if (!m_untold.empty() && m_tellRequestNews(m_untold))
        m_untold.clear();
}

void TrafficDuty::stopStep()
{
    if (m_clock.now() >= m_traffic.stopEnds()) {
        m_context.stop();
        return;
    }
    if (m_traffic.stopAge() < kOutOfRotation)
        return;
    if (!m_idleClosed) {
        m_idleClosed = true;
        m_acceptor.close();
        const auto sessions = m_sessions;
        for (const auto &[key, session] : sessions)
            session->closeWhenIdle();
    }
    if (m_sessions.empty())
        m_context.stop();
}

} // namespace fordwood::node
