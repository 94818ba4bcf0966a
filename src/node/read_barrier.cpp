// SPDX-License-Identifier: MIT
#include "node/read_barrier.hpp"

#include <utility>
#include <vector>

namespace fordwood::node {

namespace {

// Callers may send any number of requests that need a check.
constexpr std::size_t kMaxWaiters = 4'096;

// A store that rejects calls, or is down, is not asked for each request anew.
constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(100);

} // namespace

void ReadBarrier::wait(OnDone onDone)
{
    if (m_waiters.size() >= kMaxWaiters || m_clock.now() < m_pausedUntil) {
        onDone(false);
        return;
    }
    const std::uint64_t number = ++m_lastNumber;
    auto timer = std::make_unique<TimeoutTimer>(m_context);
    timer->start(kMaxWait, [this, number] { expire(number); });
    m_waiters.emplace(number, Waiter{m_clock.now(), std::move(onDone), std::move(timer)});
    if (!m_isRequested)
        request();
}

void ReadBarrier::request()
{
    m_isRequested = true;
    m_requestedAt = m_clock.now();
    m_metrics.count("fordwood_replica_checks_total");
    m_request(m_requestedAt);
}

void ReadBarrier::checked(const ReplicaChecked &check)
{
    m_isRequested = m_isRequested && check.asOf < m_requestedAt;
    if (!check.isComplete) {
        m_metrics.count("fordwood_replica_checks_failed_total");
        m_pausedUntil = m_clock.now() + kPauseAfterFailure;
    }
    std::vector<OnDone> answered;
    while (!m_waiters.empty() && m_waiters.begin()->second.since <= check.asOf) {
        answered.push_back(std::move(m_waiters.begin()->second.onDone));
        m_waiters.erase(m_waiters.begin());
    }
    for (const OnDone &it : answered)
        it(check.isComplete);
    if (!m_waiters.empty() && !m_isRequested)
        request();
}

void ReadBarrier::expire(std::uint64_t number)
{
    const auto it = m_waiters.find(number);
    if (it == m_waiters.end())
        return;
    m_metrics.count("fordwood_replica_checks_failed_total");
    m_isRequested = false; // the request or its answer may be lost
    const OnDone onDone = std::move(it->second.onDone);
    m_waiters.erase(it);
    if (!m_waiters.empty())
        request();
    onDone(false);
}

} // namespace fordwood::node
