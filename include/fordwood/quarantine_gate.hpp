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

// Holds requests that end upstreams, on one node: what this node's own sends show, and what it has
// heard from the others. What the others should hear is taken from it as news.
class QuarantineGate
{
public:
    explicit QuarantineGate(const Clock &clock)
        : m_clock(clock), m_quarantine(clock), m_answers(clock)
    { }

    // The upstream broke its connection while the request was there.
    void onDisconnect(const RequestFingerprint &request, const std::string &instanceId);

    // A send ended without a word of the upstream: the caller left, or the time was up. It counts
    // as broken off if the upstream turns out to have ended at about that time, since one that
    // loses power breaks no connection.
    void onUnanswered(const RequestFingerprint &request, const std::string &instanceId);

    // The upstream is gone, and had not said that it would leave.
    void onUpstreamEnded(const std::string &instanceId);

    // An upstream has answered the request whole and with success.
    void onAnswer(const RequestFingerprint &request);

    // What other nodes, or the platform's store, have told.
    void applyUpdates(const std::vector<QuarantineUpdate> &updates);

    // Whether anything is known against any request; if not, none need be looked up.
    bool isEmpty() const { return m_quarantine.isEmpty(); }

    bool isHeld(const RequestFingerprint &request) const { return m_quarantine.isHeld(request); }
    Duration heldFor(const RequestFingerprint &request) const
    {
        return m_quarantine.heldFor(request);
    }
    std::size_t heldRequests() const { return m_quarantine.heldRequests(); }

    // What other nodes should hear, once.
    std::vector<QuarantineUpdate> takeUpdates();

    // Regular work: forgets what is old.
    void tick();

private:
    struct Unanswered
    {
        RequestFingerprint request;
        std::string instanceId;
        TimePoint when{};
    };

    void publish(const QuarantineUpdate &updates);

    const Clock &m_clock;
    Quarantine m_quarantine;
    RecentAnswers m_answers;
    std::deque<Unanswered> m_unanswered; // by time
    std::map<std::string, TimePoint> m_ended; // upstreams, of late
    std::vector<QuarantineUpdate> m_updates;
};

} // namespace fordwood

#endif // FORDWOOD_QUARANTINE_GATE_HPP_INCLUDED
