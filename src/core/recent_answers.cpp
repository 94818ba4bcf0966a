// SPDX-License-Identifier: MIT
#include "fordwood/recent_answers.hpp"

namespace fordwood {

RecentAnswers::RecentAnswers(const Clock &clock, std::size_t slots, Duration maxAge)
    : m_clock(clock), m_maxAge(maxAge), m_slots(slots)
{ }

void RecentAnswers::note(const RequestFingerprint &request)
{
    m_slots[request.low % m_slots.size()] = {request, m_clock.now()};
}

bool RecentAnswers::contains(const RequestFingerprint &request) const
{
    const Slot &slot = m_slots[request.low % m_slots.size()];
    return slot.request == request && m_clock.now() - slot.when < m_maxAge;
}

} // namespace fordwood
