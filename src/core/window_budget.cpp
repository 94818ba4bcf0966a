// SPDX-License-Identifier: MIT
#include "fordwood/window_budget.hpp"

#include <algorithm>

namespace fordwood {

void WindowBudget::countRequest()
{
    forgetOld();
    m_requests.push_back(m_clock.now());
}

bool WindowBudget::takeRetry(std::size_t nodes)
{
    forgetOld();
    const double share = m_limits.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
    const double allowed
        = m_limits.usableShare * (m_limits.ratio * static_cast<double>(m_requests.size()) + share);
    if (static_cast<double>(m_retries.size()) + 1.0 > allowed)
        return false;
    m_retries.push_back(m_clock.now());
    return true;
}

void WindowBudget::forgetOld()
{
    const TimePoint oldest = m_clock.now() - m_limits.window;
    while (!m_requests.empty() && m_requests.front() < oldest)
        m_requests.pop_front();
    while (!m_retries.empty() && m_retries.front() < oldest)
        m_retries.pop_front();
}

} // namespace fordwood
