// SPDX-License-Identifier: MIT
#include "fordwood/recent_answers.hpp"

namespace fordwood {

namespace {

// 48 KB; a node answers some tens of requests per second.
constexpr std::size_t kSlots = 2'048;

constexpr Duration kMaxAge = std::chrono::minutes(1);

} // namespace

RecentAnswers::RecentAnswers(const Clock &clock) : m_clock(clock), m_slots(kSlots) { }

void RecentAnswers::note(const RequestFingerprint &request)
{
    m_slots[request.low % kSlots] = {request, m_clock.now()};
}

bool RecentAnswers::contains(const RequestFingerprint &request) const
{
    const Slot &slot = m_slots[request.low % kSlots];
    return slot.request == request && m_clock.now() - slot.when < kMaxAge;
}

} // namespace fordwood
