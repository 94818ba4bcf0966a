// SPDX-License-Identifier: MIT
#include "fordwood/standstill_watch.hpp"

#include <utility>

namespace fordwood {

namespace {

// Between two turns; longer than one takes on the busiest VM.
constexpr Duration kStandstill = std::chrono::seconds(1);

} // namespace

Duration StandstillWatch::turn()
{
    const TimePoint now = m_clock.now();
    const Duration pause = now - std::exchange(m_lastTurn, now);
    return pause >= kStandstill ? pause : Duration::zero();
}

} // namespace fordwood
