// SPDX-License-Identifier: MIT
#include "fordwood/limit_senders.hpp"

#include <algorithm>
#include <chrono>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// A node without a request for this long has no demand: callers of a busy service send more often.
constexpr Duration kDemandTimeout = std::chrono::seconds(2);

// A node announces its requests for this long before it sends: longer than an announcement takes to
// reach all nodes through two relays, one of which may miss a message.
constexpr Duration kAnnounceBeforeSending = std::chrono::milliseconds(1'500);

// A node that no peer has listed for this long is partitioned off or no longer counted. The time
// allows for a few lost messages and for the replacement of a relay.
constexpr Duration kNamedTimeout = std::chrono::seconds(1);

// A node without a new announcement for this long is no longer counted. This is longer than the
// time after which a paused node stops sending, so that its share is reassigned only after it has
// stopped.
constexpr Duration kSenderTimeout = std::chrono::seconds(3);

// An announcement is forwarded for less time than it counts, and remembered for longer than a copy
// can be in transit. A copy that returns through other nodes then neither extends it nor is taken
// for a new one.
constexpr Duration kForwardFor = std::chrono::seconds(2);
constexpr Duration kRememberFor = std::chrono::minutes(1);

} // namespace

bool LimitSenders::hasDemand(const Demand &demand) const
{
    return demand.since && isWithin(demand.last, kDemandTimeout);
}

bool LimitSenders::isNamedByPeer(const Demand &demand) const
{
    return m_isAlone || (demand.lastNamed && isWithin(*demand.lastNamed, kNamedTimeout));
}

std::uint64_t LimitSenders::millisecondsOf(TimePoint time) const
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

void LimitSenders::recordDemand(std::uint64_t upstream)
{
    Demand &demand = m_upstreams[upstream];
    // After a pause in requests, or of this process, the other nodes no longer count this node.
    if (!hasDemand(demand))
        demand.since = m_clock.now();
    demand.last = m_clock.now();
}

void LimitSenders::applyAnnouncement(Demand &demand, const SenderAnnouncement &announcement)
{
    if (announcement.node == m_self) {
        // An announcement from before the pause does not show that this node is counted now.
        if (demand.since && announcement.sequence >= millisecondsOf(*demand.since))
            demand.lastNamed = m_clock.now();
        return;
    }
    const auto [known, isNew] = demand.others.try_emplace(announcement.node);
    if (isNew || announcement.sequence > known->second.sequence)
        known->second = {announcement.sequence, m_clock.now()};
}

void LimitSenders::applyAnnouncements(std::uint64_t upstream,
                                      const std::vector<SenderAnnouncement> &announcements)
{
    if (announcements.empty())
        return;
    Demand &demand = m_upstreams[upstream];
    std::erase_if(demand.others,
                  [this](const auto &it) { return !isWithin(it.second.receivedAt, kRememberFor); });
    for (const SenderAnnouncement &it : announcements)
        applyAnnouncement(demand, it);
}

std::optional<LimitSenders::SenderRank> LimitSenders::bounded(SenderRank senderRank,
                                                              std::size_t maxSenders)
{
    if (senderRank.rank >= maxSenders)
        return std::nullopt;
    senderRank.senders = std::min(senderRank.senders, maxSenders);
    return senderRank;
}

std::optional<LimitSenders::SenderRank> LimitSenders::senderRank(std::uint64_t upstream,
                                                                 std::size_t maxSenders) const
{
    if (m_fixedSenders)
        return bounded(
            {rendezvousRank(upstream, m_self, *m_fixedSenders), m_fixedSenders->size() + 1},
            maxSenders);
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end() || !hasDemand(it->second) || !isNamedByPeer(it->second)
        || isWithin(*it->second.since, kAnnounceBeforeSending))
        return std::nullopt;
    const std::uint64_t own = rendezvousWeight(upstream, m_self);
    SenderRank senderRank;
    for (const auto &[node, announcement] : it->second.others) {
        if (!isWithin(announcement.receivedAt, kSenderTimeout))
            continue;
        senderRank.senders += 1;
        senderRank.rank += rendezvousWeight(upstream, node) > own ? 1 : 0;
    }
    return bounded(senderRank, maxSenders);
}

std::vector<SenderAnnouncement> LimitSenders::ownAnnouncement(std::uint64_t upstream) const
{
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end() || !hasDemand(it->second))
        return {};
    return {{m_self, millisecondsOf(m_clock.now())}};
}

std::vector<SenderAnnouncement> LimitSenders::firstAnnouncements(std::uint64_t upstream,
                                                                 std::size_t max) const
{
    std::vector<SenderAnnouncement> announcements = ownAnnouncement(upstream);
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end())
        return announcements;
    for (const auto &[node, announcement] : it->second.others) {
        if (isWithin(announcement.receivedAt, kForwardFor))
            announcements.push_back({node, announcement.sequence});
    }
    std::sort(announcements.begin(), announcements.end(),
              [upstream](const SenderAnnouncement &a, const SenderAnnouncement &b) {
                  return rendezvousWeight(upstream, a.node) > rendezvousWeight(upstream, b.node);
              });
    announcements.resize(std::min(announcements.size(), max));
    return announcements;
}

} // namespace fordwood
