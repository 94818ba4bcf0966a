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
    const auto waiting
        = std::make_shared<WaitingAttempt>(WaitingAttempt{std::move(*m_attempt), question});
    m_attempt.reset();
    m_state.places().request(
        question, [self = shared_from_this(), waiting](const std::optional<PlaceReply> &reply,
                                                       std::uint64_t number) {
            self->onPlace(*waiting, reply, number);
        });
}

void CallHandler::onPlace(WaitingAttempt &waiting, const std::optional<PlaceReply> &reply,
                          std::uint64_t number)
{
    if (m_isFinished) { // the caller has disconnected, or the deadline has passed
        m_state.placements().ended(waiting.attempt.placement);
        m_state.places().giveBack(number, false);
        return;
    }
    if (!reply) {
        onNoLender(waiting);
        return;
    }
    if (!reply->isLent()) {
        m_state.placements().ended(waiting.attempt.placement);
        rejectWithoutPlace(reply->retryAfter);
        return;
    }
    takeUpAttempt(waiting, reply->upstream);
    if (!m_attempt) { // the upstream has left since the question
        m_state.places().giveBack(number, false);
        handleNoUpstream();
        return;
    }
    m_attempt->place = number;
    beginAttempt();
}

// Continues the waiting attempt, at another upstream if that is where it may be sent.
void CallHandler::takeUpAttempt(WaitingAttempt &waiting, std::uint64_t upstream)
{
    if (upstream == stableHash(waiting.attempt.upstream.instanceId)) {
        m_attempt = std::move(waiting.attempt);
        return;
    }
    m_state.placements().ended(waiting.attempt.placement);
    m_attempt = attemptAt(m_state, m_call, m_caller, m_plan, choiceTerms(), upstream);
}

// No lender has replied. Another one may be asked, or there is none that this node reaches.
void CallHandler::onNoLender(WaitingAttempt &waiting)
{
    m_missedLenders += 1;
    const bool hasLender = m_state.places().hasLender(waiting.question.group);
    const auto upstream = hasLender ? std::nullopt : m_state.findWithinShare(waiting.question);
    if (upstream)
        takeUpAttempt(waiting, *upstream);
    else
        m_state.placements().ended(waiting.attempt.placement);
    if (m_attempt) {
        m_state.metrics().count("fordwood_places_without_lender_total");
        sendAttempt();
        return;
    }
    if (hasLender && m_missedLenders == 1)
        startAttempt();
    else
        rejectWithoutPlace(kRetryAfter);
}

void CallHandler::rejectWithoutPlace(std::chrono::milliseconds retryAfter)
{
    if (m_streamStarted) {
        cutStream("cut-no-upstream");
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
