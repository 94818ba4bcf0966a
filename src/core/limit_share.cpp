// SPDX-License-Identifier: MIT
#include "fordwood/limit_share.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// What an overloaded upstream bears beyond its limit, as the platform states it: in some four
// seconds, so many times the limit, and so many requests more.
constexpr double kCapacityWindowSeconds = 4.0;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5.0;

// Requests that are sent within this may arrive within four seconds: connections come up late, and
// lost packets are sent again.
constexpr double kCountedSeconds = kCapacityWindowSeconds + 0.4;

// For a sender that others have just ceased to count.
constexpr double kSpareSender = 1.0;

// The part of the limit for which a side of a cut makes room first; the rest goes to more senders.
constexpr double kRateShareOfEachSide = 0.6;
constexpr double kMinSenders = 2.0; // one may be gone

// So many are told of in messages; with more, each has a part that it hardly uses.
constexpr double kMaxSenders = 64.0;

} // namespace

LimitShare shareOfLimit(double perSecond, bool isFleetComplete)
{
    const double capacity = kOvershoot * perSecond * kCapacityWindowSeconds + kSlack;
    double senders = capacity - kCountedSeconds * perSecond - kSpareSender;
    double rate = perSecond;
    if (!isFleetComplete) {
        const double half = capacity / 2.0;
        senders = std::max(kMinSenders, half - kCountedSeconds * kRateShareOfEachSide * perSecond);
        senders = static_cast<double>(static_cast<std::size_t>(std::min(senders, kMaxSenders)));
        rate = std::min(perSecond, (half - senders) / kCountedSeconds);
    }
    return {static_cast<std::size_t>(std::clamp(senders, kMinSenders, kMaxSenders)), rate};
}

} // namespace fordwood
