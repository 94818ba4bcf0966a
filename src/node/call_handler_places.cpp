// SPDX-License-Identifier: MIT
// The part of CallHandler that borrows places at brittle upstreams.
#include <algorithm>

#include "fordwood/rendezvous.hpp"
#include "node/call_handler.hpp"

namespace fordwood::node {

// Whether the upstream is brittle, so that the open requests of all nodes must be counted.
bool CallHandler::needsPlace() const
{
    return m_attempt->place == 0
           && m_state.brittleUpstreams().isBrittle(m_attempt->upstream.instanceId);
}

// How long the request may wait for a place: an early rejection is more useful to the caller, but
// one that has a part of a stream would lose it.
std::chrono::milliseconds CallHandler::placePatience() const
{
    using std::chrono::milliseconds;
    if (m_streamStarted)
        return remainingTime() / 2;
    const Duration patience = m_call.route->targetLatency / kWaitDivisor;
    const Duration elapsed = m_state.clock().now() - m_arrived;
    return std::max(std::chrono::duration_cast<milliseconds>(patience - elapsed), milliseconds(0));
}

void CallHandler::requestPlace()
{
    PlaceExchange::Question question
        = placeQuestion(m_state, m_call, m_caller, m_plan, choiceTerms(), *m_attempt);
    question.patience = placePatience();
    question.lease = remainingTime();
    const auto attempt = std::make_shared<UpstreamAttempt>(std::move(*m_attempt));
    m_attempt.reset();
    m_state.places().request(
        question, [self = shared_from_this(), attempt](const std::optional<PlaceReply> &reply,
                                                       std::uint64_t number) {
            self->onPlace(attempt, reply, number);
        });
}

void CallHandler::onPlace(const std::shared_ptr<UpstreamAttempt> &attempt,
                          const std::optional<PlaceReply> &reply, std::uint64_t number)
{
    if (m_isFinished) { // the caller has disconnected, or the deadline has passed
        m_state.placements().ended(attempt->placement);
        m_state.places().giveBack(number, false);
        return;
    }
    if (!reply) {
        onNoLender(*attempt);
        return;
    }
    if (!reply->isLent()) {
        m_state.placements().ended(attempt->placement);
        rejectWithoutPlace(reply->retryAfter);
        return;
    }
    if (reply->upstream == stableHash(attempt->upstream.instanceId)) {
        m_attempt = std::move(*attempt);
    } else {
        m_state.placements().ended(attempt->placement);
        m_attempt = attemptAt(m_state, m_call, m_caller, m_plan, choiceTerms(), reply->upstream);
    }
    if (!m_attempt) { // the upstream has left since the question
        m_state.places().giveBack(number, false);
        handleNoUpstream();
        return;
    }
    m_attempt->place = number;
    beginAttempt();
}

// No lender has replied. Another one may be asked, or there is none that this node reaches.
void CallHandler::onNoLender(UpstreamAttempt &attempt)
{
    m_missedLenders += 1;
    const PlaceGroup group = m_state.placeGroup(attempt.upstream);
    const bool hasLender = m_state.places().hasLender(group);
    if (!hasLender && m_state.isWithinShare(attempt.upstream)) {
        m_state.metrics().count("fordwood_places_without_lender_total");
        m_attempt = std::move(attempt);
        sendAttempt();
        return;
    }
    m_state.placements().ended(attempt.placement);
    if (hasLender && m_missedLenders == 1)
        startAttempt();
    else
        rejectWithoutPlace(kRetryAfter);
}

void CallHandler::rejectWithoutPlace(std::chrono::milliseconds retryAfter)
{
    if (m_streamStarted) {
        m_writer.abort();
        finish("cut-no-upstream", 0);
        return;
    }
    m_plan.setReason(Reason::UpstreamBusy);
    rejectWith(m_plan.verdict(std::max(kRetryAfter, retryAfter)));
}

// Drops an attempt of which nothing has been counted as open yet.
void CallHandler::dropAttempt()
{
    m_state.placements().ended(m_attempt->placement);
    m_state.places().giveBack(m_attempt->place, false);
    m_attempt.reset();
}

} // namespace fordwood::node
