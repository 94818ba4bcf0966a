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

// The upstreams that one call may be sent to, best first, and the outcome of its attempts there.
// The call first tries each of them for a free slot, then queues at the one that expects to deliver
// the first token soonest.
class CallCandidates
{
public:
    // Selects at most `maxCount` upstreams: leaves out those that broke off, and puts those that
    // were full last. `resuming`: only upstreams that can resume a stream.
    void choose(std::shared_ptr<const FleetView> view, const CallRequest &call, bool resuming,
                std::size_t maxCount);

    // The view that the candidates were selected from.
    const FleetView &view() const { return *m_view; }

    // The current candidate; null if there is none. Valid until choose().
    const UpstreamConfig *current() const;
    bool isOnlyOne() const { return m_upstreams.size() == 1; }
    bool isEmpty() const { return m_upstreams.empty(); }

    // Moves to the next candidate; false if none is left.
    bool advance();

    // The current candidate is full and expects to deliver the first token after `delay`.
    void recordFirstTokenDelay(Duration delay);

    // Whether the call queues at the current candidate instead of trying the next one.
    bool isQueueing() const { return m_queueing; }
    void setQueueing(bool queueing) { m_queueing = queueing; }
    void queueAtSoonest();

    // Record the outcome of an attempt at the current candidate.
    void markFull() { m_full.push_back(current()->name); }
    void markBroken() { m_broken.push_back(current()->name); }
    void markWeightMismatch() { m_mismatched.push_back(current()->name); }

    std::size_t weightMismatches() const { return m_mismatched.size(); }
    // Whether the upstream has refused the call before.
    bool wasRefusedBy(const UpstreamConfig &upstream) const;

private:
    std::vector<const UpstreamConfig *> select(const CallRequest &call, bool resuming,
                                               std::size_t maxCount) const;

    std::shared_ptr<const FleetView> m_view; // keeps the upstreams alive
    std::vector<const UpstreamConfig *> m_upstreams;
    std::vector<std::string> m_full; // refused the call because they were full
    std::vector<std::string> m_broken; // an attempt failed there
    std::vector<std::string> m_mismatched; // served another weight version
    std::size_t m_current = 0;
    std::size_t m_soonest = 0; // index of the full candidate with the earliest first token
    Duration m_soonestDelay = Duration::max();
    bool m_queueing = false;
};

} // namespace fordwood

#endif // FORDWOOD_CALL_CANDIDATES_HPP_INCLUDED
