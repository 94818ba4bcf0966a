// SPDX-License-Identifier: MIT
#include "fordwood/stall_detector.hpp"

#include <utility>

namespace fordwood {

Duration StallDetector::poll()
{
    const TimePoint now = m_clock.now();
    const Duration pause = now - std::exchange(m_lastPoll, now);
    return pause >= m_minStall ? pause : Duration::zero();
}

} // namespace fordwood
