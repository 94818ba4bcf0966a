// SPDX-License-Identifier: MIT
#include "fordwood/limit_share.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// What an overloaded upstream bears beyond its limit, as the platform states it: in some four
// seconds, so many times the limit, and so many requests more.
constexpr double kBorneSeconds = 4.0;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5.0;

// Requests that are sent within this may arrive within four seconds: connections come up late, and
// lost packets are sent again.
constexpr double kCountedSeconds = kBorneSeconds + 0.4;

// For a sender that others have just ceased to count.
constexpr double kSpareSender = 1.0;

// The part of the limit for which a side of a cut makes room first; the rest goes to more senders.
constexpr double kPartOfEachSide = 0.6;
constexpr double kLeastSenders = 2.0; // one may be gone

// So many are told of in messages; with more, each has a part that it hardly uses.
constexpr double kMostSenders = 64.0;

} // namespace

LimitShare shareOfLimit(double perSecond, bool isWhole)
{
    const double borne = kOvershoot * perSecond * kBorneSeconds + kSlack;
    double senders = borne - kCountedSeconds * perSecond - kSpareSender;
    double rate = perSecond;
    if (!isWhole) {
        const double half = borne / 2.0;
        senders = std::max(kLeastSenders, half - kCountedSeconds * kPartOfEachSide * perSecond);
        senders = static_cast<double>(static_cast<std::size_t>(std::min(senders, kMostSenders)));
        rate = std::min(perSecond, (half - senders) / kCountedSeconds);
    }
    return {static_cast<std::size_t>(std::clamp(senders, kLeastSenders, kMostSenders)), rate};
}

} // namespace fordwood
