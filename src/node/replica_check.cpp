// SPDX-License-Identifier: MIT
#include "node/replica_check.hpp"

namespace fordwood::node {

namespace {

// A single call fails when its connection was closed meanwhile.
constexpr std::size_t kMaxReads = 2;

} // namespace

void ReplicaCheck::request(TimePoint since)
{
    m_since = since;
    m_failures = 0;
    poll();
}

void ReplicaCheck::poll()
{
    if (!m_poll())
        end(*m_since, false);
}

void ReplicaCheck::pollEnded(TimePoint sentAt, bool isComplete)
{
    const bool answersRequest = m_since && sentAt >= *m_since;
    if (answersRequest && !isComplete) {
        m_failures += 1;
        if (m_failures >= kMaxReads)
            end(sentAt, false);
    } else if (isComplete) {
        // A later request may have replaced one that this read answers.
        const auto since = m_since;
        end(sentAt, true);
        if (since && !answersRequest)
            m_since = since;
    }
    if (m_since)
        poll();
}

void ReplicaCheck::end(TimePoint asOf, bool isComplete)
{
    m_since.reset();
    m_publish({asOf, isComplete});
}

} // namespace fordwood::node
