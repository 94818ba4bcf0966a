// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ORIGIN_SEARCH_HPP_INCLUDED
#define FORDWOOD_ORIGIN_SEARCH_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "fordwood/clock.hpp"
#include "fordwood/stream_origins.hpp"

namespace fordwood {

// What a node knows about where a stream may have begun.
struct OriginKnowledge
{
    std::optional<StreamOrigin> origin; // nothing: it does not know the stream
    std::set<std::string> versions; // of the service, see ServedVersions::recent()
    // There have been no other versions until the stream was taken up, by evidence from after that.
    bool isComplete = false;
};

// Finds out at which software version a stream began that a caller takes up, from the knowledge of
// this node and of the peers that are asked.
//
// Load pattern: nodes are killed or cut off, most of them at once, also during a rollout, and their
// callers take their streams up at the others within moments. Peers do not answer, know nothing, or
// do not know of a new version yet. An origin is never guessed: a stream of two versions is worse
// than one that ends.
class OriginSearch
{
public:
    OriginSearch(std::string service, const OriginKnowledge &own, std::size_t peers);

    void addReply(std::uint64_t peer, const OriginKnowledge &knowledge);

    // Whether no further reply would change the result, or none can be expected.
    bool isDone() const;

    // The peers have been asked, for the first time or again, and may reply until the returned time
    // has passed. Zero: they are not asked any more.
    Duration beginRound();

    // Nothing: it is not known where the stream began.
    std::optional<StreamOrigin> result() const;

    // What this node and the peers that have replied know together, and how many replies came.
    const OriginKnowledge &knowledge() const { return m_all; }
    std::size_t replies() const { return m_replies; }

private:
    bool isSoleVersionKnown() const { return m_all.versions.size() == 1 && m_all.isComplete; }

    const std::string m_service;
    const bool m_isSoleVersionKnownHere;
    const std::size_t m_peers;
    OriginKnowledge m_all; // of all nodes that have replied, this one included
    std::set<std::uint64_t> m_repliedInRound;
    std::size_t m_round = 0;
    std::size_t m_replies = 0;
};

} // namespace fordwood

#endif // FORDWOOD_ORIGIN_SEARCH_HPP_INCLUDED
