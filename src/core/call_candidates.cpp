// SPDX-License-Identifier: MIT
#include "fordwood/call_candidates.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

namespace {

bool contains(const std::vector<std::string> &list, const UpstreamConfig &upstream)
{
    return std::find(list.begin(), list.end(), upstream.name) != list.end();
}

} // namespace

void CallCandidates::choose(std::shared_ptr<const FleetView> view, const CallRequest &call,
                            bool resuming, std::size_t maxCount)
{
    m_view = std::move(view);
    m_current = 0;
    m_soonest = 0;
    m_soonestDelay = Duration::max();
    m_queueing = false;
    m_upstreams = select(call, resuming, maxCount);
    std::erase_if(m_upstreams, [&](const UpstreamConfig *it) { return contains(m_broken, *it); });
    std::stable_partition(m_upstreams.begin(), m_upstreams.end(),
                          [&](const UpstreamConfig *it) { return !wasRefusedBy(*it); });
    if (m_upstreams.size() > maxCount)
        m_upstreams.resize(maxCount);
}

std::vector<const UpstreamConfig *> CallCandidates::select(const CallRequest &call, bool resuming,
                                                           std::size_t maxCount) const
{
    const bool considersAll = resuming || !m_mismatched.empty();
    const std::size_t count
        = considersAll ? m_view->configuration().upstreams.size() : maxCount + m_broken.size();
    if (call.kind == CallKind::Service)
        return m_view->services(call.target, call.prefixHash, count);
    auto upstreams = m_view->engines(call.target, call.prefixHash, count);
    if (resuming)
        std::erase_if(upstreams, [](const UpstreamConfig *it) { return !it->resumes; });
    // An upstream served other weights than this node's configuration requires. If this failure
    // domain is cut off, its own engines are those that still have the required weights.
    if (!m_mismatched.empty())
        std::stable_partition(upstreams.begin(), upstreams.end(), [&](const auto *it) {
            return it->failureDomain == m_view->ownFailureDomain();
        });
    return upstreams;
}

const UpstreamConfig *CallCandidates::current() const
{
    return m_current < m_upstreams.size() ? m_upstreams[m_current] : nullptr;
}

bool CallCandidates::advance()
{
    ++m_current;
    return m_current < m_upstreams.size();
}

void CallCandidates::recordFirstTokenDelay(Duration delay)
{
    if (delay >= m_soonestDelay)
        return;
    m_soonest = m_current;
    m_soonestDelay = delay;
}

void CallCandidates::queueAtSoonest()
{
    m_current = m_soonest;
    m_queueing = true;
}

bool CallCandidates::wasRefusedBy(const UpstreamConfig &upstream) const
{
    return contains(m_full, upstream) || contains(m_mismatched, upstream);
}

} // namespace fordwood
