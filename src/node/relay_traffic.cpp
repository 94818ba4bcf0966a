// SPDX-License-Identifier: MIT
#include "node/relay_traffic.hpp"

#include <algorithm>
#include <chrono>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

constexpr Duration kSummaryInterval = std::chrono::seconds(1);

} // namespace

void RelayTraffic::addSums(std::size_t receivers, std::size_t datagramBytes, std::size_t rows)
{
    m_sums += receivers;
    m_sumBytes += receivers * datagramBytes;
    m_datagramBytes = datagramBytes;
    m_rows = rows;
}

void RelayTraffic::tick()
{
    const Duration elapsed = m_clock.now() - m_since;
    if (elapsed < kSummaryInterval)
        return;
    m_since = m_clock.now();
    const double linkBytes
        = std::max(std::chrono::duration<double>(elapsed).count() * m_linkBytesPerSecond, 1.0);
    const double linkPercent = 100.0 * static_cast<double>(m_messageBytes + m_sumBytes) / linkBytes;
    adapters::logEvent(adapters::Event::RelayTraffic,
                       {{"messages", m_messageRounds},
                        {"message_bytes", m_messageBytes},
                        {"sums", m_sums},
                        {"sum_bytes", m_datagramBytes},
                        {"rows", m_rows},
                        {"link_percent", static_cast<int>(linkPercent)}});
    m_metrics.setGauge("fordwood_relay_link_percent", linkPercent);
    m_metrics.setGauge("fordwood_sum_bytes", static_cast<double>(m_datagramBytes));
    m_messageRounds = m_messageBytes = m_sums = m_sumBytes = 0;
}

} // namespace fordwood::node
