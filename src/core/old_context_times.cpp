// SPDX-License-Identifier: MIT
#include "fordwood/old_context_times.hpp"

#include "fordwood/rendezvous.hpp"

namespace fordwood {

Duration OldContextTimes::useTimeOf(const std::string &partId)
{
    const auto spread = std::chrono::duration<double>(kMaxUseTime - kMinUseTime);
    return kMinUseTime
           + std::chrono::duration_cast<Duration>(spread * hashFraction(stableHash(partId)));
}

std::optional<TimePoint> OldContextTimes::fetchUntil(const std::string &partId,
                                                     const std::optional<EventTime> &superseded,
                                                     std::optional<TimePoint> completeAsOf)
{
    const std::optional<TimePoint> supersededFrom
        = superseded ? superseded->earliest : completeAsOf;
    if (!supersededFrom)
        return std::nullopt;
    return *supersededFrom + useTimeOf(partId);
}

} // namespace fordwood
