// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_QUARANTINE_GATE_HPP_INCLUDED
#define FORDWOOD_QUARANTINE_GATE_HPP_INCLUDED

#include <deque>
#include <map>
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
    explicit QuarantineGate(const Clock &clock)
        : m_clock(clock), m_quarantine(clock), m_answers(clock)
    { }

    // The upstream closed its connection while running the request.
    void onDisconnect(const RequestFingerprint &request, const std::string &instanceId);

    // A request ended without a response because the caller left or the deadline passed. It counts
    // as a failure if the upstream turns out to have ended at about that time, because an upstream
    // that loses power does not close its connections.
    void onUnanswered(const RequestFingerprint &request, const std::string &instanceId);

    // The upstream has ended without having announced that it would leave.
    void onUpstreamEnded(const std::string &instanceId);

    // An upstream has completed the request successfully.
    void onAnswer(const RequestFingerprint &request);

    // Merges reports of other nodes or from the platform's store.
    void applyUpdates(const std::vector<QuarantineUpdate> &updates);

    // True if no request is recorded, so that no lookup is needed.
    bool isEmpty() const { return m_quarantine.isEmpty(); }

    bool isHeld(const RequestFingerprint &request) const { return m_quarantine.isHeld(request); }
    Duration heldFor(const RequestFingerprint &request) const
    {
        return m_quarantine.heldFor(request);
    }
    std::size_t heldRequests() const { return m_quarantine.heldRequests(); }

    // Returns the new reports for the other nodes, each once.
    std::vector<QuarantineUpdate> takeUpdates();

    // Periodic work: drops old entries.
    void tick();

private:
    struct UnansweredRequest
    {
        RequestFingerprint request;
        std::string instanceId;
        TimePoint when{};
    };

    void publish(const QuarantineUpdate &update);

    const Clock &m_clock;
    Quarantine m_quarantine;
    RecentAnswers m_answers;
    std::deque<UnansweredRequest> m_unanswered; // ordered by time
    std::map<std::string, TimePoint> m_endedUpstreams; // recently ended upstreams
    std::vector<QuarantineUpdate> m_updates;
};

} // namespace fordwood

#endif // FORDWOOD_QUARANTINE_GATE_HPP_INCLUDED
