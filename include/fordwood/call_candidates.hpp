// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CALL_CANDIDATES_HPP_INCLUDED
#define FORDWOOD_CALL_CANDIDATES_HPP_INCLUDED

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "fordwood/call.hpp"
#include "fordwood/fleet_view.hpp"

namespace fordwood {

// The upstreams that one call may be sent to, best first, and what it met at them. It goes through
// them once looking for a free place; after that it queues where the first token would come
// soonest.
class CallCandidates
{
public:
    // Chooses anew, at most `most` upstreams: those that broke are left out, those that were full
    // come last. `resuming`: only upstreams that can go on with a stream.
    void choose(std::shared_ptr<const FleetView> view, const CallRequest &call, bool resuming,
                std::size_t maxCount);

    // The view that was chosen from.
    const FleetView &view() const { return *m_view; }

    // The upstream whose turn it is; null when there is none. Valid until choose().
    const UpstreamConfig *current() const;
    bool isOnlyOne() const { return m_upstreams.size() == 1; }
    bool isEmpty() const { return m_upstreams.empty(); }

    // Goes on to the next upstream; false when all had their turn.
    bool advance();

    // The current upstream has no place, and could give the first token after `in`.
    void recordFirstTokenDelay(Duration delay);

    // Whether the call waits for its turn where it asks, instead of going on to the next upstream.
    bool isQueueing() const { return m_queueing; }
    void setQueueing(bool queueing) { m_queueing = queueing; }
    void queueAtSoonest();

    // What an attempt at the current upstream met.
    void markFull() { m_full.push_back(current()->name); }
    void markBroken() { m_broken.push_back(current()->name); }
    void markWeightMismatch() { m_mismatched.push_back(current()->name); }

    std::size_t weightMismatches() const { return m_mismatched.size(); }
    // Whether the upstream turned the call away earlier.
    bool wasRefusedBy(const UpstreamConfig &upstream) const;

private:
    std::vector<const UpstreamConfig *> select(const CallRequest &call, bool resuming,
                                               std::size_t maxCount) const;

    std::shared_ptr<const FleetView> m_view; // keeps the upstreams alive
    std::vector<const UpstreamConfig *> m_upstreams;
    std::vector<std::string> m_full; // refused the call for want of a place
    std::vector<std::string> m_broken; // an attempt failed there
    std::vector<std::string> m_mismatched; // served another weight version
    std::size_t m_current = 0;
    std::size_t m_soonest = 0; // of those that had no place
    Duration m_soonestDelay = Duration::max();
    bool m_queueing = false;
};

} // namespace fordwood

#endif // FORDWOOD_CALL_CANDIDATES_HPP_INCLUDED
