// SPDX-License-Identifier: MIT
#include "fordwood/stall_detector.hpp"

#include <utility>

namespace fordwood {

namespace {

// Between two polls; longer than one iteration takes on the busiest VM.
constexpr Duration kMinStall = std::chrono::seconds(1);

} // namespace

Duration StallDetector::poll()
{
    const TimePoint now = m_clock.now();
    const Duration pause = now - std::exchange(m_lastPoll, now);
    return pause >= kMinStall ? pause : Duration::zero();
}

} // namespace fordwood
