// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_QUARANTINE_GATE_HPP_INCLUDED
#define FORDWOOD_QUARANTINE_GATE_HPP_INCLUDED

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/quarantine.hpp"
#include "fordwood/recent_answers.hpp"
#include "fordwood/request_fingerprint.hpp"

namespace fordwood {

// Holds poison requests on one node, from the outcomes of its own requests and from the reports of
// other nodes. New reports for the other nodes are collected in takeUpdates().
class QuarantineGate
{
public:
    explicit QuarantineGate(const Clock &clock);

    // The names of this node and of all others.
    void setNodes(std::string self, std::vector<std::string> others);

    // The upstream closed its connection while running the request.
    void onDisconnect(const RequestIdentity &request, const std::string &instanceId);

    // A request ended without a response because the caller left or the deadline passed. It counts
    // as a failure if the upstream turns out to have ended at about that time, because an upstream
    // that loses power does not close its connections.
    void onUnanswered(const RequestIdentity &request, const std::string &instanceId);

    // The upstream has ended without having announced that it would leave.
    void onUpstreamEnded(const std::string &instanceId);

    // An upstream has completed the request successfully.
    void onAnswer(const RequestIdentity &request);

    // Merges reports of other nodes or from the platform's store.
    void applyUpdates(const std::vector<QuarantineUpdate> &updates);

    // True if no request is recorded, so that no lookup is needed.
    bool isEmpty() const { return m_quarantine.isEmpty(); }

    // Why and for how long a request is held.
    struct Hold
    {
        bool isWhole = false; // the whole request is
        std::optional<RequestFingerprint> part; // the part that is; empty: none
        Duration remaining{};
    };
    std::optional<Hold> findHold(const RequestIdentity &request) const;

    bool isHeld(const RequestIdentity &request) const { return findHold(request).has_value(); }
    Duration heldFor(const RequestIdentity &request) const
    {
        return findHold(request).value_or(Hold{}).remaining;
    }

    // Whether a request after which an upstream has ended must not be repeated at another one.
    bool isRepeatUnsafe(const RequestIdentity &request) const
    {
        return m_quarantine.isAnySuspect(request.parts);
    }

    // Whether a request that is held for a part may be sent all the same. One node in the fleet
    // sends a single one, at growing intervals, since a part may be held by mistake and is released
    // only by an answer. Call it once for each request.
    bool takeTrial(const Hold &hold);
    std::size_t heldRequests() const { return m_quarantine.heldRequests(); }

    // Returns the new reports for the other nodes, each once.
    std::vector<QuarantineUpdate> takeUpdates();

    // Periodic work: drops old entries.
    void tick();

private:
    struct UnansweredRequest
    {
        RequestIdentity request;
        std::string instanceId;
        TimePoint when{};
    };

    void publish(const QuarantineUpdate &update);
    bool isAnswered(const RequestFingerprint &subject) const;
    void recordFailure(const RequestFingerprint &subject, std::uint64_t instance);

    const Clock &m_clock;
    Quarantine m_quarantine;
    RecentAnswers m_answers; // to whole requests
    RecentAnswers m_partAnswers;
    std::string m_self;
    std::vector<std::string> m_otherNodes;
    std::map<RequestFingerprint, std::size_t> m_trials; // of held parts
    std::deque<UnansweredRequest> m_unanswered; // ordered by time
    std::map<std::string, TimePoint> m_endedUpstreams; // recently ended upstreams
    std::vector<QuarantineUpdate> m_updates;
};

} // namespace fordwood

#endif // FORDWOOD_QUARANTINE_GATE_HPP_INCLUDED
