// SPDX-License-Identifier: MIT
#include "fordwood/origin_search.hpp"

#include <utility>

namespace fordwood {

namespace {

// Peers reply within a few milliseconds, unless their processors are busy. Lost datagrams are made
// up for in the next round.
constexpr Duration kRoundTime = std::chrono::milliseconds(50);

// A stream that began moments ago may not be known to the peers when they are asked first.
constexpr std::size_t kRounds = 3;

// If this node knows of one version only, a reply can only warn of a very new one. Waiting for a
// peer that is gone would delay callers in the usual case.
constexpr Duration kShortRoundTime = std::chrono::milliseconds(10);

} // namespace

OriginSearch::OriginSearch(std::string service, const OriginKnowledge &own, std::size_t peers)
    : m_service(std::move(service)),
      m_isSoleVersionKnownHere(own.versions.size() == 1 && own.isComplete), m_peers(peers),
      m_all(own)
{ }

void OriginSearch::addReply(std::uint64_t peer, const OriginKnowledge &knowledge)
{
    m_repliedInRound.insert(peer);
    m_replies += 1;
    if (!m_all.origin)
        m_all.origin = knowledge.origin;
    m_all.versions.insert(knowledge.versions.begin(), knowledge.versions.end());
    m_all.isComplete = m_all.isComplete || knowledge.isComplete;
}

bool OriginSearch::isDone() const
{
    if (m_all.origin || m_peers == 0)
        return true;
    const bool haveAllReplied = m_repliedInRound.size() >= m_peers;
    return haveAllReplied && (isSoleVersionKnown() || m_round > 1);
}

Duration OriginSearch::beginRound()
{
    const bool isLastRound
        = m_round == kRounds || (m_round > 0 && m_isSoleVersionKnownHere && isSoleVersionKnown());
    if (m_peers == 0 || isLastRound)
        return Duration::zero();
    m_round += 1;
    m_repliedInRound.clear();
    return m_round == 1 && m_isSoleVersionKnownHere ? kShortRoundTime : kRoundTime;
}

std::optional<StreamOrigin> OriginSearch::result() const
{
    if (m_all.origin)
        return m_all.origin;
    if (isSoleVersionKnown())
        return StreamOrigin{m_service, *m_all.versions.begin()};
    return std::nullopt;
}

} // namespace fordwood
