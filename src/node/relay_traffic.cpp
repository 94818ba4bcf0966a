// SPDX-License-Identifier: MIT
#include "node/relay_traffic.hpp"

#include <algorithm>
#include <chrono>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

constexpr Duration kSummaryInterval = std::chrono::seconds(1);

} // namespace

void RelayTraffic::addSums(std::size_t bytes, std::size_t datagramBytes, std::size_t rows)
{
    m_rounds += 1;
    m_bytes += bytes;
    m_datagramBytes = datagramBytes;
    m_rows = rows;
}

void RelayTraffic::tick()
{
    const Duration elapsed = m_clock.now() - m_since;
    if (elapsed < kSummaryInterval)
        return;
    m_since = m_clock.now();
    if (m_rounds == 0)
        return;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double linkPercent
        = 100.0 * static_cast<double>(m_bytes) / std::max(seconds * m_linkBytesPerSecond, 1.0);
    adapters::logEvent(adapters::Event::RelayTraffic,
                       {{"rounds", m_rounds},
                        {"bytes", m_bytes},
                        {"sum_bytes", m_datagramBytes},
                        {"rows", m_rows},
                        {"link_percent", static_cast<int>(linkPercent)}});
    m_metrics.setGauge("fordwood_relay_link_percent", linkPercent);
    m_metrics.setGauge("fordwood_sum_bytes", static_cast<double>(m_datagramBytes));
    m_rounds = 0;
    m_bytes = 0;
}

} // namespace fordwood::node
