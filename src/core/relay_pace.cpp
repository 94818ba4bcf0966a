// SPDX-License-Identifier: MIT
#include "fordwood/relay_pace.hpp"

#include <algorithm>

namespace fordwood {

RelayPace::RelayPace(const Clock &clock, Limits limits)
    : m_clock(clock), m_limits(limits), m_lastMessages(clock.now() - limits.maxPause),
      m_lastSum(clock.now() - limits.regularPause), m_lastAdmission(clock.now() - limits.maxBurst)
{ }

bool RelayPace::isMessageDue(bool hasNews) const
{
    const Duration pause = std::max(m_pause, hasNews ? m_limits.minPause : m_limits.regularPause);
    return m_clock.now() - m_lastMessages >= pause;
}

void RelayPace::messagesSent(std::size_t bytes)
{
    using Seconds = std::chrono::duration<double>;
    const Seconds linkTime(static_cast<double>(bytes)
                           / (m_limits.messageShare * m_limits.linkBytesPerSecond));
    m_pause = std::chrono::duration_cast<Duration>(std::min(linkTime, Seconds(m_limits.maxPause)));
    m_lastMessages = m_clock.now();
}

bool RelayPace::isSumDue() const
{
    return m_clock.now() - m_lastSum >= m_limits.regularPause;
}

std::size_t RelayPace::admitSums(std::size_t receivers, std::size_t bytesEach)
{
    const TimePoint now = m_clock.now();
    const auto budgetOf = [this](Duration time) {
        return m_limits.sumShare * m_limits.linkBytesPerSecond
               * std::chrono::duration<double>(time).count();
    };
    const auto size = static_cast<double>(std::max<std::size_t>(bytesEach, 1));
    const double most = std::max(budgetOf(m_limits.maxBurst), size);
    m_sumBudget = std::min(m_sumBudget + budgetOf(now - m_lastAdmission), most);
    m_lastAdmission = now;
    const std::size_t admitted = std::min(receivers, static_cast<std::size_t>(m_sumBudget / size));
    m_sumBudget -= static_cast<double>(admitted) * size;
    return admitted;
}

} // namespace fordwood
