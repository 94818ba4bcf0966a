// SPDX-License-Identifier: MIT
// The part of NodeState that records what upstreams ask for in their answers: limits, brittleness,
// backoffs and draining.
#include "node/node_state.hpp"

#include <algorithm>

#include "adapters/observe/event_log.hpp"
#include "fordwood/place_share.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood::node {

void NodeState::apply(const PeerLimits &update)
{
    for (const LimitChange &it : m_gate.limitGate().applyUpdates(update.limits))
        logLimit(it, update.peer);
    for (const LimitChange &it : m_brittle.applyUpdates(update.brittle))
        m_limitLog.logBrittleness(it, update.peer);
}

void NodeState::apply(const PeerDrainReport &update)
{
    recordDraining(update.instanceId, update.peer);
}

void NodeState::recordUpstreamState(const std::string &requestId, const UpstreamAttempt &attempt)
{
    if (platform::isFromOtherInstance(attempt.head, attempt.upstream.instanceId))
        return;
    if (attempt.head.isDraining)
        recordDraining(attempt.upstream.instanceId, requestId);
    if (attempt.head.backoff.isUnreadable)
        m_metrics.count("fordwood_unreadable_backoffs_total");
    if (attempt.head.backoff.length)
        recordBackoff(attempt.upstream.instanceId, *attempt.head.backoff.length, requestId);
}

void NodeState::recordBackoff(const std::string &instanceId, Duration length,
                              const std::string &request)
{
    if (m_upstreams.find(instanceId) == nullptr
        || !m_gate.backoffs().addBackoff(instanceId, length))
        return;
    const auto remaining
        = std::chrono::ceil<std::chrono::milliseconds>(m_gate.backoffs().remaining(instanceId));
    adapters::logEvent(
        adapters::Event::BackoffRequested,
        {{"upstream", instanceId}, {"request", request}, {"backoff_ms", remaining.count()}});
}

void NodeState::recordDraining(const std::string &instanceId, const std::string &source)
{
    if (!m_upstreams.reportDraining(instanceId))
        return;
    adapters::logEvent(adapters::Event::DrainingReported,
                       {{"upstream", instanceId}, {"source", source}});
    m_onLoadReportRequest();
}

void NodeState::recordLimit(const std::string &requestId, const UpstreamAttempt &attempt)
{
    const platform::AnswerHead &head = attempt.head;
    const std::string &id = attempt.upstream.instanceId;
    if (head.isInstanceMismatch || !hasAuthority(requestId, attempt, head.limit))
        return;
    const auto change
        = m_gate.limitGate().upstreamLimits().onAnswer(id, head.limit.perSecond, attempt.sentAt);
    if (!change)
        return;
    logLimit(*change, requestId);
    m_onLoadReportRequest();
}

// Whether the field of the answer sets or lifts a limit of an upstream in service. An answer that
// an intermediary generated does neither.
bool NodeState::hasAuthority(const std::string &requestId, const UpstreamAttempt &attempt,
                             const ParsedLimit &field)
{
    const std::string &id = attempt.upstream.instanceId;
    if (m_upstreams.find(id) == nullptr)
        return false;
    if (field.isUnreadable)
        m_limitLog.logUnreadable(id, requestId);
    return field.perSecond || (attempt.head.isSealed && !field.isUnreadable);
}

void NodeState::recordBrittleness(const std::string &requestId, const UpstreamAttempt &attempt)
{
    const platform::AnswerHead &head = attempt.head;
    const std::string &id = attempt.upstream.instanceId;
    if (platform::isFromOtherInstance(head, id) || !hasAuthority(requestId, attempt, head.brittle))
        return;
    const auto change = m_brittle.onAnswer(id, head.brittle.perSecond, attempt.sentAt);
    if (!change)
        return;
    m_limitLog.logBrittleness(*change, requestId);
    m_onLoadReportRequest();
}

PlaceGroup NodeState::placeGroup(const UpstreamRecord &upstream) const
{
    return {upstream.service,
            shardFor(stableHash(upstream.instanceId), m_upstreams.usable(upstream.service).size())};
}

std::optional<std::uint64_t>
NodeState::findWithinShare(const PlaceExchange::Question &question) const
{
    std::map<std::uint64_t, const UpstreamRecord *> records;
    for (const UpstreamRecord *it : m_upstreams.usable(question.group.service))
        records[stableHash(it->instanceId)] = it;
    const auto isWithinShare = [&](std::uint64_t upstream) {
        const auto it = records.find(upstream);
        return it != records.end()
               && m_loads.ownLoad(it->second->instanceId).running
                      < placeShare(upstream, it->second->slots, m_settings.node.name, m_otherNodes);
    };
    const auto found
        = std::find_if(question.upstreams.begin(), question.upstreams.end(), isWithinShare);
    return found == question.upstreams.end() ? std::nullopt : std::optional(*found);
}

std::vector<PlaceLender::Upstream> NodeState::lendableUpstreams(const PlaceGroup &group) const
{
    std::vector<PlaceLender::Upstream> found;
    for (const UpstreamRecord *it : m_upstreams.usable(group.service)) {
        const std::uint64_t id = stableHash(it->instanceId);
        if (group.shard.contains(id))
            found.push_back({id, it->slots, m_loads.total(it->instanceId).running});
    }
    return found;
}

std::vector<PlaceExchange::OpenRequests> NodeState::openAtBrittleUpstreams() const
{
    std::vector<PlaceExchange::OpenRequests> open;
    if (m_brittle.size() == 0)
        return open;
    for (const auto &[id, load] : m_loads.own()) {
        const UpstreamRecord *record = m_upstreams.find(id);
        if (record != nullptr && m_brittle.isBrittle(id))
            open.push_back({placeGroup(*record), stableHash(id), load.running});
    }
    return open;
}

void NodeState::logRejection(const std::string &requestId, const UpstreamAttempt &attempt) const
{
    const std::string &id = attempt.upstream.instanceId;
    m_metrics.count("fordwood_upstream_rejections_total");
    if (!m_brittle.isBrittle(id))
        return;
    adapters::logEvent(adapters::Event::BrittleRejection,
                       {{"upstream", id},
                        {"request", requestId},
                        {"slots", attempt.upstream.slots},
                        {"open", m_loads.ownLoad(id).running},
                        {"open_all_nodes", m_loads.total(id).running}});
}

void NodeState::logLimit(const LimitChange &change, const std::string &source)
{
    m_limitLog.logChange(change, source, m_gate.limitGate().ownRate(change.instanceId));
}

// Spreads the retry times so that this node's callers return at the rate of its share of the limits
// of all these upstreams.
std::chrono::milliseconds NodeState::retryAfterLimit(const ServicePool &pool)
{
    double perSecond = 0.0;
    for (const UpstreamRecord *it : m_upstreams.usable(pool.name))
        perSecond += m_gate.limitGate().totalRate(it->instanceId).value_or(0.0);
    const auto times = m_retrySchedules.try_emplace(pool.name, m_clock).first;
    return times->second.next(perSecond / static_cast<double>(m_liveNodes));
}

// At the end of their backoffs, upstreams accept about as many requests at once as they have slots,
// and as many again each second. If all callers returned at that moment, most would be rejected
// again, so their retry times are spread.
std::chrono::milliseconds NodeState::retryAfterBackoff(const ServicePool &pool, Duration backoff)
{
    std::size_t slots = 0;
    for (const UpstreamRecord *it : m_upstreams.usable(pool.name))
        slots += it->slots;
    const auto times = m_retrySchedules.try_emplace(pool.name, m_clock).first;
    return times->second.next(static_cast<double>(slots) / static_cast<double>(m_liveNodes),
                              backoff);
}

std::set<std::string>
NodeState::rateLimitedCandidates(const std::vector<const UpstreamRecord *> &candidates) const
{
    std::set<std::string> bounded;
    for (const UpstreamRecord *it : candidates) {
        if (m_gate.isRateLimited(it->instanceId))
            bounded.insert(it->instanceId);
    }
    return bounded;
}

} // namespace fordwood::node
